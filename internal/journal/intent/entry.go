// Package intent is what is known of an operation that must not run twice: from its taking to what its client was told,
// and after a crash. A hop that was about to be sent counts as possibly sent until its end proves otherwise or the
// server's own dockets settle it. It is free of I/O.
package intent

import "slices"

// Kind of a record.
type Kind uint8

const (
	Unsent         Kind = 1 + iota // an operation came to its end and no hop of it was ever about to be sent
	Intent                         // a hop is about to be sent; it names the operation anew, so that no record needs another
	AttemptEnded                   // how that went, and what it proves
	ClientNotified                 // what the client was told, and after how many hops
	Reconciled                     // what the server's dockets say of a hop
	Gap                            // so many operations went on without the journal
	ChunkHeader                    // the N records behind it are those from number From on of their run's stream
	kinds
)

// Proof is what is known of a hop.
type Proof uint8

const (
	PossiblyRan Proof = iota // it was sent, and may have run
	Ran                      // it provably ran
	NeverRan                 // it provably never ran
)

// Record is one line of the journal. Which fields it has follows from its kind.
type Record struct {
	_ struct{} `cbor:",toarray"`

	Kind          Kind
	Incarnation   uint64 // of the node's process: Unix time in ns of its start
	RequestNumber uint64 // counts within the run
	Attempt       int
	AtUnixNano    int64 // Unix time in ns
	RequestID     string
	Tenant        string
	Type          string
	Server        string
	RepeatOf      string // the id that the client names as repeated
	IsRetry       bool   // the client marks it as a retry
	Outcome       string // the hop's end, or what the client was told
	Proof         Proof
	From          int64 // of a gap; number of a stream's record
	Count         int   // operations of a gap; hops before Told; records of a stream
}

// State of an entry.
type State uint8

const (
	NotSent      State = iota // no hop went out, or each provably never ran
	PossiblySent              // some hop may have run
	HasRun                    // some hop provably ran
	Unknown                   // nothing speaks for a hop, but too few were asked to say that there was none
	states
)

var stateNames = [states]string{"not-sent", "possibly-sent", "ran", "not-known"}

func (s State) String() string { return stateNames[s] }

// ParseState finds a state by its name.
func ParseState(name string) (State, bool) {
	i := slices.Index(stateNames[:], name)
	return State(max(i, 0)), i >= 0
}

// Attempt of an entry.
type Attempt struct {
	Server          string
	AtUnixNano      int64
	EndedAtUnixNano int64
	Outcome         string
	IsReconciled    bool // by the server's dockets
	state           hopState
}

// Proof is what is known of the hop.
func (h Attempt) Proof() Proof { return proofs[h.state] }

// Entry is one operation.
type Entry struct {
	Incarnation        uint64
	RequestNumber      uint64
	RequestID          string
	Tenant             string
	Type               string
	RepeatOf           string
	IsRetry            bool
	AtUnixNano         int64
	Attempts           []Attempt // those about to be sent, counted by the journal itself: one that is missing was lost to it
	ClientOutcome      string    // "" where nothing is known of it
	NotifiedAtUnixNano int64
	Conflicts          int  // words that contradict what was proven
	MayLackRecords     bool // records that cannot be read may have told of further hops
	TooFewNodesAsked   bool // too few of those that may hold records were asked
	toldHops           int
	unsent             bool
}

// State of the entry by its hops.
func (e *Entry) State() State {
	s := NotSent
	if lost := len(e.Attempts) < e.toldHops || len(e.Attempts) == 0 && e.ClientOutcome == "" && !e.unsent; lost || e.MayLackRecords {
		s = PossiblySent // never more than what was read
	}
	for _, h := range e.Attempts {
		switch h.Proof() {
		case Ran:
			return HasRun
		case PossiblyRan:
			s = PossiblySent
		}
	}
	if s == NotSent && e.TooFewNodesAsked {
		return Unknown
	}
	return s
}

// IsComplete tells that nothing more can come for the entry: the client was told, and each hop is proven.
func (e *Entry) IsComplete() bool {
	return e.ClientOutcome != "" && e.State() != PossiblySent && !e.open() && len(e.Attempts) >= e.toldHops
}

func (e *Entry) open() bool {
	return slices.ContainsFunc(e.Attempts, func(h Attempt) bool { return h.Proof() == PossiblyRan })
}

type hopState uint8

const (
	absent   hopState = iota // no intent was read, as when an older segment is gone
	intended                 // about to be sent: it may have been
	unproven                 // ended, and may have run
	ran
	never
	hopStates
)

var proofs = [hopStates]Proof{ran: Ran, never: NeverRan}

type word uint8

const (
	sending word = iota
	endedUnproven
	endedRan
	endedNever
	docketed
	undocketed
	words
)

// lives is the way of a hop: what follows from each word in each state. A word that contradicts a proof changes nothing;
// words that come again, as when a segment was written anew after a fault, change nothing either.
var lives = [hopStates][words]struct {
	next     hopState
	conflict bool
}{
	absent:   {sending: {intended, false}, endedUnproven: {unproven, false}, endedRan: {ran, false}, endedNever: {never, false}, docketed: {ran, false}, undocketed: {never, false}},
	intended: {sending: {intended, false}, endedUnproven: {unproven, false}, endedRan: {ran, false}, endedNever: {never, false}, docketed: {ran, false}, undocketed: {never, false}},
	unproven: {sending: {unproven, false}, endedUnproven: {unproven, false}, endedRan: {ran, false}, endedNever: {unproven, true}, docketed: {ran, false}, undocketed: {never, false}},
	ran:      {sending: {ran, false}, endedUnproven: {ran, false}, endedRan: {ran, false}, endedNever: {ran, true}, docketed: {ran, false}, undocketed: {ran, true}},
	never:    {sending: {never, false}, endedUnproven: {never, true}, endedRan: {ran, true}, endedNever: {never, false}, docketed: {ran, true}, undocketed: {never, false}},
}

var wordOf = map[Kind][3]word{Intent: {sending, sending, sending}, AttemptEnded: {PossiblyRan: endedUnproven, Ran: endedRan, NeverRan: endedNever},
	Reconciled: {PossiblyRan: endedUnproven, Ran: docketed, NeverRan: undocketed}}

const hopsMost = 64 // of an entry; a record of no sense must not take memory

// add takes in a record of the entry.
func (e *Entry) add(r *Record) {
	if e.AtUnixNano == 0 || r.AtUnixNano < e.AtUnixNano {
		e.AtUnixNano = r.AtUnixNano
	}
	if r.RequestID != "" {
		e.RequestID, e.Tenant, e.Type, e.RepeatOf, e.IsRetry = r.RequestID, r.Tenant, r.Type, r.RepeatOf, r.IsRetry
	}
	switch r.Kind {
	case Unsent:
		e.unsent = true
		return
	case ClientNotified:
		e.ClientOutcome, e.NotifiedAtUnixNano, e.toldHops = r.Outcome, r.AtUnixNano, min(max(r.Count, 0), hopsMost)
		return
	}
	if r.Attempt < 0 || r.Attempt >= hopsMost || r.Proof > NeverRan {
		return
	}
	for len(e.Attempts) <= r.Attempt {
		e.Attempts = append(e.Attempts, Attempt{})
	}
	h := &e.Attempts[r.Attempt]
	if r.Server != "" {
		h.Server = r.Server
	}
	move := lives[h.state][wordOf[r.Kind][r.Proof]]
	h.state = move.next
	if move.conflict {
		e.Conflicts++
	}
	switch r.Kind {
	case Intent:
		h.AtUnixNano = r.AtUnixNano
	case AttemptEnded:
		h.EndedAtUnixNano, h.Outcome = r.AtUnixNano, r.Outcome
	case Reconciled:
		h.IsReconciled = true
	}
}
