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

// Listed is a server as the registry lists it.
type Listed struct {
	ID       string
	Address  string
	Zone     string
	Flavor   string
	Cell     int
	Size     float64
	Draining bool
	Owner    int64 // session of its node
	Czxid    int64 // when the node was made, in the registry's count
	Ctime    int64 // the same as Unix time in ms
	Started  int64 // the process's own word of its start, Unix time in ms; 0: none
}

// Evidence of a server: it answered, or an operation found no connection to it.
type Evidence struct {
	Server   string
	Answered bool
	Ran      bool // and it has run what it answered to
	Another  bool // and says that it is another server
}

// State of a server.
type State uint8

const (
	Absent  State = iota // not known, or gone
	Present              // listed and used
	Doubted              // listed, but hops find nobody there
	Leaving              // listed as draining
	Missing              // not listed any more; kept for a while, for it may be a flap
	Held                 // not listed any more with most others; used, with suspicion
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
	Absent: {listed: {Present, tellNew}, listedNew: {Present, tellNew}, drains: {Leaving, tellDraining}, unlisted: {Absent, nothing},
		vanished: {Absent, nothing}, fails: {Absent, nothing}, answers: {Absent, nothing}, timeUp: {Absent, nothing}},
	Present: {listed: {Present, nothing}, listedNew: {Present, tellNew}, drains: {Leaving, tellDraining}, unlisted: {Missing, tellDraining},
		vanished: {Held, nothing}, fails: {Doubted, tellDraining}, answers: {Present, nothing}, timeUp: {Present, nothing}},
	Doubted: {listed: {Doubted, nothing}, listedNew: {Present, tellNew}, drains: {Leaving, nothing}, unlisted: {Missing, nothing},
		vanished: {Missing, nothing}, fails: {Doubted, nothing}, answers: {Present, tellBack}, timeUp: {Present, tellBack}},
	Leaving: {listed: {Present, tellBack}, listedNew: {Present, tellNew}, drains: {Leaving, nothing}, unlisted: {Absent, tellGone},
		vanished: {Absent, tellGone}, fails: {Leaving, nothing}, answers: {Leaving, nothing}, timeUp: {Leaving, nothing}},
	Missing: {listed: {Present, tellBack}, listedNew: {Present, tellNew}, drains: {Leaving, nothing}, unlisted: {Missing, nothing},
		vanished: {Held, tellBack}, fails: {Missing, nothing}, answers: {Missing, nothing}, timeUp: {Absent, tellGone}},
	Held: {listed: {Present, nothing}, listedNew: {Present, tellNew}, drains: {Leaving, tellDraining}, unlisted: {Missing, tellDraining},
		vanished: {Held, nothing}, fails: {Missing, tellDraining}, answers: {Held, nothing}, timeUp: {Held, nothing}},
}

type server struct {
	state    State
	listed   Listed
	life     incarnation.Entry
	since    time.Duration // of the state
	answered time.Duration
	failed   time.Duration // last
	fails    int
	doubts   int
}

// Roster is what one node knows of the servers.
type Roster struct {
	servers  map[string]*server
	revision uint64
	changed  []incarnation.Entry
	heldNow  bool
	seen     time.Duration
}

// New knows nothing.
func New() *Roster { return &Roster{servers: map[string]*server{}} }

// Seen takes in all that the registry lists now, and returns what has changed for the node.
func (r *Roster) Seen(now time.Duration, all []Listed) []incarnation.Entry {
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
		case l.Draining:
			r.step(s, drains)
		case s.state != Absent && r.another(s, before, l):
			r.step(s, listedNew)
		default:
			r.step(s, listed)
		}
		if s.life.Address != l.Address && s.state == Present { // the same life elsewhere is none
			r.tell(s, tellNew)
		}
	}
	for _, id := range r.ids() {
		if s := r.servers[id]; !named[id] && s.state != Held {
			r.step(s, unlisted)
		}
	}
	r.doubtRegistry(named)
	return r.end()
}

// another life: the process says so, or it was made anew by another session and was not seen to be alive all along.
func (r *Roster) another(s *server, before, l Listed) bool {
	if l.Started != 0 && before.Started != 0 {
		return l.Started != before.Started
	}
	if l.Owner == before.Owner && l.Czxid == before.Czxid {
		return false
	}
	if s.state != Missing && s.state != Held { // an end that was not seen: sessions changed between two looks
		return r.seen-s.answered > aliveBefore || s.failed > s.answered
	}
	return r.seen-s.since > flapFor || s.since-s.answered > aliveBefore || s.failed >= s.since
}

// doubtRegistry holds the last list when most of it has vanished together; and gives up those that stay away once most of
// the others are listed again.
func (r *Roster) doubtRegistry(named map[string]bool) {
	missing, used := 0, 0
	for _, s := range r.servers {
		switch s.state {
		case Missing:
			if r.seen-s.since <= mostWithin {
				missing++
			}
			used++
		case Held:
			missing++
			used++
		case Present:
			used++
		}
	}
	most := missing >= mostLeast && float64(missing) > mostShare*float64(used)
	for _, id := range r.ids() {
		s := r.servers[id]
		switch {
		case most && s.state == Missing && r.seen-s.since <= mostWithin && s.failed < s.since:
			r.step(s, vanished)
		case !most && s.state == Held && !named[id]:
			r.step(s, unlisted)
		}
	}
	r.heldNow = most
}

// Suspicious tells that most servers have vanished from the registry together, and that the last list holds.
func (r *Roster) Suspicious() bool { return r.heldNow }

// Failed tells that an operation found no connection to a server.
func (r *Roster) Failed(now time.Duration, id string) []incarnation.Entry {
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

// Answered tells that a server has answered.
func (r *Roster) Answered(now time.Duration, id string) []incarnation.Entry {
	r.begin(now)
	if s := r.servers[id]; s != nil {
		s.answered, s.fails = now, 0
		if s.state == Present {
			s.doubts = 0
		}
		r.step(s, answers)
	}
	return r.end()
}

// Passed looks at what time changes.
func (r *Roster) Passed(now time.Duration) []incarnation.Entry {
	r.begin(now)
	for _, id := range r.ids() {
		s := r.servers[id]
		limit := flapFor
		if s.state == Doubted {
			limit = min(doubtFirst<<min(s.doubts-1, 10), doubtMost)
		}
		if (s.state == Missing || s.state == Doubted) && now-s.since >= limit {
			r.step(s, timeUp)
		}
		if s.state == Absent {
			delete(r.servers, id)
		}
	}
	return r.end()
}

func (r *Roster) begin(now time.Duration) { r.seen, r.changed = now, nil }

func (r *Roster) end() []incarnation.Entry { return r.changed }

func (r *Roster) step(s *server, in input) {
	m := moves[s.state][in]
	if m.next != s.state {
		s.state, s.since = m.next, r.seen
		if m.next == Doubted {
			s.doubts++
		}
	}
	r.tell(s, m.do)
}

func (r *Roster) tell(s *server, do effect) {
	if do == nothing {
		return
	}
	l, e := &s.listed, &s.life
	r.revision++
	up, turn := e.Up, e.Turn
	switch do {
	case tellNew:
		up, turn = max(cmp.Or(l.Started, l.Ctime), e.Up), 0
		if e.ID != "" && up == e.Up { // two lives within a millisecond, or by clocks that differ
			up++
		}
	case tellBack:
		if e.Condition != incarnation.Up {
			turn++
		}
	}
	*e = incarnation.Entry{ID: l.ID, Up: up, Turn: turn, Revision: r.revision, Address: l.Address, Zone: l.Zone, Flavor: l.Flavor, Cell: l.Cell, Size: l.Size}
	switch do {
	case tellDraining:
		e.Condition = incarnation.Draining
	case tellGone:
		e.Condition = incarnation.Gone
	}
	r.changed = append(r.changed, *e)
}

func (r *Roster) ids() []string { return slices.Sorted(maps.Keys(r.servers)) }

// State of a server, for those who look.
func (r *Roster) State(id string) State {
	if s := r.servers[id]; s != nil {
		return s.state
	}
	return Absent
}
