package distribution

import (
	"slices"
	"time"
)

// ownOrigin is the origin under which a store writes.
type ownOrigin struct {
	origin   Origin
	sequence uint64 // of the last write
	restored uint64 // sequence as it was on disk at the start
	isStale  bool   // others hold more of this origin than this store
}

// Origin returns the origin under which this store writes.
func (s *Store) Origin() Origin { return s.own.origin }

// ObserveVector looks whether another holder's vector shows this store's origin to be stale.
func (s *Store) ObserveVector(v Vector) { s.observeSequence(s.own.origin, v[s.own.origin]) }

func (s *Store) observeSequence(origin Origin, sequence uint64) {
	if origin == s.own.origin && s.own.origin != "" && sequence > s.own.sequence {
		s.own.isStale = true
	}
}

// IsStale reports whether others hold or may hold more of this store's origin than the store, as if two runs
// had taken the same origin: the numbers of further writes would be taken as known. A control process takes a random origin at
// each start, so that this does not happen in practice. No write is accepted until RenewOrigin.
func (s *Store) IsStale() bool { return s.own.isStale }

// RenewOrigin gives the store another origin, and writes again under it what was written under the old one since the restore.
// The caller saves and announces the returned entries as those of a Write.
func (s *Store) RenewOrigin(wall time.Time, origin Origin) []Entry {
	old := s.own
	s.own = ownOrigin{origin: origin}
	if old.restored > 0 {
		s.vector[old.origin] = old.restored
	} else {
		delete(s.vector, old.origin)
	}
	var rewritten []Entry
	for name, of := range s.services {
		for id, it := range of.items {
			if s.origins.names[it.origin] == old.origin && it.sequence > old.restored {
				rewritten = append(rewritten, s.entry(name, id, it))
			}
		}
	}
	slices.SortFunc(rewritten, Compare)
	for i := range rewritten {
		rewritten[i] = s.writeOne(wall, rewritten[i])
	}
	if s.own.sequence > 0 {
		s.vector[origin] = s.own.sequence
	}
	return rewritten
}
