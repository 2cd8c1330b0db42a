package plan

import "slices"

const (
	fitRounds        = 15   // iterations of proportional fitting
	minRelativeShare = 0.01 // relative to the largest share of a subset; smaller shares are removed
)

// fit computes the shares within the subsets by iterative proportional fitting. The shares of each forwarder add up to 1, and the
// load of each server approximates its target load as closely as the subsets allow.
func (a *assignment) fit() {
	totalDemand, totalWeight := 0.0, 0.0
	for _, demand := range a.demands {
		totalDemand += demand
	}
	for _, weight := range a.weights {
		totalWeight += weight
	}
	for i, subset := range a.subsets {
		for j := range subset {
			subset[j].share = a.weights[subset[j].server]
		}
		a.normalize(i)
	}
	for range fitRounds {
		loads := a.shareLoads()
		for i, subset := range a.subsets {
			for j := range subset {
				server := subset[j].server
				subset[j].share *= a.targetLoad(server, totalDemand, totalWeight) / max(loads[server], minTargetLoad)
			}
			a.normalize(i)
		}
	}
	for i := range a.subsets {
		a.dropSmallShares(i)
	}
}

// shareLoads returns the load of each server under the current shares, in attempts per second.
func (a *assignment) shareLoads() []float64 {
	loads := make([]float64, len(a.servers))
	for i, subset := range a.subsets {
		for _, slot := range subset {
			loads[slot.server] += slot.share * a.demands[i]
		}
	}
	return loads
}

// dropSmallShares removes the servers with negligible shares from a forwarder's subset.
func (a *assignment) dropSmallShares(forwarder int) {
	largest := 0.0
	for _, slot := range a.subsets[forwarder] {
		largest = max(largest, slot.share)
	}
	a.subsets[forwarder] = slices.DeleteFunc(a.subsets[forwarder], func(slot subsetServer) bool { return slot.share < minRelativeShare*largest })
	a.normalize(forwarder)
}

// normalize scales a forwarder's shares to a sum of 1.
func (a *assignment) normalize(forwarder int) {
	subset, sum := a.subsets[forwarder], 0.0
	for _, slot := range subset {
		sum += slot.share
	}
	for j := range subset {
		if sum > 0 {
			subset[j].share /= sum
		} else {
			subset[j].share = 1 / float64(len(subset))
		}
	}
}
