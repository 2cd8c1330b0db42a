package membership

import "time"

// reachability is how this node sees a node that it watches.
type reachability uint8

const (
	reachable   reachability = iota
	querying                 // it is silent, and its other watchers are asked
	partitioned              // they hear it: the path between is cut, or passes one way only
	unreachable              // nobody hears it: it is suspected
	reachabilities
)

// event is what happens to a watched node.
type event uint8

const (
	messageReceived  event = iota
	silenceDetected        // nothing came for silenceTimeout
	reachableByOther       // another watcher hears it
	queryTimedOut          // no watcher has said that it hears it
	suspicionRefuted       // the node itself says that it is alive, though this node does not hear it
	queryDue               // it is time to ask the watchers again
	events
)

// action is what follows from an event.
type action uint8

const (
	noAction action = iota
	queryWatchers
	suspect
)

type transition struct {
	next reachability
	do   action
}

// transitions say what follows from each event in each state of a watched node.
var transitions = [reachabilities][events]transition{
	reachable: {
		messageReceived:  {reachable, noAction},
		silenceDetected:  {querying, queryWatchers},
		reachableByOther: {reachable, noAction},
		queryTimedOut:    {reachable, noAction},
		suspicionRefuted: {reachable, noAction},
		queryDue:         {reachable, noAction},
	},
	querying: {
		messageReceived:  {reachable, noAction},
		silenceDetected:  {querying, noAction},
		reachableByOther: {partitioned, noAction},
		queryTimedOut:    {unreachable, suspect},
		suspicionRefuted: {querying, noAction},
		queryDue:         {querying, noAction},
	},
	partitioned: {
		messageReceived:  {reachable, noAction},
		silenceDetected:  {partitioned, noAction},
		reachableByOther: {partitioned, noAction},
		queryTimedOut:    {partitioned, noAction},
		suspicionRefuted: {partitioned, noAction},
		queryDue:         {querying, queryWatchers},
	},
	unreachable: {
		messageReceived:  {reachable, noAction},
		silenceDetected:  {unreachable, noAction},
		reachableByOther: {partitioned, noAction},
		queryTimedOut:    {unreachable, noAction},
		suspicionRefuted: {partitioned, noAction},
		queryDue:         {querying, queryWatchers},
	},
}

// observe moves what is seen of a node on by an event, and returns what follows from it.
func (p *peerView) observe(e event, now time.Duration) action {
	t := transitions[p.state][e]
	if t.next != p.state {
		p.state = t.next
		p.stateSince = now
	}
	return t.do
}
