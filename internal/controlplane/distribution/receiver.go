package distribution

import (
	"maps"
	"slices"
)

// Receiver takes in the batches of one subscription. A subscriber whose services change ends its connection and subscribes
// anew with a new Receiver.
type Receiver struct {
	store    *Store
	services map[string]bool // that were missing when it subscribed, or were sent whole
	resets   map[string]bool // services that are being sent whole
	all      bool            // all are
	mended   map[string]bool // services that were asked for because their digests differed from those of a server that covers all
	named    map[Key]bool    // what was named of them
	tries    map[string]int  // how often in a row a service was asked for so
	through  Vector          // the server's vector as far as told
	last     uint64          // number of the last batch
	full     bool            // something found no room: the vector does not advance any more
}

// BatchResult is what a batch has done.
type BatchResult struct {
	Changed        []Entry  // new winners, deletions included
	Removed        []Entry  // what ended without a deletion being told: for the listener as deleted
	ResyncServices []string // services in which something came or ended that vectors do not tell of: for Publisher.Resync
	Rejected       []Rejection
	IsComplete     bool // the vector has been advanced; it and the entries are to be on disk in one step or in the order entries, vector
}

// NewReceiver is for a subscription that begins now.
func NewReceiver(store *Store) *Receiver {
	r := &Receiver{store: store, services: map[string]bool{}, resets: map[string]bool{}, named: map[Key]bool{},
		mended: map[string]bool{}, tries: map[string]int{}, through: Vector{}}
	for _, name := range store.UnsyncedServices() {
		r.services[name] = true
	}
	return r
}

// ReceiveBatch merges a batch, and with a complete one advances the vector.
func (r *Receiver) ReceiveBatch(b Batch) (got BatchResult) {
	if b.Number <= r.last {
		return BatchResult{} // taken before
	}
	r.last = b.Number
	r.all = r.all || b.ResetsAll
	for _, name := range b.ResetServices {
		r.resets[name] = true
	}
	for _, e := range b.Entries {
		if r.all || r.resets[e.Key.Service] {
			r.named[e.Key] = true
		}
	}
	got.Changed, got.Rejected = r.store.merge(b.Entries, r.mended)
	for _, e := range got.Changed {
		if r.mended[e.Key.Service] {
			got.ResyncServices = append(got.ResyncServices, e.Key.Service)
		}
	}
	for _, refused := range got.Rejected {
		r.full = r.full || refused.IsStoreFull
	}
	if !b.IsComplete || r.full {
		return got
	}
	r.through.Join(b.Through)
	services := r.replaced()
	got.Removed = r.store.ReplaceServices(services, r.named, b.Through)
	for _, e := range got.Removed {
		got.ResyncServices = append(got.ResyncServices, e.Key.Service)
	}
	got.ResyncServices = sortedSet(got.ResyncServices)
	r.store.AdvanceVector(b.Through)
	r.store.AdvancePruned(b.Pruned)
	for name := range r.services {
		r.store.arrived(name, r.through)
	}
	r.all = false
	clear(r.resets)
	clear(r.named)
	got.IsComplete = true
	return got
}

// replaced are the services of which nothing stays that was not named. One that was asked for because of its digest keeps
// what it holds, for either side may be the one that has lost something: the server is told in turn where it subscribes here.
// A node, by which nobody goes, takes the server's for it at the second time.
func (r *Receiver) replaced() []string {
	var services []string
	for _, name := range slices.Sorted(maps.Keys(r.resets)) {
		if !r.mended[name] || r.store.scope != nil && r.tries[name] > 1 {
			services = append(services, name)
		}
		delete(r.mended, name)
		r.services[name] = true
	}
	if r.all {
		return r.store.Services()
	}
	return services
}

// CompareDigests takes in digests, which a server sends when nothing waits, so that the vector advances by them; it says which
// services are to be asked for whole, or for a subscriber of all that the services' digests are to be asked for. A store
// that covers what its server does not cannot be compared.
func (r *Receiver) CompareDigests(d Digests) (services []string, total, advanced bool) {
	if r.full || r.all || len(r.resets) > 0 {
		return nil, false, false
	}
	r.through.Join(d.Through)
	advanced = r.store.IsBehind(d.Through)
	r.store.AdvanceVector(d.Through)
	if !r.through.CoversAll(r.store.Vector()) {
		return nil, false, advanced
	}
	if d.Services == nil {
		return nil, d.Total != r.store.TotalDigest(), advanced
	}
	for _, name := range r.compared(d) {
		if d.Services[name] == r.store.ServiceDigest(name) {
			r.store.arrived(name, r.through)
			delete(r.tries, name)
			continue
		}
		services = append(services, name)
		r.mended[name] = true
		r.tries[name]++
	}
	return services, false, advanced
}

// compared are the services of digests that are this store's. A store of all has all services' digests before it, so that
// one which is not named has no entries at the server.
func (r *Receiver) compared(d Digests) []string {
	names := slices.Collect(maps.Keys(d.Services))
	if r.store.scope == nil {
		return sortedSet(append(names, r.store.Services()...))
	}
	names = slices.DeleteFunc(names, func(name string) bool { return !r.store.scope[name] })
	return sortedSet(names)
}
