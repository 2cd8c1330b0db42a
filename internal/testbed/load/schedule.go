package load

import (
	"slices"
	"time"

	"fernvane/internal/testbed/scenario"
)

// Request is a request of the schedule. Type, Tenant and Site are places in the scenario's lists.
type Request struct {
	At            time.Duration // since the start
	Type          int
	Tenant        int           // -1: none
	Site          int           // of the client
	Key           int           // 0: none
	Work          time.Duration // service time on a core of speed 1
	OverAllowance bool          // its tenant's allowance was used up
	Disconnects   bool          // its client disconnects before its timeout
}

// Plan draws the schedule of a scenario: the same for the same file, to the last byte.
func Plan(s *scenario.Scenario) []Request {
	requests := drawArrivals(s)
	attributes := newAttributeDraws(s)
	for i := range requests {
		attributes.draw(s, &requests[i])
	}
	markOverAllowance(s, requests)
	return requests
}

// drawArrivals draws the times: arrivals at rate one are drawn, and time is stretched so that they come at the
// scenario's rate.
func drawArrivals(s *scenario.Scenario) []Request {
	var requests []Request
	r := stream(s, arrivalStream)
	steps := int(s.Length.Std() / rateStep)
	sum, next := 0.0, 0.0
	if s.Load.Shape != "constant" {
		next = r.ExpFloat64()
	}
	for i := range steps {
		rate := Rate(s, time.Duration(i)*rateStep) * rateStep.Seconds()
		for rate > 0 && next < sum+rate {
			at := time.Duration((float64(i) + (next-sum)/rate) * float64(rateStep))
			requests = append(requests, Request{At: at, Tenant: -1})
			if s.Load.Shape == "constant" {
				next++
			} else {
				next += r.ExpFloat64()
			}
		}
		sum += rate
	}
	return requests
}

// markOverAllowance marks requests beyond their tenant's allowance, a token bucket that holds a second's worth.
func markOverAllowance(s *scenario.Scenario, requests []Request) {
	left := make([]float64, len(s.Tenants))
	for i := range left {
		left[i] = s.Tenants[i].Allowance
	}
	last := time.Duration(0)
	for i := range requests {
		r := &requests[i]
		for tenant := range left {
			allowance := s.Tenants[tenant].Allowance
			left[tenant] = min(left[tenant]+allowance*(r.At-last).Seconds(), allowance)
		}
		last = r.At
		if r.Tenant < 0 || s.Tenants[r.Tenant].Allowance <= 0 {
			continue
		}
		r.OverAllowance = left[r.Tenant] < 1
		if !r.OverAllowance {
			left[r.Tenant]--
		}
	}
}

// CountPerBin counts requests by bins of time of the given width, from the start.
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
