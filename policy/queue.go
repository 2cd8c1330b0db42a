package policy

import (
	"cmp"
	"time"
)

const (
	maxQueueShare    = 0.3 // of the latency objective that a request may wait for its turn
	minLatenciesLeft = 1.5 // typical latencies that must be left after the wait
)

// dequeueCounter numbers the dequeueings, so that each one tries a request once.
type dequeueCounter struct {
	count int
}

// canQueue reports whether a request may wait, for a slot of the concurrency limit, an endpoint list or a server in
// slow start, and still be answered within its objective.
func (p *Policy) canQueue(request int) bool {
	r := &p.requests.all[request]
	t := &p.settings.TrafficTypes[r.trafficType]
	needed := time.Duration(minLatenciesLeft * float64(p.latency.typical[r.trafficType]))
	longest := cmp.Or(t.MaxQueueTime, time.Duration(maxQueueShare*float64(t.LatencyObjective)))
	return p.now+needed < r.objectiveAt && p.now-r.arrivedAt <= longest
}

// canWaitForConnection reports whether a request whose attempt got no connection, so that nothing ran, may wait for a
// server that has one to spare.
func (p *Policy) canWaitForConnection(request int) bool {
	r := &p.requests.all[request]
	t := &p.settings.TrafficTypes[r.trafficType]
	return r.lastOutcome == Unreachable && !r.mayHaveRun && len(r.attempts) < p.maxAttempts(t) && p.canQueue(request)
}

// dequeue gives free slots of the concurrency limit to waiting requests, those of the highest weight first.
func (p *Policy) dequeue() {
	stuck := uint64(0) // placements of which no server is to be had now
	p.dequeues.count++
	for !p.isSaturated() {
		best := p.nextQueued(stuck)
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
			return // no server for this one, so none for the others
		}
		stuck |= t.PlacementBit
	}
}

// nextQueued returns the waiting request of the highest weight that this dequeueing has not tried, or -1.
func (p *Policy) nextQueued(stuck uint64) int {
	best := -1
	for _, request := range p.requests.open.Items() {
		r := &p.requests.all[request]
		canTry := r.state == stateQueued && r.lastDequeue != p.dequeues.count && p.routes.hasCapacity(r.routeLimit) &&
			p.settings.TrafficTypes[r.trafficType].PlacementBit&stuck == 0
		if canTry && (best < 0 || p.classWeight(r.class) > p.classWeight(p.requests.all[best].class)) {
			best = request
		}
	}
	return best
}
