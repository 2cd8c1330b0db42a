package membership

import "time"

// reachability is the state of a watched node from this node's point of view.
type reachability uint8

const (
	reachable   reachability = iota
	querying                 // silent; its other watchers are being queried
	partitioned              // another watcher receives its messages: the path to this node is cut, at least in one direction
	unreachable              // no queried watcher receives its messages: it is suspected
	reachabilities
)

// event is an input of a watched node's state machine.
type event uint8

const (
	messageReceived  event = iota
	silenceDetected        // no message was received for silenceTimeout
	reachableByOther       // another watcher receives its messages
	queryTimedOut          // no watcher confirmed it within queryTimeout
	suspicionRefuted       // the node refuted the suspicion through others, though it is silent here
	queryDue               // the watchers are to be queried again
	events
)

// action is the output of a watched node's state machine.
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

// transitions gives the next state and the action for each event in each state of a watched node.
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

// observe applies an event to a node's state machine and returns the resulting action.
func (p *peerView) observe(e event, now time.Duration) action {
	t := transitions[p.state][e]
	if t.next != p.state {
		p.state = t.next
		p.stateSince = now
	}
	return t.do
}
