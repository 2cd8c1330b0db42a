package policy

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/decay"
	"fernvane/internal/collections/ranktree"
)

const (
	subsetSlack             = 2.0              // servers above the peak in flight, so that one is idle while another works
	minSuccessRatePerServer = 1.0              // successes a second per server: enough to identify slow servers within ten seconds
	subsetMemory            = 10 * time.Second // time for which servers that were needed count as needed

	// goldenSection is the share of the rotation between the start positions of two consecutive nodes. It spreads any
	// range of consecutive nodes evenly.
	goldenSection = 0.6180339887
)

// subset is the active subset: the servers that this node sends to. It grows while all its members are busy and
// shrinks while it is larger than needed, so that in a large cluster each node has connections to few servers.
type subset struct {
	members      []int
	contains     []bool  // by server
	peakInFlight float64 // recent maximum of attempts in flight; decays
	readyCount   int     // servers that are ready, as of the last updateWeights

	rotation         ranktree.Tree // all servers by rank, in the same order at every node
	nextToJoin       int           // position in the rotation
	hasStartPosition bool

	refusedConnects decay.FailureRate // connections refused immediately, as a share of recent attempts
}

func (u *subset) clone() subset {
	c := *u
	c.members, c.contains = slices.Clone(u.members), slices.Clone(u.contains)
	c.rotation = u.rotation.Clone()
	return c
}

// addServer initializes a server outside the subset and the rotation. The index may have belonged to another server.
func (u *subset) addServer(s int) {
	if u.rotation.Has(s) && u.rotation.Delete(s) < u.nextToJoin {
		u.nextToJoin--
	}
	columns.Put(s, false, &u.contains)
}

// insertIntoRotation inserts a server into the rotation at its rank.
func (u *subset) insertIntoRotation(s, rank int) {
	if u.rotation.Insert(s, rank) < u.nextToJoin {
		u.nextToJoin++
	}
}

// growSubset adds an allowed and healthy server to the subset and picks it for a request. It prefers a server that
// the plan assigns, and otherwise takes the next of the rotation. Servers in the node's own zone come first with a
// probability that falls as concurrencyLimit.latencyRatio rises, and that is 0 from a ratio of 1.
func (p *Policy) growSubset(r *request) bool {
	p.drawStartPosition()
	canJoin := func(s int) bool {
		return !p.subset.contains[s] && !p.isExcluded(s, r) && !r.wasTriedAt(s) && !p.isUnhealthy(s, r) && !p.pauses.isNear(s, p.now)
	}
	isFound := p.pickAssigned(canJoin)
	isZoneFirst := p.randomFloat() > p.concurrency.latencyRatio
	if !isFound && p.isAllInSubset(&p.settings.TrafficTypes[r.trafficType]) {
		return false
	}
	if !isFound && isZoneFirst {
		isFound = p.pickNextOfRotation(func(s int) bool { return canJoin(s) && p.servers.zone[s].is(p.settings.Zone) })
	}
	if !isFound {
		isFound = p.pickNextOfRotation(canJoin)
	}
	if isFound {
		p.addToSubset(p.picked)
		p.updateWeights()
	}
	return isFound
}

// drawStartPosition draws the node's start position in the rotation from a range that belongs to the node.
func (p *Policy) drawStartPosition() {
	if p.subset.hasStartPosition {
		return
	}
	start := float64(p.settings.NodeIndex)*goldenSection + p.randomFloat()/float64(p.settings.NodeCount)
	p.subset.nextToJoin = int((start - math.Floor(start)) * float64(p.subset.rotation.Len()))
	p.subset.hasStartPosition = true
}

// pickAssigned draws one of the servers that the plan assigns to this node, weighted by preference.
func (p *Policy) pickAssigned(canJoin func(s int) bool) bool {
	best := 0.0
	for s := range p.plan.assigned.All() {
		if p.plan.preference[s] > 0 && canJoin(s) {
			if drawn := p.plan.preference[s] * p.randomFloat(); drawn > best {
				best, p.picked = drawn, s
			}
		}
	}
	return best > 0
}

// pickNextOfRotation picks the next server of the rotation that can join and that the plan does not avoid.
func (p *Policy) pickNextOfRotation(canJoin func(s int) bool) bool {
	passed := 0
	for s := range p.subset.rotation.From(p.subset.nextToJoin) {
		passed++
		if p.plan.preference[s] >= 0 && canJoin(s) {
			p.subset.nextToJoin = (p.subset.nextToJoin + passed) % p.subset.rotation.Len()
			p.picked = s
			return true
		}
	}
	return false
}

// isAllInSubset reports whether the subset contains every ready server with the labels or the placement of a traffic
// type, so that searching for another one would fail.
func (p *Policy) isAllInSubset(t *TrafficType) bool {
	if t.PoolLabels|t.PlacementBit == 0 {
		return false
	}
	labeled, placed := p.readiness.ReadyWithLabels(t.PoolLabels), p.readiness.ReadyWithPlacements(t.PlacementBit)
	for _, s := range p.subset.members {
		labeled -= bits.OnesCount64(p.readiness.Labels(s) & t.PoolLabels)
		placed -= bits.OnesCount64(p.readiness.Placements(s) & t.PlacementBit)
	}
	return t.PoolLabels != 0 && labeled == 0 || t.PlacementBit != 0 && placed == 0
}

func (p *Policy) addToSubset(s int) {
	p.subset.members, p.subset.contains[s] = append(p.subset.members, s), true
	p.latency.slowness[s], p.load.abandoned[s], p.picker.credit[s] = 1, 0, 0
}

// removeFromSubset removes the member at a position and closes its idle connections.
func (p *Policy) removeFromSubset(i int) {
	s := p.subset.members[i]
	p.subset.members, p.subset.contains[s] = slices.Delete(p.subset.members, i, i+1), false
	p.emit(Effect{Kind: CloseIdle, Server: s})
	if i < p.picker.position {
		p.picker.position--
	}
}

// removeUnready removes servers that are no longer ready from the subset.
func (p *Policy) removeUnready() {
	p.subset.members = slices.DeleteFunc(p.subset.members, func(s int) bool {
		p.subset.contains[s] = p.readiness.Ready(s)
		return !p.readiness.Ready(s)
	})
	p.picker.position = min(p.picker.position, max(len(p.subset.members)-1, 0))
}

// shrinkSubset removes the slowest server if the subset has more members than were needed recently and more than the
// success rate suffices to compare. Each tick removes at most one server.
func (p *Policy) shrinkSubset(elapsed time.Duration) {
	u := &p.subset
	u.peakInFlight = max(u.peakInFlight*decayFactor(elapsed, subsetMemory), p.concurrency.inFlight)
	if float64(len(u.members)) <= max(u.peakInFlight+subsetSlack, p.concurrency.successRate/minSuccessRatePerServer) {
		return
	}
	slowness := p.latency.slowness
	slowest := slices.MaxFunc(u.members, func(a, b int) int { return cmp.Compare(slowness[a], slowness[b]) })
	p.removeFromSubset(slices.Index(u.members, slowest))
}
