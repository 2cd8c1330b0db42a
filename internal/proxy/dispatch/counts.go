package dispatch

import "fernvane/internal/route"

// Counts contains the numbers of settled requests and ended attempts since the previous call of Dispatcher.Counts, and the
// current numbers of open requests and connections.
type Counts struct {
	// Settled requests, by final decision.
	Responded    int
	Rejected     int
	Failed       int // outcome unknown, or a server's report of a fault of the request was forwarded to the client
	Disconnected int // settled by a client's disconnect, or by Request.Close after a panic

	// Requests that were not accepted. Those with ErrDuplicateID, ErrUsedID or ErrRoutesChanged are not counted.
	NoCapacity   int // too many requests in flight
	RouteLimited int // a limit of the route was reached

	Hedges         int // attempts sent while another of the same request was in flight: hedged attempts, and retries beside a hedged attempt
	AttemptResults [attemptResultCount]int

	// Current numbers.
	OpenRequests      int
	ClientConnections int
	ServerConnections int
}

// EachAttemptResult calls f with the count of each result that occurred at least once.
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

// Counts returns the counts since the previous call and resets them.
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

// RouteCounts calls f for each route with its own limits, with the counts of its requests since the previous call.
// f is called with the lock held; it must not block or call the Dispatcher.
func (d *Dispatcher) RouteCounts(f func(route string, inFlight int, c route.LimiterCounts)) {
	d.mu.Lock()
	defer d.unlock()
	d.routes.TakeCounts(f)
}
