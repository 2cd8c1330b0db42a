package distribution

import (
	"maps"
	"slices"
)

// SetScope says which services this store is for; without a call it is for all. What it holds of others is removed and
// returned. A service that is new stays unsynced until its full sync has ended. After a restart the caller calls Restore,
// then SetScope with the new scope, then MarkUnsynced with the services that the vector on disk does not cover.
func (s *Store) SetScope(services []string) (removed []Entry) {
	scope := make(map[string]bool, len(services))
	for _, name := range services {
		scope[name] = true
		if s.scope != nil && !s.scope[name] {
			s.unsynced[name] = Vector{}
		}
	}
	s.scope = scope
	maps.DeleteFunc(s.unsynced, func(name string, _ Vector) bool { return !scope[name] })
	for _, name := range s.Services() {
		if scope[name] {
			continue
		}
		for id, it := range s.services[name].items {
			removed = append(removed, s.entry(name, id, it))
		}
	}
	s.removeAll(removed)
	return removed
}

// IsInScope reports whether a service is one of this store's.
func (s *Store) IsInScope(service string) bool { return s.scope == nil || s.scope[service] }

// UnsyncedServices returns the services that the vector does not cover yet, in order.
func (s *Store) UnsyncedServices() []string { return slices.Sorted(maps.Keys(s.unsynced)) }

// MarkUnsynced says that the vector does not cover some services of the scope, as after a restart before they were received.
// It is for nodes: a control process whose disk was damaged has its whole file renamed and starts empty.
func (s *Store) MarkUnsynced(services []string) {
	for _, name := range services {
		if s.scope[name] && s.unsynced[name] == nil {
			s.unsynced[name] = Vector{}
		}
	}
}

// serviceReceived says that the full sync of a service has ended, up to a vector. The service stays unsynced until that covers the
// store's vector: a server that has lost its disk may have less.
func (s *Store) serviceReceived(name string, through Vector) {
	v, isUnsynced := s.unsynced[name]
	if !isUnsynced {
		return
	}
	v.Join(through)
	if v.CoversAll(s.vector) {
		delete(s.unsynced, name)
	}
}
