package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"fernvane/internal/cluster/membership"
	"fernvane/internal/cluster/replication"
)

const (
	connectionReviewInterval = 250 * time.Millisecond // between two reviews of the wanted connections
	initialRedialWait        = 100 * time.Millisecond
	maxRedialWait            = 2 * time.Second
	pendingMessageTimeout    = 3 * time.Second // how long a connection is wanted for a pending message
	unwantedTimeout          = 3 * time.Second // until an unwanted connection is closed
	maxConnectedNodes        = 256             // further nodes are rejected and connect to another node
	maxPendingMessages       = 8               // per node without a connection
)

// connections tracks the open and the wanted connections of a Node. It is guarded by the Node's lock.
type connections struct {
	open            map[string][]*connection // by the other node's name
	wantedUntil     map[string]time.Duration // by the other node's name; expired entries are not wanted
	pendingMessages map[string][]any         // for nodes that are not connected yet
	dialing         map[string]bool          // a dial is in progress or the dialed connection is open
	redials         map[string]redial
	lastReview      time.Duration
}

// redial is the last attempt to connect to a node since it was last connected.
type redial struct {
	at   time.Duration
	wait time.Duration // until the next attempt
}

func newConnections() connections {
	return connections{
		open:            map[string][]*connection{},
		wantedUntil:     map[string]time.Duration{},
		pendingMessages: map[string][]any{},
		dialing:         map[string]bool{},
		redials:         map[string]redial{},
	}
}

func (c *connections) isOpen(name string) bool { return len(c.open[name]) > 0 }

func (c *connections) want(name string, until time.Duration) {
	c.wantedUntil[name] = max(c.wantedUntil[name], until)
}

// add registers an open connection and queues the messages that are pending for its node.
func (c *connections) add(added *connection) {
	name := added.name
	c.open[name] = append(c.open[name], added)
	for _, message := range c.pendingMessages[name] {
		added.queueMessage(message)
	}
	delete(c.pendingMessages, name)
	delete(c.redials, name)
}

// remove removes a connection and reports whether it was the last one to its node.
func (c *connections) remove(removed *connection) (isLast bool) {
	name := removed.name
	c.open[name] = slices.DeleteFunc(c.open[name], func(o *connection) bool { return o == removed })
	if len(c.open[name]) > 0 {
		return false
	}
	delete(c.open, name)
	return true
}

// connected registers a new connection with a node and merges the member that the node sent. It locks mu.
func (n *Node) connected(c *connection, remote membership.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	c.lastWanted = now
	n.table.Connected(now, c.name)
	n.connections.add(c)
	n.closeSuperseded(c)
	n.table.MergeMembers(now, c.name, []membership.Member{remote})
	n.applyChanges(now)
}

// updateIncarnation records the incarnation that the other node reports of itself: a node whose clock was set back starts a
// later one after the handshake. mu must be held.
func (n *Node) updateIncarnation(c *connection, members []membership.Member) {
	for _, m := range members {
		if m.Name == c.name && m.Incarnation > c.incarnation {
			c.incarnation = m.Incarnation
			n.closeSuperseded(c)
		}
	}
}

// closeSuperseded closes the connections to earlier processes of a connection's node. Such a process is gone, but its
// connections stay open and silent if its machine has vanished. mu must be held.
func (n *Node) closeSuperseded(by *connection) {
	for _, c := range n.connections.open[by.name] {
		if c.incarnation < by.incarnation {
			n.log.Info().Str("peer", by.name).Int64("incarnation", by.incarnation).Msg("node restarted, closing connection to its earlier process")
			go c.close()
		}
	}
}

// isSuperseded reports whether a later process of a connection's node is known. What the earlier process has stored may be
// lost, so its replies are outdated. mu must be held.
func (n *Node) isSuperseded(c *connection) bool {
	m, ok := n.table.Get(c.name)
	return ok && c.incarnation < m.Incarnation
}

// handleDuplicateName notifies another process that uses this node's name. The connection is not used otherwise. It
// locks mu.
func (n *Node) handleDuplicateName(c *connection, remote membership.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.table.MergeMembers(now, c.name, []membership.Member{remote})
	c.queueMessage(&membership.Update{Members: []membership.Member{n.table.Self()}})
	n.applyChanges(now)
}

// disconnected removes a closed connection. It locks mu.
func (n *Node) disconnected(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if !n.connections.remove(c) {
		return
	}
	n.table.Disconnected(c.name)
	if n.origin != nil {
		n.send(now, n.origin.Disconnected(now, c.name))
	}
	n.applyChanges(now)
}

// send queues messages on the connections to their receivers. For a live receiver without a connection it requests one
// and stores the message as pending. Batches are not stored, because they are re-sent anyway. mu must be held.
func (n *Node) send(now time.Duration, out []membership.Outgoing) {
	c := &n.connections
	for _, o := range out {
		if open := c.open[o.To]; len(open) > 0 {
			open[len(open)-1].queueMessage(o.Message)
			continue
		}
		if m, ok := n.table.Get(o.To); !ok || !m.Condition.IsLive() {
			continue
		}
		c.wantedUntil[o.To] = now + pendingMessageTimeout
		if _, isBatch := o.Message.(*replication.Batch); !isBatch && len(c.pendingMessages[o.To]) < maxPendingMessages {
			c.pendingMessages[o.To] = append(c.pendingMessages[o.To], o.Message)
		}
	}
}

// reviewConnections updates which connections are wanted, and closes dialed ones that were unwanted for
// unwantedTimeout. mu must be held.
func (n *Node) reviewConnections(now time.Duration) {
	wanted := n.table.Watched()
	if n.origin != nil {
		wanted = append(wanted, n.origin.WantedConnections()...)
	}
	if n.isLoaded {
		wanted = append(wanted, n.replicas.WantedConnections()...)
	}
	if dead := n.table.ReconnectCandidate(now); dead != "" {
		wanted = append(wanted, dead)
	}
	for _, name := range wanted {
		n.connections.want(name, now+2*connectionReviewInterval)
	}
	for name, open := range n.connections.open {
		_, isWanted := n.connections.wantedUntil[name]
		for _, c := range open {
			if isWanted || !c.isDialed {
				c.lastWanted = now
			} else if now-c.lastWanted > unwantedTimeout {
				go c.close()
			}
		}
	}
}

// dialWanted starts dialing nodes whose connection is wanted and not open. mu must be held.
func (n *Node) dialWanted(ctx context.Context, g *errgroup.Group, now time.Duration) {
	c := &n.connections
	for name, until := range c.wantedUntil {
		if until < now {
			delete(c.wantedUntil, name)
			if !c.isOpen(name) {
				delete(c.pendingMessages, name)
			}
			continue
		}
		m, isKnown := n.table.Get(name)
		last := c.redials[name]
		if !isKnown || name == n.name || c.isOpen(name) || c.dialing[name] || now < last.at+last.wait {
			continue
		}
		c.dialing[name] = true
		c.redials[name] = redial{at: now, wait: min(max(2*last.wait, initialRedialWait), maxRedialWait)}
		g.Go(func() error {
			n.connect(ctx, m.Address)
			n.mu.Lock()
			delete(c.dialing, name)
			n.mu.Unlock()
			return nil
		})
	}
}

// connectToSeed dials a configured address whenever no live node with that address is connected.
func (n *Node) connectToSeed(ctx context.Context, address string) {
	for wait := initialRedialWait; ctx.Err() == nil; wait = min(2*wait, maxRedialWait) {
		if !n.isConnectedTo(address) {
			n.connect(ctx, address)
		}
		jittered := time.Duration((0.75 + rand.Float64()/2) * float64(wait))
		select {
		case <-ctx.Done():
		case <-time.After(jittered):
		}
	}
}

// isConnectedTo reports whether an address is this node's own or that of a connected live node. It locks mu.
func (n *Node) isConnectedTo(address string) bool {
	if address == n.cfg.Advertise {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for name := range n.connections.open {
		m, _ := n.table.Get(name)
		if n.connections.isOpen(name) && m.Address == address && m.Condition.IsLive() {
			return true
		}
	}
	return false
}
