package policy

import (
	"cmp"
	"time"
)

const (
	maxQueueShare    = 0.3 // of the latency objective: longest time in the queue, unless the type sets MaxQueueTime
	minLatenciesLeft = 1.5 // typical latencies that must remain until the objective after queueing
)

// dequeueCounter numbers the dequeue runs, so that each run tries a request once.
type dequeueCounter struct {
	count int
}

// canQueue reports whether a request may wait for a slot of the concurrency limit, an endpoint list or a server in
// slow start, and still get its response within its objective.
func (p *Policy) canQueue(request int) bool {
	r := &p.requests.all[request]
	t := &p.settings.TrafficTypes[r.trafficType]
	needed := time.Duration(minLatenciesLeft * float64(p.latency.typical[r.trafficType]))
	longest := cmp.Or(t.MaxQueueTime, time.Duration(maxQueueShare*float64(t.LatencyObjective)))
	return p.now+needed < r.objectiveAt && p.now-r.arrivedAt <= longest
}

// canWaitForConnection reports whether a request whose attempt got no connection, so that nothing ran, may wait for a
// server with a free connection.
func (p *Policy) canWaitForConnection(request int) bool {
	r := &p.requests.all[request]
	t := &p.settings.TrafficTypes[r.trafficType]
	return r.lastOutcome == Unreachable && !r.mayHaveRun && len(r.attempts) < p.maxAttempts(t) && p.canQueue(request)
}

// dequeue assigns free slots of the concurrency limit to queued requests, in descending order of weight.
func (p *Policy) dequeue() {
	exhausted := uint64(0) // placements without an available server
	p.dequeues.count++
	for !p.isSaturated() {
		best := p.nextQueued(exhausted)
		if best < 0 {
			return
		}
		r := &p.requests.all[best]
		r.lastDequeue = p.dequeues.count
		p.advance(best, onTick)
		t := &p.settings.TrafficTypes[r.trafficType]
		if r.state != stateQueued || t.PoolLabels != 0 {
			continue
		}
		if t.PlacementBit == 0 {
			return // no server for a request without restrictions, so none for the others
		}
		exhausted |= t.PlacementBit
	}
}

// nextQueued returns the queued request of the highest weight that this dequeue run has not tried, or -1.
func (p *Policy) nextQueued(exhausted uint64) int {
	best := -1
	for _, request := range p.requests.open.Items() {
		r := &p.requests.all[request]
		canTry := r.state == stateQueued && r.lastDequeue != p.dequeues.count && p.routes.hasCapacity(r.routeLimit) &&
			p.settings.TrafficTypes[r.trafficType].PlacementBit&exhausted == 0
		if canTry && (best < 0 || p.classWeight(r.class) > p.classWeight(p.requests.all[best].class)) {
			best = request
		}
	}
	return best
}
