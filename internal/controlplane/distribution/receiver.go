package distribution

import (
	"maps"
	"slices"
)

// Receiver processes the batches of one subscription at the subscriber's end. A subscriber whose services change closes its
// connection and subscribes again with a new Receiver.
type Receiver struct {
	store        *Store
	through      Vector // join of the vectors received from the sender
	lastBatch    uint64 // number
	isStoreFull  bool   // an entry was rejected because the store was full: the vector no longer advances on this connection
	transfer     transfer
	repair       repair
	toMarkSynced map[string]bool // services that were unsynced at the start of the subscription, or had a full sync since
}

// transfer is the state of the services in full sync.
type transfer struct {
	isAll    bool // all services are in full sync
	services map[string]bool
	received map[Key]bool // keys received for these services
}

// repair is the state of the services that were requested because their digests differed from those of a sender that covers
// all writes that this store covers.
type repair struct {
	services map[string]bool
	attempts map[string]int // consecutive repairs of a service
}

// BatchResult lists the effects of a batch.
type BatchResult struct {
	Changed        []Entry     // new winning entries, deletions included
	Removed        []Entry     // entries removed without a deletion; an Applier treats them as deleted
	ResyncServices []string    // services with additions or removals that no vector shows: input of Publisher.ResyncServices
	Rejected       []Rejection // rejections with IsStoreFull prevent the vector from advancing, others do not
	IsComplete     bool        // the vector has advanced; the caller saves it with the entries or after them
}

// NewReceiver returns a receiver for a new subscription of the store.
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

// ReceiveBatch merges a batch into the store, and advances the store's vector if the batch is complete. A batch that was already
// received is ignored.
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

// IsStoreFull reports whether an entry of this connection was rejected because the store was full. The store then stays
// incomplete for the rest of the connection, whatever is received later.
func (r *Receiver) IsStoreFull() bool { return r.isStoreFull }

// recordTransfer records the services that a batch puts into full sync, and the keys received for such services.
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

// complete ends the full syncs in progress and advances the vector.
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

// finishTransfers ends the full syncs in progress and the repairs among them, adds their services to toMarkSynced, and returns
// the services whose entries must be removed if the sender has not sent them. A service in repair retains its entries, because
// either side may have lost some: if the sender subscribes to this process, its own comparison of digests requests them. A node
// has no subscribers, so it removes such entries at the second attempt. A full sync of all services also removes the entries of
// services in repair.
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

// CompareDigests compares the store with the digests of a sender. A sender sends digests when nothing is pending, so they also
// advance the vector. It returns the services that need a full sync, whether a subscriber to all services must request the
// digests of each service, and whether the vector has advanced. Digests are not compared if the store covers writes that the
// sender does not cover. During a full sync, or with a full store, the digests are ignored and all results are zero.
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

// comparedServices returns the services to compare: those of the digests that are in the store's scope. A store of all services
// receives the digests of all, so a service without a digest has no entries at the sender and is compared too.
func (r *Receiver) comparedServices(d Digests) []string {
	names := slices.Collect(maps.Keys(d.Services))
	if r.store.scope == nil {
		return sortedSet(append(names, r.store.Services()...))
	}
	names = slices.DeleteFunc(names, func(name string) bool { return !r.store.scope[name] })
	return sortedSet(names)
}
