package distribution

import "slices"

// PruneDeletions removes deletions with clocks below olderThan, and returns their keys. Deletions that the vector does not
// cover are retained: without coverage the store could not detect subscribers that lack them.
func (s *Store) PruneDeletions(olderThan uint64) []Key {
	var dropped []Key
	for k, clock := range s.deletions {
		e, _ := s.Entry(k)
		if clock >= olderThan || !s.vector.Covers(e) {
			continue
		}
		s.pruned[e.Origin] = max(s.pruned[e.Origin], e.Sequence)
		dropped = append(dropped, k)
	}
	slices.SortFunc(dropped, CompareKeys)
	for _, k := range dropped {
		s.remove(k)
	}
	return dropped
}

// AdvancePruned joins a sender's vector of pruned deletions into the store's.
func (s *Store) AdvancePruned(v Vector) { s.pruned.Join(v) }
