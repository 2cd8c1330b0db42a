// Package endpoints makes a list of servers out of what a registry of ephemeral nodes lists and of how hops end. Who is not
// listed any more gets nothing new at once; who comes back within a while, alive all along, keeps its place; and where
// most vanish together it is the registry that is doubted. It is free of I/O.
package endpoints

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fernvane/internal/discovery/incarnation"
)

const (
	flapFor     = 5 * time.Second // a session lost and made anew within it is a flap
	aliveBefore = 1 * time.Second // an answer so shortly before an end shows that the process was alive
	mostWithin  = 2 * time.Second // ends that come within it are taken together
	mostShare   = 0.5             // of the servers; when more vanish together the registry is doubted
	mostLeast   = 3               // servers
	failsLeast  = 3               // operations in a row that find no connection, before the registry tells
	failsWithin = 1 * time.Second
	doubtFirst  = 1 * time.Second // doubles; then the server is tried again
	doubtMost   = 8 * time.Second
)

// RegistryEntry is a server as the registry lists it.
type RegistryEntry struct {
	ID            string
	Address       string
	Zone          string
	MachineKind   string
	Cell          int
	Weight        float64
	IsDraining    bool
	OwnerSession  int64 // session of its node
	CreatedZxid   int64 // when the node was made, in the registry's count
	CreatedUnixMS int64 // the same as Unix time in ms
	StartedUnixMS int64 // the process's own word of its start, Unix time in ms; 0: none
}

// Observation of a server: it answered, or an operation found no connection to it.
type Observation struct {
	Server        string
	HasResponded  bool
	HasExecuted   bool // and it has run what it answered to
	IsOtherServer bool // and says that it is another server
}

// State of a server.
type State uint8

const (
	StateAbsent    State = iota // not known, or gone
	StatePresent                // listed and used
	StateSuspected              // listed, but hops find nobody there
	StateDraining               // listed as draining
	StateMissing                // not listed any more; kept for a while, for it may be a flap
	StateRetained               // not listed any more with most others; used, with suspicion
	states
)

type input uint8

const (
	listed    input = iota
	listedNew       // by another life
	drains
	unlisted
	vanished // with most others
	fails
	answers
	timeUp
	inputs
)

type effect uint8

const (
	nothing  effect = iota
	tellUp          // the life that it had
	tellBack        // the same, after it was told to drain: a new turn
	tellNew
	tellDraining
	tellGone
)

type move struct {
	next State
	do   effect
}

// moves is the whole of what the roster decides.
var moves = [states][inputs]move{
	StateAbsent: {listed: {StatePresent, tellNew}, listedNew: {StatePresent, tellNew}, drains: {StateDraining, tellDraining}, unlisted: {StateAbsent, nothing},
		vanished: {StateAbsent, nothing}, fails: {StateAbsent, nothing}, answers: {StateAbsent, nothing}, timeUp: {StateAbsent, nothing}},
	StatePresent: {listed: {StatePresent, nothing}, listedNew: {StatePresent, tellNew}, drains: {StateDraining, tellDraining}, unlisted: {StateMissing, tellDraining},
		vanished: {StateRetained, nothing}, fails: {StateSuspected, tellDraining}, answers: {StatePresent, nothing}, timeUp: {StatePresent, nothing}},
	StateSuspected: {listed: {StateSuspected, nothing}, listedNew: {StatePresent, tellNew}, drains: {StateDraining, nothing}, unlisted: {StateMissing, nothing},
		vanished: {StateMissing, nothing}, fails: {StateSuspected, nothing}, answers: {StatePresent, tellBack}, timeUp: {StatePresent, tellBack}},
	StateDraining: {listed: {StatePresent, tellBack}, listedNew: {StatePresent, tellNew}, drains: {StateDraining, nothing}, unlisted: {StateAbsent, tellGone},
		vanished: {StateAbsent, tellGone}, fails: {StateDraining, nothing}, answers: {StateDraining, nothing}, timeUp: {StateDraining, nothing}},
	StateMissing: {listed: {StatePresent, tellBack}, listedNew: {StatePresent, tellNew}, drains: {StateDraining, nothing}, unlisted: {StateMissing, nothing},
		vanished: {StateRetained, tellBack}, fails: {StateMissing, nothing}, answers: {StateMissing, nothing}, timeUp: {StateAbsent, tellGone}},
	StateRetained: {listed: {StatePresent, nothing}, listedNew: {StatePresent, tellNew}, drains: {StateDraining, tellDraining}, unlisted: {StateMissing, tellDraining},
		vanished: {StateRetained, nothing}, fails: {StateMissing, tellDraining}, answers: {StateRetained, nothing}, timeUp: {StateRetained, nothing}},
}

type server struct {
	state    State
	listed   RegistryEntry
	life     incarnation.Entry
	since    time.Duration // of the state
	answered time.Duration
	failed   time.Duration // last
	fails    int
	doubts   int
}

// Set is what one node knows of the servers.
type Set struct {
	servers  map[string]*server
	revision uint64
	changed  []incarnation.Entry
	heldNow  bool
	seen     time.Duration
}

// NewSet knows nothing.
func NewSet() *Set { return &Set{servers: map[string]*server{}} }

// ApplyList takes in all that the registry lists now, and returns what has changed for the node.
func (r *Set) ApplyList(now time.Duration, all []RegistryEntry) []incarnation.Entry {
	r.begin(now)
	named := make(map[string]bool, len(all))
	for _, l := range all {
		named[l.ID] = true
		s := r.servers[l.ID]
		if s == nil {
			s = &server{}
			r.servers[l.ID] = s
		}
		before := s.listed
		s.listed = l
		switch {
		case l.IsDraining:
			r.step(s, drains)
		case s.state != StateAbsent && r.another(s, before, l):
			r.step(s, listedNew)
		default:
			r.step(s, listed)
		}
		if s.life.Address != l.Address && s.state == StatePresent { // the same life elsewhere is none
			r.tell(s, tellNew)
		}
	}
	for _, id := range r.ids() {
		if s := r.servers[id]; !named[id] && s.state != StateRetained {
			r.step(s, unlisted)
		}
	}
	r.doubtRegistry(named)
	return r.end()
}

// another life: the process says so, or it was made anew by another session and was not seen to be alive all along.
func (r *Set) another(s *server, before, l RegistryEntry) bool {
	if l.StartedUnixMS != 0 && before.StartedUnixMS != 0 {
		return l.StartedUnixMS != before.StartedUnixMS
	}
	if l.OwnerSession == before.OwnerSession && l.CreatedZxid == before.CreatedZxid {
		return false
	}
	if s.state != StateMissing && s.state != StateRetained { // an end that was not seen: sessions changed between two looks
		return r.seen-s.answered > aliveBefore || s.failed > s.answered
	}
	return r.seen-s.since > flapFor || s.since-s.answered > aliveBefore || s.failed >= s.since
}

// doubtRegistry holds the last list when most of it has vanished together; and gives up those that stay away once most of
// the others are listed again.
func (r *Set) doubtRegistry(named map[string]bool) {
	missing, used := 0, 0
	for _, s := range r.servers {
		switch s.state {
		case StateMissing:
			if r.seen-s.since <= mostWithin {
				missing++
			}
			used++
		case StateRetained:
			missing++
			used++
		case StatePresent:
			used++
		}
	}
	most := missing >= mostLeast && float64(missing) > mostShare*float64(used)
	for _, id := range r.ids() {
		s := r.servers[id]
		switch {
		case most && s.state == StateMissing && r.seen-s.since <= mostWithin && s.failed < s.since:
			r.step(s, vanished)
		case !most && s.state == StateRetained && !named[id]:
			r.step(s, unlisted)
		}
	}
	r.heldNow = most
}

// IsMassRemovalSuspected tells that most servers have vanished from the registry together, and that the last list holds.
func (r *Set) IsMassRemovalSuspected() bool { return r.heldNow }

// ConnectFailed tells that an operation found no connection to a server.
func (r *Set) ConnectFailed(now time.Duration, id string) []incarnation.Entry {
	r.begin(now)
	if s := r.servers[id]; s != nil {
		if now-s.failed > failsWithin || s.answered > s.failed {
			s.fails = 0
		}
		s.failed = now
		if s.fails++; s.fails >= failsLeast {
			r.step(s, fails)
			s.fails = 0
		}
	}
	return r.end()
}

// ResponseReceived tells that a server has answered.
func (r *Set) ResponseReceived(now time.Duration, id string) []incarnation.Entry {
	r.begin(now)
	if s := r.servers[id]; s != nil {
		s.answered, s.fails = now, 0
		if s.state == StatePresent {
			s.doubts = 0
		}
		r.step(s, answers)
	}
	return r.end()
}

// Tick looks at what time changes.
func (r *Set) Tick(now time.Duration) []incarnation.Entry {
	r.begin(now)
	for _, id := range r.ids() {
		s := r.servers[id]
		limit := flapFor
		if s.state == StateSuspected {
			limit = min(doubtFirst<<min(s.doubts-1, 10), doubtMost)
		}
		if (s.state == StateMissing || s.state == StateSuspected) && now-s.since >= limit {
			r.step(s, timeUp)
		}
		if s.state == StateAbsent {
			delete(r.servers, id)
		}
	}
	return r.end()
}

func (r *Set) begin(now time.Duration) { r.seen, r.changed = now, nil }

func (r *Set) end() []incarnation.Entry { return r.changed }

func (r *Set) step(s *server, in input) {
	m := moves[s.state][in]
	if m.next != s.state {
		s.state, s.since = m.next, r.seen
		if m.next == StateSuspected {
			s.doubts++
		}
	}
	r.tell(s, m.do)
}

func (r *Set) tell(s *server, do effect) {
	if do == nothing {
		return
	}
	l, e := &s.listed, &s.life
	r.revision++
	up, turn := e.StartedUnixMS, e.Generation
	switch do {
	case tellNew:
		up, turn = max(cmp.Or(l.StartedUnixMS, l.CreatedUnixMS), e.StartedUnixMS), 0
		if e.ID != "" && up == e.StartedUnixMS { // two lives within a millisecond, or by clocks that differ
			up++
		}
	case tellBack:
		if e.Condition != incarnation.Up {
			turn++
		}
	}
	*e = incarnation.Entry{ID: l.ID, StartedUnixMS: up, Generation: turn, Revision: r.revision, Address: l.Address, Zone: l.Zone, MachineKind: l.MachineKind, Cell: l.Cell, Weight: l.Weight}
	switch do {
	case tellDraining:
		e.Condition = incarnation.Draining
	case tellGone:
		e.Condition = incarnation.Gone
	}
	r.changed = append(r.changed, *e)
}

func (r *Set) ids() []string { return slices.Sorted(maps.Keys(r.servers)) }

// State of a server, for those who look.
func (r *Set) State(id string) State {
	if s := r.servers[id]; s != nil {
		return s.state
	}
	return StateAbsent
}
