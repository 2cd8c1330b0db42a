package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fernvane/internal/testbed/scenario"
)

const (
	// BinWidth is the bin width of Result.Series.
	BinWidth      = 250 * time.Millisecond
	minLatencyUS  = int64(1)
	maxLatencyUS  = int64(60 * time.Second / time.Microsecond)
	latencyDigits = 3 // significant digits of histograms
)

// Outcome is the final outcome of a request, after all its tries.
type Outcome uint8

// Outcomes of a request, derived from its last try.
const (
	Handled           Outcome = iota // answered with success before the client's timeout
	WithinObjective                  // handled within the latency objective of its type; also counted as Handled
	Rejected                         // answered with a rejection
	Failed                           // answered with another status, or the connection ended
	NoAnswer                         // not answered before the client's timeout
	Unreached                        // not sent, because no node could be reached
	DisconnectedEarly                // the client disconnected; the request has no revenue
	outcomeCount
)

// Point is one bin of a time series. Requests belong to the bin of their scheduled time.
type Point struct {
	OfferedRevenue float64
	EarnedRevenue  float64 // of requests answered within their objective
	Rejected       int     // requests
	Failed         int     // requests that were neither handled nor rejected
	Latency        *hdrhistogram.Histogram
}

// Result holds the outcomes of a schedule. Its fields may be read after Generator.Run has returned.
type Result struct {
	mu       sync.Mutex // guards all but scenario and shift during the run
	scenario *scenario.Scenario
	shift    time.Duration
	started  int // requests whose first try has ended

	Outcomes       [outcomeCount]int
	Tries          int
	Rejections     int // rejected tries
	OfferedRevenue float64
	EarnedRevenue  float64 // of requests answered within their objective
	ByType         []Share
	ByTenant       []Share
	BySite         []Share
	Series         []Point
}

// Share is the part of a result that concerns one type, tenant or site.
type Share struct {
	Name           string
	OfferedRevenue float64
	EarnedRevenue  float64
	Latency        *hdrhistogram.Histogram // microseconds from the scheduled time, of requests that were handled or got no answer
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyUS, maxLatencyUS, latencyDigits)
}

func newResult(s *scenario.Scenario, shift time.Duration) *Result {
	r := &Result{scenario: s, shift: shift}
	share := func(name string) Share { return Share{Name: name, Latency: newHistogram()} }
	for _, t := range s.Types {
		r.ByType = append(r.ByType, share(t.Name))
	}
	for _, t := range s.Tenants {
		r.ByTenant = append(r.ByTenant, share(t.Name))
	}
	for _, site := range s.Sites {
		r.BySite = append(r.BySite, share(site))
	}
	return r
}

// startedCount returns the number of requests whose first try has ended.
func (r *Result) startedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started
}

// recordTry counts a try that ended.
func (r *Result) recordTry(t *Try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Number == 0 {
		r.started++
	}
	r.Tries++
	if t.isRejected() {
		r.Rejections++
	}
}

// outcome returns the outcome of a request whose last try is t.
func (t *Try) outcome() Outcome {
	switch {
	case t.End == Disconnected:
		return DisconnectedEarly
	case t.isHandled():
		return Handled
	case t.isRejected():
		return Rejected
	case t.End == Unsent:
		return Unreached
	case t.End == Answered, t.End == Dropped:
		return Failed
	}
	return NoAnswer
}

// recordOutcome counts a request by its last try, in the bin of its scheduled time. The latency of a request that got no
// answer is the time that its client waited; without it, a node that does not answer would appear fast.
func (r *Result) recordOutcome(scheduled *Request, last *Try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome := last.outcome()
	r.Outcomes[outcome]++
	if outcome == DisconnectedEarly {
		return
	}
	offered := r.RevenueOf(scheduled)
	earned := 0.0
	latency := last.Ended - scheduled.At
	if outcome == Handled && latency <= r.scenario.Types[scheduled.Type].LatencyObjective.Std() {
		r.Outcomes[WithinObjective]++
		earned = offered
	}
	point := r.point(scheduled.At)
	switch outcome {
	case Handled:
	case Rejected:
		point.Rejected++
	default:
		point.Failed++
	}
	r.OfferedRevenue += offered
	r.EarnedRevenue += earned
	point.OfferedRevenue += offered
	point.EarnedRevenue += earned
	hasLatency := outcome == Handled || outcome == NoAnswer
	for _, share := range r.sharesOf(scheduled) {
		share.OfferedRevenue += offered
		share.EarnedRevenue += earned
		if hasLatency {
			share.Latency.RecordValue(min(latency.Microseconds(), maxLatencyUS))
		}
	}
	if hasLatency {
		point.Latency.RecordValue(min(latency.Microseconds(), maxLatencyUS))
	}
}

// point returns the bin of a scheduled time.
func (r *Result) point(at time.Duration) *Point {
	bin := int((at - r.shift) / BinWidth)
	for len(r.Series) <= bin {
		r.Series = append(r.Series, Point{Latency: newHistogram()})
	}
	return &r.Series[bin]
}

// sharesOf returns the shares that a request belongs to.
func (r *Result) sharesOf(scheduled *Request) []*Share {
	shares := []*Share{&r.ByType[scheduled.Type], &r.BySite[scheduled.Site]}
	if scheduled.Tenant >= 0 {
		shares = append(shares, &r.ByTenant[scheduled.Tenant])
	}
	return shares
}

// RevenueOf returns the revenue that a request offers. It is reduced for requests beyond their tenant's allowance.
func (r *Result) RevenueOf(scheduled *Request) float64 {
	revenue := r.scenario.Types[scheduled.Type].Revenue
	if scheduled.OverAllowance {
		revenue *= r.scenario.Load.OverageRevenue
	}
	return revenue
}

// ServiceShare returns the ratio of earned to offered revenue, 0 if no revenue was offered.
func (r *Result) ServiceShare() float64 {
	if r.OfferedRevenue == 0 {
		return 0
	}
	return r.EarnedRevenue / r.OfferedRevenue
}
