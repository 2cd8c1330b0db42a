package endpoints

import (
	"maps"
	"slices"
	"time"

	"fernvane/internal/discovery/incarnation"
)

const (
	// flapWindow is the time within which a removed entry may be added again as the same incarnation.
	flapWindow = 5 * time.Second
	// maxAliveAge is the maximum age of a server's last response, at the removal of its entry, for the server to be considered
	// alive at that time. If its entry was recreated between two lists, the age is measured at the second list.
	maxAliveAge = 1 * time.Second

	// massRemovalWindow is the time within which removals are counted together. The registry is suspected if more than
	// massRemovalShare of the servers are removed, and at least minMassRemoval: one or two servers are not protected.
	massRemovalWindow = 2 * time.Second
	massRemovalShare  = 0.5
	minMassRemoval    = 3

	// minConnectFailures is the number of connection failures after which a server is suspected. Each must follow the previous
	// one within connectFailureWindow, without a response in between.
	minConnectFailures   = 3
	connectFailureWindow = 1 * time.Second
	// initialSuspicion is the duration of the first suspicion of a server. It doubles, up to maxSuspicion, with each further
	// suspicion, and is reset when the server responds while it is usable.
	initialSuspicion = 1 * time.Second
	maxSuspicion     = 8 * time.Second
	// maxDoublings prevents an overflow of the doubling; maxSuspicion is reached earlier.
	maxDoublings = 10
)

// RegistryEntry describes a server as listed by the registry.
type RegistryEntry struct {
	ID            string
	Address       string
	Zone          string
	MachineKind   string
	Cell          int
	Weight        float64
	IsDraining    bool
	OwnerSession  int64 // session that created the entry
	CreatedZxid   int64 // transaction ID of the entry's creation
	CreatedUnixMS int64 // time of the entry's creation by the registry's clock
	StartedUnixMS int64 // start time that the server process reports; 0 if it reports none
}

// server is the state of one server in a Set.
type server struct {
	state               State
	stateSince          time.Duration
	isRestored          bool          // added by Restore and not listed since
	listedBy            time.Duration // if isRestored: when the registry should list the server
	listed              RegistryEntry
	announced           incarnation.Entry // last announced entry
	lastResponseAt      time.Duration
	lastFailureAt       time.Duration
	consecutiveFailures int
	suspicionCount      int // since the last response while the server was usable
}

// MassRemoval reports whether the registry is suspected of having lost most entries together.
type MassRemoval struct {
	IsSuspected bool
	Removed     int // number of servers that are retained, or missing for at most massRemovalWindow
	Total       int // number of servers that are usable or missing; a server is missing for at most flapWindow
}

// Set tracks the servers of one registry. Each method that applies an input takes the current time and returns the entries
// to announce as a result.
type Set struct {
	servers     map[string]*server
	isListed    map[string]bool // IDs of the last list; nil before the first one
	revision    uint64          // revision of the last announced entry
	massRemoval MassRemoval

	// State of the method call in progress.
	now     time.Duration
	changed []incarnation.Entry
}

// NewSet returns an empty Set.
func NewSet() *Set { return &Set{servers: map[string]*server{}} }

// ApplyList applies the complete list of the registry.
func (s *Set) ApplyList(now time.Duration, all []RegistryEntry) []incarnation.Entry {
	s.begin(now)
	s.isListed = make(map[string]bool, len(all))
	for _, entry := range all {
		s.isListed[entry.ID] = true
		s.applyEntry(entry)
	}
	s.removeUnlisted()
	return s.changed
}

// removeUnlisted removes the servers that the last list lacks. Whether restored servers are removed or retained is decided once
// the mass removal has been evaluated, so that retained ones are not announced as draining first.
func (s *Set) removeUnlisted() {
	for _, id := range s.sortedIDs() {
		srv := s.servers[id]
		isDecidedLater := srv.state == StateRetained || srv.state == StatePresent && srv.isRestored
		if !s.isListed[id] && !isDecidedLater {
			s.step(srv, entryRemoved)
		}
	}
	s.detectMassRemoval()
}

func (s *Set) applyEntry(entry RegistryEntry) {
	srv := s.servers[entry.ID]
	if srv == nil {
		srv = &server{}
		s.servers[entry.ID] = srv
	}
	before, wasRestored, announcedCount := srv.listed, srv.isRestored, len(s.changed)
	isNew := srv.state != StateAbsent && s.isNewIncarnation(srv, before, entry)
	srv.listed, srv.isRestored = entry, false
	switch {
	case entry.IsDraining:
		s.step(srv, drainListed)
	case isNew:
		s.step(srv, newIncarnationListed)
	default:
		s.step(srv, entryListed)
	}
	switch {
	case srv.state != StatePresent:
	case srv.announced.Address != entry.Address: // the address of an incarnation is constant
		s.announce(srv, announceNewIncarnation)
	case wasRestored && len(s.changed) == announcedCount: // the rest of the entry may have changed since it was stored
		s.announce(srv, announceReinstated)
	}
}

// isNewIncarnation reports whether a listed entry belongs to another incarnation of the server than the previous entry:
//
//   - A restored server has another incarnation if it started later than the restored one.
//   - If both entries contain the start time of the process, the start times are compared.
//   - An entry created by the same session and transaction belongs to the same incarnation.
//   - A recreated entry belongs to the same incarnation if the server was alive throughout. If the entry was removed from the
//     list, it must be listed again within flapWindow, and the server must have responded at most maxAliveAge before the
//     removal, without a connection failure since the removal. If the entry is in every list, the server must have responded
//     within the last maxAliveAge, without a connection failure since that response.
func (s *Set) isNewIncarnation(srv *server, before, listed RegistryEntry) bool {
	if srv.isRestored {
		return startOf(&listed) > srv.announced.StartedUnixMS
	}
	if listed.StartedUnixMS != 0 && before.StartedUnixMS != 0 {
		return listed.StartedUnixMS != before.StartedUnixMS
	}
	if listed.OwnerSession == before.OwnerSession && listed.CreatedZxid == before.CreatedZxid {
		return false
	}
	if srv.state != StateMissing && srv.state != StateRetained { // the entry was recreated between two lists
		return s.now-srv.lastResponseAt > maxAliveAge || srv.lastFailureAt > srv.lastResponseAt
	}
	return s.now-srv.stateSince > flapWindow ||
		srv.stateSince-srv.lastResponseAt > maxAliveAge ||
		srv.lastFailureAt >= srv.stateSince
}

// detectMassRemoval retains the servers that were removed together with most others, except servers with a connection
// failure since their removal. Once the registry is no longer suspected, it removes the retained servers that are not listed.
// The suspicion ends when most servers are listed again, or when too few servers are still retained because connections to
// the others failed.
func (s *Set) detectMassRemoval() {
	s.massRemoval = s.countRemoved()
	isSuspected := s.massRemoval.IsSuspected
	for _, id := range s.sortedIDs() {
		srv := s.servers[id]
		switch {
		case isSuspected && srv.state == StateMissing &&
			s.now-srv.stateSince <= massRemovalWindow && srv.lastFailureAt < srv.stateSince:
			s.step(srv, massRemoved)
		case s.isOverdue(srv, id) && isSuspected:
			s.step(srv, massRemoved)
		case s.isOverdue(srv, id):
			s.step(srv, entryRemoved)
		}
	}
}

// countRemoved counts the servers that were removed within massRemovalWindow and are still not listed, and evaluates whether
// they are too many. Restored servers that the list lacks count as removed now, and need no minimum count.
func (s *Set) countRemoved() MassRemoval {
	removed, total, minimum := 0, 0, minMassRemoval
	for id, srv := range s.servers {
		isInUse := srv.state == StateRetained || srv.state == StatePresent
		isMissing := srv.state == StateMissing
		if isInUse || isMissing {
			total++
		}
		switch {
		case isMissing && s.now-srv.stateSince <= massRemovalWindow:
			removed++
		case s.isOverdue(srv, id):
			removed++
			if srv.isRestored {
				minimum = 1
			}
		}
	}
	isSuspected := removed >= minimum && float64(removed) > massRemovalShare*float64(total)
	return MassRemoval{isSuspected, removed, total}
}

// MassRemoval returns whether the last applied list indicates a mass removal. While a mass removal is suspected, the removed
// servers are retained.
func (s *Set) MassRemoval() MassRemoval { return s.massRemoval }

// ConnectFailed records that an attempt could not connect to a server.
func (s *Set) ConnectFailed(now time.Duration, id string) []incarnation.Entry {
	s.begin(now)
	srv := s.servers[id]
	if srv == nil {
		return nil
	}
	if now-srv.lastFailureAt > connectFailureWindow || srv.lastResponseAt > srv.lastFailureAt {
		srv.consecutiveFailures = 0
	}
	srv.lastFailureAt = now
	srv.consecutiveFailures++
	if srv.consecutiveFailures >= minConnectFailures {
		s.step(srv, connectFailed)
		srv.consecutiveFailures = 0
	}
	return s.changed
}

// ResponseReceived records that a server has responded to an attempt.
func (s *Set) ResponseReceived(now time.Duration, id string) []incarnation.Entry {
	s.begin(now)
	srv := s.servers[id]
	if srv == nil {
		return nil
	}
	srv.lastResponseAt, srv.consecutiveFailures = now, 0
	if srv.state == StatePresent {
		srv.suspicionCount = 0
	}
	s.step(srv, responseReceived)
	return s.changed
}

// Tick applies expired timeouts and discards absent servers. It is called every few tens of milliseconds.
func (s *Set) Tick(now time.Duration) []incarnation.Entry {
	s.begin(now)
	hasOverdue := false
	for _, id := range s.sortedIDs() {
		srv := s.servers[id]
		hasOverdue = hasOverdue || srv.state == StatePresent && s.isOverdue(srv, id)
		if timeout, ok := srv.timeout(); ok && now-srv.stateSince >= timeout {
			s.step(srv, timerExpired)
		}
		if srv.state == StateAbsent {
			delete(s.servers, id)
		}
	}
	if hasOverdue {
		s.removeUnlisted()
	}
	return s.changed
}

// timeout returns how long a server stays in its current state; ok is false if the state has no time limit.
func (srv *server) timeout() (timeout time.Duration, ok bool) {
	switch srv.state {
	case StateMissing:
		return flapWindow, true
	case StateSuspected:
		return min(initialSuspicion<<min(srv.suspicionCount-1, maxDoublings), maxSuspicion), true
	}
	return 0, false
}

func (s *Set) begin(now time.Duration) { s.now, s.changed = now, nil }

func (s *Set) step(srv *server, in input) {
	t := transitions[srv.state][in]
	if t.next != srv.state {
		srv.state, srv.stateSince = t.next, s.now
		if t.next == StateSuspected {
			srv.suspicionCount++
		}
	}
	s.announce(srv, t.effect)
}

// announce applies an effect to a server's entry and adds the entry to the result of the method call in progress.
func (s *Set) announce(srv *server, e effect) {
	if e == noEffect {
		return
	}
	s.revision++
	listed, last := &srv.listed, &srv.announced
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
		next.StartedUnixMS, next.Generation = max(startOf(listed), last.StartedUnixMS), 0
		if last.ID != "" && next.StartedUnixMS == last.StartedUnixMS { // two starts within one millisecond, or clocks that differ
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
	srv.announced = next
	s.changed = append(s.changed, next)
}

func (s *Set) sortedIDs() []string { return slices.Sorted(maps.Keys(s.servers)) }

// State returns the state of a server.
func (s *Set) State(id string) State {
	if srv := s.servers[id]; srv != nil {
		return srv.state
	}
	return StateAbsent
}
