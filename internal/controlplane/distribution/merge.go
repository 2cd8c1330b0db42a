package distribution

// Merge takes in entries of other holders. It returns those that won and those that were rejected: for their size, their key
// (unknown kind, no name, not UTF-8), their origin, or because the store is full. An entry that the vector covers
// and whose key is not held was deleted and pruned: it does not come back.
func (s *Store) Merge(entries []Entry) (changed []Entry, rejected []Rejection) {
	return s.merge(entries, nil)
}

// merge also accepts covered entries that are not held, in services that are being repaired from a sender that covers all that
// this store covers.
func (s *Store) merge(entries []Entry, repaired map[string]bool) (changed []Entry, rejected []Rejection) {
	for _, e := range entries {
		if !s.IsInScope(e.Key.Service) {
			continue
		}
		if err := e.Validate(); err != nil {
			rejected = append(rejected, Rejection{Key: e.Key, Reason: err.Error()})
			continue
		}
		s.observeSequence(e.Origin, e.Sequence)
		s.newestClock = max(s.newestClock, e.Clock)
		held, ok := s.Entry(e.Key)
		if ok && Compare(held, e) >= 0 {
			continue
		}
		if !ok && s.covers(e) && !repaired[e.Key.Service] {
			continue
		}
		if err := s.checkEntryCapacity(e); err != nil {
			rejected = append(rejected, Rejection{Key: e.Key, Reason: err.Error(), IsStoreFull: true})
			continue
		}
		s.put(e)
		changed = append(changed, e)
	}
	return changed, rejected
}

func (s *Store) checkEntryCapacity(e Entry) error {
	entries, bytes := s.growth(e.Key, len(e.Value))
	newServices := 0
	if s.services[e.Key.Service] == nil {
		newServices = 1
	}
	return s.checkCapacity(entries, bytes, newServices)
}

// covers reports whether an entry is covered, by what holds for its service.
func (s *Store) covers(e Entry) bool {
	if v, isUnsynced := s.unsynced[e.Key.Service]; isUnsynced {
		return v.Covers(e)
	}
	return s.vector.Covers(e)
}

// ReplaceServices ends the full sync of services: what is held of them, was not received and is covered by the sender is
// removed and returned.
func (s *Store) ReplaceServices(services []string, received map[Key]bool, through Vector) (removed []Entry) {
	for _, name := range services {
		of := s.services[name]
		if of == nil {
			continue
		}
		for id, it := range of.items {
			e := s.entry(name, id, it)
			if !received[e.Key] && through.Covers(e) {
				removed = append(removed, e)
			}
		}
	}
	s.removeAll(removed)
	return removed
}

// AdvanceVector raises the vector by what a sender has completed.
func (s *Store) AdvanceVector(v Vector) {
	s.ObserveVector(v)
	s.vector.Join(v)
}

// IsBehind reports whether another holder covers something that this store does not.
func (s *Store) IsBehind(v Vector) bool { return !s.vector.CoversAll(v) }
