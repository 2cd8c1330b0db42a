package plan

import "slices"

const (
	fitRounds        = 15   // of proportional fitting
	minRelativeShare = 0.01 // of the largest share of a subset; less is none
)

// fit sets the shares within the subsets so that each server gets its target load as nearly as the subsets allow: shares of a
// forwarder add up to 1, loads of a server to its target. The method is iterative proportional fitting.
func (a *assignment) fit() {
	totalDemand, totalWeight := 0.0, 0.0
	for _, demand := range a.demands {
		totalDemand += demand
	}
	for _, weight := range a.weights {
		totalWeight += weight
	}
	for i, subset := range a.subsets {
		for c := range subset {
			subset[c].share = a.weights[subset[c].server]
		}
		a.normalize(i)
	}
	for range fitRounds {
		loads := a.shareLoads()
		for i, subset := range a.subsets {
			for c := range subset {
				server := subset[c].server
				subset[c].share *= a.targetLoad(server, totalDemand, totalWeight) / max(loads[server], minTargetLoad)
			}
			a.normalize(i)
		}
	}
	for i := range a.subsets {
		a.dropSmallShares(i)
	}
}

// shareLoads is each server's load by the shares, in attempts per second.
func (a *assignment) shareLoads() []float64 {
	loads := make([]float64, len(a.servers))
	for i, subset := range a.subsets {
		for _, c := range subset {
			loads[c.server] += c.share * a.demands[i]
		}
	}
	return loads
}

// dropSmallShares removes a forwarder's negligible shares.
func (a *assignment) dropSmallShares(forwarder int) {
	largest := 0.0
	for _, c := range a.subsets[forwarder] {
		largest = max(largest, c.share)
	}
	a.subsets[forwarder] = slices.DeleteFunc(a.subsets[forwarder], func(c subsetServer) bool { return c.share < minRelativeShare*largest })
	a.normalize(forwarder)
}

// normalize makes a forwarder's shares add up to 1.
func (a *assignment) normalize(forwarder int) {
	subset, sum := a.subsets[forwarder], 0.0
	for _, c := range subset {
		sum += c.share
	}
	for c := range subset {
		if sum > 0 {
			subset[c].share /= sum
		} else {
			subset[c].share = 1 / float64(len(subset))
		}
	}
}
