// Package load sends requests at the moments of a schedule, whatever becomes of those before (open loop), as clients
// that retry and give up, and counts what they met. Latency counts from the moment that was scheduled.
package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"fernvane/internal/testbed/scenario"
)

// Request is one that a client begins at a moment that was fixed ahead.
type Request struct {
	At     time.Duration // since the start
	Type   int
	Tenant int           // -1: none
	Site   int           // of the client
	Key    int           // 0: none
	Work   time.Duration // on a core of speed 1
	Beyond bool          // its tenant's allowance was used up
	Leaves bool          // its client goes before its time is up
}

// The streams of chance; each draws from a generator of its own, so that a change of one leaves the others alone.
const (
	arrivals = iota + 1
	kinds
	members
	positions
	keys
	works
	leavers
)

const grid = time.Millisecond // on which the rate is summed up

func stream(s *scenario.Scenario, which uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed, which))
}

// Plan draws the schedule of a scenario: the same for the same file, to the last byte.
func Plan(s *scenario.Scenario) []Request {
	ops := arrive(s)
	kind, who, place, work := stream(s, kinds), stream(s, members), stream(s, positions), stream(s, works)
	popular := newZipf(s.Load.Keys, s.Load.Zipf, stream(s, keys))
	hot := stream(s, keys+100)
	typeOf := shares(len(s.Types), func(i int) float64 { return s.Types[i].Share })
	tenantOf := shares(len(s.Tenants), func(i int) float64 { return s.Tenants[i].Share })
	siteOf := shares(len(s.Sites), func(i int) float64 {
		part := (1 - s.Load.Skew) / float64(len(s.Sites))
		if i == 0 {
			part += s.Load.Skew
		}
		return part
	})
	left := make([]float64, len(s.Tenants)) // of each allowance; a second's worth is saved up
	for i := range left {
		left[i] = s.Tenants[i].Allowance
	}
	leaver := stream(s, leavers)
	last := time.Duration(0)
	for i := range ops {
		o := &ops[i]
		o.Type = pick(typeOf, kind.Float64())
		o.Tenant = pick(tenantOf, who.Float64())
		o.Site = pick(siteOf, place.Float64())
		o.Key = popular.draw()
		chance := hot.Float64() // drawn always, so that a fault moves nothing else
		for _, f := range s.Faults {
			if f.Kind == "hot-key" && o.At >= f.At.Std() && o.At < f.End() && chance < f.Share {
				o.Key = s.Load.Keys + 1
			}
		}
		o.Work = draw(&s.Types[o.Type], work)
		o.Leaves = leaver.Float64() < s.Clients.Leaves
		for t := range left {
			allowed := s.Tenants[t].Allowance
			left[t] = min(left[t]+allowed*(o.At-last).Seconds(), allowed)
		}
		last = o.At
		if o.Tenant >= 0 && s.Tenants[o.Tenant].Allowance > 0 {
			if o.Beyond = left[o.Tenant] < 1; !o.Beyond {
				left[o.Tenant]--
			}
		}
	}
	return ops
}

// arrive lays out the moments: arrivals of rate one are drawn, and time is stretched so that they come at the rate.
func arrive(s *scenario.Scenario) []Request {
	var ops []Request
	r := stream(s, arrivals)
	steps := int(s.Length.Std() / grid)
	sum, next := 0.0, 0.0
	if s.Load.Shape != "constant" {
		next = r.ExpFloat64()
	}
	for i := range steps {
		rate := Rate(s, time.Duration(i)*grid) * grid.Seconds()
		for rate > 0 && next < sum+rate {
			at := time.Duration((float64(i) + (next-sum)/rate) * float64(grid))
			ops = append(ops, Request{At: at, Tenant: -1})
			if s.Load.Shape == "constant" {
				next++
			} else {
				next += r.ExpFloat64()
			}
		}
		sum += rate
	}
	return ops
}

// Rate is how many requests a second the scenario wants at a moment.
func Rate(s *scenario.Scenario, at time.Duration) float64 {
	rate, swing := s.Load.Rate, s.Load.Swing
	period := max(s.Load.Period.Std(), grid)
	switch s.Load.Shape {
	case "bursts":
		if at%period < period/2 {
			rate *= 1 + swing
		} else {
			rate *= 1 - swing
		}
	case "ramp":
		rate *= 1 + swing*(2*at.Seconds()/s.Length.Std().Seconds()-1)
	case "wave":
		rate *= 1 + swing*math.Sin(2*math.Pi*at.Seconds()/period.Seconds())
	}
	for _, f := range s.Faults {
		if at < f.At.Std() {
			continue
		}
		switch f.Kind {
		case "overload":
			if at < f.End() {
				rate *= f.Size
			}
		case "shrink": // falls evenly, and stays
			gone := min((at-f.At.Std()).Seconds()/f.For.Std().Seconds(), 1)
			rate *= 1 - (1-f.Size)*gone
		}
	}
	return rate
}

func shares(n int, of func(int) float64) []float64 {
	sums := make([]float64, n)
	sum := 0.0
	for i := range sums {
		sum += of(i)
		sums[i] = sum
	}
	return sums
}

// pick finds where a chance falls among summed shares; -1 where there are none.
func pick(sums []float64, chance float64) int {
	i := sort.SearchFloat64s(sums, chance)
	return min(i, len(sums)-1)
}

func draw(t *scenario.Type, r *rand.Rand) time.Duration {
	mean := float64(t.Work)
	switch t.Dist {
	case "exp":
		return time.Duration(mean * r.ExpFloat64())
	case "lognormal":
		v := math.Log(1 + t.CV*t.CV)
		return time.Duration(mean * math.Exp(math.Sqrt(v)*r.NormFloat64()-v/2))
	}
	return time.Duration(mean)
}

// zipf draws keys from 1 to n, the k-th as often as k to the power of -s.
type zipf struct {
	sums []float64
	r    *rand.Rand
}

func newZipf(n int, s float64, r *rand.Rand) zipf {
	z := zipf{r: r, sums: shares(n, func(i int) float64 { return math.Pow(float64(i+1), -s) })}
	if n > 0 {
		all := z.sums[n-1]
		for i := range z.sums {
			z.sums[i] /= all
		}
	}
	return z
}

func (z zipf) draw() int {
	if len(z.sums) == 0 {
		return 0
	}
	return pick(z.sums, z.r.Float64()) + 1
}

// Bins counts requests by spans of time.
func Bins(ops []Request, width time.Duration) []int {
	var n []int
	for _, o := range ops {
		b := int(o.At / width)
		if b >= len(n) {
			n = slices.Grow(n, b+1-len(n))[:b+1]
		}
		n[b]++
	}
	return n
}
