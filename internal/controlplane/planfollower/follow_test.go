package planfollower

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fernvane/internal/controlplane/plan"
)

const ms = time.Millisecond

func all(string) bool { return true }

// made is a plan that rests on a report of a moment.
func made(heard time.Duration, seen int, shares ...float64) plan.Plan {
	p := plan.Plan{PlannerStartMs: 1, Number: 1, ReportSentAt: heard, ReportingForwarders: seen, Nodes: seen, AdmittedShare: 0.4, WithinAllowance: []plan.TenantShare{{Tenant: "a", Share: 0.5}}}
	for i, s := range shares {
		p.Servers = append(p.Servers, plan.ServerShare{ID: fmt.Sprint(i), Share: s, SlowStartRate: 3})
	}
	return p
}

// What planners say and when, and what a forwarder makes of it at last.
func TestWhatHolds(t *testing.T) {
	type word struct {
		at      time.Duration
		planner int
		plan    plan.Plan
	}
	const s = time.Second
	for name, c := range map[string]struct {
		words   []word
		at      time.Duration
		planned bool
		from    int
		nodes   int
		admit   float64
		within  bool
		ask     bool
	}{
		"no planner at all, at the start":      {nil, 500 * ms, false, -1, 9, 0, false, false},
		"no planner at all":                    {nil, 3 * s, false, -1, 9, 0, false, true},
		"one":                                  {[]word{{s, 0, made(s, 20)}}, 2 * s, true, 0, 20, 0.4, true, false},
		"a plan that rests on nothing of ours": {[]word{{2 * s, 0, made(0, 20)}}, 2500 * ms, false, -1, 9, 0, false, false},
		"the first goes before":                {[]word{{s, 1, made(s, 20)}, {s, 0, made(s, 19)}}, 2 * s, true, 0, 20, 0.4, true, false},
		"one that hears few does not":          {[]word{{s, 0, made(s, 9)}, {s, 1, made(s, 20)}}, 2 * s, true, 1, 20, 0.4, true, false},
		"one that has stalled does not":        {[]word{{s, 0, made(s, 20)}, {5 * s, 1, made(5*s, 20)}}, 5 * s, true, 1, 20, 0.4, true, false},
		"what comes late is old":               {[]word{{s, 0, made(s, 20)}, {8 * s, 0, made(2*s, 20)}}, 8 * s, true, -1, 20, 0.64, false, true},
		"lost for a while":                     {[]word{{s, 0, made(s, 20)}}, 9 * s, true, -1, 20, 0.7, false, true},
		"lost for long":                        {[]word{{s, 0, made(s, 20)}}, 15 * s, false, -1, 9, 0, false, true},
		"back after long":                      {[]word{{s, 0, made(s, 20)}, {20 * s, 1, made(20*s, 20)}}, 20 * s, true, 1, 20, 0.4, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := New(Options{PlannerCount: 2, ConfiguredNodes: 9, PollJitter: 0.5})
			var e Effective
			for now := 250 * ms; now <= c.at; now += 250 * ms {
				for _, w := range c.words {
					if w.at == now {
						f.PlanReceived(now, w.planner, w.plan)
					}
				}
				e = f.Advance(now, all)
			}
			if e.HasPlan != c.planned || e.Planner != c.from || e.Nodes != c.nodes || e.ShouldPollDiscovery != c.ask || len(e.WithinAllowance) > 0 != c.within ||
				e.AdmittedShare < c.admit-0.05 || e.AdmittedShare > c.admit+0.05 {
				t.Errorf("%+v", e)
			}
		})
	}
}

// Plans of any planners, however they differ, move no more than the stated share of the turns in a second, but for
// servers that must not be used any more; and the shares always add up to 1.
func TestNoJump(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New(Options{PlannerCount: 3, ConfiguredNodes: 9})
		up := map[string]bool{"0": true, "1": true, "2": true, "3": true}
		var before map[string]float64
		for i := range rapid.IntRange(2, 50).Draw(t, "steps") {
			now := time.Duration(i+1) * 250 * ms
			if rapid.Bool().Draw(t, "told") {
				var shares []float64
				for range 4 {
					shares = append(shares, rapid.Float64Range(0, 1).Draw(t, "share"))
				}
				heard := now - time.Duration(rapid.IntRange(0, 5000).Draw(t, "late"))*ms
				f.PlanReceived(now, rapid.IntRange(0, 2).Draw(t, "planner"), made(heard, rapid.IntRange(1, 20).Draw(t, "seen"), shares...))
			}
			fell := false
			if rapid.IntRange(0, 9).Draw(t, "falls") == 0 {
				up["3"], fell = !up["3"], true
			}
			e := f.Advance(now, func(id string) bool { return up[id] })
			after, sum, rise := map[string]float64{}, 0.0, 0.0
			for _, s := range e.Servers {
				after[s.ID] = s.Share
				sum += s.Share
				rise += max(s.Share-before[s.ID], 0)
			}
			if e.HasPlan && sum > 0 && (sum < 0.99 || sum > 1.01) {
				t.Fatalf("shares add up to %f", sum)
			}
			if before != nil && !fell && e.HasPlan && rise > movePerS*0.25+0.001 {
				t.Fatalf("%.3f of the turns moved at once: %v to %v", rise, before, after)
			}
			if before = after; !e.HasPlan || sum == 0 {
				before = nil
			}
			if up["3"] == false && after["3"] > 0 {
				t.Fatal("a server that is down has turns")
			}
		}
	})
}
