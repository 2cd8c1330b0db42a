package client

import (
	"maps"
	"slices"
	"time"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

// applyInterval is the least time between two rebuilds of routes or tenants, each of which costs up to 80 ms.
const applyInterval = 200 * time.Millisecond

// pendingChanges is what was received and is not applied or acknowledged yet.
type pendingChanges struct {
	hasRoutes         bool // or pools
	hasTenants        bool
	lastApplied       time.Duration // routes or tenants; 0: never
	serversApplied    bool          // all that are held, once
	batchNumber       uint64        // of the last batch, to be acknowledged; 0 for none
	batchAt           time.Time     // when it was received
	isIncomplete      bool          // more is to come before the vector advances
	advancedByDigests bool          // the vector has advanced without a batch, to be acknowledged
}

// applyRestored applies what the disk held.
func (c *Client) applyRestored() {
	c.mu.Lock()
	servers := c.heldEntries(distribution.KindServer)
	entries, _ := c.store.Size()
	c.mu.Unlock()
	if entries == 0 {
		return
	}
	c.pending.hasRoutes, c.pending.hasTenants = true, true
	c.applyServers(servers, true)
	c.applyRoutesAndTenants()
}

// heldEntries returns all live entries of some kinds. c.mu is held.
func (c *Client) heldEntries(kinds ...distribution.Kind) (all []distribution.Entry) {
	for _, name := range c.config.scope() {
		for _, e := range c.store.LiveEntries(name) {
			if slices.Contains(kinds, e.Key.Kind) {
				all = append(all, e)
			}
		}
	}
	return all
}

// receiveBatch takes a batch into the store, has it saved, and applies its servers at once. Routes and tenants wait for
// applyDue.
func (c *Client) receiveBatch(b distribution.Batch, at time.Time) {
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
		servers = c.heldEntries(distribution.KindServer)
	}
	c.mu.Unlock()
	c.disk.Save(result.Changed, keysOf(result.Removed), vector)
	changedServers := c.sortChanges(result)
	if !appliesAll {
		servers = changedServers
	}
	c.applyServers(servers, appliesAll)
	c.recordUnheld(result.Rejected)
	c.pending.batchNumber, c.pending.batchAt, c.pending.isIncomplete = b.Number, at, !result.IsComplete
}

// sortChanges returns the servers that a batch has changed, removed ones as deletions, and notes what of other kinds has.
func (c *Client) sortChanges(result distribution.BatchResult) (servers []distribution.Entry) {
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

// recordUnheld records entries that the store rejected. Nothing has them sent again when the reason is over.
func (c *Client) recordUnheld(rejected []distribution.Rejection) {
	if len(rejected) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addRejections(rejected)
}

// applyServers applies the servers that changed, or all that are held.
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

// compareDigests compares what is held with what the control process holds. If nothing is to be asked for, also because nothing
// could be compared, the digests count as a complete message, unless the store is full.
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

// applyDue applies routes and tenants when that is due, and acknowledges what is applied. It returns how long something has yet
// to wait; 0 for nothing. A node that does not serve yet applies what it catches up with when that is complete.
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

// applyRoutesAndTenants applies routes with pools, and tenants, where some have changed.
func (c *Client) applyRoutesAndTenants() {
	c.mu.Lock()
	var routes, tenants []distribution.Entry
	if c.pending.hasRoutes {
		routes = c.heldEntries(distribution.KindRoute, distribution.KindPool)
		slices.SortFunc(routes, distribution.Compare)
	}
	if c.pending.hasTenants {
		tenants = c.heldEntries(distribution.KindTenant)
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

// acknowledge tells the control process what was received and, if isApplied and everything up to a vector is here, what is
// applied. Until a batch is complete, rejections are neither logged nor sent, unless the store is full: then none will be.
func (c *Client) acknowledge(isApplied bool) {
	isApplied = isApplied && !c.pending.isIncomplete
	isStoreFull := c.link != nil && c.link.receiver != nil && c.link.receiver.IsStoreFull()
	if isApplied || isStoreFull {
		c.logRejections()
	}
	hasNews := c.pending.batchNumber != 0 || c.pending.advancedByDigests
	if c.link == nil || c.link.reported == nil || !hasNews {
		return
	}
	if c.link.isOverflowed {
		c.endLink(errQueueFull, true)
		return
	}
	m := &wire.Acknowledge{Acknowledgement: distribution.Acknowledgement{BatchNumber: c.pending.batchNumber}}
	if isApplied {
		c.mu.Lock()
		m.Acknowledgement.Applied = c.store.Vector().AheadOf(c.link.reported)
		c.mu.Unlock()
		c.link.reported.Join(m.Acknowledgement.Applied)
		if !c.pending.batchAt.IsZero() {
			m.ApplyLagMs = time.Since(c.pending.batchAt).Milliseconds()
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
