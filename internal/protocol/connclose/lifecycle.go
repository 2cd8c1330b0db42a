// Package connclose decides when a client connection that several requests share may be closed, so that no admitted request
// loses its response. It performs no I/O: internal/proxy passes in the events of the connection and executes the returned
// effects. A Lifecycle belongs to its connection, whose lock guards it.
package connclose

// State is the state of a connection.
type State uint8

// States of a connection.
const (
	Open            State = iota // requests are admitted
	ClosingWhenIdle              // requests are admitted; the connection closes as soon as no request is open
	Draining                     // requests are rejected; the connection closes once all admitted requests are answered
	Closed                       // nothing is written anymore
	states
)

// Input is an event on a connection.
type Input uint8

// Events on a connection.
const (
	// RequestStarted means that the first part of a request was read.
	RequestStarted Input = iota
	// RequestReceived means that a request was read completely.
	RequestReceived
	// RequestAborted means that the client has aborted a request before it was read completely, and was notified of its end.
	RequestAborted
	// RequestAnswered means that an admitted request was answered.
	RequestAnswered
	// CloseRequested means that the client requested the close of the connection after its open requests, or that the node
	// shuts down.
	CloseRequested
	// IntakeStopped means that no further request is admitted, because shutdown is near or a request stalls or cannot be
	// parsed. All incomplete requests were rejected, and the client was notified that these never ran.
	IntakeStopped
	// IdleTimeout means that the time in which the next request must start has passed.
	IdleTimeout
	// Disconnected means that the client has closed the connection or that the connection is broken.
	Disconnected
	inputs
)

// Effect is the action that the caller must take.
type Effect uint8

// Effects of an event.
const (
	NoEffect   Effect = iota // no action
	Admit                    // process the request
	Reject                   // notify the client that the request never ran
	CloseWrite               // shut down writing and continue to read for a while, so that no reset overtakes a response
	Close                    // close immediately: the client has disconnected
)

// transition is the next state and the effect of an event.
type transition struct {
	next   State
	effect Effect
}

// table holds all transitions except two, which Handle makes: an idle timeout while a request is open has no effect, and a
// closing connection without open requests is closed.
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

// Lifecycle is the state machine of one connection. The zero value is an open connection without requests.
type Lifecycle struct {
	state     State
	receiving int // requests that were read in part
	inFlight  int // admitted requests that are not answered
}

// State returns the current state.
func (l *Lifecycle) State() State { return l.state }

// Receiving returns the number of requests that were read in part.
func (l *Lifecycle) Receiving() int { return l.receiving }

// InFlight returns the number of admitted requests that are not answered.
func (l *Lifecycle) InFlight() int { return l.inFlight }

// Handle applies an event and returns its effect. The effect is CloseWrite if a closing connection has no open request left.
func (l *Lifecycle) Handle(input Input) Effect {
	if input == IdleTimeout && l.receiving+l.inFlight > 0 { // a request started just before the timer fired
		return NoEffect
	}
	t := table[l.state][input]
	l.state = t.next
	switch {
	case input == RequestStarted && t.effect == Admit:
		l.receiving++
	case input == RequestReceived && t.effect == Admit:
		l.receiving--
		l.inFlight++
	case input == RequestAborted:
		l.receiving--
	case input == RequestAnswered:
		l.inFlight--
	case input == IntakeStopped:
		l.receiving = 0
	}
	if l.inFlight+l.receiving == 0 && (l.state == ClosingWhenIdle || l.state == Draining) {
		l.state = Closed
		return CloseWrite
	}
	return t.effect
}
