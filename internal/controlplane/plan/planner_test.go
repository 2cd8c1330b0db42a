package plan

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fernvane/internal/controlplane/planwire"
	"fernvane/internal/discovery/incarnation"
)

const ms = time.Millisecond

// testFleet runs a planner with forwarders that apply its plans immediately.
type testFleet struct {
	planner        *Planner
	now            time.Duration
	currentShares  map[string][]CurrentShare // by forwarder name
	forwarderNames []string
	serverIDs      []string
}

func newFleet(forwarders, servers int) *testFleet {
	fleet := &testFleet{planner: NewPlanner(0), now: time.Second, currentShares: map[string][]CurrentShare{}}
	for f := range forwarders {
		fleet.forwarderNames = append(fleet.forwarderNames, fmt.Sprintf("n%03d", f))
	}
	var list []incarnation.Entry
	for s := range servers {
		fleet.serverIDs = append(fleet.serverIDs, fmt.Sprintf("s%03d", s))
		list = append(list, incarnation.Entry{ID: fleet.serverIDs[s], Weight: 1, Revision: 1})
	}
	fleet.planner.EndpointsUpdated(fleet.now, list, true)
	return fleet
}

// outcome counts the results of one forwarder's attempts at one server during a step.
type outcome struct {
	completed int
	timedOut  int
	failed    int
	latency   time.Duration // of each completed attempt
}

// step sends a report of half a second from each forwarder with the outcomes that attempts returns, and returns the resulting plans.
func (fleet *testFleet) step(attempts func(f, s int) outcome) *FleetPlan {
	fleet.now += 500 * ms
	for f, name := range fleet.forwarderNames {
		r := Report{SentAt: fleet.now, Interval: 500 * ms, InFlight: 1, CurrentShares: fleet.currentShares[name], Settings: ForwarderSettings{Nodes: len(fleet.forwarderNames), SlowStartDuration: 5 * time.Second, InitialCapacity: 0.4, CrashLoadFactor: 2.5},
			Types: []TypeReport{{Name: "check", TargetTime: 200 * ms}}}
		for s, id := range fleet.serverIDs {
			if result := attempts(f, s); result != (outcome{}) {
				r.Servers = append(r.Servers, ServerReport{ID: id, TimedOut: result.timedOut, Failed: result.failed, Completions: []Completions{{TypeIndex: 0, Count: result.completed, TotalLatency: time.Duration(result.completed) * result.latency}}})
			}
		}
		fleet.planner.ReportReceived(fleet.now, name, &r)
	}
	plans := fleet.planner.ComputePlans(fleet.now)
	for _, name := range fleet.forwarderNames {
		var shares []CurrentShare
		for _, s := range plans.ForForwarder(name).Servers {
			if s.Share > 0 {
				shares = append(shares, CurrentShare{ID: s.ID, Share: s.Share})
			}
		}
		fleet.currentShares[name] = shares
	}
	return plans
}

func healthy(f, s int) outcome {
	if (f+s)%5 == 0 {
		return outcome{completed: 3, latency: 20 * ms}
	}
	return outcome{}
}

// loads returns the ratio of each server's share to an equal share.
func (fleet *testFleet) loads(plans *FleetPlan) []float64 {
	loads, indexes := make([]float64, len(fleet.serverIDs)), map[string]int{}
	for i, id := range fleet.serverIDs {
		indexes[id] = i
	}
	for _, name := range fleet.forwarderNames {
		for _, s := range plans.ForForwarder(name).Servers {
			loads[indexes[s.ID]] += s.Share * float64(len(fleet.serverIDs)) / float64(len(fleet.forwarderNames))
		}
	}
	return loads
}

// TestEqualReportsGiveEqualPlans checks that equal reports at equal times give equal plans, and that a new planner continues from the
// shares that forwarders report.
func TestEqualReportsGiveEqualPlans(t *testing.T) {
	a, b := newFleet(40, 12), newFleet(40, 12)
	var x, y *FleetPlan
	for range 6 {
		x, y = a.step(healthy), b.step(healthy)
	}
	if p, q := text(t, x.ForForwarder("n007")), text(t, y.ForForwarder("n007")); p != q {
		t.Errorf("plans of two planners differ:\n%s\n%s", p, q)
	}
	b.planner = NewPlanner(0)
	b.planner.EndpointsUpdated(b.now, a.planner.incarnations.All(), true)
	moved := 0
	before := b.currentShares
	b.currentShares = map[string][]CurrentShare{}
	for n, shares := range before {
		b.currentShares[n] = shares
	}
	b.step(healthy)
	for n := range before {
		hadServer := map[string]bool{}
		for _, share := range before[n] {
			hadServer[share.ID] = true
		}
		for _, share := range b.currentShares[n] {
			if !hadServer[share.ID] {
				moved++
			}
		}
	}
	if moved > 20 { // of 280 slots
		t.Errorf("new planner moved %d slots, want at most 20", moved)
	}
}

func text(t *testing.T, p Plan) string {
	b, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// TestSubsetsAndShares checks the subset sizes, the sum of the shares and the load of each server for different numbers of forwarders
// and servers.
func TestSubsetsAndShares(t *testing.T) {
	for _, c := range []struct{ forwarders, servers int }{{1, 1}, {1, 40}, {3, 13}, {16, 13}, {220, 52}, {557, 192}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			fleet := newFleet(c.forwarders, c.servers)
			var plans *FleetPlan
			for range 4 {
				plans = fleet.step(healthy)
			}
			for _, n := range fleet.forwarderNames {
				sum, subset := 0.0, plans.ForForwarder(n).Servers
				for _, s := range subset {
					sum += s.Share
				}
				if len(subset) < min(minSubsetSize, c.servers) || math.Abs(sum-1) > 0.02 {
					t.Fatalf("forwarder %s: got %d servers with a total share of %.3f, want at least minSubsetSize or all servers, and a total of 1", n, len(subset), sum)
				}
			}
			for s, l := range fleet.loads(plans) {
				if l < 0.75 || l > 1.3 {
					t.Errorf("server %d: got %.2f times an equal share, want 0.75 to 1.3", s, l)
				}
			}
		})
	}
}

// TestEjectionAvoidanceAdmission checks which reports cause ejections, avoidance and a reduced admitted share.
func TestEjectionAvoidanceAdmission(t *testing.T) {
	for name, c := range map[string]struct {
		attempts  func(f, s int) outcome
		ejected   int // number of ejected servers
		avoided   int // number of avoided servers
		admitsAll bool
	}{
		"all is healthy":             {healthy, 0, 0, true},
		"two fail for all":           {func(f, s int) outcome { return failing(f, s, 2, 99) }, 2, 0, true},
		"two fail for one forwarder": {func(f, s int) outcome { return failing(f, s, 2, 1) }, 0, 0, true},
		"all fail":                   {func(f, s int) outcome { return failing(f, s, 99, 99) }, 6, 0, true},
		"one is slow":                {func(f, s int) outcome { return slow(f, s, 1) }, 0, 1, true},
		"all are slow":               {func(f, s int) outcome { return slow(f, s, 99) }, 0, 0, true},
		"all are too slow": {func(f, s int) outcome {
			if result := healthy(f, s); result.completed > 0 {
				return outcome{completed: 1, latency: 190 * ms, timedOut: 3}
			}
			return outcome{}
		}, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(20, 12)
			for range 20 {
				fleet.step(healthy)
			}
			var plans *FleetPlan
			for range 2 {
				plans = fleet.step(c.attempts)
			}
			ejected, avoided := map[string]bool{}, map[string]bool{}
			for _, n := range fleet.forwarderNames {
				for _, s := range plans.ForForwarder(n).Servers {
					if s.EjectionRemaining > 0 {
						ejected[s.ID] = true
					}
					if s.IsAvoided {
						avoided[s.ID] = true
					}
				}
			}
			p := plans.ForForwarder(fleet.forwarderNames[0])
			if len(ejected) != c.ejected || len(avoided) != c.avoided || c.admitsAll != (p.AdmittedShare == 1) {
				t.Errorf("got %d ejected and %d avoided servers, admitted share %.2f, want the values of the case", len(ejected), len(avoided), p.AdmittedShare)
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
	result := healthy(f, s)
	if s < servers {
		result.latency *= 5
	}
	return result
}

// TestSlowStartRatesAddUp checks that the total rate of all forwarders to a server in slow start equals the rate of a warm server,
// independent of the number of forwarders.
func TestSlowStartRatesAddUp(t *testing.T) {
	for _, forwarders := range []int{1, 20, 200} {
		fleet := newFleet(forwarders, 12)
		for range 8 {
			fleet.step(healthy)
		}
		fleet.planner.EndpointsUpdated(fleet.now, []incarnation.Entry{{ID: "s003", Weight: 1, StartedUnixMS: fleet.now.Milliseconds(), Revision: 2}}, false)
		plans := fleet.step(healthy)
		sum, rate := 0.0, 0.0
		for _, n := range fleet.forwarderNames {
			for _, s := range plans.ForForwarder(n).Servers {
				if s.ID == "s003" {
					if s.SlowStartRate <= 0 {
						t.Fatalf("forwarder %s has no slow start rate for s003", n)
					}
					sum += s.SlowStartRate
				}
			}
			rate += fleet.planner.forwarders[n].rate
		}
		floor := minConcurrencyShare * 2.5 / 0.020
		if most := max(rate/12, floor) * 1.05; sum > most || sum < most/2 {
			t.Errorf("%d forwarders: total slow start rate %.1f per second, want half to all of %.1f per second", forwarders, sum, most)
		}
	}
}

// TestSlowStartRatesReserveForNonReporting checks that the slow start rate of configured forwarders without reports is left
// unused.
func TestSlowStartRatesReserveForNonReporting(t *testing.T) {
	fleet := newFleet(20, 12)
	fleet.forwarderNames = fleet.forwarderNames[:10]
	fleet.step(healthy)
	for _, f := range fleet.planner.forwarders {
		f.settings.Nodes = 20
	}
	fleet.planner.EndpointsUpdated(fleet.now, []incarnation.Entry{{ID: "s003", Weight: 1, StartedUnixMS: fleet.now.Milliseconds(), Revision: 2}}, false)
	plans := fleet.planner.ComputePlans(fleet.now)
	sum := 0.0
	for _, n := range fleet.forwarderNames {
		for _, s := range plans.ForForwarder(n).Servers {
			if s.ID == "s003" {
				sum += s.SlowStartRate
			}
		}
	}
	if most := 1.05 * minConcurrencyShare * 2.5 / 0.020 / 2; sum > most {
		t.Errorf("ten of twenty forwarders: total slow start rate %.1f per second, want at most %.1f", sum, most)
	}
}

// TestTenantSharesWithinAllowance checks that a tenant's share within its allowance includes its requests at all forwarders.
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
	for _, share := range p.withinAllowance() {
		want := map[string]float64{"big": 0.5, "small": 1}[share.Tenant] // rates of 200 and 100 requests per second
		if math.Abs(share.Share-want) > 0.1 {
			t.Errorf("tenant %s: share within allowance got %.2f, want %.2f", share.Tenant, share.Share, want)
		}
	}
}

// TestDiffAndApply checks that changes applied in sequence give the latest plan, except for numbers within minRelativeChange.
func TestDiffAndApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent, received Plan
		incarnations := incarnation.NewTable()
		for n := range rapid.IntRange(1, 12).Draw(t, "plans") {
			next := Plan{Number: uint64(n + 1), Nodes: n, AdmittedShare: 0.5}
			for s := range 6 {
				if rapid.Bool().Draw(t, "listed") {
					next.Servers = append(next.Servers, ServerShare{ID: fmt.Sprint(s), Share: rapid.Float64Range(0, 1).Draw(t, "share"),
						EjectionRemaining: time.Duration(rapid.IntRange(0, 1).Draw(t, "ejected")), IsAvoided: rapid.Bool().Draw(t, "avoided")})
				}
				if rapid.Bool().Draw(t, "incarnation") {
					next.Incarnations = append(next.Incarnations, incarnation.Entry{ID: fmt.Sprint(s), Generation: uint32(rapid.IntRange(0, n).Draw(t, "generation"))})
				}
			}
			var c Change
			c, sent = Diff(sent, next)
			received = Apply(received, c)
			incarnations.Join(0, c.Incarnations)
			got := map[string]ServerShare{}
			for _, s := range received.Servers {
				got[s.ID] = s
			}
			for _, s := range next.Servers {
				if g, ok := got[s.ID]; !ok || !isClose(g.Share, s.Share) || g.EjectionRemaining != s.EjectionRemaining || g.IsAvoided != s.IsAvoided {
					t.Fatalf("want server %+v, got %+v", s, g)
				}
			}
			if len(got) != len(next.Servers) || len(received.Servers) != len(got) || received.Number != next.Number {
				t.Fatalf("got %d servers, want %d with distinct IDs and the latest plan number", len(received.Servers), len(next.Servers))
			}
			for _, e := range next.Incarnations {
				if got, ok := incarnations.Get(e.ID); !ok || incarnation.Compare(got, e) < 0 {
					t.Fatalf("incarnation %+v is missing in the changes", e)
				}
			}
		}
	})
}

// TestInvalidReportDoesNotAffectOthers checks that invalid values in one forwarder's report do not affect the plans of others.
func TestInvalidReportDoesNotAffectOthers(t *testing.T) {
	fleet := newFleet(5, 6)
	fleet.step(healthy)
	invalid := Report{Interval: -1, InFlight: -9, Types: []TypeReport{{}}, CurrentShares: []CurrentShare{{ID: "s000", Share: math.NaN()}, {ID: "s001", Share: 1e300}},
		Servers: []ServerReport{{ID: "s000", TimedOut: -5, Failed: -5, Completions: []Completions{{TypeIndex: 9, Count: 1}, {TypeIndex: -1, Count: 1}, {TypeIndex: 0, Count: -7, TotalLatency: 1}}}}}
	fleet.planner.ReportReceived(fleet.now, "odd", &invalid)
	plans := fleet.step(healthy)
	for _, n := range fleet.forwarderNames {
		for _, s := range plans.ForForwarder(n).Servers {
			if !(s.Share >= 0 && s.Share <= 1) || math.IsNaN(s.SlowStartRate) {
				t.Errorf("forwarder %s: got plan entry %+v, want a share of 0 to 1 and a valid slow start rate", n, s)
			}
		}
	}
}

// BenchmarkPlan measures one computation for the largest deployment: 557 forwarders and 192 servers.
func BenchmarkPlan(b *testing.B) {
	fleet := newFleet(557, 192)
	for range 4 {
		fleet.step(healthy)
	}
	b.ResetTimer()
	for b.Loop() {
		fleet.planner.ComputePlans(fleet.now)
	}
}

// BenchmarkFirstPlan measures the first computation, in which no forwarder has a subset yet.
func BenchmarkFirstPlan(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		fleet := newFleet(557, 192)
		fleet.step(healthy)
		for _, f := range fleet.planner.forwarders {
			f.shares = nil
		}
		b.StartTimer()
		fleet.planner.ComputePlans(fleet.now)
	}
}

// BenchmarkBytes measures the bytes per second that a planner sends to 557 forwarders with random latencies, as changes and as full
// plans.
func BenchmarkBytes(b *testing.B) {
	fleet := newFleet(557, 192)
	random := rand.New(rand.NewPCG(1, 1))
	attempts := func(f, s int) outcome {
		result := healthy(f, s)
		result.latency = time.Duration(float64(result.latency) * (0.5 + random.Float64()))
		return result
	}
	sent := map[string]Plan{}
	changedBytes, fullBytes, steps := 0, 0, 0
	for range 4 {
		fleet.step(attempts)
	}
	for b.Loop() {
		plans := fleet.step(attempts)
		for _, n := range fleet.forwarderNames {
			next := plans.ForForwarder(n)
			var c Change
			c, sent[n] = Diff(sent[n], next)
			change, _ := planwire.Append(nil, planwire.ChangeKind, c)
			full, _ := planwire.Append(nil, planwire.ChangeKind, next)
			if steps > 0 { // the first change contains the full plan
				changedBytes += len(change)
			}
			fullBytes += len(full)
		}
		steps++
	}
	b.ReportMetric(2*float64(changedBytes)/float64(max(steps-1, 1)), "changed-B/s")
	b.ReportMetric(2*float64(fullBytes)/float64(steps), "full-B/s")
}

// TestUnnamedTenantHasNoTraffic checks that a tenant missing in reports gives the same shares as a tenant reported without traffic.
func TestUnnamedTenantHasNoTraffic(t *testing.T) {
	const idle, allowance = 50, 100.0
	share := func(named bool, now *time.Duration, p *Planner, requests int) (busy float64, isNamed bool) {
		for range 60 {
			*now += 500 * ms
			r := Report{Interval: 500 * ms, Settings: ForwarderSettings{TotalAllowance: (idle + 2) * allowance}}
			if requests > 0 || named {
				r.Tenants = append(r.Tenants, TenantReport{Name: "busy", Allowance: allowance, Requests: requests})
			}
			r.Tenants = append(r.Tenants, TenantReport{Name: "other", Allowance: allowance, Requests: 70}) // also exceeds its allowance
			for i := range idle {
				if named {
					r.Tenants = append(r.Tenants, TenantReport{Name: fmt.Sprint("idle", i), Allowance: allowance})
				}
			}
			p.ReportReceived(*now, "f", &r)
			p.ComputePlans(*now)
		}
		for _, tenantShare := range p.withinAllowance() {
			if tenantShare.Tenant == "busy" {
				return tenantShare.Share, true
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
			t.Errorf("named %v: share without traffic got %g, reported %v, want 1", named, got, isNamed)
		}
		if got, _ := share(named, &now, p, 100); math.Abs(got-shares[named]) > 1e-6 {
			t.Errorf("named %v: share %g before a pause, %g after it", named, shares[named], got)
		}
	}
	if got, want := shares[false], shares[true]; math.Abs(got-want) > 1e-6 || want > 0.6 || want < 0.4 {
		t.Errorf("share of busy tenant: %.3f without idle tenants in reports, %.3f with them", got, want)
	}
}

// TestReportsTakeBoundedMemory guards against reports that take memory without bound by the number or the length of their names.
func TestReportsTakeBoundedMemory(t *testing.T) {
	long, longest := strings.Repeat("x", maxTextBytes+1), strings.Repeat("x", maxTextBytes)
	report := Report{Interval: time.Second}
	for _, name := range []string{long, longest} {
		report.Types = append(report.Types, TypeReport{Name: name, TargetTime: 200 * ms})
		report.Servers = append(report.Servers, ServerReport{ID: name, Completions: []Completions{{TypeIndex: len(report.Types) - 1, Count: 1, TotalLatency: ms}}})
		report.Tenants = append(report.Tenants, TenantReport{Name: name, Requests: 1000})
		report.CurrentShares = append(report.CurrentShares, CurrentShare{ID: name, Share: 0.5})
		report.NewerIncarnations = append(report.NewerIncarnations, incarnation.Entry{ID: name, Address: "127.0.0.1:1"}, incarnation.Entry{ID: "zone of " + name[:9], Zone: name})
	}
	for i := range 2 * maxEntriesPerTable {
		report.CurrentShares = append(report.CurrentShares, CurrentShare{ID: fmt.Sprint(i), Share: 0.5})
	}
	p := NewPlanner(0)
	p.ReportReceived(time.Second, "f", &report)
	for name, got := range map[string]int{"types": len(p.types), "servers": len(p.servers), "tenants": len(p.tenants)} {
		if got != 1 {
			t.Errorf("got %d %s, want that of the short name", got, name)
		}
	}
	if got := p.incarnations.Len(); got != 2 {
		t.Errorf("got %d incarnations, want the two with short texts", got)
	}
	if shares := p.forwarders["f"].shares; len(shares) != maxEntriesPerTable || shares[long] != 0 || shares[longest] != 0.5 {
		t.Errorf("got %d shares, want %d without that of the long name", len(shares), maxEntriesPerTable)
	}
}
