package client

import (
	"maps"
	"slices"
	"time"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

// applyInterval is the minimum time between two rebuilds of routes or tenants. A rebuild takes up to 80 ms.
const applyInterval = 200 * time.Millisecond

// pendingChanges describes what was received but not yet applied or acknowledged.
type pendingChanges struct {
	hasRoutes         bool // routes or pools changed
	hasTenants        bool
	lastApplied       time.Duration // time of the last rebuild of routes or tenants; 0 before the first
	serversApplied    bool          // whether the complete set of servers was applied
	batchNumber       uint64        // last batch to acknowledge; 0 for none
	batchReceivedAt   time.Time     // receipt of the last batch
	isIncomplete      bool          // further batches follow before the vector advances
	advancedByDigests bool          // digests advanced the vector, which is to be acknowledged
}

// applyRestored applies the entries that were loaded from disk.
func (c *Client) applyRestored() {
	c.mu.Lock()
	servers := c.liveEntries(distribution.KindServer)
	entries, _ := c.store.Size()
	c.mu.Unlock()
	if entries == 0 {
		return
	}
	c.pending.hasRoutes, c.pending.hasTenants = true, true
	c.applyServers(servers, true)
	c.applyRoutesAndTenants()
}

// liveEntries returns all stored entries of some kinds that are not deleted. The caller holds c.mu.
func (c *Client) liveEntries(kinds ...distribution.Kind) (all []distribution.Entry) {
	for _, name := range c.config.scope() {
		for _, e := range c.store.LiveEntries(name) {
			if slices.Contains(kinds, e.Key.Kind) {
				all = append(all, e)
			}
		}
	}
	return all
}

// receiveBatch merges a batch into the store, schedules its save to disk, and applies its servers immediately. applyDue applies
// routes and tenants later.
func (c *Client) receiveBatch(b distribution.Batch, receivedAt time.Time) {
	now := c.now()
	c.mu.Lock()
	result := c.link.receiver.ReceiveBatch(b)
	c.subscriber.MessageReceived(now, result.IsComplete)
	var vector distribution.Vector
	if result.IsComplete {
		vector = c.store.Vector().Clone()
	}
	var servers []distribution.Entry
	appliesAll := result.IsComplete && !c.pending.serversApplied
	if appliesAll {
		servers = c.liveEntries(distribution.KindServer)
	}
	c.mu.Unlock()
	c.disk.Save(result.Changed, keysOf(result.Removed), vector)
	changedServers := c.recordChanges(result)
	if !appliesAll {
		servers = changedServers
	}
	c.applyServers(servers, appliesAll)
	c.recordStoreRejections(result.Rejected)
	c.pending.batchNumber, c.pending.batchReceivedAt, c.pending.isIncomplete = b.Number, receivedAt, !result.IsComplete
}

// recordChanges returns the servers that a batch changed, with removed servers as deletions, and records which other kinds
// changed.
func (c *Client) recordChanges(result distribution.BatchResult) (servers []distribution.Entry) {
	changed := slices.Clone(result.Changed)
	for _, e := range result.Removed {
		e.Deleted, e.Value = true, nil
		changed = append(changed, e)
	}
	for _, e := range changed {
		switch e.Key.Kind {
		case distribution.KindServer:
			servers = append(servers, e)
		case distribution.KindTenant:
			c.pending.hasTenants = true
		default:
			c.pending.hasRoutes = true
		}
	}
	return servers
}

func keysOf(entries []distribution.Entry) (keys []distribution.Key) {
	for _, e := range entries {
		keys = append(keys, e.Key)
	}
	return keys
}

// recordStoreRejections records entries that the store rejected. When a full store has space again, the control process does
// not re-send them before the next connection.
func (c *Client) recordStoreRejections(rejected []distribution.Rejection) {
	if len(rejected) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addRejections(rejected)
}

// applyServers applies the changed servers, or the complete set if isComplete.
func (c *Client) applyServers(servers []distribution.Entry, isComplete bool) {
	if len(servers) == 0 && !isComplete {
		return
	}
	rejected := c.applier.ApplyServers(servers, isComplete)
	c.pending.serversApplied = c.pending.serversApplied || isComplete
	c.mu.Lock()
	defer c.mu.Unlock()
	if isComplete {
		maps.DeleteFunc(c.rejections, func(k distribution.Key, _ rejection) bool { return k.Kind == distribution.KindServer })
	}
	for _, e := range servers {
		delete(c.rejections, e.Key)
	}
	c.addRejections(rejected)
}

// compareDigests compares the store with the digests of the control process and requests a full sync of the services that
// differ. If none differ, or none are comparable, the digests count as a complete message unless the store is full.
func (c *Client) compareDigests(d distribution.Digests) {
	c.mu.Lock()
	services, _, hasAdvanced := c.link.receiver.CompareDigests(d)
	c.subscriber.MessageReceived(c.now(), len(services) == 0 && !c.link.receiver.IsStoreFull())
	vector := c.store.Vector().Clone()
	c.mu.Unlock()
	if hasAdvanced {
		c.disk.Save(nil, nil, vector)
		c.pending.advancedByDigests = true
	}
	if len(services) > 0 {
		c.log.Warn().Strs("services", services).Msg("distribution: digests differ, services are sent again")
		c.link.send(&wire.Pull{Services: services})
	}
}

// applyDue applies routes and tenants when they are due, and acknowledges them. It returns the time until pending changes are
// due; 0 if none are pending. A node that does not yet serve applies the routes and tenants of a catch-up only once it is complete.
func (c *Client) applyDue(now time.Duration) time.Duration {
	c.mu.Lock()
	canServe := c.subscriber.CanServe()
	c.mu.Unlock()
	if c.pending.isIncomplete && !canServe {
		c.acknowledge(false)
		return 0
	}
	if c.pending.hasRoutes || c.pending.hasTenants {
		if wait := c.pending.lastApplied + applyInterval - now; c.isServing && wait > 0 {
			return wait
		}
		c.applyRoutesAndTenants()
		c.pending.lastApplied = c.now()
	}
	c.acknowledge(true)
	return 0
}

// applyRoutesAndTenants applies all routes and pools if any changed, and all tenants if any changed.
func (c *Client) applyRoutesAndTenants() {
	c.mu.Lock()
	var routes, tenants []distribution.Entry
	if c.pending.hasRoutes {
		routes = c.liveEntries(distribution.KindRoute, distribution.KindPool)
		slices.SortFunc(routes, distribution.Compare)
	}
	if c.pending.hasTenants {
		tenants = c.liveEntries(distribution.KindTenant)
	}
	c.mu.Unlock()
	if c.pending.hasRoutes {
		c.replaceRejections(c.applier.ApplyRoutes(routes), distribution.KindRoute, distribution.KindPool)
	}
	if c.pending.hasTenants {
		c.replaceRejections(c.applier.ApplyTenants(tenants), distribution.KindTenant)
	}
	c.pending.hasRoutes, c.pending.hasTenants = false, false
}

// acknowledge confirms the last batch to the control process. If isApplied and no batch is incomplete, it also reports the applied
// vector. Rejections are logged and sent only then, or if the store is full, because no batch completes with a full store.
func (c *Client) acknowledge(isApplied bool) {
	isApplied = isApplied && !c.pending.isIncomplete
	isStoreFull := c.link != nil && c.link.receiver != nil && c.link.receiver.IsStoreFull()
	if isApplied || isStoreFull {
		c.logRejections()
	}
	needsAcknowledgement := c.pending.batchNumber != 0 || c.pending.advancedByDigests
	if c.link == nil || c.link.reportedVector == nil || !needsAcknowledgement {
		return
	}
	if c.link.isOverflowed {
		c.endLink(errQueueFull, true)
		return
	}
	m := &wire.Acknowledge{Acknowledgement: distribution.Acknowledgement{BatchNumber: c.pending.batchNumber}}
	if isApplied {
		c.mu.Lock()
		m.Acknowledgement.Applied = c.store.Vector().AheadOf(c.link.reportedVector)
		c.mu.Unlock()
		c.link.reportedVector.Join(m.Acknowledgement.Applied)
		if !c.pending.batchReceivedAt.IsZero() {
			m.ApplyLagMs = time.Since(c.pending.batchReceivedAt).Milliseconds()
		}
	}
	if isApplied || isStoreFull {
		c.mu.Lock()
		m.Acknowledgement.Rejected = c.link.unreportedRejections(c.rejections)
		c.mu.Unlock()
	}
	c.link.send(m)
	c.pending.batchNumber, c.pending.advancedByDigests = 0, false
}
