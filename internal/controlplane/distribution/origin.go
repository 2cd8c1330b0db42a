package distribution

import (
	"slices"
	"time"
)

// writerOrigin is the state of the origin under which a store writes.
type writerOrigin struct {
	origin           Origin
	sequence         uint64 // of the last write
	restoredSequence uint64 // sequence restored from disk at the start
	isStale          bool   // another store covers writes of this origin that this store lacks
}

// Origin returns the origin under which this store writes.
func (s *Store) Origin() Origin { return s.writer.origin }

// ObserveVector marks this store's origin as stale if the vector of another store covers more writes of it.
func (s *Store) ObserveVector(v Vector) { s.observeSequence(s.writer.origin, v[s.writer.origin]) }

func (s *Store) observeSequence(origin Origin, sequence uint64) {
	if origin == s.writer.origin && s.writer.origin != "" && sequence > s.writer.sequence {
		s.writer.isStale = true
	}
}

// IsStale reports whether other stores have or may have writes of this store's origin that this store lacks, as if two runs
// used the same origin. Other stores would then treat further writes as already received, because their sequence numbers are
// covered. A control process draws a random origin at each start, so this does not occur in practice. Writes are rejected
// until RenewOrigin.
func (s *Store) IsStale() bool { return s.writer.isStale }

// RenewOrigin assigns a new origin to the store, and rewrites under it the entries that were written under the old one since
// the restore. The caller saves and publishes the returned entries like those of a Write.
func (s *Store) RenewOrigin(wall time.Time, origin Origin) []Entry {
	old := s.writer
	s.writer = writerOrigin{origin: origin}
	if old.restoredSequence > 0 {
		s.vector[old.origin] = old.restoredSequence
	} else {
		delete(s.vector, old.origin)
	}
	var rewritten []Entry
	for name, svc := range s.services {
		for id, it := range svc.items {
			if s.origins.names[it.origin] == old.origin && it.sequence > old.restoredSequence {
				rewritten = append(rewritten, s.entry(name, id, it))
			}
		}
	}
	slices.SortFunc(rewritten, Compare)
	for i := range rewritten {
		rewritten[i] = s.writeOne(wall, rewritten[i])
	}
	if s.writer.sequence > 0 {
		s.vector[origin] = s.writer.sequence
	}
	return rewritten
}
