package dispatch

import "fernvane/internal/route"

// Counts says what became of requests and attempts since the last call of Dispatcher.Counts, and what is open now.
type Counts struct {
	// Requests by their final answer.
	Responded    int
	Rejected     int
	Failed       int // outcome unknown, or a server found the request itself faulty and its answer was forwarded
	Disconnected int // the client left before, or Request.Close was called before (after a panic)

	// Requests that were not accepted. Those with ErrDuplicateID or ErrRoutesChanged are not counted.
	NoCapacity   int // too many in flight
	RouteLimited int // by a limit of their route

	Hedges         int // attempts sent while another of the same request was in flight: hedged, or a retry beside a hedge
	AttemptResults [attemptResultCount]int

	// Open now.
	OpenRequests      int
	ClientConnections int
	ServerConnections int
}

// EachAttemptResult calls f for each result that occurred.
func (c Counts) EachAttemptResult(f func(result AttemptResult, n int)) {
	for result, n := range c.AttemptResults {
		if n > 0 {
			f(AttemptResult(result), n)
		}
	}
}

func (c *Counts) recordFinal(action Action) {
	switch action {
	case Respond:
		c.Responded++
	case Reject:
		c.Rejected++
	case Fail:
		c.Failed++
	case Drop:
		c.Disconnected++
	}
}

// Counts returns the counts since the last call.
func (d *Dispatcher) Counts() Counts {
	d.mu.Lock()
	defer d.unlock()
	c := d.counts
	d.counts = Counts{}
	c.OpenRequests = len(d.requests.byID)
	c.ServerConnections = d.budget.perSide - d.budget.freeForServers
	c.ClientConnections = d.budget.total - d.budget.free - c.ServerConnections
	return c
}

// RouteCounts calls f for each route that has limits of its own, with what became of its requests since the last call.
func (d *Dispatcher) RouteCounts(f func(route string, inFlight int, c route.LimiterCounts)) {
	d.mu.Lock()
	defer d.unlock()
	d.routes.TakeCounts(f)
}
