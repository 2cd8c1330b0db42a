package load

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"fernvane/internal/testbed/scenario"
)

// Watcher is notified of each try. Its methods are called from many goroutines.
type Watcher interface {
	// Sending reports that the first byte is about to be written.
	Sending(t *Try)
	// Sent reports that the last byte was written.
	Sent(t *Try)
	// Unread reports that the connection had been closed before the request was read; it is sent once more.
	Unread(t *Try)
	// Ended reports that the try is over, by whatever its End says.
	Ended(t *Try)
	// Extra reports that bytes came on a connection on which nothing was asked.
	Extra(w Way)
	// Lives reports that what a way leads to has run ever since a moment.
	Incarnations(w Way, since time.Duration) bool
}

// Nobody watches.
type Nobody struct{}

// Sending does nothing.
func (Nobody) Sending(*Try) {}

// Sent does nothing.
func (Nobody) Sent(*Try) {}

// Unread does nothing.
func (Nobody) Unread(*Try) {}

// Ended does nothing.
func (Nobody) Ended(*Try) {}

// Extra does nothing.
func (Nobody) Extra(Way) {}

// Incarnations is true of whatever is asked for.
func (Nobody) Incarnations(Way, time.Duration) bool { return true }

const (
	behindBy    = 10 * time.Millisecond // a request begun so late was the generator's fault
	fewInBin    = 100                   // requests; fewer in a bin differ by chance of a single one
	behindShare = 0.01                  // of the requests; beyond it the run does not count
)

// Generator sends one schedule.
type Generator struct {
	Scenario *scenario.Scenario
	Requests []Request
	Shift    time.Duration                           // of all moments against the schedule that the results count by
	FastCGI  bool                                    // what the clients speak; else HTTP
	Checked  bool                                    // answers begin with the id of their request, or are foreign
	Stall    func(at time.Duration) time.Duration    // see pace; for tests
	Progress func(at time.Duration, begun, open int) // called now and then

	target Target
	watch  Watcher
	start  time.Time
	pools  []pool
	inHand atomic.Int64
	*Result
}

// Lateness is how far the generator itself fell behind its schedule.
type Lateness struct {
	Max    time.Duration
	Share  float64 // of the requests that began more than behindBy late
	Behind bool    // too many for the run to count
	Bin    float64 // the most by which the requests begun in 100 ms differ from the schedule, as a share of it
}

const binWidth = 100 * time.Millisecond

// worstBin compares when requests began with when they should have. A bin with few requests says nothing.
func worstBin(ops []Request, late []time.Duration, shift time.Duration) (worst float64) {
	begun := make([]Request, 0, len(ops))
	planned := make([]Request, len(ops))
	for i, o := range ops {
		planned[i].At = o.At - shift
		if late[i] > 0 {
			begun = append(begun, Request{At: o.At - shift + late[i]})
		}
	}
	n := Bins(begun, binWidth)
	for i, want := range Bins(planned, binWidth) {
		got := 0
		if i < len(n) {
			got = n[i]
		}
		if want >= fewInBin {
			worst = max(worst, math.Abs(float64(got-want))/float64(want))
		}
	}
	return worst
}

// Run sends the schedule from a moment on, and returns when the last request has ended. A cancelled context ends the
// sending, and what is open is given up.
func (g *Generator) Run(ctx context.Context, start time.Time, door Target, watch Watcher) Lateness {
	g.start, g.target, g.watch = start, door, watch
	g.pools = make([]pool, max(len(g.Scenario.Sites), 1))
	g.Result = newResult(g.Scenario, g.Shift)
	late := make([]time.Duration, len(g.Requests))
	var wg sync.WaitGroup
	done := make(chan struct{})
	go g.progress(done)
	pace(start, g.Requests, ctx.Done(), g.Stall, func(i int) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			late[i] = max(time.Since(start)-g.Requests[i].At, 1)
			g.request(ctx, i)
		}()
	})
	wg.Wait()
	close(done)
	for i := range g.pools {
		g.pools[i].close()
	}
	var l Lateness
	behind, begun := 0, 0
	for _, d := range late {
		if d > 0 {
			begun++
		}
		if l.Max = max(l.Max, d); d > behindBy {
			behind++
		}
	}
	l.Share = float64(behind) / float64(max(begun, 1))
	l.Behind = l.Share > behindShare
	l.Bin = worstBin(g.Requests, late, g.Shift)
	return l
}

func (g *Generator) progress(done <-chan struct{}) {
	if g.Progress == nil {
		return
	}
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			at := time.Since(g.start) - g.Shift
			g.Progress(at, g.begun(), int(g.inHand.Load()))
		}
	}
}

// request is a client's whole dealing with one request: tries until it is handled, its retries are used up, or a
// failure forbids a non-idempotent one to be sent again.
func (g *Generator) request(ctx context.Context, i int) {
	g.inHand.Add(1)
	defer g.inHand.Add(-1)
	s, o := g.Scenario, &g.Requests[i]
	kind := &s.Types[o.Type]
	r := request{path: kind.Path, key: o.Key,
		wait: time.Duration(s.Clients.GivesUp * float64(kind.Abandon))}
	r.method = methods[kind.Repeat]
	if r.method != "GET" {
		r.body = body
	}
	if o.Leaves {
		if r.leaves = time.Duration(s.Clients.LeavesAt * float64(kind.Abandon)); i%2 == 0 && !g.FastCGI {
			r.behind = []byte("GET ")
		}
	}
	if o.Tenant >= 0 {
		r.tenant = s.Tenants[o.Tenant].Name
	}
	var t Try
	for n := 0; ; n++ {
		t = Try{ID: ID(i, n), Request: i, Number: n}
		g.do(ctx, o.Site, &r, &t, s.Rules.Slack.Std())
		g.watch.Ended(&t)
		g.tried(&t)
		denied := t.End == Answered && (t.Status == 429 || t.Status == 503) || t.End == Unsent
		handled := t.End == Answered && t.Status == 200
		if handled || o.Leaves || n >= s.Clients.Retries || !denied && kind.Repeat == "binding" || ctx.Err() != nil {
			break
		}
		wait := s.Clients.Backoff.Std()
		if s.Clients.Exponent {
			wait <<= n
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	g.ended(o, &t)
}

// methods follow from what may be done with a request.
var methods = map[string]string{"retriable": "GET", "fingerprinted": "PUT", "binding": "POST"}

var body = []byte("what the client sends, as long as a short form filled in at a counter")
