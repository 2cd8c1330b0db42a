package policy

import (
	"math"
	"slices"

	"fernvane/internal/collections/columns"
)

const (
	maxTurnsAhead      = 2.0 // turns that a server may take early for a key, so that turns stay even over all keys
	meanLoadFactor     = 1.0 // times the mean in flight; a node has few attempts at a server, so one above the mean is a large excess
	minSquaredSlowness = 0.1 // lower bound that prevents a fast server from receiving all requests

	// maxRefusedConnectShare is the share of attempts with a refused connection above which only idle servers get
	// requests.
	maxRefusedConnectShare = 0.1
	refusedConnectPrior    = 10.0 // attempts without a refusal assumed in that share, so that a single refusal has little effect

	// creditRounding is the largest difference between credits that counts as a rounding error.
	creditRounding = 1e-9
)

// picker implements weighted round robin over the active subset. Each server that is not skipped earns the square
// root of its weight as credit, and the server with the most credit is next: with equal weights this is plain round
// robin.
type picker struct {
	position      int       // in subset.members: where the next walk starts
	credit        []float64 // by server, in turns
	weight        []float64 // by server: listed weight, reduced while the server is warming up, slow or suspected
	totalWeight   float64   // of the subset
	totalCapacity float64   // of the subset: listed weights, reduced during slow start
}

func (k *picker) addServer(s int) {
	columns.Put(s, 0.0, &k.credit)
	columns.Put(s, 1.0, &k.weight)
}

func (k *picker) clone() picker {
	c := *k
	c.credit, c.weight = slices.Clone(k.credit), slices.Clone(k.weight)
	return c
}

// strictness determines which servers a walk over the subset skips.
type strictness int

const (
	strictnessRules    strictness = iota // only servers that isExcluded reports
	strictnessHealth                     // also servers already tried for the request, and unhealthy ones
	strictnessForecast                   // also servers near a forecast pause, above the mean load, or avoided by a plan
	strictnessIdle                       // also servers with an attempt in flight
)

// canSend reports whether a request may have an attempt now, and picks the server for it. A new or queued request needs
// capacity under the concurrency limits of the node and of its route; the guards of retries and hedged attempts check
// capacity themselves.
//
// While the subset can grow, its idle servers come first; if all are busy or skipped, another server joins
// (growSubset). If none can join, busy servers are allowed, and the strictness is lowered step by step. While more than
// maxRefusedConnectShare of the attempts have their connections refused, only idle servers get requests, and the
// probability that a server joins falls as that share rises.
func (p *Policy) canSend(request int) bool {
	r := &p.requests.all[request]
	if r.state != stateInFlight && (p.isSaturated() || !p.routes.hasCapacity(r.routeLimit)) {
		return false
	}
	canGrow := len(p.subset.members) < p.subset.readyCount
	if failed := p.subset.refusedConnects.Rate(refusedConnectPrior); failed > maxRefusedConnectShare {
		return p.pickFromSubset(r, strictnessIdle) || canGrow && p.randomFloat() > math.Sqrt(failed) && p.growSubset(r)
	}
	if canGrow && (p.pickFromSubset(r, strictnessIdle) || p.growSubset(r)) {
		return true
	}
	for level := strictnessForecast; level >= strictnessRules; level-- {
		if p.pickFromSubset(r, level) {
			return true
		}
	}
	return false
}

// pickFromSubset picks the next server of the subset among those that are not skipped. If servers cache by key, the
// server that every node ranks first for the key takes precedence over others whose turn is near, so that nodes agree
// without exchanging messages.
func (p *Policy) pickFromSubset(r *request, level strictness) bool {
	members := p.subset.members
	best, most, earned := -1, 0.0, 0.0
	for i := range members {
		s := members[(p.picker.position+i)%len(members)]
		if p.isSkipped(s, r, level) {
			continue
		}
		share := math.Sqrt(p.picker.weight[s])
		earned += share
		p.picker.credit[s] += share
		priority := p.picker.credit[s]
		if p.settings.ServersCacheKeys && r.key != 0 && priority >= -maxTurnsAhead*share {
			priority = math.MaxInt16 + hashToUnit(r.key*uint32(p.servers.rank[s]|1), 0)
		}
		if best < 0 || priority > most+creditRounding {
			best, most = i, priority
		}
	}
	if best < 0 {
		return false
	}
	p.picked = members[(p.picker.position+best)%len(members)]
	p.picker.position = (p.picker.position + best + 1) % len(members)
	p.picker.credit[p.picked] -= earned
	return true
}

// isSkipped reports whether a walk with this strictness skips a server.
func (p *Policy) isSkipped(s int, r *request, level strictness) bool {
	switch {
	case p.isExcluded(s, r):
		return true
	case level >= strictnessHealth && (r.wasTriedAt(s) || p.isUnhealthy(s, r)):
		return true
	case level >= strictnessForecast && (p.pauses.isNear(s, p.now) || p.isAboveMeanLoad(s) || p.plan.preference[s] < 0):
		return true
	case level >= strictnessIdle && p.load.inFlight[s] > 0:
		return true
	}
	return false
}

// isExcluded reports whether a rule forbids a server for a request: the server is not ready, does not match the
// placement or labels, has no slow-start tokens, or is outside the key scope of a request that may have run.
func (p *Policy) isExcluded(s int, r *request) bool {
	t := &p.settings.TrafficTypes[r.trafficType]
	if !p.readiness.Ready(s) || t.PlacementBit&^p.readiness.Placements(s) != 0 || p.slowStart.isOutOfTokens(s) {
		return true
	}
	if t.PoolLabels != 0 && t.PoolLabels&p.readiness.Labels(s) == 0 {
		return true
	}
	if !r.mayHaveRun || t.Idempotency != IdempotentWithKey {
		return false
	}
	return !p.servers.shareKeys(t.KeyScope, s, r.firstRunServer)
}

// isAboveMeanLoad reports whether a server has more attempts in flight, including abandoned ones, than the mean for its
// weight.
func (p *Policy) isAboveMeanLoad(s int) bool {
	mean := meanLoadFactor * p.concurrency.inFlight * p.picker.weight[s] / max(p.picker.totalWeight, minDivisor)
	return float64(p.load.inFlight[s])+p.load.abandoned[s] > mean
}

// updateWeights computes the weight of each server of the subset, the totals of weight and capacity, and the number of
// ready servers. Each level of suspicion halves a server's turns, which are proportional to the square root of its
// weight.
func (p *Policy) updateWeights() {
	k := &p.picker
	k.totalWeight, k.totalCapacity, p.subset.readyCount = 0, 0, p.readiness.ReadyCount()
	for _, s := range p.subset.members {
		capacity := p.servers.listedWeight[s] * p.updateCapacityShare(s)
		slowness := p.latency.slowness[s]
		k.weight[s] = capacity / max(slowness*slowness, minSquaredSlowness) / float64(int(1)<<(2*p.suspicion.level[s]))
		k.totalCapacity += capacity
		k.totalWeight += k.weight[s]
	}
}
