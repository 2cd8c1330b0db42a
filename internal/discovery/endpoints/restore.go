package endpoints

import (
	"cmp"
	"time"

	"fernvane/internal/discovery/incarnation"
)

// maxListLag is how much later the registry may list a server than another process has reported it.
const maxListLag = 2 * time.Second

// Restore adds servers that are in use although this Set has not read them from the registry: those that an earlier process
// stored, and those that other processes report. Gone servers, and servers that the Set already tracks, are ignored.
//
// The servers may have left the registry while this Set did not follow it. Those that the first list lacks are therefore treated as
// removed at that time, and servers that are added later as removed if they are not listed within maxListLag. The protection
// against mass removals applies, even if there are fewer than minMassRemoval servers: an empty list removes no restored server.
func (s *Set) Restore(now time.Duration, known []incarnation.Entry) {
	s.begin(now)
	for _, entry := range known {
		s.revision = max(s.revision, entry.Revision)
		if entry.Condition != incarnation.Gone && s.isRestorable(entry) {
			s.servers[entry.ID] = s.newRestored(entry)
		}
	}
}

// isRestorable reports whether the Set does not track the server of an entry, or has an older entry that was restored too.
func (s *Set) isRestorable(entry incarnation.Entry) bool {
	if s.State(entry.ID) == StateAbsent {
		return true
	}
	return s.isListed == nil && incarnation.Compare(s.servers[entry.ID].announced, entry) < 0
}

// isOverdue reports whether a server is in use that the registry should have listed by now.
func (s *Set) isOverdue(srv *server, id string) bool {
	return s.isListed != nil && !s.isListed[id] && s.now >= srv.listedBy && (srv.state == StatePresent || srv.state == StateRetained)
}

func (s *Set) newRestored(entry incarnation.Entry) *server {
	state := StatePresent
	if entry.Condition == incarnation.Draining {
		state = StateDraining
	}
	listedBy := s.now
	if s.isListed != nil {
		listedBy += maxListLag
	}
	return &server{
		state:      state,
		listedBy:   listedBy,
		stateSince: s.now,
		isRestored: true,
		announced:  entry,
		listed: RegistryEntry{
			ID:          entry.ID,
			Address:     entry.Address,
			Zone:        entry.Zone,
			MachineKind: entry.MachineKind,
			Cell:        entry.Cell,
			Weight:      entry.Weight,
		},
	}
}

// startOf returns the start of the incarnation that an entry of the registry describes, by the clock of the server or, if the
// server does not report its start, by the clock of the registry.
func startOf(entry *RegistryEntry) int64 { return cmp.Or(entry.StartedUnixMS, entry.CreatedUnixMS) }
