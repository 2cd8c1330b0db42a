package plan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	minSubsetSize          = 6    // servers per forwarder; leaves a choice while one server is ejected and one is slow
	minForwardersPerServer = 3.0  // average over all servers
	serversPerAttempt      = 2.0  // servers in a subset per attempt in flight; lets most attempts find an idle server
	maxMovedSlotShare      = 0.02 // share of all slots that one plan may move to balance load, in addition to required changes
	overloadedRatio        = 1.3  // min ratio of load to target load at which slots move away from a server
	underloadedRatio       = 0.8  // max ratio of load to target load at which slots move to a server
	minDemand              = 0.1  // attempts per second assumed for a forwarder without traffic
	minTargetLoad          = 1e-9 // prevents division by zero
)

// subsetServer is one slot of a forwarder's subset.
type subsetServer struct {
	server int     // index in assignment.servers
	share  float64 // share of the forwarder's attempts
}

// assignment contains the subset and the shares of each forwarder. Forwarders are indexed in the order of their names, and servers
// in the order of their IDs.
type assignment struct {
	servers  []string
	weights  []float64        // by server; 0: not usable
	demands  []float64        // by forwarder, attempts per second
	inFlight []float64        // by forwarder, attempts in flight
	subsets  [][]subsetServer // by forwarder, sorted by server
}

// newAssignment returns an assignment with the shares that forwarders report. Each plan therefore continues from the shares in
// effect, even if another planner computed them.
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

// add appends a forwarder with the shares in effect there. It omits unusable servers.
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

// targetLoad returns a server's part of the total demand in proportion to its weight.
func (a *assignment) targetLoad(server int, totalDemand, totalWeight float64) float64 {
	return max(totalDemand*a.weights[server]/max(totalWeight, minDivisor), minTargetLoad)
}

// forwarderCounts returns the number of forwarders that use each server.
func (a *assignment) forwarderCounts() []int {
	counts := make([]int, len(a.servers))
	for _, subset := range a.subsets {
		for _, slot := range subset {
			counts[slot.server]++
		}
	}
	return counts
}

// rebalancer changes the subsets with as few slot moves as possible. It assumes that a forwarder's demand is spread evenly over its
// slots; fit computes the shares afterwards.
type rebalancer struct {
	*assignment
	sizes       []int     // target subset size by forwarder
	loads       []float64 // by server, attempts per second
	totalDemand float64
	totalWeight float64
}

// rebalance resizes the subsets to their target sizes, then moves slots from overloaded to underloaded servers.
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
	r.moveExcessSlots(int(math.Ceil(maxMovedSlotShare * float64(slots))))
	for _, subset := range a.subsets {
		slices.SortFunc(subset, func(x, y subsetServer) int { return cmp.Compare(x.server, y.server) })
	}
}

// setSizes sets the target sizes of the subsets and returns their sum.
func (r *rebalancer) setSizes(usable int) (slots int) {
	r.sizes = make([]int, len(r.subsets))
	forServers := int(math.Ceil(minForwardersPerServer * float64(usable) / float64(len(r.subsets))))
	for i := range r.subsets {
		forDemand := minSubsetSize + int(math.Ceil(serversPerAttempt*r.inFlight[i]))
		r.sizes[i] = min(max(forDemand, forServers), usable)
		slots += r.sizes[i]
	}
	return slots
}

func (r *rebalancer) sumLoads() {
	r.loads = make([]float64, len(r.servers))
	for i, subset := range r.subsets {
		for _, slot := range subset {
			r.loads[slot.server] += r.slotLoad(i)
		}
	}
}

// slotLoad returns the load of one slot of a forwarder in attempts per second.
func (r *rebalancer) slotLoad(forwarder int) float64 {
	return r.demands[forwarder] / float64(r.sizes[forwarder])
}

// add adds a server to a forwarder's subset.
func (r *rebalancer) add(forwarder, server int) {
	r.subsets[forwarder] = append(r.subsets[forwarder], subsetServer{server: server})
	r.loads[server] += r.slotLoad(forwarder)
}

// remove removes the server at an index of a forwarder's subset.
func (r *rebalancer) remove(forwarder, index int) {
	r.loads[r.subsets[forwarder][index].server] -= r.slotLoad(forwarder)
	r.subsets[forwarder] = slices.Delete(r.subsets[forwarder], index, index+1)
}

// loadRatio returns the ratio of a server's load to its target load.
func (r *rebalancer) loadRatio(server int) float64 {
	return r.loads[server] / r.targetLoad(server, r.totalDemand, r.totalWeight)
}

// shrink removes the servers with the highest load ratio from subsets that are too large. A subset may keep one excess server.
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

// grow adds the servers with the lowest load ratio to subsets that are too small. Each round adds at most one server per forwarder,
// which avoids a preference for forwarders whose names sort first.
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

// leastLoaded returns the usable server with the lowest load ratio that is not in the forwarder's subset, or -1 if there is none.
func (r *rebalancer) leastLoaded(forwarder int) int {
	best := -1
	for server, weight := range r.weights {
		if weight > 0 && (best < 0 || r.loadRatio(server) < r.loadRatio(best)) && !hasServer(r.subsets[forwarder], server) {
			best = server
		}
	}
	return best
}

// moveExcessSlots moves up to a number of slots from overloaded to underloaded servers.
func (r *rebalancer) moveExcessSlots(moves int) {
	for next := 0; moves > 0; moves-- {
		most, least := r.loadExtremes()
		if most < 0 || r.loadRatio(most) < overloadedRatio || r.loadRatio(least) > underloadedRatio {
			return
		}
		forwarder := r.moveSlot(next, most, least)
		if forwarder < 0 {
			return
		}
		next = forwarder + 1
	}
}

// loadExtremes returns the usable servers with the highest and the lowest load ratio, or -1 if no server is usable.
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

// moveSlot moves one slot from one server to another at the first forwarder that allows the move. It returns that forwarder, or -1
// if no forwarder allows the move. The search begins at forwarder start; callers advance start to spread moves over forwarders.
func (r *rebalancer) moveSlot(start, from, to int) int {
	for n := range r.subsets {
		i := (start + n) % len(r.subsets)
		index := slices.IndexFunc(r.subsets[i], func(slot subsetServer) bool { return slot.server == from })
		if index >= 0 && !hasServer(r.subsets[i], to) {
			r.remove(i, index)
			r.add(i, to)
			return i
		}
	}
	return -1
}

func hasServer(subset []subsetServer, server int) bool {
	return slices.ContainsFunc(subset, func(slot subsetServer) bool { return slot.server == server })
}
