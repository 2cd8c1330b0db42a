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
	flapWindow           = 5 * time.Second // a session lost and made anew within it is a flap
	maxAliveAge          = 1 * time.Second // an answer so shortly before an end shows that the process was alive
	massRemovalWindow    = 2 * time.Second // ends that come within it are taken together
	massRemovalShare     = 0.5             // of the servers; when more vanish together the registry is doubted
	minMassRemoval       = 3               // servers
	minConnectFailures   = 3               // operations in a row that find no connection, before the registry tells
	connectFailureWindow = 1 * time.Second
	initialSuspicion     = 1 * time.Second // doubles; then the server is tried again
	maxSuspicion         = 8 * time.Second
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
	stateCount
)

type input uint8

const (
	entryListed          input = iota
	newIncarnationListed       // by another life
	drainListed
	entryRemoved
	massRemoved // with most others
	connectFailed
	responseReceived
	timerExpired
	inputCount
)

type effect uint8

const (
	noEffect           effect = iota
	announceUp                // the life that it had
	announceReinstated        // the same, after it was told to drain: a new turn
	announceNewIncarnation
	announceDraining
	announceGone
)

type transition struct {
	next   State
	effect effect
}

// moves is the whole of what the roster decides.
var transitions = [stateCount][inputCount]transition{
	StateAbsent: {entryListed: {StatePresent, announceNewIncarnation}, newIncarnationListed: {StatePresent, announceNewIncarnation}, drainListed: {StateDraining, announceDraining}, entryRemoved: {StateAbsent, noEffect},
		massRemoved: {StateAbsent, noEffect}, connectFailed: {StateAbsent, noEffect}, responseReceived: {StateAbsent, noEffect}, timerExpired: {StateAbsent, noEffect}},
	StatePresent: {entryListed: {StatePresent, noEffect}, newIncarnationListed: {StatePresent, announceNewIncarnation}, drainListed: {StateDraining, announceDraining}, entryRemoved: {StateMissing, announceDraining},
		massRemoved: {StateRetained, noEffect}, connectFailed: {StateSuspected, announceDraining}, responseReceived: {StatePresent, noEffect}, timerExpired: {StatePresent, noEffect}},
	StateSuspected: {entryListed: {StateSuspected, noEffect}, newIncarnationListed: {StatePresent, announceNewIncarnation}, drainListed: {StateDraining, noEffect}, entryRemoved: {StateMissing, noEffect},
		massRemoved: {StateMissing, noEffect}, connectFailed: {StateSuspected, noEffect}, responseReceived: {StatePresent, announceReinstated}, timerExpired: {StatePresent, announceReinstated}},
	StateDraining: {entryListed: {StatePresent, announceReinstated}, newIncarnationListed: {StatePresent, announceNewIncarnation}, drainListed: {StateDraining, noEffect}, entryRemoved: {StateAbsent, announceGone},
		massRemoved: {StateAbsent, announceGone}, connectFailed: {StateDraining, noEffect}, responseReceived: {StateDraining, noEffect}, timerExpired: {StateDraining, noEffect}},
	StateMissing: {entryListed: {StatePresent, announceReinstated}, newIncarnationListed: {StatePresent, announceNewIncarnation}, drainListed: {StateDraining, noEffect}, entryRemoved: {StateMissing, noEffect},
		massRemoved: {StateRetained, announceReinstated}, connectFailed: {StateMissing, noEffect}, responseReceived: {StateMissing, noEffect}, timerExpired: {StateAbsent, announceGone}},
	StateRetained: {entryListed: {StatePresent, noEffect}, newIncarnationListed: {StatePresent, announceNewIncarnation}, drainListed: {StateDraining, announceDraining}, entryRemoved: {StateMissing, announceDraining},
		massRemoved: {StateRetained, noEffect}, connectFailed: {StateMissing, announceDraining}, responseReceived: {StateRetained, noEffect}, timerExpired: {StateRetained, noEffect}},
}

type server struct {
	state               State
	listed              RegistryEntry
	announced           incarnation.Entry
	stateSince          time.Duration // of the state
	lastResponseAt      time.Duration
	lastFailureAt       time.Duration // last
	consecutiveFailures int
	suspicionCount      int
}

// Set is what one node knows of the servers.
type Set struct {
	servers              map[string]*server
	revision             uint64
	changed              []incarnation.Entry
	massRemovalSuspected bool
	now                  time.Duration
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
			r.step(s, drainListed)
		case s.state != StateAbsent && r.isNewIncarnation(s, before, l):
			r.step(s, newIncarnationListed)
		default:
			r.step(s, entryListed)
		}
		if s.announced.Address != l.Address && s.state == StatePresent { // the same life elsewhere is none
			r.announce(s, announceNewIncarnation)
		}
	}
	for _, id := range r.sortedIDs() {
		if s := r.servers[id]; !named[id] && s.state != StateRetained {
			r.step(s, entryRemoved)
		}
	}
	r.detectMassRemoval(named)
	return r.end()
}

// another life: the process says so, or it was made anew by another session and was not seen to be alive all along.
func (r *Set) isNewIncarnation(s *server, before, l RegistryEntry) bool {
	if l.StartedUnixMS != 0 && before.StartedUnixMS != 0 {
		return l.StartedUnixMS != before.StartedUnixMS
	}
	if l.OwnerSession == before.OwnerSession && l.CreatedZxid == before.CreatedZxid {
		return false
	}
	if s.state != StateMissing && s.state != StateRetained { // an end that was not seen: sessions changed between two looks
		return r.now-s.lastResponseAt > maxAliveAge || s.lastFailureAt > s.lastResponseAt
	}
	return r.now-s.stateSince > flapWindow || s.stateSince-s.lastResponseAt > maxAliveAge || s.lastFailureAt >= s.stateSince
}

// doubtRegistry holds the last list when most of it has vanished together; and gives up those that stay away once most of
// the others are listed again.
func (r *Set) detectMassRemoval(named map[string]bool) {
	missing, used := 0, 0
	for _, s := range r.servers {
		switch s.state {
		case StateMissing:
			if r.now-s.stateSince <= massRemovalWindow {
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
	most := missing >= minMassRemoval && float64(missing) > massRemovalShare*float64(used)
	for _, id := range r.sortedIDs() {
		s := r.servers[id]
		switch {
		case most && s.state == StateMissing && r.now-s.stateSince <= massRemovalWindow && s.lastFailureAt < s.stateSince:
			r.step(s, massRemoved)
		case !most && s.state == StateRetained && !named[id]:
			r.step(s, entryRemoved)
		}
	}
	r.massRemovalSuspected = most
}

// IsMassRemovalSuspected tells that most servers have vanished from the registry together, and that the last list holds.
func (r *Set) IsMassRemovalSuspected() bool { return r.massRemovalSuspected }

// ConnectFailed tells that an operation found no connection to a server.
func (r *Set) ConnectFailed(now time.Duration, id string) []incarnation.Entry {
	r.begin(now)
	if s := r.servers[id]; s != nil {
		if now-s.lastFailureAt > connectFailureWindow || s.lastResponseAt > s.lastFailureAt {
			s.consecutiveFailures = 0
		}
		s.lastFailureAt = now
		if s.consecutiveFailures++; s.consecutiveFailures >= minConnectFailures {
			r.step(s, connectFailed)
			s.consecutiveFailures = 0
		}
	}
	return r.end()
}

// ResponseReceived tells that a server has answered.
func (r *Set) ResponseReceived(now time.Duration, id string) []incarnation.Entry {
	r.begin(now)
	if s := r.servers[id]; s != nil {
		s.lastResponseAt, s.consecutiveFailures = now, 0
		if s.state == StatePresent {
			s.suspicionCount = 0
		}
		r.step(s, responseReceived)
	}
	return r.end()
}

// Tick looks at what time changes.
func (r *Set) Tick(now time.Duration) []incarnation.Entry {
	r.begin(now)
	for _, id := range r.sortedIDs() {
		s := r.servers[id]
		limit := flapWindow
		if s.state == StateSuspected {
			limit = min(initialSuspicion<<min(s.suspicionCount-1, 10), maxSuspicion)
		}
		if (s.state == StateMissing || s.state == StateSuspected) && now-s.stateSince >= limit {
			r.step(s, timerExpired)
		}
		if s.state == StateAbsent {
			delete(r.servers, id)
		}
	}
	return r.end()
}

func (r *Set) begin(now time.Duration) { r.now, r.changed = now, nil }

func (r *Set) end() []incarnation.Entry { return r.changed }

func (r *Set) step(s *server, in input) {
	m := transitions[s.state][in]
	if m.next != s.state {
		s.state, s.stateSince = m.next, r.now
		if m.next == StateSuspected {
			s.suspicionCount++
		}
	}
	r.announce(s, m.effect)
}

func (r *Set) announce(s *server, do effect) {
	if do == noEffect {
		return
	}
	l, e := &s.listed, &s.announced
	r.revision++
	up, turn := e.StartedUnixMS, e.Generation
	switch do {
	case announceNewIncarnation:
		up, turn = max(cmp.Or(l.StartedUnixMS, l.CreatedUnixMS), e.StartedUnixMS), 0
		if e.ID != "" && up == e.StartedUnixMS { // two lives within a millisecond, or by clocks that differ
			up++
		}
	case announceReinstated:
		if e.Condition != incarnation.Up {
			turn++
		}
	}
	*e = incarnation.Entry{ID: l.ID, StartedUnixMS: up, Generation: turn, Revision: r.revision, Address: l.Address, Zone: l.Zone, MachineKind: l.MachineKind, Cell: l.Cell, Weight: l.Weight}
	switch do {
	case announceDraining:
		e.Condition = incarnation.Draining
	case announceGone:
		e.Condition = incarnation.Gone
	}
	r.changed = append(r.changed, *e)
}

func (r *Set) sortedIDs() []string { return slices.Sorted(maps.Keys(r.servers)) }

// State of a server, for those who look.
func (r *Set) State(id string) State {
	if s := r.servers[id]; s != nil {
		return s.state
	}
	return StateAbsent
}
