package load

import (
	"slices"
	"time"

	"fernvane/internal/testbed/scenario"
)

// Request is a request of the schedule. Type, Tenant and Site are indexes of the scenario's lists.
type Request struct {
	At            time.Duration // scheduled time since the start
	Type          int
	Tenant        int           // -1: none
	Site          int           // of the client
	Key           int           // 0: none
	Work          time.Duration // service time on a core of speed 1
	OverAllowance bool          // it exceeds its tenant's allowance
	Disconnects   bool          // its client disconnects before its timeout
}

// Plan draws the schedule of a scenario. It is deterministic: the same scenario always gives the same schedule.
func Plan(s *scenario.Scenario) []Request {
	requests := drawArrivals(s)
	attributes := newAttributeDrawer(s)
	for i := range requests {
		attributes.draw(s, &requests[i])
	}
	markOverAllowance(s, requests)
	return requests
}

// drawArrivals draws the arrival times. It draws arrivals of a process with rate 1, and maps them to times by integrating
// the scenario's rate.
func drawArrivals(s *scenario.Scenario) []Request {
	var requests []Request
	r := stream(s, arrivalStream)
	steps := int(s.Length.Std() / rateStep)
	integral, next := 0.0, 0.0
	if s.Load.Shape != "constant" {
		next = r.ExpFloat64()
	}
	for i := range steps {
		rate := Rate(s, time.Duration(i)*rateStep) * rateStep.Seconds()
		for rate > 0 && next < integral+rate {
			at := time.Duration((float64(i) + (next-integral)/rate) * float64(rateStep))
			requests = append(requests, Request{At: at, Tenant: -1})
			if s.Load.Shape == "constant" {
				next++
			} else {
				next += r.ExpFloat64()
			}
		}
		integral += rate
	}
	return requests
}

// markOverAllowance marks requests beyond their tenant's allowance, which is a token bucket with the capacity of one second.
func markOverAllowance(s *scenario.Scenario, requests []Request) {
	tokens := make([]float64, len(s.Tenants))
	for i := range tokens {
		tokens[i] = s.Tenants[i].Allowance
	}
	last := time.Duration(0)
	for i := range requests {
		r := &requests[i]
		for tenant := range tokens {
			allowance := s.Tenants[tenant].Allowance
			tokens[tenant] = min(tokens[tenant]+allowance*(r.At-last).Seconds(), allowance)
		}
		last = r.At
		if r.Tenant < 0 || s.Tenants[r.Tenant].Allowance <= 0 {
			continue
		}
		r.OverAllowance = tokens[r.Tenant] < 1
		if !r.OverAllowance {
			tokens[r.Tenant]--
		}
	}
}

// CountPerBin returns the number of requests in each time bin of the given width, starting at time 0.
func CountPerBin(requests []Request, width time.Duration) []int {
	var counts []int
	for _, r := range requests {
		bin := int(r.At / width)
		if bin >= len(counts) {
			counts = slices.Grow(counts, bin+1-len(counts))[:bin+1]
		}
		counts[bin]++
	}
	return counts
}
