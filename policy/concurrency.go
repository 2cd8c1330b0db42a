package policy

import (
	"math"
	"slices"
	"time"
)

const (
	latencyHeadroomShare  = 0.1             // of the time from unloaded latency to objective; longer waits mean that queues grow at servers
	sustainedLoadMemory   = 1 * time.Second // over which successes are counted
	latencyRatioSmoothing = 0.05            // weight of one attempt
	initialLimitPerServer = 4.0             // over all nodes; grows with responses
	minLimitPerServer     = 2.0             // over all nodes: enough to detect the end of an overload
)

// concurrencyLimit bounds the attempts that the node has in flight over all servers. It follows the rate of
// successful attempts and prevents queues at the servers from growing before late responses indicate them.
type concurrencyLimit struct {
	inFlight      float64 // attempts that count toward the limit
	sustainedLoad float64 // attempts in flight that recent successes account for, each with its allowed time (Little's law)
	provenLimit   float64 // limit that responses have shown to be sustainable
	latencyRatio  float64 // time that attempts take over their allowed time, smoothed
	successRate   float64 // successful attempts a second, over rateMemory
}

// limit returns the number of attempts that may be in flight.
func (c *concurrencyLimit) limit() float64 {
	return max(c.sustainedLoad+math.Sqrt(c.sustainedLoad), c.provenLimit) / max(c.latencyRatio, 1)
}

// adjust raises the limit by one for each success or timeout that occurs while the limit is used up, since the rate
// of successes lags behind after a start or a rise in load. While attempts take longer than allowed, the limit only
// shrinks. Both times are in seconds: the duration of the attempt and its allowed time.
func (c *concurrencyLimit) adjust(elapsed, allowed float64) {
	c.latencyRatio += latencyRatioSmoothing * (elapsed/allowed - c.latencyRatio)
	if c.latencyRatio > 1 {
		c.provenLimit = min(c.provenLimit, c.limit())
	} else if limit := c.limit(); c.inFlight+1 >= limit {
		c.provenLimit = limit + 1
	}
}

// allowedSeconds returns the time that attempts of a type may take: the unloaded latency and a share of the rest of
// the latency objective.
func (p *Policy) allowedSeconds(trafficType int) float64 {
	objective := p.settings.TrafficTypes[trafficType].LatencyObjective
	unloaded := min(p.latency.unloaded[trafficType], objective)
	return unloaded.Seconds() + latencyHeadroomShare*(objective-unloaded).Seconds()
}

// isSaturated reports whether the number of attempts in flight has reached the limit, or its lower bound if that is
// higher.
func (p *Policy) isSaturated() bool {
	least := minLimitPerServer * float64(p.subset.readyCount) / float64(p.settings.NodeCount)
	return p.concurrency.inFlight >= max(p.concurrency.limit(), least, 1)
}

// initLimit sets the limit from the number of servers until the first response arrives.
func (p *Policy) initLimit() {
	if len(p.latency.responseCounts) > 0 && !p.latency.hasResponses {
		p.concurrency.provenLimit = initialLimitPerServer * float64(p.subset.readyCount) / float64(p.settings.NodeCount)
	}
}

// uncountAttempts removes the attempts in flight of a request from the concurrency limit.
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
	limits   []int // 0: unlimited
}

// update replaces the limits. If a limit falls below the number in flight, these requests continue, and no further
// request gets an attempt until enough of them have ended.
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
