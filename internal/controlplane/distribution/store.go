package distribution

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Store holds the winning entry of each key.
type Store struct {
	origin   Origin
	limits   Limits
	services map[string]*service
	origins  []Origin          // by number
	numbers  map[Origin]uint32 // and back
	vector   Vector
	pruned   Vector         // by origin the greatest sequence of a deletion that was forgotten
	deleted  map[Key]uint64 // deletions held, and their clocks
	sequence uint64         // of this origin's last write
	loaded   uint64         // the same when the disk was read
	clock    uint64         // newest seen
	digest   uint64         // of all services
	entries  int
	bytes    int
	scope    map[string]bool   // nil: all services
	missing  map[string]Vector // services of the scope for which the vector does not hold yet, and what does
	stale    bool              // others hold more of this origin than this disk
}

type itemID struct {
	name string
	kind Kind
}

type item struct {
	value    []byte
	clock    uint64
	sequence uint64
	origin   uint32
	deleted  bool
}

type service struct {
	items  map[itemID]item
	digest uint64
}

// NewStore holds nothing. A node, which never writes, has no origin.
func NewStore(origin Origin, limits Limits) *Store {
	return &Store{origin: origin, limits: limits.withDefaults(), services: map[string]*service{}, numbers: map[Origin]uint32{},
		vector: Vector{}, pruned: Vector{}, deleted: map[Key]uint64{}, missing: map[string]Vector{}}
}

// Restore takes in what a disk held, before anything else. A control process draws its origin at each start, for the disk may
// be an old copy, so that others may hold more of what was written from it; an origin stands in nobody's vector before the
// first write under it. Where the store's own origin is found on the disk it is stale, and takes no write until Renew.
func (s *Store) Restore(entries []Entry, vector, pruned Vector) {
	for _, e := range entries {
		if e.Validate() == nil {
			s.put(e)
		}
		if e.Origin == s.origin {
			s.sequence = max(s.sequence, e.Sequence)
		}
	}
	s.vector.Join(vector)
	s.pruned.Join(pruned)
	s.sequence = max(s.sequence, s.vector[s.origin])
	s.loaded = s.sequence
	if s.sequence > 0 {
		s.vector[s.origin] = s.sequence
		s.stale = true
	}
}

// Origin is the name under which this store writes.
func (s *Store) Origin() Origin { return s.origin }

// Write makes changes as this origin's, all or none. The entries are to be on disk before anybody is told of them.
func (s *Store) Write(wall time.Time, changes []Change) ([]Entry, error) {
	if err := s.mayWrite(wall, changes); err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(changes))
	for _, c := range changes {
		s.clock = max(ClockAt(wall), s.clock+1)
		s.sequence++
		e := Entry{Key: c.Key, Clock: s.clock, Origin: s.origin, Sequence: s.sequence, Deleted: c.Deleted, Value: slices.Clone(c.Value)}
		s.put(e)
		entries = append(entries, e)
	}
	s.vector[s.origin] = s.sequence
	return entries, nil
}

func (s *Store) mayWrite(wall time.Time, changes []Change) error {
	if s.origin == "" {
		return fmt.Errorf("%w: a holder without one does not write", ErrInvalidOrigin)
	}
	if s.stale {
		return ErrStaleOrigin
	}
	if len(changes) == 0 || len(changes) > MaxChanges {
		return fmt.Errorf("%w: %d of at most %d", ErrChangeCount, len(changes), MaxChanges)
	}
	if ahead := ClockTime(s.clock).Sub(wall); s.clock > 0 && ahead > s.limits.MaxClockAhead {
		return &ClockError{ahead}
	}
	entries, size := 0, 0
	fresh := map[string]bool{}
	for _, c := range changes {
		if err := c.Validate(); err != nil {
			return err
		}
		n, b := s.growth(c.Key, len(c.Value))
		entries, size = entries+n, size+b
		if s.services[c.Key.Service] == nil {
			fresh[c.Key.Service] = true
		}
	}
	return s.room(entries, size, len(fresh))
}

// growth is by how many entries and bytes the store grows when a key takes a value of so many bytes.
func (s *Store) growth(k Key, value int) (entries, size int) {
	if held, ok := s.item(k); ok {
		return 0, value - len(held.value)
	}
	return 1, entryBytes + len(k.Name) + value
}

func (s *Store) room(entries, size, services int) error {
	if services > 0 && len(s.services)+services > MaxServices {
		return &LimitError{"services", len(s.services) + services, MaxServices}
	}
	if entries > 0 && s.entries+entries > s.limits.MaxEntries {
		return &LimitError{"entries", s.entries + entries, s.limits.MaxEntries}
	}
	if size > 0 && s.bytes+size > s.limits.MaxBytes {
		return &LimitError{"bytes", s.bytes + size, s.limits.MaxBytes}
	}
	return nil
}

func (s *Store) item(k Key) (item, bool) {
	if of := s.services[k.Service]; of != nil {
		it, ok := of.items[itemID{k.Name, k.Kind}]
		return it, ok
	}
	return item{}, false
}

// put sets a key's entry and keeps the sums.
func (s *Store) put(e Entry) {
	of := s.services[e.Key.Service]
	if of == nil {
		of = &service{items: map[itemID]item{}}
		s.services[strings.Clone(e.Key.Service)] = of
	}
	id := itemID{e.Key.Name, e.Key.Kind}
	entries, size := s.growth(e.Key, len(e.Value))
	s.entries, s.bytes = s.entries+entries, s.bytes+size
	if before, ok := of.items[id]; ok {
		s.digestOut(of, e.Key.Service, id, before)
	}
	now := item{value: e.Value, clock: e.Clock, sequence: e.Sequence, origin: s.number(e.Origin), deleted: e.Deleted}
	of.items[id] = now
	if e.Deleted {
		s.deleted[e.Key] = e.Clock
	} else {
		delete(s.deleted, e.Key)
		h := hashEntry(e.Key.Service, id, e.Origin, e.Clock, e.Sequence)
		of.digest += h
		s.digest += h
	}
	s.clock = max(s.clock, e.Clock)
}

// remove forgets a key.
func (s *Store) remove(k Key) {
	of := s.services[k.Service]
	id := itemID{k.Name, k.Kind}
	before, ok := of.items[id]
	if !ok {
		return
	}
	s.digestOut(of, k.Service, id, before)
	s.entries, s.bytes = s.entries-1, s.bytes-entryBytes-len(k.Name)-len(before.value)
	delete(of.items, id)
	delete(s.deleted, k)
	if len(of.items) == 0 {
		delete(s.services, k.Service)
	}
}

func (s *Store) digestOut(of *service, name string, id itemID, it item) {
	if it.deleted {
		return
	}
	h := hashEntry(name, id, s.origins[it.origin], it.clock, it.sequence)
	of.digest -= h
	s.digest -= h
}

// number keeps one copy of each origin's name.
func (s *Store) number(o Origin) uint32 {
	n, ok := s.numbers[o]
	if !ok {
		n = uint32(len(s.origins))
		o = Origin(strings.Clone(string(o)))
		s.origins = append(s.origins, o)
		s.numbers[o] = n
	}
	return n
}

func (s *Store) entry(serviceName string, id itemID, it item) Entry {
	return Entry{Key: Key{Service: serviceName, Kind: id.kind, Name: id.name}, Clock: it.clock, Origin: s.origins[it.origin],
		Sequence: it.sequence, Deleted: it.deleted, Value: it.value}
}

// Entry is the winner of a key, a deletion included. Its value is not to be changed.
func (s *Store) Entry(k Key) (Entry, bool) {
	it, ok := s.item(k)
	if !ok {
		return Entry{}, false
	}
	return s.entry(k.Service, itemID{k.Name, k.Kind}, it), true
}

// LiveEntries is all live entries of a service, by key.
func (s *Store) LiveEntries(name string) []Entry {
	of := s.services[name]
	if of == nil {
		return nil
	}
	entries := make([]Entry, 0, len(of.items))
	for id, it := range of.items {
		if !it.deleted {
			entries = append(entries, s.entry(name, id, it))
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return CompareKeys(a.Key, b.Key) })
	return entries
}

// Services are the names of all services that hold entries, in order.
func (s *Store) Services() []string {
	names := make([]string, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// KeysSince is the keys of those entries that a holder of a vector lacks, deletions included, by service and key. It costs what
// the services hold.
func (s *Store) KeysSince(v Vector, services []string, all bool) []Key {
	if all {
		services = s.Services()
	}
	var keys []Key
	for _, name := range services {
		keys = append(keys, s.sinceOf(v, name)...)
	}
	return keys
}

func (s *Store) sinceOf(v Vector, name string) (keys []Key) {
	of := s.services[name]
	if of == nil {
		return nil
	}
	covered := make([]uint64, len(s.origins))
	for i, o := range s.origins {
		covered[i] = v[o]
	}
	for id, it := range of.items {
		if it.sequence > covered[it.origin] {
			keys = append(keys, Key{Service: name, Kind: id.kind, Name: id.name})
		}
	}
	slices.SortFunc(keys, CompareKeys)
	return keys
}

// ServiceDigest of a service's live entries; 0 where there are none.
func (s *Store) ServiceDigest(name string) uint64 {
	if of := s.services[name]; of != nil {
		return of.digest
	}
	return 0
}

// TotalDigest is the sum of all services' digests.
func (s *Store) TotalDigest() uint64 { return s.digest }

// Vector is what this store covers. The caller does not change it.
func (s *Store) Vector() Vector { return s.vector }

// Pruned is by origin the greatest sequence of a deletion that may be forgotten here.
func (s *Store) Pruned() Vector { return s.pruned }

// Clock is the newest clock seen.
func (s *Store) Clock() uint64 { return s.clock }

// Size is the count of entries, deletions included, and their bytes in memory.
func (s *Store) Size() (entries, size int) { return s.entries, s.bytes }
