package distribution

import (
	"maps"
	"slices"
)

// Receiver takes in the batches of one subscription, at the subscriber's end. A subscriber whose services change ends its
// connection and subscribes again with a new Receiver.
type Receiver struct {
	store        *Store
	through      Vector // the sender's vector as far as it has said
	lastBatch    uint64 // number
	isStoreFull  bool   // an entry was rejected for want of room: the vector does not advance any more on this connection
	transfer     transfer
	repair       repair
	toMarkSynced map[string]bool // services that were unsynced at the subscription, or had a full sync since
}

// transfer is the services in full sync.
type transfer struct {
	isAll    bool // of all services
	services map[string]bool
	received map[Key]bool // keys of their entries
}

// repair is the services that were asked for because their digests differed from those of a sender that covers everything
// held here.
type repair struct {
	services map[string]bool
	attempts map[string]int // in a row
}

// BatchResult is what a batch has changed.
type BatchResult struct {
	Changed        []Entry     // new winners, deletions included
	Removed        []Entry     // entries that ended without a deletion being sent; for an Applier they count as deleted
	ResyncServices []string    // in which something came or ended that no vector shows: for Publisher.ResyncServices
	Rejected       []Rejection // those of a full store keep the vector from advancing, others do not
	IsComplete     bool        // the vector has advanced; the caller saves it with the entries, or after them
}

// NewReceiver returns a receiver for a subscription that begins now.
func NewReceiver(store *Store) *Receiver {
	r := &Receiver{
		store:        store,
		through:      Vector{},
		transfer:     transfer{services: map[string]bool{}, received: map[Key]bool{}},
		repair:       repair{services: map[string]bool{}, attempts: map[string]int{}},
		toMarkSynced: map[string]bool{},
	}
	for _, name := range store.UnsyncedServices() {
		r.toMarkSynced[name] = true
	}
	return r
}

// ReceiveBatch merges a batch into the store, and with a complete one advances its vector. A batch that was received before is
// ignored.
func (r *Receiver) ReceiveBatch(b Batch) (result BatchResult) {
	if b.Number <= r.lastBatch {
		return BatchResult{}
	}
	r.lastBatch = b.Number
	r.recordTransfer(b)
	result.Changed, result.Rejected = r.store.merge(b.Entries, r.repair.services)
	for _, e := range result.Changed {
		if r.repair.services[e.Key.Service] {
			result.ResyncServices = append(result.ResyncServices, e.Key.Service)
		}
	}
	for _, rejected := range result.Rejected {
		r.isStoreFull = r.isStoreFull || rejected.IsStoreFull
	}
	if b.IsComplete && !r.isStoreFull {
		r.complete(b, &result)
	}
	return result
}

// IsStoreFull reports whether an entry that came on this connection was rejected for want of room. Then what the sender has is
// not all held here, whatever comes later.
func (r *Receiver) IsStoreFull() bool { return r.isStoreFull }

// recordTransfer notes what a batch says of services in full sync.
func (r *Receiver) recordTransfer(b Batch) {
	t := &r.transfer
	t.isAll = t.isAll || b.ResetsAll
	for _, name := range b.ResetServices {
		t.services[name] = true
	}
	for _, e := range b.Entries {
		if t.isAll || t.services[e.Key.Service] {
			t.received[e.Key] = true
		}
	}
}

// complete ends the full syncs under way and advances the vector.
func (r *Receiver) complete(b Batch, result *BatchResult) {
	r.through.Join(b.Through)
	result.Removed = r.store.ReplaceServices(r.finishTransfers(), r.transfer.received, b.Through)
	for _, e := range result.Removed {
		result.ResyncServices = append(result.ResyncServices, e.Key.Service)
	}
	result.ResyncServices = sortedSet(result.ResyncServices)
	r.store.AdvanceVector(b.Through)
	r.store.AdvancePruned(b.Pruned)
	for name := range r.toMarkSynced {
		r.store.serviceReceived(name, r.through)
	}
	r.transfer.isAll = false
	clear(r.transfer.services)
	clear(r.transfer.received)
	result.IsComplete = true
}

// finishTransfers ends the full syncs under way and the repairs among them, notes the services in toMarkSynced, and returns those
// of which nothing stays that was not received. A service that is being repaired keeps
// what it holds, since either side may have lost something: the sender receives it in turn if it subscribes here. A node, which
// nobody subscribes to, takes over the sender's entries at the second attempt.
func (r *Receiver) finishTransfers() []string {
	var services []string
	for _, name := range slices.Sorted(maps.Keys(r.transfer.services)) {
		isNode := r.store.scope != nil
		if !r.repair.services[name] || isNode && r.repair.attempts[name] > 1 {
			services = append(services, name)
		}
		delete(r.repair.services, name)
		r.toMarkSynced[name] = true
	}
	if r.transfer.isAll {
		return r.store.Services()
	}
	return services
}

// CompareDigests takes in digests, which a sender sends when nothing waits, so that they also advance the vector. It returns
// the services that need a full sync, whether a subscriber of all is to ask for the digests of all services, and whether the
// vector has advanced. A store that covers what the sender does not is not compared, nor is one that is
// full or in a full sync: then all results are zero.
func (r *Receiver) CompareDigests(d Digests) (services []string, needsServiceDigests, hasAdvanced bool) {
	if r.isStoreFull || r.transfer.isAll || len(r.transfer.services) > 0 {
		return nil, false, false
	}
	r.through.Join(d.Through)
	hasAdvanced = r.store.IsBehind(d.Through)
	r.store.AdvanceVector(d.Through)
	if !r.through.CoversAll(r.store.Vector()) {
		return nil, false, hasAdvanced
	}
	if d.Services == nil {
		return nil, d.Total != r.store.TotalDigest(), hasAdvanced
	}
	for _, name := range r.comparedServices(d) {
		if d.Services[name] == r.store.ServiceDigest(name) {
			r.store.serviceReceived(name, r.through)
			delete(r.repair.attempts, name)
			continue
		}
		services = append(services, name)
		r.repair.services[name] = true
		r.repair.attempts[name]++
	}
	return services, false, hasAdvanced
}

// comparedServices returns the services of digests that are this store's. A store of all services receives the digests of all:
// a service that is not named has no entries at the sender.
func (r *Receiver) comparedServices(d Digests) []string {
	names := slices.Collect(maps.Keys(d.Services))
	if r.store.scope == nil {
		return sortedSet(append(names, r.store.Services()...))
	}
	names = slices.DeleteFunc(names, func(name string) bool { return !r.store.scope[name] })
	return sortedSet(names)
}
