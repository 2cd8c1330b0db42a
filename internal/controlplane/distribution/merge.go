package distribution

// Merge merges entries of other stores. It returns the entries that won and those that were rejected: because of their size,
// their key (unknown kind, no name, not UTF-8) or their origin, or because the store is full. If the vector covers an entry
// whose key is not stored, the key was deleted and the deletion pruned: the entry is discarded.
func (s *Store) Merge(entries []Entry) (changed []Entry, rejected []Rejection) {
	return s.merge(entries, nil)
}

// merge is Merge, but in repaired services it also accepts covered entries whose keys are not stored. The sender of a repair
// covers all writes that this store covers, so it does not send an entry whose deletion this store has pruned.
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
		stored, ok := s.Entry(e.Key)
		if ok && Compare(stored, e) >= 0 {
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

// covers reports whether the store covers an entry, by the vector that applies to its service.
func (s *Store) covers(e Entry) bool {
	if v, isUnsynced := s.unsynced[e.Key.Service]; isUnsynced {
		return v.Covers(e)
	}
	return s.vector.Covers(e)
}

// ReplaceServices ends the full sync of services: it removes and returns their entries that were not received and that the
// sender covers.
func (s *Store) ReplaceServices(services []string, received map[Key]bool, through Vector) (removed []Entry) {
	for _, name := range services {
		svc := s.services[name]
		if svc == nil {
			continue
		}
		for id, it := range svc.items {
			e := s.entry(name, id, it)
			if !received[e.Key] && through.Covers(e) {
				removed = append(removed, e)
			}
		}
	}
	s.removeAll(removed)
	return removed
}

// AdvanceVector joins the vector of a complete batch or of digests into the store's vector.
func (s *Store) AdvanceVector(v Vector) {
	s.ObserveVector(v)
	s.vector.Join(v)
}

// IsBehind reports whether the vector of another store covers a write that this store does not cover.
func (s *Store) IsBehind(v Vector) bool { return !s.vector.CoversAll(v) }
