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
	connectionReviewInterval = 250 * time.Millisecond // between two looks at which connections are wanted
	initialRedialWait        = 100 * time.Millisecond
	maxRedialWait            = 2 * time.Second
	pendingMessageTimeout    = 3 * time.Second // how long a connection is wanted for one message
	unwantedTimeout          = 3 * time.Second // until a connection that is not wanted is closed
	maxConnectedNodes        = 256             // a further node is rejected, and asks another one
	maxPendingMessages       = 8               // to a node without a connection
)

// connections are those with other nodes, and which are wanted. They belong to the Node and are under its lock.
type connections struct {
	open            map[string][]*connection // by the other node's name
	wantedUntil     map[string]time.Duration
	pendingMessages map[string][]any // messages for nodes to which there is no connection yet
	dialing         map[string]bool
	redials         map[string]redial
	lastReview      time.Duration
}

// redial is the last attempt to connect to a node that has not led to a connection.
type redial struct {
	at   time.Duration
	wait time.Duration // until the next one
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

// add takes in a connection, and sends the messages that have waited for it.
func (c *connections) add(added *connection) {
	name := added.name
	c.open[name] = append(c.open[name], added)
	for _, message := range c.pendingMessages[name] {
		added.queueMessage(message)
	}
	delete(c.pendingMessages, name)
	delete(c.redials, name)
}

// remove reports whether no connection to the node is left.
func (c *connections) remove(removed *connection) (isLast bool) {
	name := removed.name
	c.open[name] = slices.DeleteFunc(c.open[name], func(o *connection) bool { return o == removed })
	if len(c.open[name]) > 0 {
		return false
	}
	delete(c.open, name)
	return true
}

// connected takes in a connection. mu is not held.
func (n *Node) connected(c *connection, remote membership.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	c.lastWanted = now
	n.table.Connected(now, c.name)
	n.connections.add(c)
	n.table.MergeMembers(now, c.name, []membership.Member{remote})
	n.applyChanges(now)
}

// handleDuplicateName notifies another process of this node's own name; the connection is not used otherwise. mu is not
// held.
func (n *Node) handleDuplicateName(c *connection, remote membership.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.table.MergeMembers(now, c.name, []membership.Member{remote})
	c.queueMessage(&membership.Update{Members: []membership.Member{n.table.Self()}})
	n.applyChanges(now)
}

// disconnected removes a connection that has ended. mu is not held.
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

// send queues messages on their connections. For a node without one a connection is wanted, and the message waits for it;
// batches do not wait, they are sent again. mu is held.
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

// reviewConnections notes which connections are wanted, and closes those that have not been for a while. mu is held.
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

// dialWanted opens connections that are wanted and not there. mu is held.
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

// seek connects to an address of the configuration whenever no live node is connected that is reached there.
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

// isConnectedTo reports whether an address is this node's own, or that of a live node with a connection. It locks mu.
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
