package planfollower

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fernvane/internal/controlplane/plan"
)

const ms = time.Millisecond

func allUp(string) bool { return true }

// planOf returns a plan that includes a report sent at a given time.
func planOf(reportSentAt time.Duration, reporting int, shares ...float64) plan.Plan {
	p := plan.Plan{PlannerStartMs: 1, Number: 1, ReportSentAt: reportSentAt, ReportingForwarders: reporting, Nodes: reporting, AdmittedShare: 0.4, WithinAllowance: []plan.TenantShare{{Tenant: "a", Share: 0.5}}}
	for i, s := range shares {
		p.Servers = append(p.Servers, plan.ServerShare{ID: fmt.Sprint(i), Share: s, SlowStartRate: 3})
	}
	return p
}

// TestPlanInEffect checks which plan is in effect, depending on the plans received and their ages.
func TestPlanInEffect(t *testing.T) {
	type received struct {
		at      time.Duration
		planner int
		plan    plan.Plan
	}
	const s = time.Second
	for name, c := range map[string]struct {
		plans           []received
		at              time.Duration
		hasPlan         bool
		planner         int
		nodes           int
		admitted        float64
		hasTenantShares bool
		polls           bool
	}{
		"no planner, at the start": {nil, 500 * ms, false, -1, 9, 0, false, false},
		"no planner":               {nil, 3 * s, false, -1, 9, 0, false, true},
		"one planner":              {[]received{{s, 0, planOf(s, 20)}}, 2 * s, true, 0, 20, 0.4, true, false},
		"a plan without a report of this forwarder":  {[]received{{2 * s, 0, planOf(0, 20)}}, 2500 * ms, false, -1, 9, 0, false, false},
		"the first planner is preferred":             {[]received{{s, 1, planOf(s, 20)}, {s, 0, planOf(s, 19)}}, 2 * s, true, 0, 20, 0.4, true, false},
		"few forwarders report to the first planner": {[]received{{s, 0, planOf(s, 9)}, {s, 1, planOf(s, 20)}}, 2 * s, true, 1, 20, 0.4, true, false},
		"the first planner has stalled":              {[]received{{s, 0, planOf(s, 20)}, {5 * s, 1, planOf(5*s, 20)}}, 5 * s, true, 1, 20, 0.4, true, false},
		"a plan received late is old":                {[]received{{s, 0, planOf(s, 20)}, {8 * s, 0, planOf(2*s, 20)}}, 8 * s, true, -1, 20, 0.64, false, true},
		"planner lost for 8 s":                       {[]received{{s, 0, planOf(s, 20)}}, 9 * s, true, -1, 20, 0.7, false, true},
		"planner lost for 14 s":                      {[]received{{s, 0, planOf(s, 20)}}, 15 * s, false, -1, 9, 0, false, true},
		"planner back after 19 s":                    {[]received{{s, 0, planOf(s, 20)}, {20 * s, 1, planOf(20*s, 20)}}, 20 * s, true, 1, 20, 0.4, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := New(Options{PlannerCount: 2, ConfiguredNodes: 9, PollJitter: 0.5})
			var d Decisions
			for now := 250 * ms; now <= c.at; now += 250 * ms {
				for _, r := range c.plans {
					if r.at == now {
						f.PlanReceived(now, r.planner, r.plan)
					}
				}
				d = f.Advance(now, allUp)
			}
			if d.HasPlan != c.hasPlan || d.Planner != c.planner || d.Nodes != c.nodes || d.ShouldPollDiscovery != c.polls || len(d.WithinAllowance) > 0 != c.hasTenantShares ||
				d.AdmittedShare < c.admitted-0.05 || d.AdmittedShare > c.admitted+0.05 {
				t.Errorf("got decisions %+v, want the values of the case", d)
			}
		})
	}
}

// TestPlanOfEarlierProcess guards against a forwarder that follows a plan for as long as its earlier process had run: the planner had
// included a report of that process, whose clock was ahead.
func TestPlanOfEarlierProcess(t *testing.T) {
	const earlierUptime = time.Hour
	f := New(Options{PlannerCount: 1, ConfiguredNodes: 9})
	f.PlanReceived(250*ms, 0, planOf(earlierUptime, 20, 0.5, 0.5))
	for now := 250 * ms; now < 2*earlierUptime; now += time.Second {
		if d := f.Advance(now, allUp); d.HasPlan || now > pollDelay+pollDelaySpread && !d.ShouldPollDiscovery {
			t.Fatalf("%s after the start: got plan %v, polls of discovery %v, want no plan and polls", now, d.HasPlan, d.ShouldPollDiscovery)
		}
	}
	f.PlanReceived(2*earlierUptime, 0, planOf(2*earlierUptime-time.Second, 20, 0.5, 0.5))
	if d := f.Advance(2*earlierUptime, allUp); !d.HasPlan || d.Planner != 0 {
		t.Errorf("plan with a report of this process: got %+v, want it followed", d)
	}
}

// TestSharesMoveGradually checks that at most maxMovePerSecond of the requests moves between servers, except away from unusable
// servers, and that the shares add up to 1.
func TestSharesMoveGradually(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New(Options{PlannerCount: 3, ConfiguredNodes: 9})
		up := map[string]bool{"0": true, "1": true, "2": true, "3": true}
		var before map[string]float64
		for i := range rapid.IntRange(2, 50).Draw(t, "steps") {
			now := time.Duration(i+1) * 250 * ms
			if rapid.Bool().Draw(t, "received") {
				var shares []float64
				for range 4 {
					shares = append(shares, rapid.Float64Range(0, 1).Draw(t, "share"))
				}
				reportSentAt := now - time.Duration(rapid.IntRange(0, 5000).Draw(t, "delay"))*ms
				f.PlanReceived(now, rapid.IntRange(0, 2).Draw(t, "planner"), planOf(reportSentAt, rapid.IntRange(1, 20).Draw(t, "reporting"), shares...))
			}
			changedUp := false
			if rapid.IntRange(0, 9).Draw(t, "changes") == 0 {
				up["3"], changedUp = !up["3"], true
			}
			d := f.Advance(now, func(id string) bool { return up[id] })
			after, sum, rise := map[string]float64{}, 0.0, 0.0
			for _, s := range d.Servers {
				after[s.ID] = s.Share
				sum += s.Share
				rise += max(s.Share-before[s.ID], 0)
			}
			if d.HasPlan && sum > 0 && (sum < 0.99 || sum > 1.01) {
				t.Fatalf("got a sum of shares of %f, want 1", sum)
			}
			if before != nil && !changedUp && d.HasPlan && rise > maxMovePerSecond*0.25+0.001 {
				t.Fatalf("got a move of %.3f of the requests in one step, want at most 0.0635: %v to %v", rise, before, after)
			}
			if before = after; !d.HasPlan || sum == 0 {
				before = nil
			}
			if up["3"] == false && after["3"] > 0 {
				t.Fatal("got a share of server 3, which is down, want none")
			}
		}
	})
}
