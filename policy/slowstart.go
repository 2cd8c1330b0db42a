package policy

import (
	"cmp"
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/indexset"
)

const (
	slowStartShare    = 0.6 // of the load that would crash the server; the rest is a margin for random variation and for unknown nodes
	minSlowStartShare = 0.5 // of the load that would crash a server with one core: lower bound of the rate over all nodes

	maxSlowStartTokens     = 2.0             // attempts saved up for a server
	slowStartTokenLifetime = 2 * time.Second // limits the tokens saved up by all nodes together
)

// slowStart holds the servers that are warming up and their tokens, one per attempt.
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

// isOutOfTokens reports whether a server is warming up and may get no attempt now.
func (w *slowStart) isOutOfTokens(s int) bool { return w.servers.Has(s) && w.tokens[s] < 1 }

// startSlowStart starts the warm-up of a server at the time since. It clears the server's failure counts and ends its
// ejection for all types, since they result from attempts before the start.
func (p *Policy) startSlowStart(s int, since time.Duration) {
	p.slowStart.servers.Add(s)
	p.slowStart.since[s], p.slowStart.tokens[s] = since, 0
	p.outliers.consecutive[s], p.outliers.unreachable[s], p.outliers.soft[s] = 0, false, 0
	p.outliers.ejections.Reset(s)
}

// updateCapacityShare returns the share of its full capacity that a server has at least: it grows linearly over the
// longest warm-up. A server whose warm-up has ended leaves slow start.
func (p *Policy) updateCapacityShare(s int) float64 {
	progress := float64(p.now-p.slowStart.since[s]) / float64(max(p.settings.SlowStartDuration, 1))
	if progress >= 1 {
		p.slowStart.servers.Remove(s)
	}
	if !p.slowStart.servers.Has(s) {
		return 1
	}
	initial := p.settings.SlowStartInitialCapacity
	return initial + (1-initial)*max(progress, 0)
}

// refillSlowStart grants attempts to the servers in slow start. The load that crashes a server comes from all nodes,
// so each node grants the rate of a plan or else a share of the load that a warm server of the same weight handles for
// this node, both reduced to the capacity that the server has at least. Tokens are granted and expire at random: nodes
// whose rates are far below one token a tick still add up to the intended rate.
func (p *Policy) refillSlowStart(elapsed time.Duration) {
	if p.slowStart.servers.Len() == 0 {
		return
	}
	slowest := max(slices.Max(p.latency.typical), 1).Seconds()
	minRate := minSlowStartShare * p.settings.CrashLoadFactor / slowest / float64(p.settings.NodeCount)
	for s := range p.slowStart.servers.All() {
		rate := cmp.Or(p.plan.slowStartRate[s], max(p.slowStartRate(s), minRate)) * p.updateCapacityShare(s)
		if p.randomFloat() < rate*elapsed.Seconds() {
			p.slowStart.tokens[s] = min(p.slowStart.tokens[s]+1, maxSlowStartTokens)
		}
		if p.randomFloat() < elapsed.Seconds()/slowStartTokenLifetime.Seconds() {
			p.slowStart.tokens[s] = max(p.slowStart.tokens[s]-1, 0)
		}
	}
}

// slowStartRate returns the attempts a second that this node may send to a server at full capacity.
func (p *Policy) slowStartRate(s int) float64 {
	share := p.servers.listedWeight[s] / max(p.picker.totalCapacity, minDivisor)
	if p.settings.WeightsFollowLoad { // an idle server has the listed weight of several busy ones
		share = min(share, 1/max(float64(len(p.subset.members)), 1))
	}
	return slowStartShare * p.settings.CrashLoadFactor * p.concurrency.successRate * share
}
