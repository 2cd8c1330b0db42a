package plan

import (
	"math"
	"time"
)

const (
	minConcurrencyShare = 0.5  // of CrashLoadFactor, read as attempts in flight: the least that a server in slow start is given by all
	negligibleRate      = 1e-9 // attempts per second of a forwarder that sends a server nothing; 0 would mean no limit
)

// slowStartCapacity is the share of its capacity that a server has by its age. A server whose start is not known is warm.
func (p *Planner) slowStartCapacity(s *server, settings combinedSettings) float64 {
	age := p.lastComputed - time.Duration(s.incarnation.StartedUnixMS-p.startUnixMS)*time.Millisecond
	if s.incarnation.StartedUnixMS <= 0 || age >= settings.slowStartDuration {
		return 1
	}
	initial := settings.initialCapacity
	return initial + (1-initial)*max(age.Seconds(), 0)/max(settings.slowStartDuration.Seconds(), minDivisor)
}

// slowStartRates returns, by server, how many attempts per second each of its holders may send it while it is in slow start;
// 0: it is warm. All holders together send what a warm server of its weight is sent. If settings count more forwarders than
// report here, the others are taken to send as much.
func (p *Planner) slowStartRates(servers []string, settings combinedSettings, holders []int, reporting int) []float64 {
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
		rates[i] = max(rate/float64(max(holders[i], 1))/max(nonReportingFactor, 1), negligibleRate)
	}
	return rates
}
