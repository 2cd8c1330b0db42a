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

// tick applies timeouts in membership and replication, and starts copies and dials as goroutines of g.
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

// logShortage logs when commits begin and cease to be stalled for longer than slow_after: because too few holders are
// in sync, or because the oldest record has waited that long despite enough holders. mu must be held.
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

// applyChanges is called after each possible change of state. It passes changed members and connections to replication
// and resolves commits. mu must be held.
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
			member, _ := n.table.Get(name)
			n.send(now, n.origin.Connected(now, name, member.Incarnation))
		} else {
			n.connections.want(name, now+connectionReviewInterval)
		}
	}
	n.resolveCommits()
}

// handleReplaced is called when a later incarnation of this node's name is known. A node that has not joined yet
// assumes that its clock was set back and starts a still later incarnation; a node that has joined must stop. mu must
// be held.
func (n *Node) handleReplaced(now time.Duration) {
	if !n.lifecycle.hasJoined {
		n.table.StartLaterIncarnation(now)
		return
	}
	n.lifecycle.isReplaced = true
	close(n.replaced)
	n.log.Error().Err(ErrReplaced).Msg("stopping, replaced by a later incarnation")
}

// updateNodes passes the current members to replication. mu must be held.
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
