package policy

import (
	"cmp"
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/indexset"
)

const (
	slowStartShare    = 0.6 // of the load that would crash the server; what is left is for chance and for unseen nodes
	minSlowStartShare = 0.5 // of the load that would crash a server of one core: the least rate, over all nodes

	maxSlowStartTokens     = 2.0             // attempts saved up for a server
	slowStartTokenLifetime = 2 * time.Second // so that all nodes together save up little
)

// slowStart holds the servers that warm up and the attempts that each of them may get now.
type slowStart struct {
	servers indexset.Set
	since   []time.Duration
	tokens  []float64
}

func (w *slowStart) addServer(s int) {
	w.servers.Remove(s)
	columns.Put(s, 0, &w.since)
	columns.Put(s, 0.0, &w.tokens)
}

func (w *slowStart) clone() slowStart {
	return slowStart{servers: w.servers.Clone(), since: slices.Clone(w.since), tokens: slices.Clone(w.tokens)}
}

// isOutOfTokens reports whether a server warms up and may get no attempt now.
func (w *slowStart) isOutOfTokens(s int) bool { return w.servers.Has(s) && w.tokens[s] < 1 }

// startSlowStart has a server warm up since a moment.
func (p *Policy) startSlowStart(s int, since time.Duration) {
	p.slowStart.servers.Add(s)
	p.slowStart.since[s], p.slowStart.tokens[s] = since, 0
	p.outliers.consecutive[s], p.outliers.unreachable[s], p.outliers.soft[s] = 0, false, 0
	p.outliers.ejections.Reset(s)
}

// updateCapacityShare returns the share of its full capacity that a server surely has: it grows evenly over the longest
// warm-up. A server that has warmed up leaves slow start.
func (p *Policy) updateCapacityShare(s int) float64 {
	warmed := float64(p.now-p.slowStart.since[s]) / float64(max(p.settings.SlowStartDuration, 1))
	if warmed >= 1 {
		p.slowStart.servers.Remove(s)
	}
	if !p.slowStart.servers.Has(s) {
		return 1
	}
	initial := p.settings.SlowStartInitialCapacity
	return initial + (1-initial)*max(warmed, 0)
}

// refillSlowStart grants attempts to the servers in slow start. The load that crashes a server comes from all nodes, so
// each node grants what a warm server of the same weight handles for this node, cut to the capacity that the server
// surely has. Tokens come and expire by chance: nodes whose rates are far below one token a tick still add up to the
// rate together.
func (p *Policy) refillSlowStart(elapsed time.Duration) {
	if p.slowStart.servers.Len() == 0 {
		return
	}
	slowest := max(slices.Max(p.latency.typical), 1).Seconds()
	minRate := minSlowStartShare * p.settings.CrashLoadFactor / slowest / float64(p.settings.NodeCount)
	for s := range p.slowStart.servers.All() {
		rate := cmp.Or(p.plan.slowStartRate[s], max(p.slowStartRate(s), minRate)) * p.updateCapacityShare(s)
		if p.chance() < rate*elapsed.Seconds() {
			p.slowStart.tokens[s] = min(p.slowStart.tokens[s]+1, maxSlowStartTokens)
		}
		if p.chance() < elapsed.Seconds()/slowStartTokenLifetime.Seconds() {
			p.slowStart.tokens[s] = max(p.slowStart.tokens[s]-1, 0)
		}
	}
}

// slowStartRate returns the attempts a second that this node may send a server at full capacity.
func (p *Policy) slowStartRate(s int) float64 {
	share := p.servers.listedWeight[s] / max(p.picker.totalCapacity, minDivisor)
	if p.settings.WeightsFollowLoad { // an idle server is listed for several busy ones
		share = min(share, 1/max(float64(len(p.subset.members)), 1))
	}
	return slowStartShare * p.settings.CrashLoadFactor * p.concurrency.successRate * share
}
