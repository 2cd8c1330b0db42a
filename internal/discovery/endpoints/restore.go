package endpoints

import (
	"cmp"
	"time"

	"fernvane/internal/discovery/incarnation"
)

// Restore adds servers that an earlier process stored, before the first list. Gone servers are ignored.
//
// The servers may have left the registry while this Set did not follow it. Those that the first list lacks are therefore treated
// as removed at that time. The protection against mass removals applies, even if there are fewer than minMassRemoval servers: an
// empty list removes no restored server.
func (s *Set) Restore(now time.Duration, known []incarnation.Entry) {
	s.begin(now)
	for _, entry := range known {
		s.revision = max(s.revision, entry.Revision)
		if entry.Condition != incarnation.Gone && s.State(entry.ID) == StateAbsent {
			s.servers[entry.ID] = s.newRestored(entry)
		}
	}
}

func (s *Set) newRestored(entry incarnation.Entry) *server {
	state := StatePresent
	if entry.Condition == incarnation.Draining {
		state = StateDraining
	}
	return &server{
		state:      state,
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
