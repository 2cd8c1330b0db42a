package distribution

import (
	"slices"
	"strings"
)

// Store contains the winning entry of each key, deletions included, and the vector of the writes that it covers.
type Store struct {
	limits      Limits
	services    map[string]*service
	origins     originNames
	vector      Vector
	pruned      Vector         // by origin, the greatest sequence of a pruned deletion
	deletions   map[Key]uint64 // clocks of the stored deletions
	newestClock uint64         // greatest clock of any entry received or written
	digest      uint64         // of all services
	entries     int
	bytes       int
	writer      writerOrigin
	scope       map[string]bool   // services that the store replicates; nil for all
	unsynced    map[string]Vector // services in scope that vector does not apply to yet, with their own vectors
}

// service contains the entries of one service.
type service struct {
	items  map[itemID]item
	digest uint64
}

// itemID identifies an entry within its service.
type itemID struct {
	name string
	kind Kind
}

// item is the compact in-memory form of an entry.
type item struct {
	value    []byte
	clock    uint64
	sequence uint64
	origin   uint32 // index into originNames.names
	deleted  bool
}

// originNames interns the names of origins.
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

// NewStore returns an empty store. The store of a node, which never writes, has origin "".
func NewStore(origin Origin, limits Limits) *Store {
	return &Store{
		limits:    limits.withDefaults(),
		services:  map[string]*service{},
		origins:   originNames{indexes: map[Origin]uint32{}},
		vector:    Vector{},
		pruned:    Vector{},
		deletions: map[Key]uint64{},
		writer:    writerOrigin{origin: origin},
		unsynced:  map[string]Vector{},
	}
}

// Restore loads the contents of a disk, and must be the first call. If the disk contains entries of the store's own origin,
// the origin is stale and writes are rejected until RenewOrigin: the disk may be an old copy. Invalid entries are discarded
// without a report.
func (s *Store) Restore(entries []Entry, vector, pruned Vector) {
	for _, e := range entries {
		if e.Validate() == nil {
			s.put(e)
		}
		if e.Origin == s.writer.origin {
			s.writer.sequence = max(s.writer.sequence, e.Sequence)
		}
	}
	s.vector.Join(vector)
	s.pruned.Join(pruned)
	s.writer.sequence = max(s.writer.sequence, s.vector[s.writer.origin])
	s.writer.restoredSequence = s.writer.sequence
	if s.writer.sequence > 0 {
		s.vector[s.writer.origin] = s.writer.sequence
		s.writer.isStale = true
	}
}

// item returns the stored item of a key.
func (s *Store) item(k Key) (item, bool) {
	if svc := s.services[k.Service]; svc != nil {
		it, ok := svc.items[itemID{k.Name, k.Kind}]
		return it, ok
	}
	return item{}, false
}

// entry converts an item to an Entry.
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

// put stores an entry, and updates sizes, digests and the newest clock.
func (s *Store) put(e Entry) {
	svc := s.services[e.Key.Service]
	if svc == nil {
		svc = &service{items: map[itemID]item{}}
		s.services[strings.Clone(e.Key.Service)] = svc
	}
	id := itemID{e.Key.Name, e.Key.Kind}
	entries, bytes := s.growth(e.Key, len(e.Value))
	s.entries += entries
	s.bytes += bytes
	if before, ok := svc.items[id]; ok {
		s.removeDigest(svc, e.Key.Service, id, before)
	}
	svc.items[id] = item{value: e.Value, clock: e.Clock, sequence: e.Sequence, origin: s.origins.index(e.Origin), deleted: e.Deleted}
	if e.Deleted {
		s.deletions[e.Key] = e.Clock
	} else {
		delete(s.deletions, e.Key)
		h := hashEntry(e.Key.Service, id, e.Origin, e.Clock, e.Sequence)
		svc.digest += h
		s.digest += h
	}
	s.newestClock = max(s.newestClock, e.Clock)
}

// remove removes a key without a deletion entry.
func (s *Store) remove(k Key) {
	svc := s.services[k.Service]
	id := itemID{k.Name, k.Kind}
	before, ok := svc.items[id]
	if !ok {
		return
	}
	s.removeDigest(svc, k.Service, id, before)
	s.entries--
	s.bytes -= entryOverheadBytes + len(k.Name) + len(before.value)
	delete(svc.items, id)
	delete(s.deletions, k)
	if len(svc.items) == 0 {
		delete(s.services, k.Service)
	}
}

// removeAll removes the keys of entries, which it sorts by key.
func (s *Store) removeAll(entries []Entry) {
	slices.SortFunc(entries, compareByKey)
	for _, e := range entries {
		s.remove(e.Key)
	}
}

// Entry returns the winning entry of a key, which may be a deletion. The caller must not modify its value.
func (s *Store) Entry(k Key) (Entry, bool) {
	it, ok := s.item(k)
	if !ok {
		return Entry{}, false
	}
	return s.entry(k.Service, itemID{k.Name, k.Kind}, it), true
}

// LiveEntries returns the entries of a service that are not deletions, sorted by key.
func (s *Store) LiveEntries(service string) []Entry {
	svc := s.services[service]
	if svc == nil {
		return nil
	}
	entries := make([]Entry, 0, len(svc.items))
	for id, it := range svc.items {
		if !it.deleted {
			entries = append(entries, s.entry(service, id, it))
		}
	}
	slices.SortFunc(entries, compareByKey)
	return entries
}

// Services returns the sorted names of all services with entries.
func (s *Store) Services() []string {
	names := make([]string, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// KeysSince returns the keys of the entries that a vector does not cover, deletions included, sorted by service and key. It
// selects the given services, or all. Its cost is proportional to the number of entries in these services.
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
	svc := s.services[service]
	if svc == nil {
		return nil
	}
	covered := make([]uint64, len(s.origins.names))
	for i, origin := range s.origins.names {
		covered[i] = v[origin]
	}
	for id, it := range svc.items {
		if it.sequence > covered[it.origin] {
			keys = append(keys, Key{Service: service, Kind: id.kind, Name: id.name})
		}
	}
	slices.SortFunc(keys, CompareKeys)
	return keys
}

// Vector returns the vector of the writes that this store covers. The caller must not modify it.
func (s *Store) Vector() Vector { return s.vector }

// Pruned returns, by origin, the greatest sequence of a deletion that may have been pruned from this store.
func (s *Store) Pruned() Vector { return s.pruned }

// Clock returns the greatest clock of any entry received or written.
func (s *Store) Clock() uint64 { return s.newestClock }

// Size returns the number of entries, deletions included, and their bytes in memory.
func (s *Store) Size() (entries, bytes int) { return s.entries, s.bytes }
