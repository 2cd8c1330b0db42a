// Package connclose decides when a client's connection that requests share may be closed, so that no accepted request loses its answer. It
// is a state machine free of I/O: its caller, internal/proxy for FastCGI, passes what happens on a connection to Lifecycle.Handle and
// carries out the effect. A Lifecycle has no lock of its own; the caller holds one over Handle and its effect.
package connclose

// State is the state of a connection.
type State uint8

// States of a connection.
const (
	Open            State = iota // accepts requests
	ClosingWhenIdle              // accepts requests, and is closed as soon as none is open
	Draining                     // accepts no requests, and is closed as soon as all that were accepted are answered
	Closed                       // nothing is written any more
	stateCount
)

// Input is what happens on a connection.
type Input uint8

// Inputs of a connection.
const (
	RequestStarted  Input = iota // a request has begun to arrive
	RequestReceived              // a request is complete
	RequestAborted               // a request that had begun will not be complete, and its client was notified
	RequestAnswered              // a request that was accepted is answered
	CloseRequested               // the connection is to be closed: its client has asked for it, or the node stops
	// IntakeStopped: no further request can be accepted, because the node stops soon, a request stalls or a record cannot be read. All
	// requests that were not complete have been notified that they never ran.
	IntakeStopped
	IdleTimeout  // no request has begun to arrive in time
	Disconnected // the client has closed or broken the connection
	inputCount
)

// Effect is what is to be done after an input.
type Effect uint8

// Effects of an input.
const (
	NoEffect   Effect = iota
	Admit             // the request goes on
	Reject            // notify the request that it never ran
	CloseWrite        // end the writing, and read on for a while: a close with unread bytes would be a reset, which may overtake an answer
	Close             // close the connection; nobody is there to be answered
)

// transition is where an input leads.
type transition struct {
	next   State
	effect Effect
}

// transitions is the table of states. What it leaves without anything to do is closed by Handle.
var transitions = [stateCount][inputCount]transition{
	Open: {
		RequestStarted:  {Open, Admit},
		RequestReceived: {Open, Admit},
		RequestAborted:  {Open, NoEffect},
		RequestAnswered: {Open, NoEffect},
		CloseRequested:  {ClosingWhenIdle, NoEffect},
		IntakeStopped:   {Draining, NoEffect},
		IdleTimeout:     {Closed, CloseWrite},
		Disconnected:    {Closed, Close},
	},
	ClosingWhenIdle: {
		RequestStarted:  {ClosingWhenIdle, Admit},
		RequestReceived: {ClosingWhenIdle, Admit},
		RequestAborted:  {ClosingWhenIdle, NoEffect},
		RequestAnswered: {ClosingWhenIdle, NoEffect},
		CloseRequested:  {ClosingWhenIdle, NoEffect},
		IntakeStopped:   {Draining, NoEffect},
		IdleTimeout:     {Closed, CloseWrite},
		Disconnected:    {Closed, Close},
	},
	Draining: {
		RequestStarted:  {Draining, Reject},
		RequestReceived: {Draining, Reject},
		RequestAborted:  {Draining, NoEffect},
		RequestAnswered: {Draining, NoEffect},
		CloseRequested:  {Draining, NoEffect},
		IntakeStopped:   {Draining, NoEffect},
		IdleTimeout:     {Closed, CloseWrite},
		Disconnected:    {Closed, Close},
	},
	Closed: {
		RequestStarted:  {Closed, NoEffect},
		RequestReceived: {Closed, NoEffect},
		RequestAborted:  {Closed, NoEffect},
		RequestAnswered: {Closed, NoEffect},
		CloseRequested:  {Closed, NoEffect},
		IntakeStopped:   {Closed, NoEffect},
		IdleTimeout:     {Closed, NoEffect},
		Disconnected:    {Closed, NoEffect},
	},
}

// Lifecycle is the state of one connection and its requests. The zero value is an open connection without requests.
type Lifecycle struct {
	state     State
	receiving int
	inFlight  int
}

// State returns the connection's state.
func (l *Lifecycle) State() State { return l.state }

// Receiving returns how many requests have begun to arrive and are not complete.
func (l *Lifecycle) Receiving() int { return l.receiving }

// InFlight returns how many requests were accepted and are not answered.
func (l *Lifecycle) InFlight() int { return l.inFlight }

// Handle applies an input and returns what is to be done. The effect is CloseWrite where the input was the last thing to do on a connection
// that is to be closed. An idle timeout that crosses a request has no effect.
func (l *Lifecycle) Handle(in Input) Effect {
	if in == IdleTimeout && l.receiving+l.inFlight > 0 {
		return NoEffect
	}
	t := transitions[l.state][in]
	l.state = t.next
	l.count(in, t.effect)
	if l.inFlight+l.receiving == 0 && (l.state == ClosingWhenIdle || l.state == Draining) {
		l.state = Closed
		return CloseWrite
	}
	return t.effect
}

// count keeps the numbers of requests.
func (l *Lifecycle) count(in Input, effect Effect) {
	switch {
	case in == RequestStarted && effect == Admit:
		l.receiving++
	case in == RequestReceived && effect == Admit:
		l.receiving--
		l.inFlight++
	case in == RequestAborted:
		l.receiving--
	case in == RequestAnswered:
		l.inFlight--
	case in == IntakeStopped:
		l.receiving = 0
	}
}
