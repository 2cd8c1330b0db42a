package distribution

import (
	"maps"
	"slices"
	"time"
)

// Merge takes in entries of other holders and returns those that won, and why others were refused, which is only where they
// break a bound. An entry that the vector covers and whose key is not held was deleted and forgotten: it does not come back.
func (s *Store) Merge(entries []Entry) (changed []Entry, refused []Rejection) {
	return s.merge(entries, nil)
}

// merge takes forgotten entries too for services that are mended from a sender who covers all that this store covers.
func (s *Store) merge(entries []Entry, mended map[string]bool) (changed []Entry, refused []Rejection) {
	for _, e := range entries {
		if !s.IsInScope(e.Key.Service) {
			continue
		}
		if err := e.Validate(); err != nil {
			refused = append(refused, Rejection{Key: e.Key, Reason: err.Error()})
			continue
		}
		s.observe(e.Origin, e.Sequence)
		s.clock = max(s.clock, e.Clock)
		held, ok := s.Entry(e.Key)
		if ok && Compare(held, e) >= 0 {
			continue
		}
		if !ok && s.covers(e) && !mended[e.Key.Service] {
			continue
		}
		if err := s.roomFor(e); err != nil {
			refused = append(refused, Rejection{Key: e.Key, Reason: err.Error(), IsStoreFull: true})
			continue
		}
		s.put(e)
		changed = append(changed, e)
	}
	return changed, refused
}

func (s *Store) roomFor(e Entry) error {
	entries, size := s.growth(e.Key, len(e.Value))
	services := 0
	if s.services[e.Key.Service] == nil {
		services = 1
	}
	return s.room(entries, size, services)
}

// ReplaceServices ends a service that was sent whole: what is held of it, was not named and is covered by the sender is gone.
func (s *Store) ReplaceServices(services []string, named map[Key]bool, through Vector) (removed []Entry) {
	for _, name := range services {
		of := s.services[name]
		if of == nil {
			continue
		}
		for id, it := range of.items {
			e := s.entry(name, id, it)
			if !named[e.Key] && through.Covers(e) {
				removed = append(removed, e)
			}
		}
	}
	slices.SortFunc(removed, func(a, b Entry) int { return CompareKeys(a.Key, b.Key) })
	for _, e := range removed {
		s.remove(e.Key)
	}
	return removed
}

// AdvanceVector raises the vector by what a sender has said to be whole.
func (s *Store) AdvanceVector(v Vector) {
	s.ObserveVector(v)
	s.vector.Join(v)
}

// AdvancePruned takes in which deletions a sender may have forgotten.
func (s *Store) AdvancePruned(v Vector) { s.pruned.Join(v) }

// IsBehind tells whether another holder covers something that this one does not.
func (s *Store) IsBehind(v Vector) bool { return !s.vector.CoversAll(v) }

// NeedsReset tells whether deletions that a holder of a vector lacks may be forgotten here, so that it is to be sent all.
func (s *Store) NeedsReset(v Vector) bool { return !v.CoversAll(s.pruned) }

// ObserveVector looks whether another's vector shows this disk to be an old one.
func (s *Store) ObserveVector(v Vector) { s.observe(s.origin, v[s.origin]) }

func (s *Store) observe(o Origin, sequence uint64) {
	if o == s.origin && s.origin != "" && sequence > s.sequence {
		s.stale = true
	}
}

// IsStale tells that others hold or may hold more of this origin than this store, as after an old copy of a disk was put back:
// what it would write has numbers that others take for known. No write is taken until Renew.
func (s *Store) IsStale() bool { return s.stale }

// RenewOrigin gives the store another origin, and writes again under it what was written under the old one since the disk was
// read. What it returns is to be put on disk and told as by a Write.
func (s *Store) RenewOrigin(wall time.Time, origin Origin) []Entry {
	before, loaded := s.origin, s.loaded
	s.origin, s.sequence, s.loaded, s.stale = origin, 0, 0, false
	if loaded > 0 {
		s.vector[before] = loaded
	} else {
		delete(s.vector, before)
	}
	var again []Entry
	for name, of := range s.services {
		for id, it := range of.items {
			if s.origins[it.origin] == before && it.sequence > loaded {
				again = append(again, s.entry(name, id, it))
			}
		}
	}
	slices.SortFunc(again, func(a, b Entry) int { return Compare(a, b) })
	for i := range again {
		e := &again[i]
		s.clock = max(ClockAt(wall), s.clock+1)
		s.sequence++
		e.Clock, e.Origin, e.Sequence = s.clock, origin, s.sequence
		s.put(*e)
	}
	if s.sequence > 0 {
		s.vector[origin] = s.sequence
	}
	return again
}

// PruneDeletions forgets deletions with clocks before one, and returns their keys. Those that the vector does not cover are kept:
// nobody could be told to be behind them.
func (s *Store) PruneDeletions(olderThan uint64) []Key {
	var dropped []Key
	for k, clock := range s.deleted {
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

// SetScope says which services this store is for; without a call it is for all. What it holds of others is dropped and
// returned. A service that is new is missing until it was sent whole. After Restore the scope that was on disk is set first.
func (s *Store) SetScope(services []string) (removed []Entry) {
	scope := make(map[string]bool, len(services))
	for _, name := range services {
		scope[name] = true
		if s.scope != nil && !s.scope[name] {
			s.missing[name] = Vector{}
		}
	}
	s.scope = scope
	maps.DeleteFunc(s.missing, func(name string, _ Vector) bool { return !scope[name] })
	for _, name := range s.Services() {
		if scope[name] {
			continue
		}
		for id, it := range s.services[name].items {
			removed = append(removed, s.entry(name, id, it))
		}
	}
	slices.SortFunc(removed, func(a, b Entry) int { return CompareKeys(a.Key, b.Key) })
	for _, e := range removed {
		s.remove(e.Key)
	}
	return removed
}

// IsInScope tells whether a service is one of this store's.
func (s *Store) IsInScope(name string) bool { return s.scope == nil || s.scope[name] }

// UnsyncedServices are the services for which the vector does not hold yet, in order.
func (s *Store) UnsyncedServices() []string { return slices.Sorted(maps.Keys(s.missing)) }

// MarkUnsynced says that the vector does not hold for some services of the scope, as after a restart before they came. A
// control process, part of whose disk was damaged, restores what is left without a vector instead.
func (s *Store) MarkUnsynced(services []string) {
	for _, name := range services {
		if s.scope[name] && s.missing[name] == nil {
			s.missing[name] = Vector{}
		}
	}
}

// covers tells whether an entry is covered for its service.
func (s *Store) covers(e Entry) bool {
	if v, missing := s.missing[e.Key.Service]; missing {
		return v.Covers(e)
	}
	return s.vector.Covers(e)
}

// arrived says that a service was sent whole up to a vector. It is missing until that tells as much as the store's: a server
// that has lost its disk may have less.
func (s *Store) arrived(name string, through Vector) {
	v, missing := s.missing[name]
	if !missing {
		return
	}
	if v.Join(through); v.CoversAll(s.vector) {
		delete(s.missing, name)
	}
}
