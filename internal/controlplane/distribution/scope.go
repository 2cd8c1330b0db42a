package distribution

import (
	"maps"
	"slices"
)

// SetScope sets the services that the store replicates; by default it replicates all. Entries of other services are removed
// and returned. A service that is added to a scope stays unsynced until its full sync has ended. After a restart the caller
// calls Restore, then SetScope with the new scope, then MarkUnsynced with the services that the vector on disk does not apply to.
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

// IsInScope reports whether the store replicates a service.
func (s *Store) IsInScope(service string) bool { return s.scope == nil || s.scope[service] }

// UnsyncedServices returns the sorted names of the services that the vector does not apply to yet.
func (s *Store) UnsyncedServices() []string { return slices.Sorted(maps.Keys(s.unsynced)) }

// MarkUnsynced marks services in scope that the vector does not apply to, as after a restart before their full sync has ended.
// Only nodes use it: a control process with a damaged disk renames its whole file and starts empty.
func (s *Store) MarkUnsynced(services []string) {
	for _, name := range services {
		if s.scope[name] && s.unsynced[name] == nil {
			s.unsynced[name] = Vector{}
		}
	}
}

// serviceReceived records that the full sync of a service has ended, up to a vector. The service stays unsynced until its own
// vector covers the store's vector, because a server that has lost its disk may cover less.
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
