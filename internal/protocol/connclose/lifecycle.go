// Package connclose decides when a client's connection that several requests share may be closed, so that no admitted request
// loses its answer. It is free of I/O: internal/proxy passes in what happens on the connection and carries out the effect
// that comes back. A Lifecycle belongs to its connection, whose lock guards it.
package connclose

// State of a connection.
type State uint8

// States of a connection.
const (
	Open            State = iota // requests are admitted
	ClosingWhenIdle              // requests are admitted; closes as soon as none is open
	Draining                     // requests are rejected; closes as soon as every admitted one is answered
	Closed                       // nothing is written any more
	states
)

// Input is an event on a connection.
type Input uint8

// Events on a connection.
const (
	// RequestStarted: the first part of a request was read.
	RequestStarted Input = iota
	// RequestReceived: a request was read completely.
	RequestReceived
	// RequestAborted: a request that had started will not be completed, and its client was notified.
	RequestAborted
	// RequestAnswered: an admitted request has its answer.
	RequestAnswered
	// CloseRequested: the client asked for the connection to be closed, or the node shuts down.
	CloseRequested
	// IntakeStopped: no new request can be read, since shutdown is near, a request stalls or cannot be parsed. All
	// incomplete requests were notified that they never ran.
	IntakeStopped
	// IdleTimeout: no request has started within the time for the next one.
	IdleTimeout
	// Disconnected: the client has closed or broken the connection.
	Disconnected
	inputs
)

// Effect is what the caller must do.
type Effect uint8

// Effects of an event.
const (
	NoEffect   Effect = iota // nothing
	Admit                    // the request goes on
	Reject                   // the client is notified that the request never ran
	CloseWrite               // shut down writing and go on reading for a while, so that no reset overtakes an answer
	Close                    // close at once: the client has gone
)

// transition is the state that an event leads to, and its effect.
type transition struct {
	next   State
	effect Effect
}

// table holds all decisions but two, which Handle makes: an idle timeout that crosses a request has no effect, and a closing connection
// with nothing left to do is closed.
var table = [states][inputs]transition{
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

// Lifecycle is the state of one connection. The zero value is an open connection without requests.
type Lifecycle struct {
	state     State
	receiving int // requests read in part
	inFlight  int // admitted requests without an answer
}

// State returns the state.
func (l *Lifecycle) State() State { return l.state }

// Receiving returns how many requests have been read in part.
func (l *Lifecycle) Receiving() int { return l.receiving }

// InFlight returns how many admitted requests have no answer yet.
func (l *Lifecycle) InFlight() int { return l.inFlight }

// Handle applies an event and returns its effect: CloseWrite where it leaves a closing connection with nothing to do.
func (l *Lifecycle) Handle(in Input) Effect {
	if in == IdleTimeout && l.receiving+l.inFlight > 0 { // a request started as the timer fired
		return NoEffect
	}
	t := table[l.state][in]
	l.state = t.next
	switch {
	case in == RequestStarted && t.effect == Admit:
		l.receiving++
	case in == RequestReceived && t.effect == Admit:
		l.receiving--
		l.inFlight++
	case in == RequestAborted:
		l.receiving--
	case in == RequestAnswered:
		l.inFlight--
	case in == IntakeStopped:
		l.receiving = 0
	}
	if l.inFlight+l.receiving == 0 && (l.state == ClosingWhenIdle || l.state == Draining) {
		l.state = Closed
		return CloseWrite
	}
	return t.effect
}
