package endpoints

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fernvane/internal/discovery/incarnation"
)

const (
	// flapWindow is for how long an entry that has disappeared may come back as the same incarnation.
	flapWindow = 5 * time.Second
	// maxAliveAge is how long ago a server may have responded at most, when its entry disappeared, to count as alive then.
	// If its entry was made anew between two lists, it counts from the second list.
	maxAliveAge = 1 * time.Second

	// massRemovalWindow is the time within which entries disappear together. The registry is suspected if more than
	// massRemovalShare of the servers do, and at least minMassRemoval: one or two servers are not protected.
	massRemovalWindow = 2 * time.Second
	massRemovalShare  = 0.5
	minMassRemoval    = 3

	// minConnectFailures without a response between them, each within connectFailureWindow of the one before, make a server
	// suspected.
	minConnectFailures   = 3
	connectFailureWindow = 1 * time.Second
	// initialSuspicion is for how long a server is suspected the first time. It doubles, up to maxSuspicion, each time that
	// the server is suspected again without a response as a usable one.
	initialSuspicion = 1 * time.Second
	maxSuspicion     = 8 * time.Second
	// maxDoublings keeps the doubling from an overflow; maxSuspicion is reached before.
	maxDoublings = 10
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
	OwnerSession  int64 // the session that made the entry
	CreatedZxid   int64 // when the entry was made, by the registry's transaction count
	CreatedUnixMS int64 // the same by the registry's clock
	StartedUnixMS int64 // the process's start as it says itself; 0 if it does not
}

// server is what a Set knows of one server.
type server struct {
	state               State
	stateSince          time.Duration
	listed              RegistryEntry
	announced           incarnation.Entry // as it was announced last
	lastResponseAt      time.Duration
	lastFailureAt       time.Duration
	consecutiveFailures int
	suspicionCount      int // since it last responded while usable
}

// MassRemoval says whether the registry is suspected to have lost most entries together.
type MassRemoval struct {
	IsSuspected bool
	Removed     int // servers that are retained, or missing for at most massRemovalWindow
	Total       int // servers that are usable, or missing, which lasts for flapWindow
}

// Set follows the servers of one registry. Each method takes the time, applies an input and returns the entries that are
// to be announced because of it.
type Set struct {
	servers     map[string]*server
	revision    uint64 // of the last announcement
	massRemoval MassRemoval

	// Of the method that is running.
	now     time.Duration
	changed []incarnation.Entry
}

// NewSet returns a Set that knows no server.
func NewSet() *Set { return &Set{servers: map[string]*server{}} }

// ApplyList takes over all entries that the registry lists now.
func (s *Set) ApplyList(now time.Duration, all []RegistryEntry) []incarnation.Entry {
	s.begin(now)
	isListed := make(map[string]bool, len(all))
	for _, entry := range all {
		isListed[entry.ID] = true
		s.applyEntry(entry)
	}
	for _, id := range s.sortedIDs() {
		if one := s.servers[id]; !isListed[id] && one.state != StateRetained {
			s.step(one, entryRemoved)
		}
	}
	s.detectMassRemoval(isListed)
	return s.changed
}

func (s *Set) applyEntry(entry RegistryEntry) {
	one := s.servers[entry.ID]
	if one == nil {
		one = &server{}
		s.servers[entry.ID] = one
	}
	before := one.listed
	one.listed = entry
	switch {
	case entry.IsDraining:
		s.step(one, drainListed)
	case one.state != StateAbsent && s.isNewIncarnation(one, before, entry):
		s.step(one, newIncarnationListed)
	default:
		s.step(one, entryListed)
	}
	if one.announced.Address != entry.Address && one.state == StatePresent { // an incarnation does not move
		s.announce(one, announceNewIncarnation)
	}
}

// isNewIncarnation reports whether a listed entry is of another incarnation of the server than the entry before:
//
//   - If both name the process's start, that decides.
//   - The same entry, made by the same session and transaction, is of the same incarnation.
//   - An entry that was made anew is of the same incarnation if the server was alive all along. One that was out of the list
//     must have come back within flapWindow, have responded at most maxAliveAge before it disappeared, and have had no
//     failure since. One that was in every list must have responded within maxAliveAge from now, with no failure since.
func (s *Set) isNewIncarnation(one *server, before, listed RegistryEntry) bool {
	if listed.StartedUnixMS != 0 && before.StartedUnixMS != 0 {
		return listed.StartedUnixMS != before.StartedUnixMS
	}
	if listed.OwnerSession == before.OwnerSession && listed.CreatedZxid == before.CreatedZxid {
		return false
	}
	if one.state != StateMissing && one.state != StateRetained { // the entry was made anew between two lists
		return s.now-one.lastResponseAt > maxAliveAge || one.lastFailureAt > one.lastResponseAt
	}
	return s.now-one.stateSince > flapWindow ||
		one.stateSince-one.lastResponseAt > maxAliveAge ||
		one.lastFailureAt >= one.stateSince
}

// detectMassRemoval retains the servers that have disappeared together with most others, but for those with a failure since.
// It removes the retained ones that are not listed once the registry is not suspected any more. That is so when most servers
// are listed again, and also when too few are still retained, because attempts could not connect to the others.
func (s *Set) detectMassRemoval(isListed map[string]bool) {
	removed, total := 0, 0
	for _, one := range s.servers {
		switch one.state {
		case StateMissing:
			if s.now-one.stateSince <= massRemovalWindow {
				removed++
			}
			total++
		case StateRetained:
			removed++
			total++
		case StatePresent:
			total++
		}
	}
	isSuspected := removed >= minMassRemoval && float64(removed) > massRemovalShare*float64(total)
	s.massRemoval = MassRemoval{isSuspected, removed, total}
	for _, id := range s.sortedIDs() {
		one := s.servers[id]
		switch {
		case isSuspected && one.state == StateMissing &&
			s.now-one.stateSince <= massRemovalWindow && one.lastFailureAt < one.stateSince:
			s.step(one, massRemoved)
		case !isSuspected && one.state == StateRetained && !isListed[id]:
			s.step(one, entryRemoved)
		}
	}
}

// MassRemoval returns what the last list says of a mass removal. While one is suspected, the servers that have disappeared
// are retained.
func (s *Set) MassRemoval() MassRemoval { return s.massRemoval }

// ConnectFailed takes over that an attempt could not connect to a server.
func (s *Set) ConnectFailed(now time.Duration, id string) []incarnation.Entry {
	s.begin(now)
	one := s.servers[id]
	if one == nil {
		return nil
	}
	if now-one.lastFailureAt > connectFailureWindow || one.lastResponseAt > one.lastFailureAt {
		one.consecutiveFailures = 0
	}
	one.lastFailureAt = now
	one.consecutiveFailures++
	if one.consecutiveFailures >= minConnectFailures {
		s.step(one, connectFailed)
		one.consecutiveFailures = 0
	}
	return s.changed
}

// ResponseReceived takes over that a server has responded to an attempt.
func (s *Set) ResponseReceived(now time.Duration, id string) []incarnation.Entry {
	s.begin(now)
	one := s.servers[id]
	if one == nil {
		return nil
	}
	one.lastResponseAt, one.consecutiveFailures = now, 0
	if one.state == StatePresent {
		one.suspicionCount = 0
	}
	s.step(one, responseReceived)
	return s.changed
}

// Tick applies what the time alone changes. It is called every few tens of milliseconds.
func (s *Set) Tick(now time.Duration) []incarnation.Entry {
	s.begin(now)
	for _, id := range s.sortedIDs() {
		one := s.servers[id]
		if timeout, ok := one.timeout(); ok && now-one.stateSince >= timeout {
			s.step(one, timerExpired)
		}
		if one.state == StateAbsent {
			delete(s.servers, id)
		}
	}
	return s.changed
}

// timeout is how long a server stays in its state, if that is limited.
func (one *server) timeout() (timeout time.Duration, ok bool) {
	switch one.state {
	case StateMissing:
		return flapWindow, true
	case StateSuspected:
		return min(initialSuspicion<<min(one.suspicionCount-1, maxDoublings), maxSuspicion), true
	}
	return 0, false
}

func (s *Set) begin(now time.Duration) { s.now, s.changed = now, nil }

func (s *Set) step(one *server, in input) {
	t := transitions[one.state][in]
	if t.next != one.state {
		one.state, one.stateSince = t.next, s.now
		if t.next == StateSuspected {
			one.suspicionCount++
		}
	}
	s.announce(one, t.effect)
}

// announce adds a server's entry, as an effect changes it, to what the running method returns.
func (s *Set) announce(one *server, e effect) {
	if e == noEffect {
		return
	}
	s.revision++
	listed, last := &one.listed, &one.announced
	next := incarnation.Entry{
		ID:            listed.ID,
		StartedUnixMS: last.StartedUnixMS,
		Generation:    last.Generation,
		Revision:      s.revision,
		Address:       listed.Address,
		Zone:          listed.Zone,
		MachineKind:   listed.MachineKind,
		Cell:          listed.Cell,
		Weight:        listed.Weight,
	}
	switch e {
	case announceNewIncarnation:
		next.StartedUnixMS, next.Generation = max(cmp.Or(listed.StartedUnixMS, listed.CreatedUnixMS), last.StartedUnixMS), 0
		if last.ID != "" && next.StartedUnixMS == last.StartedUnixMS { // two starts within a millisecond, or by clocks that differ
			next.StartedUnixMS++
		}
	case announceReinstated:
		if last.Condition != incarnation.Up {
			next.Generation++
		}
	case announceDraining:
		next.Condition = incarnation.Draining
	case announceGone:
		next.Condition = incarnation.Gone
	}
	one.announced = next
	s.changed = append(s.changed, next)
}

func (s *Set) sortedIDs() []string { return slices.Sorted(maps.Keys(s.servers)) }

// State returns the state of a server.
func (s *Set) State(id string) State {
	if one := s.servers[id]; one != nil {
		return one.state
	}
	return StateAbsent
}
