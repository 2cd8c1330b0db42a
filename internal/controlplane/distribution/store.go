package distribution

import (
	"slices"
	"strings"
)

// Store holds the winning entry of each key, deletions included, and what it covers.
type Store struct {
	limits      Limits
	services    map[string]*service
	origins     originNames
	vector      Vector
	pruned      Vector         // by origin the greatest sequence of a deletion that was forgotten
	deletions   map[Key]uint64 // deletions held, and their clocks
	newestClock uint64         // seen in any entry
	digest      uint64         // of all services
	entries     int
	bytes       int
	own         ownOrigin
	scope       map[string]bool   // services that the store is for; nil: all
	unsynced    map[string]Vector // services of the scope that the vector does not cover yet, and what covers them instead
}

// service is the entries of one service.
type service struct {
	items  map[itemID]item
	digest uint64
}

// itemID identifies an entry within its service.
type itemID struct {
	name string
	kind Kind
}

// item is an entry as the store keeps it.
type item struct {
	value    []byte
	clock    uint64
	sequence uint64
	origin   uint32 // index of originNames
	deleted  bool
}

// originNames keeps one copy of each origin's name.
type originNames struct {
	names   []Origin
	indexes map[Origin]uint32
}

// index returns the index of an origin, which it adds if it is new.
func (o *originNames) index(origin Origin) uint32 {
	index, ok := o.indexes[origin]
	if !ok {
		index = uint32(len(o.names))
		origin = Origin(strings.Clone(string(origin)))
		o.names = append(o.names, origin)
		o.indexes[origin] = index
	}
	return index
}

// NewStore returns an empty store. A node, which never writes, has origin "".
func NewStore(origin Origin, limits Limits) *Store {
	return &Store{
		limits:    limits.withDefaults(),
		services:  map[string]*service{},
		origins:   originNames{indexes: map[Origin]uint32{}},
		vector:    Vector{},
		pruned:    Vector{},
		deletions: map[Key]uint64{},
		own:       ownOrigin{origin: origin},
		unsynced:  map[string]Vector{},
	}
}

// Restore takes in what a disk held, before anything else. If the store's own origin is found there, the origin is stale and no
// write is accepted until RenewOrigin: the disk may be an old copy. Entries that are not valid are dropped without notice.
func (s *Store) Restore(entries []Entry, vector, pruned Vector) {
	for _, e := range entries {
		if e.Validate() == nil {
			s.put(e)
		}
		if e.Origin == s.own.origin {
			s.own.sequence = max(s.own.sequence, e.Sequence)
		}
	}
	s.vector.Join(vector)
	s.pruned.Join(pruned)
	s.own.sequence = max(s.own.sequence, s.vector[s.own.origin])
	s.own.restored = s.own.sequence
	if s.own.sequence > 0 {
		s.vector[s.own.origin] = s.own.sequence
		s.own.isStale = true
	}
}

// item returns what is held of a key.
func (s *Store) item(k Key) (item, bool) {
	if of := s.services[k.Service]; of != nil {
		it, ok := of.items[itemID{k.Name, k.Kind}]
		return it, ok
	}
	return item{}, false
}

// entry returns an item as an entry.
func (s *Store) entry(serviceName string, id itemID, it item) Entry {
	return Entry{
		Key:      Key{Service: serviceName, Kind: id.kind, Name: id.name},
		Clock:    it.clock,
		Origin:   s.origins.names[it.origin],
		Sequence: it.sequence,
		Deleted:  it.deleted,
		Value:    it.value,
	}
}

// put sets a key's entry and keeps the sums.
func (s *Store) put(e Entry) {
	of := s.services[e.Key.Service]
	if of == nil {
		of = &service{items: map[itemID]item{}}
		s.services[strings.Clone(e.Key.Service)] = of
	}
	id := itemID{e.Key.Name, e.Key.Kind}
	entries, bytes := s.growth(e.Key, len(e.Value))
	s.entries += entries
	s.bytes += bytes
	if before, ok := of.items[id]; ok {
		s.removeDigest(of, e.Key.Service, id, before)
	}
	of.items[id] = item{value: e.Value, clock: e.Clock, sequence: e.Sequence, origin: s.origins.index(e.Origin), deleted: e.Deleted}
	if e.Deleted {
		s.deletions[e.Key] = e.Clock
	} else {
		delete(s.deletions, e.Key)
		h := hashEntry(e.Key.Service, id, e.Origin, e.Clock, e.Sequence)
		of.digest += h
		s.digest += h
	}
	s.newestClock = max(s.newestClock, e.Clock)
}

// remove forgets a key.
func (s *Store) remove(k Key) {
	of := s.services[k.Service]
	id := itemID{k.Name, k.Kind}
	before, ok := of.items[id]
	if !ok {
		return
	}
	s.removeDigest(of, k.Service, id, before)
	s.entries--
	s.bytes -= entryOverheadBytes + len(k.Name) + len(before.value)
	delete(of.items, id)
	delete(s.deletions, k)
	if len(of.items) == 0 {
		delete(s.services, k.Service)
	}
}

// removeAll forgets the keys of entries, which it sorts by key.
func (s *Store) removeAll(entries []Entry) {
	slices.SortFunc(entries, compareByKey)
	for _, e := range entries {
		s.remove(e.Key)
	}
}

// Entry returns the winner of a key, which may be a deletion. The caller does not change its value.
func (s *Store) Entry(k Key) (Entry, bool) {
	it, ok := s.item(k)
	if !ok {
		return Entry{}, false
	}
	return s.entry(k.Service, itemID{k.Name, k.Kind}, it), true
}

// LiveEntries returns the entries of a service that are not deletions, by key.
func (s *Store) LiveEntries(service string) []Entry {
	of := s.services[service]
	if of == nil {
		return nil
	}
	entries := make([]Entry, 0, len(of.items))
	for id, it := range of.items {
		if !it.deleted {
			entries = append(entries, s.entry(service, id, it))
		}
	}
	slices.SortFunc(entries, compareByKey)
	return entries
}

// Services returns the names of all services that hold entries, in order.
func (s *Store) Services() []string {
	names := make([]string, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// KeysSince returns the keys of the entries that a holder of a vector lacks, deletions included, by service and key: of some
// services, or of all. It costs as much as these services hold.
func (s *Store) KeysSince(v Vector, services []string, all bool) []Key {
	if all {
		services = s.Services()
	}
	var keys []Key
	for _, name := range services {
		keys = append(keys, s.serviceKeysSince(v, name)...)
	}
	return keys
}

func (s *Store) serviceKeysSince(v Vector, service string) (keys []Key) {
	of := s.services[service]
	if of == nil {
		return nil
	}
	covered := make([]uint64, len(s.origins.names))
	for i, origin := range s.origins.names {
		covered[i] = v[origin]
	}
	for id, it := range of.items {
		if it.sequence > covered[it.origin] {
			keys = append(keys, Key{Service: service, Kind: id.kind, Name: id.name})
		}
	}
	slices.SortFunc(keys, CompareKeys)
	return keys
}

// Vector returns what this store covers. The caller does not change it.
func (s *Store) Vector() Vector { return s.vector }

// Pruned returns, by origin, the greatest sequence of a deletion that may be forgotten here.
func (s *Store) Pruned() Vector { return s.pruned }

// Clock returns the newest clock seen.
func (s *Store) Clock() uint64 { return s.newestClock }

// Size returns the number of entries, deletions included, and their bytes in memory.
func (s *Store) Size() (entries, bytes int) { return s.entries, s.bytes }
