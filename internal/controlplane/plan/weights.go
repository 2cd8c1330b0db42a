package plan

import (
	"cmp"
	"math"
	"slices"
)

const (
	weightExponent       = 1.5  // weight = relative latency ^ -weightExponent; an exponent of 1 would make all servers equally busy
	minRelativeLatency   = 0.3  // lower relative latencies do not increase the weight further
	minWeightFactor      = 0.02 // leaves a slow server enough requests to detect its recovery
	avoidFactor          = 2.0  // min ratio of recent to usual relative latency, over the median, of an avoided server
	maxAvoidedShare      = 0.25 // max share of servers avoided
	maxNewlyAvoidedShare = 0.05 // max share of servers newly avoided per plan; at least one server
	minDivisor           = 1e-9 // prevents division by zero
)

// updateWeights updates the weight, slow start capacity and avoidance of each server.
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

// updateAvoided marks the servers with the largest ratio of recent to usual relative latency as avoided. The ratio is compared with
// the median over all servers, so a slowdown of more than half of the servers marks none.
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
