// Package connclose decides when a client's connection that requests share may end, so that none that was taken loses its
// answer. It is free of I/O: what happens on the connection goes in, and what is to be done comes out.
package connclose

// State of a connection.
type State uint8

const (
	Open     State = iota // takes what comes
	Last                  // takes what comes, and ends as soon as nothing is open
	Refusing              // takes nothing new, and ends as soon as all that was taken has its answer
	Ended                 // nothing is written any more
	states
)

// Input is what happens.
type Input uint8

const (
	Begun    Input = iota // a request has begun to come
	Whole                 // it has come whole
	Failed                // one that had begun will not become whole, and its client was told so
	Answered              // one that was taken has its answer
	LastCall              // the connection is to end: its client has said so, or the node stops
	NoMore                // nothing new can be taken: the stop is near, a request stalls, what comes cannot be read. All
	// that were on their way were told that they never ran
	Quiet // the time for the next request is over, and none has begun to come
	Gone  // the client has closed or broken the connection
	inputs
)

// Effect is what is to be done.
type Effect uint8

const (
	Nothing Effect = iota // goes on as before
	Take                  // the request goes on
	Refuse                // it is told that it never ran
	End                   // say that nothing more is written, and read on for a while, so that no reset overtakes an answer
	Close                 // nobody is there to be answered
)

type row struct {
	next   State
	effect Effect
}

// table is all that is decided; what has nothing left to do is ended behind it, by Next.
var table = [states][inputs]row{
	Open: {Begun: {Open, Take}, Whole: {Open, Take}, Failed: {Open, Nothing}, Answered: {Open, Nothing}, LastCall: {Last, Nothing},
		NoMore: {Refusing, Nothing}, Quiet: {Ended, End}, Gone: {Ended, Close}},
	Last: {Begun: {Last, Take}, Whole: {Last, Take}, Failed: {Last, Nothing}, Answered: {Last, Nothing}, LastCall: {Last, Nothing},
		NoMore: {Refusing, Nothing}, Quiet: {Ended, End}, Gone: {Ended, Close}},
	Refusing: {Begun: {Refusing, Refuse}, Whole: {Refusing, Refuse}, Failed: {Refusing, Nothing}, Answered: {Refusing, Nothing},
		LastCall: {Refusing, Nothing}, NoMore: {Refusing, Nothing}, Quiet: {Ended, End}, Gone: {Ended, Close}},
	Ended: {Begun: {Ended, Nothing}, Whole: {Ended, Nothing}, Failed: {Ended, Nothing}, Answered: {Ended, Nothing}, LastCall: {Ended, Nothing},
		NoMore: {Ended, Nothing}, Quiet: {Ended, Nothing}, Gone: {Ended, Nothing}},
}

// Life is a connection's.
type Life struct {
	state  State
	coming int // requests that have begun to come
	open   int // that were taken and wait for their answer
}

// State is where it stands.
func (l *Life) State() State { return l.state }

// Coming and Open are how many requests have begun to come, and how many were taken and wait for their answer.
func (l *Life) Coming() int { return l.coming }

// Open is told with Coming.
func (l *Life) Open() int { return l.open }

// Next takes what happens and says what is to be done. Where the last answer ends the connection that is End.
func (l *Life) Next(in Input) Effect {
	if in == Quiet && l.coming+l.open > 0 { // the time was that of an idle connection, and crossed a request
		return Nothing
	}
	r := table[l.state][in]
	l.state = r.next
	switch {
	case in == Begun && r.effect == Take:
		l.coming++
	case in == Whole && r.effect == Take:
		l.coming--
		l.open++
	case in == Failed:
		l.coming--
	case in == Answered:
		l.open--
	case in == NoMore:
		l.coming = 0
	}
	if l.open+l.coming == 0 && (l.state == Last || l.state == Refusing) {
		l.state = Ended
		return End
	}
	return r.effect
}
