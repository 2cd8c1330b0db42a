package plan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	minSubsetSize    = 6    // servers of a forwarder: one may be ejected and one slow, and some are left to choose from
	minHolders       = 3.0  // forwarders that use a server, on average
	serversPerFlight = 2.0  // of a forwarder's subset for each attempt in flight, so that most attempts find an idle server
	maxMovedShare    = 0.02 // of all slots in subsets that may move with one plan, beside those that must
	overloadedFrom   = 1.3  // load over target load from which slots move away from a server
	underloadedUpTo  = 0.8  // and up to which they move to a server
	minDemand        = 0.1  // attempts per second that a forwarder without traffic counts as
	minTargetLoad    = 1e-9 // guards divisions
)

// subsetServer is one slot of a forwarder's subset: a server, and the share that it gets.
type subsetServer struct {
	server int
	share  float64 // of the forwarder's attempts
}

// assignment is which servers each forwarder uses, and with which shares. Forwarders are rows in the order of their names,
// servers columns in that of their IDs.
type assignment struct {
	servers  []string
	weights  []float64        // by server; 0: not to be used
	demands  []float64        // by forwarder, attempts per second
	inFlight []float64        // by forwarder, attempts
	subsets  [][]subsetServer // by forwarder, sorted by server
}

// newAssignment starts from the shares that forwarders report, so that a plan continues from there, whichever planner made the
// one before.
func (p *Planner) newAssignment(forwarders, servers []string, ejections map[string]time.Duration) *assignment {
	a := &assignment{servers: servers, weights: make([]float64, len(servers))}
	for i, id := range servers {
		if ejections[id] == 0 {
			a.weights[i] = p.servers[id].weight
		}
	}
	for _, name := range forwarders {
		a.add(p.forwarders[name])
	}
	return a
}

// add adds a forwarder with the shares that are in effect there.
func (a *assignment) add(f *forwarder) {
	var subset []subsetServer
	for i, id := range a.servers {
		if share, ok := f.shares[id]; ok && a.weights[i] > 0 {
			subset = append(subset, subsetServer{i, share})
		}
	}
	a.subsets = append(a.subsets, subset)
	a.demands = append(a.demands, max(f.rate, minDemand))
	a.inFlight = append(a.inFlight, f.inFlight)
}

// targetLoad is what a server should get of a total demand: the share of its weight.
func (a *assignment) targetLoad(server int, totalDemand, totalWeight float64) float64 {
	return max(totalDemand*a.weights[server]/max(totalWeight, minDivisor), minTargetLoad)
}

// holderCounts counts, by server, the forwarders that use it.
func (a *assignment) holderCounts() []int {
	holders := make([]int, len(a.servers))
	for _, subset := range a.subsets {
		for _, c := range subset {
			holders[c.server]++
		}
	}
	return holders
}

// rebalancer moves slots with as few changes as will do. Each slot counts as an even part of its forwarder's demand; the
// shares are fitted afterwards.
type rebalancer struct {
	*assignment
	sizes       []int     // of the subsets, as they should be
	loads       []float64 // by server, attempts per second
	totalDemand float64
	totalWeight float64
}

// rebalance gives each forwarder a subset of the size that it needs.
func (a *assignment) rebalance() {
	r := rebalancer{assignment: a}
	usable := 0
	for _, weight := range a.weights {
		r.totalWeight += weight
		if weight > 0 {
			usable++
		}
	}
	for _, demand := range a.demands {
		r.totalDemand += demand
	}
	if usable == 0 || len(a.subsets) == 0 {
		return
	}
	slots := r.setSizes(usable)
	r.sumLoads()
	r.shrink()
	r.grow()
	r.level(int(math.Ceil(maxMovedShare * float64(slots))))
	for _, subset := range a.subsets {
		slices.SortFunc(subset, func(x, y subsetServer) int { return cmp.Compare(x.server, y.server) })
	}
}

// setSizes sets the sizes that subsets should have, and returns their sum.
func (r *rebalancer) setSizes(usable int) (slots int) {
	r.sizes = make([]int, len(r.subsets))
	forHolders := int(math.Ceil(minHolders * float64(usable) / float64(len(r.subsets))))
	for i := range r.subsets {
		forDemand := minSubsetSize + int(math.Ceil(serversPerFlight*r.inFlight[i]))
		r.sizes[i] = min(max(forDemand, forHolders), usable)
		slots += r.sizes[i]
	}
	return slots
}

func (r *rebalancer) sumLoads() {
	r.loads = make([]float64, len(r.servers))
	for i, subset := range r.subsets {
		for _, c := range subset {
			r.loads[c.server] += r.slotLoad(i)
		}
	}
}

// slotLoad is what one slot of a forwarder counts as.
func (r *rebalancer) slotLoad(forwarder int) float64 {
	return r.demands[forwarder] / float64(r.sizes[forwarder])
}

// add gives a forwarder a server.
func (r *rebalancer) add(forwarder, server int) {
	r.subsets[forwarder] = append(r.subsets[forwarder], subsetServer{server: server})
	r.loads[server] += r.slotLoad(forwarder)
}

// remove takes the server at an index of its subset from a forwarder.
func (r *rebalancer) remove(forwarder, index int) {
	r.loads[r.subsets[forwarder][index].server] -= r.slotLoad(forwarder)
	r.subsets[forwarder] = slices.Delete(r.subsets[forwarder], index, index+1)
}

// loadRatio is a server's load over its target load.
func (r *rebalancer) loadRatio(server int) float64 {
	return r.loads[server] / r.targetLoad(server, r.totalDemand, r.totalWeight)
}

// shrink removes the most loaded servers from subsets that are too large. One server too many may stay.
func (r *rebalancer) shrink() {
	for i := range r.subsets {
		for len(r.subsets[i]) > r.sizes[i]+1 {
			worst := 0
			for index := range r.subsets[i] {
				if r.loadRatio(r.subsets[i][index].server) > r.loadRatio(r.subsets[i][worst].server) {
					worst = index
				}
			}
			r.remove(i, worst)
		}
	}
}

// grow adds the least loaded servers to subsets that are too small, one server per forwarder and round, so that forwarders of
// early names do not get the best ones.
func (r *rebalancer) grow() {
	for hasAdded := true; hasAdded; {
		hasAdded = false
		for i := range r.subsets {
			if len(r.subsets[i]) >= r.sizes[i] {
				continue
			}
			if server := r.leastLoaded(i); server >= 0 {
				r.add(i, server)
				hasAdded = true
			}
		}
	}
}

// leastLoaded returns the server with the smallest load ratio that a forwarder does not use; -1 for none.
func (r *rebalancer) leastLoaded(forwarder int) int {
	best := -1
	for server, weight := range r.weights {
		if weight > 0 && (best < 0 || r.loadRatio(server) < r.loadRatio(best)) && !hasServer(r.subsets[forwarder], server) {
			best = server
		}
	}
	return best
}

// level moves up to a number of slots from overloaded to underloaded servers.
func (r *rebalancer) level(moves int) {
	for next := 0; moves > 0; moves-- {
		most, least := r.loadExtremes()
		if most < 0 || r.loadRatio(most) < overloadedFrom || r.loadRatio(least) > underloadedUpTo {
			return
		}
		forwarder := r.moveSlot(next, most, least)
		if forwarder < 0 {
			return
		}
		next = forwarder + 1
	}
}

// loadExtremes returns the usable servers with the greatest and the smallest load ratio; -1 for none.
func (r *rebalancer) loadExtremes() (most, least int) {
	most, least = -1, -1
	for server, weight := range r.weights {
		if weight <= 0 {
			continue
		}
		if most < 0 || r.loadRatio(server) > r.loadRatio(most) {
			most = server
		}
		if least < 0 || r.loadRatio(server) < r.loadRatio(least) {
			least = server
		}
	}
	return most, least
}

// moveSlot moves the slot of the first forwarder that can move it, from one server to another, and returns that forwarder;
// -1 for none. It starts at a forwarder, so that successive moves take turns.
func (r *rebalancer) moveSlot(start, from, to int) int {
	for n := range r.subsets {
		i := (start + n) % len(r.subsets)
		index := slices.IndexFunc(r.subsets[i], func(c subsetServer) bool { return c.server == from })
		if index >= 0 && !hasServer(r.subsets[i], to) {
			r.remove(i, index)
			r.add(i, to)
			return i
		}
	}
	return -1
}

func hasServer(subset []subsetServer, server int) bool {
	return slices.ContainsFunc(subset, func(c subsetServer) bool { return c.server == server })
}
