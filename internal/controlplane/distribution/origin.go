package distribution

import (
	"slices"
	"time"
)

// ownOrigin is the state of the origin under which a store writes.
type ownOrigin struct {
	origin   Origin
	sequence uint64 // of the last write
	restored uint64 // sequence restored from disk at the start
	isStale  bool   // another store covers writes of this origin that this store lacks
}

// Origin returns the origin under which this store writes.
func (s *Store) Origin() Origin { return s.own.origin }

// ObserveVector marks this store's origin as stale if the vector of another store covers more writes of it.
func (s *Store) ObserveVector(v Vector) { s.observeSequence(s.own.origin, v[s.own.origin]) }

func (s *Store) observeSequence(origin Origin, sequence uint64) {
	if origin == s.own.origin && s.own.origin != "" && sequence > s.own.sequence {
		s.own.isStale = true
	}
}

// IsStale reports whether other stores have or may have writes of this store's origin that this store lacks, as if two runs
// used the same origin. Other stores would then treat further writes as already received, because their sequence numbers are
// covered. A control process draws a random origin at each start, so this does not occur in practice. Writes are rejected
// until RenewOrigin.
func (s *Store) IsStale() bool { return s.own.isStale }

// RenewOrigin assigns a new origin to the store, and rewrites under it the entries that were written under the old one since
// the restore. The caller saves and publishes the returned entries like those of a Write.
func (s *Store) RenewOrigin(wall time.Time, origin Origin) []Entry {
	old := s.own
	s.own = ownOrigin{origin: origin}
	if old.restored > 0 {
		s.vector[old.origin] = old.restored
	} else {
		delete(s.vector, old.origin)
	}
	var rewritten []Entry
	for name, svc := range s.services {
		for id, it := range svc.items {
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
