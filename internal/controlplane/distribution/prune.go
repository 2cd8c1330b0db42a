package distribution

import "slices"

// PruneDeletions forgets deletions with clocks below olderThan, and returns their keys. Those that the vector does not cover
// are kept: no subscriber could be found to be behind them.
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

// AdvancePruned takes in which deletions a sender may have forgotten.
func (s *Store) AdvancePruned(v Vector) { s.pruned.Join(v) }
