package dispatch

import "fernvane/internal/route"

// Counts is what became of operations and hops since it was last asked for, and what is open now.
type Counts struct {
	Responded, Rejected, Failed, Disconnected          int
	NoCapacity                                         int // operations denied before the module was asked
	RouteLimited                                       int // operations that their route did not take
	Hedges                                             int // second copies
	AttemptResults                                     [attemptResultCount]int
	OpenRequests, ClientConnections, ServerConnections int
}

// EachAttemptResult calls f for the ends that occurred.
func (c Counts) EachAttemptResult(f func(e AttemptResult, n int)) {
	for e, n := range c.AttemptResults {
		if n > 0 {
			f(AttemptResult(e), n)
		}
	}
}

func (c *Counts) decided(k Action) {
	switch k {
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
func (f *Dispatcher) Counts() Counts {
	f.mu.Lock()
	defer f.unlock()
	c := f.counts
	f.counts = Counts{}
	c.OpenRequests, c.ServerConnections = len(f.requests), f.budget.perSide-f.budget.freeForServers
	c.ClientConnections = f.budget.total - f.budget.free - c.ServerConnections
	return c
}

// RouteCounts tells what became of operations at each route that has limits of its own since the last call.
func (f *Dispatcher) RouteCounts(each func(route string, inHand int, c route.GateCounts)) {
	f.mu.Lock()
	defer f.unlock()
	f.routes.Counts(each)
}
