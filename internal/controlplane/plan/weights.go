package plan

import (
	"cmp"
	"math"
	"slices"
)

const (
	weightExponent       = 1.5  // a server's weight is its relative latency to the power of -weightExponent; at 1 all would be equally busy
	minRelativeLatency   = 0.3  // below it a server gets no more for being fast
	minWeightFactor      = 0.02 // so that a slow server still gets enough to be seen to recover
	avoidFactor          = 2.0  // recent over usual relative latency from which a server is avoided
	maxAvoidedShare      = 0.25 // of the servers
	maxNewlyAvoidedShare = 0.05 // of the servers with each plan, but at least one server
	minDivisor           = 1e-9 // guards divisions
)

// updateWeights sets which share of the load each server gets beside the others, and which servers are avoided.
func (p *Planner) updateWeights(servers []string, settings combinedSettings) {
	recent := make(map[string]float64, len(servers))
	for _, id := range servers {
		s := p.servers[id]
		s.capacity = p.slowStartCapacity(s, settings)
		usual, recentRatio := s.latency.ratios()
		s.weight = max(s.incarnation.Weight, 0)
		if s.weight == 0 {
			s.weight = 1
		}
		s.weight *= s.capacity * max(math.Pow(max(usual, minRelativeLatency), -weightExponent), minWeightFactor)
		recent[id] = recentRatio
	}
	p.updateAvoided(servers, recent)
}

// updateAvoided marks the servers to be avoided: those that have become slowest beside how they usually are, by their recent
// over their usual relative latency. What slows half of the servers marks none.
func (p *Planner) updateAvoided(servers []string, recent map[string]float64) {
	bySlowdown := slices.Clone(servers)
	slices.SortStableFunc(bySlowdown, func(a, b string) int { return cmp.Compare(recent[b], recent[a]) })
	median := 1.0
	if len(bySlowdown) > 0 {
		median = max(recent[bySlowdown[len(bySlowdown)/2]], 1)
	}
	maxAvoided := int(maxAvoidedShare * float64(len(servers)))
	maxNew := max(int(maxNewlyAvoidedShare*float64(len(servers))), 1)
	for i, id := range bySlowdown {
		s := p.servers[id]
		isAvoided := recent[id] > avoidFactor*median && i < maxAvoided && (s.isAvoided || maxNew > 0)
		if isAvoided && !s.isAvoided {
			maxNew--
		}
		s.isAvoided = isAvoided
	}
}
