// Package intent is what is known of an operation that must not run twice: from its taking to what its client was told,
// and after a crash. A hop that was about to be sent counts as possibly sent until its end proves otherwise or the
// server's own dockets settle it. It is free of I/O.
package intent

import "slices"

// Kind of a record.
type Kind uint8

const (
	Unsent   Kind = 1 + iota // an operation came to its end and no hop of it was ever about to be sent
	Intent                   // a hop is about to be sent; it names the operation anew, so that no record needs another
	Ended                    // how that went, and what it proves
	Told                     // what the client was told, and after how many hops
	Settled                  // what the server's dockets say of a hop
	Gap                      // so many operations went on without the journal
	Numbered                 // the N records behind it are those from number From on of their run's stream
	kinds
)

// Proof is what is known of a hop.
type Proof uint8

const (
	Possibly Proof = iota // it was sent, and may have run
	Ran                   // it provably ran
	Never                 // it provably never ran
)

// Record is one line of the journal. Which fields it has follows from its kind.
type Record struct {
	_ struct{} `cbor:",toarray"`

	Kind    Kind
	Run     uint64 // of the node's process: Unix time in ns of its start
	Op      uint64 // counts within the run
	Hop     int
	At      int64 // Unix time in ns
	ID      string
	Tenant  string
	Type    string
	Server  string
	Repeats string // the id that the client names as repeated
	Retry   bool   // the client marks it as a retry
	How     string // the hop's end, or what the client was told
	Proof   Proof
	From    int64 // of a gap; number of a stream's record
	N       int   // operations of a gap; hops before Told; records of a stream
}

// State of an entry.
type State uint8

const (
	NotSent      State = iota // no hop went out, or each provably never ran
	PossiblySent              // some hop may have run
	HasRun                    // some hop provably ran
	NotKnown                  // nothing speaks for a hop, but too few were asked to say that there was none
	states
)

var stateNames = [states]string{"not-sent", "possibly-sent", "ran", "not-known"}

func (s State) String() string { return stateNames[s] }

// StateOf finds a state by its name.
func StateOf(name string) (State, bool) {
	i := slices.Index(stateNames[:], name)
	return State(max(i, 0)), i >= 0
}

// Hop of an entry.
type Hop struct {
	Server  string
	At      int64
	EndedAt int64
	How     string
	Settled bool // by the server's dockets
	state   hopState
}

// Proof is what is known of the hop.
func (h Hop) Proof() Proof { return proofs[h.state] }

// Entry is one operation.
type Entry struct {
	Run       uint64
	Op        uint64
	ID        string
	Tenant    string
	Type      string
	Repeats   string
	Retry     bool
	At        int64
	Hops      []Hop  // those about to be sent, counted by the journal itself: one that is missing was lost to it
	Told      string // "" where nothing is known of it
	ToldAt    int64
	Conflicts int  // words that contradict what was proven
	Doubt     bool // records that cannot be read may have told of further hops
	TooFew    bool // too few of those that may hold records were asked
	toldHops  int
	unsent    bool
}

// State of the entry by its hops.
func (e *Entry) State() State {
	s := NotSent
	if lost := len(e.Hops) < e.toldHops || len(e.Hops) == 0 && e.Told == "" && !e.unsent; lost || e.Doubt {
		s = PossiblySent // never more than what was read
	}
	for _, h := range e.Hops {
		switch h.Proof() {
		case Ran:
			return HasRun
		case Possibly:
			s = PossiblySent
		}
	}
	if s == NotSent && e.TooFew {
		return NotKnown
	}
	return s
}

// Done tells that nothing more can come for the entry: the client was told, and each hop is proven.
func (e *Entry) Done() bool {
	return e.Told != "" && e.State() != PossiblySent && !e.open() && len(e.Hops) >= e.toldHops
}

func (e *Entry) open() bool {
	return slices.ContainsFunc(e.Hops, func(h Hop) bool { return h.Proof() == Possibly })
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

var proofs = [hopStates]Proof{ran: Ran, never: Never}

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

var wordOf = map[Kind][3]word{Intent: {sending, sending, sending}, Ended: {Possibly: endedUnproven, Ran: endedRan, Never: endedNever},
	Settled: {Possibly: endedUnproven, Ran: docketed, Never: undocketed}}

const hopsMost = 64 // of an entry; a record of no sense must not take memory

// add takes in a record of the entry.
func (e *Entry) add(r *Record) {
	if e.At == 0 || r.At < e.At {
		e.At = r.At
	}
	if r.ID != "" {
		e.ID, e.Tenant, e.Type, e.Repeats, e.Retry = r.ID, r.Tenant, r.Type, r.Repeats, r.Retry
	}
	switch r.Kind {
	case Unsent:
		e.unsent = true
		return
	case Told:
		e.Told, e.ToldAt, e.toldHops = r.How, r.At, min(max(r.N, 0), hopsMost)
		return
	}
	if r.Hop < 0 || r.Hop >= hopsMost || r.Proof > Never {
		return
	}
	for len(e.Hops) <= r.Hop {
		e.Hops = append(e.Hops, Hop{})
	}
	h := &e.Hops[r.Hop]
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
		h.At = r.At
	case Ended:
		h.EndedAt, h.How = r.At, r.How
	case Settled:
		h.Settled = true
	}
}
