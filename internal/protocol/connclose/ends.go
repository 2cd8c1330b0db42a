// Package connclose decides when a client's connection that requests share may end, so that none that was taken loses its
// answer. It is free of I/O: what happens on the connection goes in, and what is to be done comes out.
package connclose

// State of a connection.
type State uint8

const (
	Open            State = iota // takes what comes
	ClosingWhenIdle              // takes what comes, and ends as soon as nothing is open
	Draining                     // takes nothing new, and ends as soon as all that was taken has its answer
	Closed                       // nothing is written any more
	states
)

// Input is what happens.
type Input uint8

const (
	RequestStarted  Input = iota // a request has begun to come
	RequestReceived              // it has come whole
	RequestAborted               // one that had begun will not become whole, and its client was told so
	RequestAnswered              // one that was taken has its answer
	CloseRequested               // the connection is to end: its client has said so, or the node stops
	IntakeStopped                // nothing new can be taken: the stop is near, a request stalls, what comes cannot be read. All
	// that were on their way were told that they never ran
	IdleTimeout  // the time for the next request is over, and none has begun to come
	Disconnected // the client has closed or broken the connection
	inputs
)

// Effect is what is to be done.
type Effect uint8

const (
	NoEffect   Effect = iota // goes on as before
	Admit                    // the request goes on
	Reject                   // it is told that it never ran
	CloseWrite               // say that nothing more is written, and read on for a while, so that no reset overtakes an answer
	Close                    // nobody is there to be answered
)

type row struct {
	next   State
	effect Effect
}

// table is all that is decided; what has nothing left to do is ended behind it, by Next.
var table = [states][inputs]row{
	Open: {RequestStarted: {Open, Admit}, RequestReceived: {Open, Admit}, RequestAborted: {Open, NoEffect}, RequestAnswered: {Open, NoEffect}, CloseRequested: {ClosingWhenIdle, NoEffect},
		IntakeStopped: {Draining, NoEffect}, IdleTimeout: {Closed, CloseWrite}, Disconnected: {Closed, Close}},
	ClosingWhenIdle: {RequestStarted: {ClosingWhenIdle, Admit}, RequestReceived: {ClosingWhenIdle, Admit}, RequestAborted: {ClosingWhenIdle, NoEffect}, RequestAnswered: {ClosingWhenIdle, NoEffect}, CloseRequested: {ClosingWhenIdle, NoEffect},
		IntakeStopped: {Draining, NoEffect}, IdleTimeout: {Closed, CloseWrite}, Disconnected: {Closed, Close}},
	Draining: {RequestStarted: {Draining, Reject}, RequestReceived: {Draining, Reject}, RequestAborted: {Draining, NoEffect}, RequestAnswered: {Draining, NoEffect},
		CloseRequested: {Draining, NoEffect}, IntakeStopped: {Draining, NoEffect}, IdleTimeout: {Closed, CloseWrite}, Disconnected: {Closed, Close}},
	Closed: {RequestStarted: {Closed, NoEffect}, RequestReceived: {Closed, NoEffect}, RequestAborted: {Closed, NoEffect}, RequestAnswered: {Closed, NoEffect}, CloseRequested: {Closed, NoEffect},
		IntakeStopped: {Closed, NoEffect}, IdleTimeout: {Closed, NoEffect}, Disconnected: {Closed, NoEffect}},
}

// Lifecycle is a connection's.
type Lifecycle struct {
	state  State
	coming int // requests that have begun to come
	open   int // that were taken and wait for their answer
}

// State is where it stands.
func (l *Lifecycle) State() State { return l.state }

// Receiving and Open are how many requests have begun to come, and how many were taken and wait for their answer.
func (l *Lifecycle) Receiving() int { return l.coming }

// InFlight is told with Coming.
func (l *Lifecycle) InFlight() int { return l.open }

// Handle takes what happens and says what is to be done. Where the last answer ends the connection that is End.
func (l *Lifecycle) Handle(in Input) Effect {
	if in == IdleTimeout && l.coming+l.open > 0 { // the time was that of an idle connection, and crossed a request
		return NoEffect
	}
	r := table[l.state][in]
	l.state = r.next
	switch {
	case in == RequestStarted && r.effect == Admit:
		l.coming++
	case in == RequestReceived && r.effect == Admit:
		l.coming--
		l.open++
	case in == RequestAborted:
		l.coming--
	case in == RequestAnswered:
		l.open--
	case in == IntakeStopped:
		l.coming = 0
	}
	if l.open+l.coming == 0 && (l.state == ClosingWhenIdle || l.state == Draining) {
		l.state = Closed
		return CloseWrite
	}
	return r.effect
}
