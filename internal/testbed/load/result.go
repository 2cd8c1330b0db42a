package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fernvane/internal/testbed/scenario"
)

const (
	// BinWidth is the span of one point of a Series.
	BinWidth    = 250 * time.Millisecond
	shortestLat = int64(1)                        // microseconds that a histogram tells apart
	longestLat  = int64(60 * time.Second / 1_000) // microseconds
	digits      = 3                               // of a latency
)

// Outcome is how a request ended, with all its tries.
type Outcome uint8

// Outcomes of a request.
const (
	Handled           Outcome = iota // answered with success in the client's time
	WithinObjective                  // handled within its target time; counted in Handled as well
	Rejected                         // the last try was
	Failed                           // the last try was, or its connection ended
	NoAnswer                         // the last try got none in time
	Unreached                        // the last try found no node to send to
	DisconnectedEarly                // its client went before its time was up: nothing was to be gained
	outcomes
)

// Point is one span of a Series.
type Point struct {
	Asked    float64 // revenue asked for
	Gained   float64 // of it, answered within the target time, by when it was asked
	Rejected int     // requests
	Failed   int     // likewise
	Latency  *hdrhistogram.Histogram
}

// Result is what a schedule met.
type Result struct {
	mu       sync.Mutex
	scenario *scenario.Scenario
	shift    time.Duration
	started  int

	Outcomes   [outcomes]int
	Tries      int
	Rejections int     // of tries
	Asked      float64 // revenue asked for
	Gained     float64 // of it, answered within the target time
	ByType     []Share
	ByTenant   []Share
	BySite     []Share
	Series     []Point
}

// Share is the part of a result that one type, tenant or site has.
type Share struct {
	Name    string
	Asked   float64                 // revenue asked for
	Gained  float64                 // of it, answered within the target time
	Latency *hdrhistogram.Histogram // microseconds from the scheduled moment, of requests handled or not answered
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(shortestLat, longestLat, digits)
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

func (r *Result) begun() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started
}

func (r *Result) tried(t *Try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Number == 0 {
		r.started++
	}
	r.Tries++
	if t.End == Answered && (t.Status == 429 || t.Status == 503) {
		r.Rejections++
	}
}

// ended books a request under the moment at which it was scheduled. A request that got no answer counts with the
// time that its client waited: leaving it out would make a silent node look fast.
func (r *Result) ended(o *Request, t *Try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.End == Disconnected {
		r.Outcomes[DisconnectedEarly]++
		return
	}
	worth, latency := r.Worth(o), t.Ended-o.At
	bin := int((o.At - r.shift) / BinWidth)
	for len(r.Series) <= bin {
		r.Series = append(r.Series, Point{Latency: newHistogram()})
	}
	p := &r.Series[bin]
	parts := []*Share{&r.ByType[o.Type], &r.BySite[o.Site]}
	if o.Tenant >= 0 {
		parts = append(parts, &r.ByTenant[o.Tenant])
	}
	gained, timed := 0.0, false
	switch {
	case t.End == Answered && t.Status == 200:
		r.Outcomes[Handled]++
		timed = true
		if latency <= r.scenario.Types[o.Type].Target.Std() {
			r.Outcomes[WithinObjective]++
			gained = worth
		}
	case t.End == Answered && (t.Status == 429 || t.Status == 503):
		r.Outcomes[Rejected]++
		p.Rejected++
	case t.End == Unsent:
		r.Outcomes[Unreached]++
		p.Failed++
	case t.End == Answered, t.End == Dropped:
		r.Outcomes[Failed]++
		p.Failed++
	default:
		r.Outcomes[NoAnswer]++
		p.Failed++
		timed = true
	}
	r.Asked += worth
	r.Gained += gained
	p.Asked += worth
	p.Gained += gained
	for _, s := range parts {
		s.Asked += worth
		s.Gained += gained
		if timed {
			s.Latency.RecordValue(min(latency.Microseconds(), longestLat))
		}
	}
	if timed {
		p.Latency.RecordValue(min(latency.Microseconds(), longestLat))
	}
}

// Worth is the revenue of a request; beyond its tenant's allowance it is a part.
func (r *Result) Worth(o *Request) float64 {
	w := r.scenario.Types[o.Type].Revenue
	if o.Beyond {
		w *= r.scenario.Load.Over
	}
	return w
}

// Service is the revenue answered within the target time over the revenue asked for.
func (r *Result) Service() float64 {
	if r.Asked == 0 {
		return 0
	}
	return r.Gained / r.Asked
}
