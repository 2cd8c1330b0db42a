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
	subsetSlack             = 2.0              // servers beyond the peak in flight, so that one is idle while another works
	judgingAnswersPerSecond = 1.0              // by server: enough to tell slow servers within ten seconds
	subsetMemory            = 10 * time.Second // for which servers that were needed count as needed

	// goldenSection of the rotation lies between the starts of two nodes, which spreads any run of nodes evenly.
	goldenSection = 0.6180339887
)

// subset is the active subset of the servers: those that this node sends to. It grows while all of it is busy and
// shrinks while it is larger than needed, so that a node of many holds connections to few servers.
type subset struct {
	members      []int
	contains     []bool  // by server
	peakInFlight float64 // most attempts in flight lately; fades
	readyCount   int     // servers that are ready, as of the last updateWeights

	rotation         ranktree.Tree // all servers by rank, in the same order at every node
	nextToJoin       int           // position in the rotation
	hasStartPosition bool

	refusedConnects decay.FailureRate // connections refused at once, of all attempts lately
}

func (u *subset) clone() subset {
	c := *u
	c.members, c.contains = slices.Clone(u.members), slices.Clone(u.contains)
	c.rotation = u.rotation.Clone()
	return c
}

// addServer starts a server outside the subset and the rotation. Its index may have been another's.
func (u *subset) addServer(s int) {
	if u.rotation.Has(s) && u.rotation.Delete(s) < u.nextToJoin {
		u.nextToJoin--
	}
	columns.Put(s, false, &u.contains)
}

// insertIntoRotation puts a server into the rotation by its rank.
func (u *subset) insertIntoRotation(s, rank int) {
	if u.rotation.Insert(s, rank) < u.nextToJoin {
		u.nextToJoin++
	}
}

// growSubset takes in and picks a server for a request, if one is allowed and healthy: one that a plan assigns, else
// the next of the rotation. The node's own zone goes first by a chance that falls as concurrencyLimit.latencyRatio rises,
// and not at all from a ratio of 1.
func (p *Policy) growSubset(r *request) bool {
	p.drawStartPosition()
	canJoin := func(s int) bool {
		return !p.subset.contains[s] && !p.isExcluded(s, r) && !r.wasTriedAt(s) && !p.isUnhealthy(s, r) && !p.pauses.isNear(s, p.now)
	}
	isFound := p.pickAssigned(canJoin)
	isZoneFirst := p.chance() > p.concurrency.latencyRatio
	if !isFound && p.isAllInSubset(&p.settings.TrafficTypes[r.trafficType]) {
		return false
	}
	if !isFound && isZoneFirst {
		isFound = p.pickNextOfRotation(func(s int) bool { return canJoin(s) && p.servers.zone[s] == p.settings.Zone })
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

// drawStartPosition draws where in the rotation the node starts, from a part of its own.
func (p *Policy) drawStartPosition() {
	if p.subset.hasStartPosition {
		return
	}
	start := float64(p.settings.NodeIndex)*goldenSection + p.chance()/float64(p.settings.NodeCount)
	p.subset.nextToJoin = int((start - math.Floor(start)) * float64(p.subset.rotation.Len()))
	p.subset.hasStartPosition = true
}

// pickAssigned draws one of the servers that the plan assigns to this node, by their preferences.
func (p *Policy) pickAssigned(canJoin func(s int) bool) bool {
	best := 0.0
	for s := range p.plan.assigned.All() {
		if p.plan.preference[s] > 0 && canJoin(s) {
			if drawn := p.plan.preference[s] * p.chance(); drawn > best {
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

// isAllInSubset reports whether every ready server with the labels or the placement of a traffic type is in the subset,
// so that looking for another is in vain.
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

// removeFromSubset takes out the member at a position and closes its idle connections.
func (p *Policy) removeFromSubset(i int) {
	s := p.subset.members[i]
	p.subset.members, p.subset.contains[s] = slices.Delete(p.subset.members, i, i+1), false
	p.emit(Effect{Kind: CloseIdle, Server: s})
	if i < p.picker.position {
		p.picker.position--
	}
}

// removeUnready takes servers that are not ready any more out of the subset.
func (p *Policy) removeUnready() {
	p.subset.members = slices.DeleteFunc(p.subset.members, func(s int) bool {
		p.subset.contains[s] = p.readiness.Ready(s)
		return !p.readiness.Ready(s)
	})
	p.picker.position = min(p.picker.position, max(len(p.subset.members)-1, 0))
}

// shrinkSubset takes out the slowest server while there are more than were needed lately and than answers can tell
// apart.
func (p *Policy) shrinkSubset(elapsed time.Duration) {
	u := &p.subset
	u.peakInFlight = max(u.peakInFlight*decayFactor(elapsed, subsetMemory), p.concurrency.inFlight)
	if float64(len(u.members)) <= max(u.peakInFlight+subsetSlack, p.concurrency.successRate/judgingAnswersPerSecond) {
		return
	}
	slowness := p.latency.slowness
	slowest := slices.MaxFunc(u.members, func(a, b int) int { return cmp.Compare(slowness[a], slowness[b]) })
	p.removeFromSubset(slices.Index(u.members, slowest))
}
