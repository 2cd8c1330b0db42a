package client

import (
	"errors"
	"maps"
	"slices"
	"time"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

const rejectedMost = 64 // in one message, and in a status

// pending is what was received and is not in force yet.
type pending struct {
	routes  bool // or pools
	tenants bool
	flushed time.Duration // when either was put in force last; 0: never
	whole   bool          // all that is held has been put in force
	batch   uint64        // the last one received, to be acknowledged; 0 for none
	at      time.Time     // when it was received
	open    bool          // more is to come before the vector advances
	digest  bool          // the vector has advanced without a batch
}

// rejectedTable is what cannot be used, by key.
type rejectedTable map[distribution.Key]rejectedEntry

type rejectedEntry struct {
	version distribution.Entry // without its value
	reason  string
	logged  bool
}

// all are the rejections in the order of their keys, as many as a message takes.
func (t rejectedTable) all() []distribution.Rejection {
	keys := slices.SortedFunc(maps.Keys(t), distribution.CompareKeys)
	var all []distribution.Rejection
	for _, k := range keys[:min(len(keys), rejectedMost)] {
		all = append(all, distribution.Rejection{Key: k, Reason: t[k].reason})
	}
	return all
}

// putHeld puts in force what the disk holds.
func (c *Client) putHeld() {
	c.mu.Lock()
	servers := c.held(distribution.KindServer)
	entries, _ := c.store.Size()
	c.mu.Unlock()
	if entries == 0 {
		return
	}
	c.pending.routes, c.pending.tenants = true, true
	c.putServers(servers, true)
	c.putCompiled()
}

// held is all live entries of some kinds; the lock is held.
func (c *Client) held(kinds ...distribution.Kind) (all []distribution.Entry) {
	for _, name := range c.config.scope() {
		for _, e := range c.store.LiveEntries(name) {
			if slices.Contains(kinds, e.Key.Kind) {
				all = append(all, e)
			}
		}
	}
	return all
}

// batch takes in a batch: into the store, to the disk, and into force as far as that need not wait.
func (c *Client) batch(b distribution.Batch, at time.Time) {
	now := c.now()
	c.mu.Lock()
	got := c.link.receiver.ReceiveBatch(b)
	c.subscriber.MessageReceived(now, got.IsComplete)
	var vector distribution.Vector
	if got.IsComplete {
		vector = c.store.Vector().Clone()
	}
	var servers []distribution.Entry
	whole := got.IsComplete && !c.pending.whole
	if whole {
		servers = c.held(distribution.KindServer)
	}
	c.mu.Unlock()
	var removed []distribution.Key
	for _, e := range got.Removed {
		removed = append(removed, e.Key)
	}
	c.disk.Save(got.Changed, removed, vector)
	changed := slices.Clone(got.Changed)
	for _, e := range got.Removed {
		e.Deleted, e.Value = true, nil
		changed = append(changed, e)
	}
	for _, e := range changed {
		switch e.Key.Kind {
		case distribution.KindServer:
			if !whole {
				servers = append(servers, e)
			}
		case distribution.KindTenant:
			c.pending.tenants = true
		default:
			c.pending.routes = true
		}
	}
	c.putServers(servers, whole)
	c.rejectUnheld(got.Rejected)
	c.pending.batch, c.pending.at, c.pending.open = b.Number, at, !got.IsComplete
}

// putServers puts servers in force: those that changed, or all that are held.
func (c *Client) putServers(servers []distribution.Entry, whole bool) {
	if len(servers) == 0 && !whole {
		return
	}
	rejected := c.listener.ApplyServers(servers, whole)
	c.pending.whole = c.pending.whole || whole
	c.mu.Lock()
	defer c.mu.Unlock()
	if whole {
		maps.DeleteFunc(c.rejections, func(k distribution.Key, _ rejectedEntry) bool { return k.Kind == distribution.KindServer })
	}
	for _, e := range servers {
		delete(c.rejections, e.Key)
	}
	c.note(rejected)
}

// digests compares what is held with what the control process holds.
func (c *Client) digests(d distribution.Digests) {
	c.mu.Lock()
	services, _, advanced := c.link.receiver.CompareDigests(d)
	c.subscriber.MessageReceived(c.now(), len(services) == 0)
	vector := c.store.Vector().Clone()
	c.mu.Unlock()
	if advanced {
		c.disk.Save(nil, nil, vector)
		c.pending.digest = true
	}
	if len(services) > 0 {
		c.log.Warn().Strs("services", services).Msg("distribution: digests differ: services are asked for whole")
		c.link.send(&wire.Pull{Services: services})
	}
}

// flush puts routes and tenants in force when that is due, acknowledges what is in force, and says how long something has
// yet to wait; 0 for nothing.
func (c *Client) flush(now time.Duration) time.Duration {
	c.mu.Lock()
	serves := c.subscriber.CanServe()
	c.mu.Unlock()
	if c.pending.open && !serves { // whoever does not serve yet puts what it catches up with in force at once
		c.acknowledge(false)
		return 0
	}
	if c.pending.routes || c.pending.tenants {
		if wait := c.pending.flushed + flushEvery - now; c.serving && wait > 0 {
			return wait
		}
		c.putCompiled()
		c.pending.flushed = c.now()
	}
	c.acknowledge(true)
	return 0
}

// putCompiled puts routes, pools and tenants in force.
func (c *Client) putCompiled() {
	c.mu.Lock()
	var routes, tenants []distribution.Entry
	if c.pending.routes {
		routes = byVersion(c.held(distribution.KindRoute, distribution.KindPool))
	}
	if c.pending.tenants {
		tenants = c.held(distribution.KindTenant)
	}
	c.mu.Unlock()
	if c.pending.routes {
		c.replaceRejected(c.listener.ApplyRoutes(routes), distribution.KindRoute, distribution.KindPool)
	}
	if c.pending.tenants {
		c.replaceRejected(c.listener.ApplyTenants(tenants), distribution.KindTenant)
	}
	c.pending.routes, c.pending.tenants = false, false
}

// rejectUnheld takes in what could not even be held. It is told again when the reason is over.
func (c *Client) rejectUnheld(rejected []distribution.Rejection) {
	if len(rejected) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(rejected)
}

// replaceRejected takes in what cannot be used of all that is held of some kinds.
func (c *Client) replaceRejected(rejected []distribution.Rejection, kinds ...distribution.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	still := map[distribution.Key]bool{}
	for _, r := range rejected {
		still[r.Key] = true
	}
	maps.DeleteFunc(c.rejections, func(k distribution.Key, _ rejectedEntry) bool { return slices.Contains(kinds, k.Kind) && !still[k] })
	c.note(rejected)
}

// note keeps rejections; the lock is held.
func (c *Client) note(rejected []distribution.Rejection) {
	for _, r := range rejected {
		e := rejectedEntry{reason: cut(r.Reason)}
		if held, ok := c.store.Entry(r.Key); ok {
			held.Value = nil
			e.version = held
		}
		if before, ok := c.rejections[r.Key]; ok && before.reason == e.reason && distribution.Compare(before.version, e.version) == 0 {
			e.logged = before.logged
		}
		c.rejections[r.Key] = e
	}
}

const reasonMost = 250 // bytes of a reason on the wire

func cut(reason string) string {
	if len(reason) <= reasonMost {
		return reason
	}
	for i := range reason {
		if i > reasonMost-4 {
			return reason[:i] + "..."
		}
	}
	return reason
}

// acknowledge tells the control process what was received and, where all of it is, what is in force.
func (c *Client) acknowledge(inForce bool) {
	if inForce && !c.pending.open {
		c.tellRejected()
	}
	if c.link == nil || c.link.told == nil || c.pending.batch == 0 && !c.pending.digest {
		return
	}
	if c.link.overrun {
		c.lost(errQueue, true)
		return
	}
	a := distribution.Acknowledgement{BatchNumber: c.pending.batch}
	lag := int64(0)
	if inForce && !c.pending.open {
		c.mu.Lock()
		a.Applied = c.store.Vector().AheadOf(c.link.told)
		a.Rejected = c.link.newlyRejected(c.rejections)
		c.mu.Unlock()
		c.link.told.Join(a.Applied)
		if !c.pending.at.IsZero() {
			lag = time.Since(c.pending.at).Milliseconds()
		}
	}
	c.link.send(&wire.Acknowledge{Acknowledgement: a, ApplyLagMs: lag})
	c.pending.batch, c.pending.digest = 0, false
}

// tellRejected logs each entry that cannot be used once.
func (c *Client) tellRejected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range slices.SortedFunc(maps.Keys(c.rejections), distribution.CompareKeys) {
		if e := c.rejections[k]; !e.logged {
			e.logged = true
			c.rejections[k] = e
			c.log.Error().Err(errors.New(e.reason)).Stringer("entry", k).Msg("distribution: entry cannot be used: what held before holds on")
		}
	}
}

// newlyRejected is what the other side does not know yet; one without a reason is over.
func (l *link) newlyRejected(now rejectedTable) (news []distribution.Rejection) {
	for k := range l.toldBad {
		if _, still := now[k]; !still && len(news) < rejectedMost {
			news = append(news, distribution.Rejection{Key: k})
			delete(l.toldBad, k)
		}
	}
	for _, r := range now.all() {
		if l.toldBad[r.Key] != r.Reason && len(news) < rejectedMost {
			news = append(news, r)
			l.toldBad[r.Key] = r.Reason
		}
	}
	return news
}
