package policy

import (
	"math"
	"slices"
	"time"
)

const (
	latencyHeadroomShare  = 0.1             // of the time between unloaded latency and objective; longer waits mean that queues build up at servers
	sustainedLoadMemory   = 1 * time.Second // over which successes are counted
	latencyRatioSmoothing = 0.05            // weight of one attempt
	initialLimitPerServer = 4.0             // over all nodes; it grows with answers
	minLimitPerServer     = 2.0             // over all nodes: enough to see an overload pass
)

// concurrencyLimit bounds the attempts that the node has in flight, over all servers. It follows the rate at which
// attempts succeed and guards against queues that build up at the servers before late answers tell of them.
type concurrencyLimit struct {
	inFlight      float64 // attempts that count toward the limit
	sustainedLoad float64 // attempts in flight that recent successes account for, each taking its allowed time (Little's law)
	grown         float64 // limit that answers have shown to be bearable
	latencyRatio  float64 // time that attempts take over what they are allowed, smoothed
	successRate   float64 // a second
}

// limit returns how many attempts may be in flight.
func (c *concurrencyLimit) limit() float64 {
	return max(c.sustainedLoad+math.Sqrt(c.sustainedLoad), c.grown) / max(c.latencyRatio, 1)
}

// adjust grows the limit by one for each success or timeout that came while the limit was used up, since after a start or
// a rise the rate of successes lags behind. While attempts take longer than allowed it only lets the limit shrink.
// Both times are in seconds: what the attempt took and what it was allowed.
func (c *concurrencyLimit) adjust(elapsed, allowed float64) {
	c.latencyRatio += latencyRatioSmoothing * (elapsed/allowed - c.latencyRatio)
	if c.latencyRatio > 1 {
		c.grown = min(c.grown, c.limit())
	} else if limit := c.limit(); c.inFlight+1 >= limit {
		c.grown = limit + 1
	}
}

// allowedSeconds returns how long attempts of a type may take: the unloaded latency and a share of what is left until
// the latency objective.
func (p *Policy) allowedSeconds(trafficType int) float64 {
	objective := p.settings.TrafficTypes[trafficType].LatencyObjective
	unloaded := min(p.latency.unloaded[trafficType], objective)
	return unloaded.Seconds() + latencyHeadroomShare*(objective-unloaded).Seconds()
}

// isSaturated reports whether as many attempts are in flight as the limit allows.
func (p *Policy) isSaturated() bool {
	least := minLimitPerServer * float64(p.subset.readyCount) / float64(p.settings.NodeCount)
	return p.concurrency.inFlight >= max(p.concurrency.limit(), least, 1)
}

// initLimit sets the limit from the number of servers until the first answer has come.
func (p *Policy) initLimit() {
	if len(p.latency.answers) > 0 && !p.latency.hasAnswers {
		p.concurrency.grown = initialLimitPerServer * float64(p.subset.readyCount) / float64(p.settings.NodeCount)
	}
}

// uncountAttempts takes the attempts in flight of a request out of the concurrency limit.
func (p *Policy) uncountAttempts(request int) {
	attempts := p.requests.all[request].attempts
	for i := range attempts {
		if a := &attempts[i]; !a.ended && !a.uncounted {
			a.uncounted = true
			p.concurrency.inFlight--
		}
	}
}

// routeLimits bounds the requests of a route that have an attempt in flight. Index 0 is for routes without a limit.
type routeLimits struct {
	inFlight []int
	limits   []int // 0: any number
}

// update takes over other limits. Where a limit falls below the number in flight, these go on, and no further request
// gets an attempt until enough of them have ended.
func (l *routeLimits) update(limits []int) {
	l.limits = limits
	l.inFlight = append(l.inFlight, make([]int, max(len(limits)-len(l.inFlight), 0))...)
}

// hasCapacity reports whether another request of a route may have an attempt in flight.
func (l *routeLimits) hasCapacity(routeLimit int) bool {
	return l.limits[routeLimit] == 0 || l.inFlight[routeLimit] < l.limits[routeLimit]
}

func (l *routeLimits) clone() routeLimits {
	return routeLimits{inFlight: slices.Clone(l.inFlight), limits: slices.Clone(l.limits)}
}
