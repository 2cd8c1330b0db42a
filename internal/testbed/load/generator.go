package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fernvane/internal/testbed/scenario"
)

const progressInterval = 250 * time.Millisecond

// Generator sends the requests of one schedule. It can be run once.
type Generator struct {
	Scenario  *scenario.Scenario
	Requests  []Request
	Shift     time.Duration                                 // offset of Request.At from the schedule's own times, by which results are reported
	FastCGI   bool                                          // clients speak FastCGI instead of HTTP
	ChecksIDs bool                                          // an answer whose body does not begin with the ID of its try is reported as foreign
	Stall     func(at time.Duration) time.Duration          // delays the generator in tests; see pace
	Progress  func(at time.Duration, started, inFlight int) // called every progressInterval with the number of requests whose first try has ended; may be nil

	picker   Picker
	watcher  Watcher
	start    time.Time
	pools    []pool // by site
	inFlight atomic.Int64
	*Result
}

// Run sends the schedule and returns when the last request has ended. Request.At counts from start. After ctx is cancelled,
// Run starts no more requests, and each request in flight ends with its current try, or with one more if it waits for its
// backoff.
func (g *Generator) Run(ctx context.Context, start time.Time, picker Picker, watcher Watcher) Lateness {
	g.start = start
	g.picker = picker
	g.watcher = watcher
	g.pools = make([]pool, max(len(g.Scenario.Sites), 1))
	g.Result = newResult(g.Scenario, g.Shift)
	lateBy := make([]time.Duration, len(g.Requests)) // 0: not started
	var wg sync.WaitGroup
	done := make(chan struct{})
	go g.reportProgress(done)
	pace(start, g.Requests, ctx.Done(), g.Stall, func(i int) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			lateBy[i] = max(time.Since(start)-g.Requests[i].At, 1)
			g.runRequest(ctx, i)
		}()
	})
	wg.Wait()
	close(done)
	for i := range g.pools {
		g.pools[i].close()
	}
	return lateness(g.Requests, lateBy, g.Shift)
}

// reportProgress calls Progress until done is closed.
func (g *Generator) reportProgress(done <-chan struct{}) {
	if g.Progress == nil {
		return
	}
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			at := time.Since(g.start) - g.Shift
			g.Progress(at, g.startedCount(), int(g.inFlight.Load()))
		}
	}
}
