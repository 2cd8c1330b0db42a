package dispatch

import "fernvane/internal/route"

// Counts is what became of operations and hops since it was last asked for, and what is open now.
type Counts struct {
	Handled, Denied, WrittenOff, Left int
	NoRoom                            int // operations denied before the module was asked
	Limited                           int // operations that their route did not take
	Copies                            int // second copies
	Ends                              [ends]int
	Open, Clients, Servers            int
}

// Each calls f for the ends that occurred.
func (c Counts) Each(f func(e End, n int)) {
	for e, n := range c.Ends {
		if n > 0 {
			f(End(e), n)
		}
	}
}

func (c *Counts) decided(k DecisionKind) {
	switch k {
	case Handled:
		c.Handled++
	case Deny:
		c.Denied++
	case WriteOff:
		c.WrittenOff++
	case Drop:
		c.Left++
	}
}

// Counts returns the counts since the last call.
func (f *Fleet) Counts() Counts {
	f.mu.Lock()
	defer f.unlock()
	c := f.counts
	f.counts = Counts{}
	c.Open, c.Servers = len(f.ops), f.room.share-f.room.servers
	c.Clients = f.room.most - f.room.free - c.Servers
	return c
}

// RouteCounts tells what became of operations at each route that has limits of its own since the last call.
func (f *Fleet) RouteCounts(each func(route string, inHand int, c route.GateCounts)) {
	f.mu.Lock()
	defer f.unlock()
	f.routes.Counts(each)
}
