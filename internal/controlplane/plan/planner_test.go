package plan

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fernvane/internal/controlplane/planwire"
	"fernvane/internal/discovery/incarnation"
)

const ms = time.Millisecond

// fleet drives a planner with forwarders that follow its plans at once.
type fleet struct {
	p     *Planner
	now   time.Duration
	held  map[string][]CurrentShare
	names []string
	ids   []string
}

func newFleet(forwarders, servers int) *fleet {
	w := &fleet{p: NewPlanner(0), now: time.Second, held: map[string][]CurrentShare{}}
	for f := range forwarders {
		w.names = append(w.names, fmt.Sprintf("n%03d", f))
	}
	var list []incarnation.Entry
	for s := range servers {
		w.ids = append(w.ids, fmt.Sprintf("s%03d", s))
		list = append(list, incarnation.Entry{ID: w.ids[s], Weight: 1, Revision: 1})
	}
	w.p.EndpointsUpdated(w.now, list, true)
	return w
}

// outcome is how one forwarder's attempts at one server ended in a step.
type outcome struct {
	completed int
	timedOut  int
	failed    int
	latency   time.Duration // of each completed attempt
}

// step has each forwarder report half a second, by the outcomes that attempts returns, and returns the plan.
func (w *fleet) step(attempts func(f, s int) outcome) *FleetPlan {
	w.now += 500 * ms
	for f, name := range w.names {
		r := Report{SentAt: w.now, Interval: 500 * ms, InFlight: 1, CurrentShares: w.held[name], Settings: ForwarderSettings{Nodes: len(w.names), SlowStartDuration: 5 * time.Second, InitialCapacity: 0.4, CrashLoadFactor: 2.5},
			Types: []TypeReport{{Name: "check", TargetTime: 200 * ms}}}
		for s, id := range w.ids {
			if d := attempts(f, s); d != (outcome{}) {
				r.Servers = append(r.Servers, ServerReport{ID: id, TimedOut: d.timedOut, Failed: d.failed, Completions: []Completions{{TypeIndex: 0, Count: d.completed, TotalLatency: time.Duration(d.completed) * d.latency}}})
			}
		}
		w.p.ReportReceived(w.now, name, &r)
	}
	plans := w.p.ComputePlans(w.now)
	for _, name := range w.names {
		var held []CurrentShare
		for _, s := range plans.ForForwarder(name).Servers {
			if s.Share > 0 {
				held = append(held, CurrentShare{ID: s.ID, Share: s.Share})
			}
		}
		w.held[name] = held
	}
	return plans
}

func healthy(f, s int) outcome {
	if (f+s)%5 == 0 {
		return outcome{completed: 3, latency: 20 * ms}
	}
	return outcome{}
}

// loads returns what each server gets by the shares, over an even share.
func (w *fleet) loads(plans *FleetPlan) []float64 {
	loads, at := make([]float64, len(w.ids)), map[string]int{}
	for i, id := range w.ids {
		at[id] = i
	}
	for _, name := range w.names {
		for _, s := range plans.ForForwarder(name).Servers {
			loads[at[s.ID]] += s.Share * float64(len(w.ids)) / float64(len(w.names))
		}
	}
	return loads
}

// Equal reports at equal times give equal plans, and a new planner continues from the shares that forwarders report.
func TestEqualReportsGiveEqualPlans(t *testing.T) {
	a, b := newFleet(40, 12), newFleet(40, 12)
	var x, y *FleetPlan
	for range 6 {
		x, y = a.step(healthy), b.step(healthy)
	}
	if p, q := text(t, x.ForForwarder("n007")), text(t, y.ForForwarder("n007")); p != q {
		t.Errorf("%s\n%s", p, q)
	}
	b.p = NewPlanner(0)
	b.p.EndpointsUpdated(b.now, a.p.incarnations.All(), true)
	moved := 0
	before := b.held
	b.held = map[string][]CurrentShare{}
	for n, h := range before {
		b.held[n] = h
	}
	b.step(healthy)
	for n := range before {
		was := map[string]bool{}
		for _, h := range before[n] {
			was[h.ID] = true
		}
		for _, h := range b.held[n] {
			if !was[h.ID] {
				moved++
			}
		}
	}
	if moved > 20 { // of 280 slots
		t.Errorf("a new planner moved %d slots", moved)
	}
}

func text(t *testing.T, p Plan) string {
	b, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// For any number of forwarders and servers, subsets have their size, shares add up to 1 and servers get their target loads.
func TestSubsetsAndShares(t *testing.T) {
	for _, c := range []struct{ forwarders, servers int }{{1, 1}, {1, 40}, {3, 13}, {16, 13}, {220, 52}, {557, 192}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			w := newFleet(c.forwarders, c.servers)
			var plans *FleetPlan
			for range 4 {
				plans = w.step(healthy)
			}
			for _, n := range w.names {
				sum, subset := 0.0, plans.ForForwarder(n).Servers
				for _, s := range subset {
					sum += s.Share
				}
				if len(subset) < min(minSubsetSize, c.servers) || math.Abs(sum-1) > 0.02 {
					t.Fatalf("%s has %d servers with %.3f", n, len(subset), sum)
				}
			}
			for s, l := range w.loads(plans) {
				if l < 0.75 || l > 1.3 {
					t.Errorf("server %d gets %.2f of an even share", s, l)
				}
			}
		})
	}
}

// Ejection, avoidance and admission by what forwarders report.
func TestEjectionAvoidanceAdmission(t *testing.T) {
	for name, c := range map[string]struct {
		attempts func(f, s int) outcome
		ejected  int // servers
		avoided  int
		admits   bool // everything
	}{
		"all is healthy":             {healthy, 0, 0, true},
		"two fail for all":           {func(f, s int) outcome { return failing(f, s, 2, 99) }, 2, 0, true},
		"two fail for one forwarder": {func(f, s int) outcome { return failing(f, s, 2, 1) }, 0, 0, true},
		"all fail":                   {func(f, s int) outcome { return failing(f, s, 99, 99) }, 6, 0, true},
		"one is slow":                {func(f, s int) outcome { return slow(f, s, 1) }, 0, 1, true},
		"all are slow":               {func(f, s int) outcome { return slow(f, s, 99) }, 0, 0, true},
		"all are too slow": {func(f, s int) outcome {
			if d := healthy(f, s); d.completed > 0 {
				return outcome{completed: 1, latency: 190 * ms, timedOut: 3}
			}
			return outcome{}
		}, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFleet(20, 12)
			for range 20 {
				w.step(healthy)
			}
			var plans *FleetPlan
			for range 2 {
				plans = w.step(c.attempts)
			}
			ejected, avoided := map[string]bool{}, map[string]bool{}
			for _, n := range w.names {
				for _, s := range plans.ForForwarder(n).Servers {
					if s.EjectionRemaining > 0 {
						ejected[s.ID] = true
					}
					if s.IsAvoided {
						avoided[s.ID] = true
					}
				}
			}
			p := plans.ForForwarder(w.names[0])
			if len(ejected) != c.ejected || len(avoided) != c.avoided || c.admits != (p.AdmittedShare == 1) {
				t.Errorf("%d ejected, %d avoided, %.2f admitted", len(ejected), len(avoided), p.AdmittedShare)
			}
		})
	}
}

func failing(f, s, servers, forwarders int) outcome {
	if s < servers {
		if f < forwarders && (f+s)%2 == 0 {
			return outcome{failed: 20}
		}
		return outcome{}
	}
	return healthy(f, s)
}

func slow(f, s, servers int) outcome {
	d := healthy(f, s)
	if s < servers {
		d.latency *= 5
	}
	return d
}

// All forwarders together send a server in slow start what a warm one gets, however many use it.
func TestSlowStartRatesAddUp(t *testing.T) {
	for _, forwarders := range []int{1, 20, 200} {
		w := newFleet(forwarders, 12)
		for range 8 {
			w.step(healthy)
		}
		w.p.EndpointsUpdated(w.now, []incarnation.Entry{{ID: "s003", Weight: 1, StartedUnixMS: w.now.Milliseconds(), Revision: 2}}, false)
		plans := w.step(healthy)
		sum, rate := 0.0, 0.0
		for _, n := range w.names {
			for _, s := range plans.ForForwarder(n).Servers {
				if s.ID == "s003" {
					if s.SlowStartRate <= 0 {
						t.Fatalf("%s has no limit", n)
					}
					sum += s.SlowStartRate
				}
			}
			rate += w.p.forwarders[n].rate
		}
		floor := minConcurrencyShare * 2.5 / 0.020
		if most := max(rate/12, floor) * 1.05; sum > most || sum < most/2 {
			t.Errorf("%d forwarders may send it %.1f a second, a warm one gets %.1f", forwarders, sum, most)
		}
	}
}

// Forwarders that settings count but that don't report leave their part of the slow start rate unused.
func TestSlowStartRatesLeaveRoomForForwardersNotReporting(t *testing.T) {
	w := newFleet(20, 12)
	w.names = w.names[:10]
	w.step(healthy)
	for _, f := range w.p.forwarders {
		f.settings.Nodes = 20
	}
	w.p.EndpointsUpdated(w.now, []incarnation.Entry{{ID: "s003", Weight: 1, StartedUnixMS: w.now.Milliseconds(), Revision: 2}}, false)
	plans := w.p.ComputePlans(w.now)
	sum := 0.0
	for _, n := range w.names {
		for _, s := range plans.ForForwarder(n).Servers {
			if s.ID == "s003" {
				sum += s.SlowStartRate
			}
		}
	}
	if most := 1.05 * minConcurrencyShare * 2.5 / 0.020 / 2; sum > most {
		t.Errorf("ten of twenty may send %.1f a second, of %.1f", sum, most)
	}
}

// A tenant's share within its allowance is by its requests at all forwarders.
func TestTenantSharesWithinAllowance(t *testing.T) {
	p := NewPlanner(0)
	for i := range 60 {
		now := time.Duration(i) * 500 * ms
		for f := range 10 {
			r := Report{Interval: 500 * ms, Tenants: []TenantReport{{Name: "big", Allowance: 100, Requests: 10}, {Name: "small", Allowance: 100, Requests: 5}}}
			p.ReportReceived(now, fmt.Sprint(f), &r)
		}
		p.ComputePlans(now)
	}
	for _, w := range p.withinAllowance() {
		want := map[string]float64{"big": 0.5, "small": 1}[w.Tenant] // 200 and 100 a second
		if math.Abs(w.Share-want) > 0.1 {
			t.Errorf("%s: %.2f, not %.2f", w.Tenant, w.Share, want)
		}
	}
}

// Changes applied in sequence give the plan, except for numbers that hardly differ.
func TestDiffAndApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent, held Plan
		incarnations := incarnation.NewTable()
		for n := range rapid.IntRange(1, 12).Draw(t, "plans") {
			next := Plan{Number: uint64(n + 1), Nodes: n, AdmittedShare: 0.5}
			for s := range 6 {
				if rapid.Bool().Draw(t, "there") {
					next.Servers = append(next.Servers, ServerShare{ID: fmt.Sprint(s), Share: rapid.Float64Range(0, 1).Draw(t, "share"),
						EjectionRemaining: time.Duration(rapid.IntRange(0, 1).Draw(t, "ejected")), IsAvoided: rapid.Bool().Draw(t, "avoided")})
				}
				if rapid.Bool().Draw(t, "incarnation") {
					next.Incarnations = append(next.Incarnations, incarnation.Entry{ID: fmt.Sprint(s), Generation: uint32(rapid.IntRange(0, n).Draw(t, "generation"))})
				}
			}
			var c Change
			c, sent = Diff(sent, next)
			held = Apply(held, c)
			incarnations.Join(0, c.Incarnations)
			got := map[string]ServerShare{}
			for _, s := range held.Servers {
				got[s.ID] = s
			}
			for _, s := range next.Servers {
				if g, ok := got[s.ID]; !ok || !isClose(g.Share, s.Share) || g.EjectionRemaining != s.EjectionRemaining || g.IsAvoided != s.IsAvoided {
					t.Fatalf("%+v is held as %+v", s, g)
				}
			}
			if len(got) != len(next.Servers) || len(held.Servers) != len(got) || held.Number != next.Number {
				t.Fatalf("%d servers, not %d", len(held.Servers), len(next.Servers))
			}
			for _, e := range next.Incarnations {
				if h, ok := incarnations.Get(e.ID); !ok || incarnation.Compare(h, e) < 0 {
					t.Fatalf("the incarnation %+v was not sent", e)
				}
			}
		}
	})
}

// Impossible values of one forwarder don't affect the others' plans.
func TestImpossibleReportIsHarmless(t *testing.T) {
	w := newFleet(5, 6)
	w.step(healthy)
	huge := Report{Interval: -1, InFlight: -9, Types: []TypeReport{{}}, CurrentShares: []CurrentShare{{ID: "s000", Share: math.NaN()}, {ID: "s001", Share: 1e300}},
		Servers: []ServerReport{{ID: "s000", TimedOut: -5, Failed: -5, Completions: []Completions{{TypeIndex: 9, Count: 1}, {TypeIndex: -1, Count: 1}, {TypeIndex: 0, Count: -7, TotalLatency: 1}}}}}
	w.p.ReportReceived(w.now, "odd", &huge)
	plans := w.step(healthy)
	for _, n := range w.names {
		for _, s := range plans.ForForwarder(n).Servers {
			if !(s.Share >= 0 && s.Share <= 1) || math.IsNaN(s.SlowStartRate) {
				t.Errorf("%s: %+v", n, s)
			}
		}
	}
}

// The largest deployment: 557 forwarders and 192 servers.
func BenchmarkPlan(b *testing.B) {
	w := newFleet(557, 192)
	for range 4 {
		w.step(healthy)
	}
	b.ResetTimer()
	for b.Loop() {
		w.p.ComputePlans(w.now)
	}
}

// The first plan, when no forwarder has a subset yet.
func BenchmarkFirstPlan(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		w := newFleet(557, 192)
		w.step(healthy)
		for _, f := range w.p.forwarders {
			f.shares = nil
		}
		b.StartTimer()
		w.p.ComputePlans(w.now)
	}
}

// What a planner sends to 557 forwarders in a second when latencies vary at random, as changes and as plans plans.
func BenchmarkBytes(b *testing.B) {
	w := newFleet(557, 192)
	random := rand.New(rand.NewPCG(1, 1))
	attempts := func(f, s int) outcome {
		d := healthy(f, s)
		d.latency = time.Duration(float64(d.latency) * (0.5 + random.Float64()))
		return d
	}
	sent := map[string]Plan{}
	changes, fullBytes, steps := 0, 0, 0
	for range 4 {
		w.step(attempts)
	}
	for b.Loop() {
		plans := w.step(attempts)
		for _, n := range w.names {
			next := plans.ForForwarder(n)
			var c Change
			c, sent[n] = Diff(sent[n], next)
			text, _ := planwire.Append(nil, planwire.ChangeKind, c)
			all, _ := planwire.Append(nil, planwire.ChangeKind, next)
			if steps > 0 { // the first is plans
				changes += len(text)
			}
			fullBytes += len(all)
		}
		steps++
	}
	b.ReportMetric(2*float64(changes)/float64(max(steps-1, 1)), "changed-B/s")
	b.ReportMetric(2*float64(fullBytes)/float64(steps), "full-B/s")
}

// A tenant that reports don't name counts like one that is named without traffic.
func TestUnnamedTenantHasNoTraffic(t *testing.T) {
	const idle, allowance = 50, 100.0
	share := func(named bool, now *time.Duration, p *Planner, asked int) (busy float64, isNamed bool) {
		for range 60 {
			*now += 500 * ms
			r := Report{Interval: 500 * ms, Settings: ForwarderSettings{TotalAllowance: (idle + 2) * allowance}}
			if asked > 0 || named {
				r.Tenants = append(r.Tenants, TenantReport{Name: "busy", Allowance: allowance, Requests: asked})
			}
			r.Tenants = append(r.Tenants, TenantReport{Name: "other", Allowance: allowance, Requests: 70}) // beyond its allowance too
			for i := range idle {
				if named {
					r.Tenants = append(r.Tenants, TenantReport{Name: fmt.Sprint("idle", i), Allowance: allowance})
				}
			}
			p.ReportReceived(*now, "f", &r)
			p.ComputePlans(*now)
		}
		for _, w := range p.withinAllowance() {
			if w.Tenant == "busy" {
				return w.Share, true
			}
		}
		return 1, false
	}
	shares := map[bool]float64{}
	for _, named := range []bool{true, false} {
		p, now := NewPlanner(0), time.Duration(0)
		shares[named], _ = share(named, &now, p, 100)
		for range 3 {
			share(named, &now, p, 0)
		}
		if got, isNamed := share(named, &now, p, 0); got != 1 || isNamed && !named {
			t.Errorf("named %v: without traffic its share is %g, named %v", named, got, isNamed)
		}
		if got, _ := share(named, &now, p, 100); math.Abs(got-shares[named]) > 1e-6 {
			t.Errorf("named %v: %g, and %g after a pause", named, shares[named], got)
		}
	}
	if got, want := shares[false], shares[true]; math.Abs(got-want) > 1e-6 || want > 0.6 || want < 0.4 {
		t.Errorf("%.3f where idle tenants are not named, %.3f where they are", got, want)
	}
}
