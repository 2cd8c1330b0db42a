package plan

import (
	"math"
	"time"
)

const (
	minConcurrencyShare = 0.5  // min attempts in flight at a server in slow start, over all forwarders, as a share of CrashLoadFactor
	negligibleRate      = 1e-9 // attempts per second; effectively blocks requests, since a rate of 0 means no limit
)

// slowStartCapacity returns the share of the full capacity that a server has at its age. A server with unknown start time is warm.
func (p *Planner) slowStartCapacity(s *server, settings combinedSettings) float64 {
	age := p.lastComputed - time.Duration(s.incarnation.StartedUnixMS-p.startUnixMS)*time.Millisecond
	if s.incarnation.StartedUnixMS <= 0 || age >= settings.slowStartDuration {
		return 1
	}
	initial := settings.initialCapacity
	return initial + (1-initial)*max(age.Seconds(), 0)/max(settings.slowStartDuration.Seconds(), minDivisor)
}

// slowStartRates returns, by server, the limit in attempts per second for each forwarder that uses a server in slow start, or 0 for
// a warm server. The sum over the forwarders equals the rate of a warm server of the same weight, or the rate that
// minConcurrencyShare requires if that is higher. If more forwarders are configured than report to this planner, the others are
// assumed to send requests at the same rate.
func (p *Planner) slowStartRates(servers []string, settings combinedSettings, forwarderCounts []int, reporting int) []float64 {
	totalRate, totalWeight, usualLatency := 0.0, 0.0, 0.0
	for _, f := range p.forwarders {
		totalRate += f.rate
	}
	for _, id := range servers {
		totalWeight += max(p.servers[id].incarnation.Weight, 0)
	}
	for _, t := range p.types {
		usualLatency = max(usualLatency, t.usualSeconds)
	}
	nonReportingFactor := float64(settings.forwarders) / float64(max(reporting, 1))
	rates := make([]float64, len(servers))
	for i, id := range servers {
		s := p.servers[id]
		if s.capacity >= 1 {
			continue
		}
		rate := totalRate * max(s.incarnation.Weight, 0) / max(totalWeight, minDivisor)
		if !math.IsInf(settings.crashLoadFactor, 1) && usualLatency > 0 {
			rate = max(rate, minConcurrencyShare*settings.crashLoadFactor/usualLatency)
		}
		rates[i] = max(rate/float64(max(forwarderCounts[i], 1))/max(nonReportingFactor, 1), negligibleRate)
	}
	return rates
}
