package peer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"fernvane/internal/cluster/membership"
	"fernvane/internal/cluster/replication"
)

func (n *Node) tickUntilDone(ctx context.Context, g *errgroup.Group) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.tick(ctx, g)
		}
	}
}

// tick moves all on by time, and starts copies and dials in g.
func (n *Node) tick(ctx context.Context, g *errgroup.Group) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.send(now, n.table.Tick(now))
	if n.origin != nil {
		n.send(now, n.origin.Tick(now))
	}
	if n.isLoaded {
		n.send(now, n.replicas.Tick(now))
	}
	n.applyChanges(now)
	n.logShortage(now)
	if now-n.connections.lastReview >= connectionReviewInterval {
		n.connections.lastReview = now
		n.reviewConnections(now)
		n.startCopies(ctx, g, now)
	}
	n.dialWanted(ctx, g, now)
}

// logShortage says when commits are stalled, and when they are no longer: too few holders are in sync, or with enough of
// them the oldest record has waited longer than slow_after. mu is held.
func (n *Node) logShortage(now time.Duration) {
	if n.origin == nil {
		return
	}
	isShort := n.origin.StalledFor(now) > n.cfg.SlowAfter.Std()
	if isShort == n.isShortageLogged {
		return
	}
	n.isShortageLogged = isShort
	if isShort {
		n.log.Warn().Interface("holders", n.origin.Holders()).Int("uncommitted", n.origin.UncommittedCount()).Msg("too few replica holders")
	} else {
		n.log.Info().Msg("enough replica holders")
	}
}

// afterChange is called after whatever may have changed something: replication gets the members and connections, and
// commits that are decided end. mu is held.
func (n *Node) applyChanges(now time.Duration) {
	if n.table.IsReplaced() && !n.lifecycle.isReplaced {
		n.handleReplaced(now)
	}
	if digest := n.table.Digest(); digest != n.appliedDigest {
		n.appliedDigest = digest
		n.updateNodes(now)
	}
	if n.origin == nil {
		return
	}
	for _, name := range n.origin.WantedConnections() {
		if n.connections.isOpen(name) {
			n.send(now, n.origin.Connected(now, name))
		} else {
			n.connections.want(name, now+connectionReviewInterval)
		}
	}
	n.resolveCommits()
}

// handleReplaced is called when a later incarnation of this node's name is known. Before it has joined the node takes a
// still later one: its clock was set back. After that it must stop. mu is held.
func (n *Node) handleReplaced(now time.Duration) {
	if !n.lifecycle.hasJoined {
		n.table.StartLaterIncarnation(now)
		return
	}
	n.lifecycle.isReplaced = true
	close(n.replaced)
	n.log.Error().Err(ErrReplaced).Msg("stopping, replaced by a later incarnation")
}

// updateNodes gives replication the members. mu is held.
func (n *Node) updateNodes(now time.Duration) {
	var nodes []replication.Node
	var candidates []replication.Candidate
	for _, m := range n.table.Members() {
		node := replication.Node{
			Candidate:   replication.Candidate{Name: m.Name, Site: m.Site, Machine: m.Machine, IsHealthy: m.Condition == membership.Alive},
			Incarnation: m.Incarnation,
			IsLive:      m.Condition.IsLive(),
		}
		if m.Name != n.name {
			candidates = append(candidates, node.Candidate)
		}
		nodes = append(nodes, node)
	}
	n.replicas.SetNodes(now, nodes)
	if n.origin != nil {
		n.send(now, n.origin.SetCandidates(now, candidates))
	}
}
