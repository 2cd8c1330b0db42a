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

// world drives a planner with forwarders that follow it at once.
type world struct {
	p     *Planner
	now   time.Duration
	held  map[string][]CurrentShare
	names []string
	ids   []string
}

func newWorld(forwarders, servers int) *world {
	w := &world{p: NewPlanner(0), now: time.Second, held: map[string][]CurrentShare{}}
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

// digest of what one forwarder met at one server in a step.
type digest struct {
	n, timedOut, failed int
	took                time.Duration
}

// step has each forwarder report half a second, by what meet says of each server, and returns the plan.
func (w *world) step(meet func(f, s int) digest) *FleetPlan {
	w.now += 500 * ms
	for f, name := range w.names {
		r := Report{SentAt: w.now, Interval: 500 * ms, InFlight: 1, CurrentShares: w.held[name], Settings: ForwarderSettings{Nodes: len(w.names), SlowStartDuration: 5 * time.Second, InitialCapacity: 0.4, FallMultiple: 2.5},
			Types: []TypeReport{{Name: "check", TargetTime: 200 * ms}}}
		for s, id := range w.ids {
			if d := meet(f, s); d != (digest{}) {
				r.Servers = append(r.Servers, ServerReport{ID: id, TimedOut: d.timedOut, Failed: d.failed, Completions: []Completions{{TypeIndex: 0, Count: d.n, TotalLatency: time.Duration(d.n) * d.took}}})
			}
		}
		w.p.ReportReceived(w.now, name, &r)
	}
	whole := w.p.ComputePlans(w.now)
	for _, name := range w.names {
		var held []CurrentShare
		for _, s := range whole.ForForwarder(name).Servers {
			if s.Share > 0 {
				held = append(held, CurrentShare{ID: s.ID, Share: s.Share})
			}
		}
		w.held[name] = held
	}
	return whole
}

func well(f, s int) digest {
	if (f+s)%5 == 0 {
		return digest{n: 3, took: 20 * ms}
	}
	return digest{}
}

// loads are what each server gets by the shares, over its even part.
func (w *world) loads(whole *FleetPlan) []float64 {
	loads, at := make([]float64, len(w.ids)), map[string]int{}
	for i, id := range w.ids {
		at[id] = i
	}
	for _, name := range w.names {
		for _, s := range whole.ForForwarder(name).Servers {
			loads[at[s.ID]] += s.Share * float64(len(w.ids)) / float64(len(w.names))
		}
	}
	return loads
}

// The same reports at the same times give the same plan, and a planner that starts anew goes on from what forwarders hold.
func TestSamePlan(t *testing.T) {
	a, b := newWorld(40, 12), newWorld(40, 12)
	var x, y *FleetPlan
	for range 6 {
		x, y = a.step(well), b.step(well)
	}
	if p, q := text(t, x.ForForwarder("n007")), text(t, y.ForForwarder("n007")); p != q {
		t.Errorf("%s\n%s", p, q)
	}
	b.p = NewPlanner(0)
	b.p.EndpointsUpdated(b.now, a.p.lives.All(), true)
	moved := 0
	before := b.held
	b.held = map[string][]CurrentShare{}
	for n, h := range before {
		b.held[n] = h
	}
	b.step(well)
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
	if moved > 20 { // of 280 places
		t.Errorf("a new planner moved %d places", moved)
	}
}

func text(t *testing.T, p Plan) string {
	b, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Whatever the numbers, parts have their size, shares add up to 1 and servers get their dues.
func TestParts(t *testing.T) {
	for _, c := range []struct{ forwarders, servers int }{{1, 1}, {1, 40}, {3, 13}, {16, 13}, {220, 52}, {557, 192}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			w := newWorld(c.forwarders, c.servers)
			var whole *FleetPlan
			for range 4 {
				whole = w.step(well)
			}
			for _, n := range w.names {
				sum, part := 0.0, whole.ForForwarder(n).Servers
				for _, s := range part {
					sum += s.Share
				}
				if len(part) < min(partLeast, c.servers) || math.Abs(sum-1) > 0.02 {
					t.Fatalf("%s has %d servers with %.3f", n, len(part), sum)
				}
			}
			for s, l := range w.loads(whole) {
				if l < 0.75 || l > 1.3 {
					t.Errorf("server %d is due %.2f of an even part", s, l)
				}
			}
		})
	}
}

// What forwarders meet, and what the plan makes of it for all.
func TestJudgement(t *testing.T) {
	for name, c := range map[string]struct {
		meet    func(f, s int) digest
		rest    int // servers
		avoided int
		admits  bool
	}{
		"all is well":                {well, 0, 0, true},
		"two fail for all":           {func(f, s int) digest { return failing(f, s, 2, 99) }, 2, 0, true},
		"two fail for one forwarder": {func(f, s int) digest { return failing(f, s, 2, 1) }, 0, 0, true},
		"all fail":                   {func(f, s int) digest { return failing(f, s, 99, 99) }, 6, 0, true},
		"one is slow":                {func(f, s int) digest { return slow(f, s, 1) }, 0, 1, true},
		"all are slow":               {func(f, s int) digest { return slow(f, s, 99) }, 0, 0, true},
		"all are too slow": {func(f, s int) digest {
			if d := well(f, s); d.n > 0 {
				return digest{n: 1, took: 190 * ms, timedOut: 3}
			}
			return digest{}
		}, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(20, 12)
			for range 20 {
				w.step(well)
			}
			var whole *FleetPlan
			for range 2 {
				whole = w.step(c.meet)
			}
			rest, avoided := map[string]bool{}, map[string]bool{}
			for _, n := range w.names {
				for _, s := range whole.ForForwarder(n).Servers {
					if s.EjectionRemaining > 0 {
						rest[s.ID] = true
					}
					if s.IsAvoided {
						avoided[s.ID] = true
					}
				}
			}
			p := whole.ForForwarder(w.names[0])
			if len(rest) != c.rest || len(avoided) != c.avoided || c.admits != (p.AdmittedShare == 1) {
				t.Errorf("%d rest, %d are avoided, %.2f is let in", len(rest), len(avoided), p.AdmittedShare)
			}
		})
	}
}

func failing(f, s, servers, forwarders int) digest {
	if s < servers {
		if f < forwarders && (f+s)%2 == 0 {
			return digest{failed: 20}
		}
		return digest{}
	}
	return well(f, s)
}

func slow(f, s, servers int) digest {
	d := well(f, s)
	if s < servers {
		d.took *= 5
	}
	return d
}

// Over all forwarders a cold server gets what a warm one gets, however many hold it and whichever are heard.
func TestColdPacesAddUp(t *testing.T) {
	for _, forwarders := range []int{1, 20, 200} {
		w := newWorld(forwarders, 12)
		for range 8 {
			w.step(well)
		}
		w.p.EndpointsUpdated(w.now, []incarnation.Entry{{ID: "s003", Weight: 1, StartedUnixMS: w.now.Milliseconds(), Revision: 2}}, false)
		whole := w.step(well)
		sum, rate := 0.0, 0.0
		for _, n := range w.names {
			for _, s := range whole.ForForwarder(n).Servers {
				if s.ID == "s003" {
					if s.SlowStartRate <= 0 {
						t.Fatalf("%s may feed it as it likes", n)
					}
					sum += s.SlowStartRate
				}
			}
			rate += w.p.forwarders[n].rate
		}
		floor := paceFloor * 2.5 / 0.020
		if most := max(rate/12, floor) * 1.05; sum > most || sum < most/2 {
			t.Errorf("%d forwarders may send it %.1f a second, a warm one gets %.1f", forwarders, sum, most)
		}
	}
}

// Half of the forwarders are not heard, though their settings count them: the others leave room for them.
func TestUnheardForwardersCount(t *testing.T) {
	w := newWorld(20, 12)
	w.names = w.names[:10]
	w.step(well)
	for _, f := range w.p.forwarders {
		f.figures.Nodes = 20
	}
	w.p.EndpointsUpdated(w.now, []incarnation.Entry{{ID: "s003", Weight: 1, StartedUnixMS: w.now.Milliseconds(), Revision: 2}}, false)
	whole := w.p.ComputePlans(w.now)
	sum := 0.0
	for _, n := range w.names {
		for _, s := range whole.ForForwarder(n).Servers {
			if s.ID == "s003" {
				sum += s.SlowStartRate
			}
		}
	}
	if most := 1.05 * paceFloor * 2.5 / 0.020 / 2; sum > most {
		t.Errorf("ten of twenty may send %.1f a second, of %.1f", sum, most)
	}
}

// A tenant is within its allowance by what all forwarders saw of it, unless the others leave room.
func TestWithin(t *testing.T) {
	p := NewPlanner(0)
	for i := range 60 {
		now := time.Duration(i) * 500 * ms
		for f := range 10 {
			r := Report{Interval: 500 * ms, Tenants: []TenantReport{{Name: "big", Allowance: 100, Requests: 10}, {Name: "small", Allowance: 100, Requests: 5}}}
			p.ReportReceived(now, fmt.Sprint(f), &r)
		}
		p.ComputePlans(now)
	}
	for _, w := range p.within() {
		want := map[string]float64{"big": 0.5, "small": 1}[w.Tenant] // 200 and 100 a second
		if math.Abs(w.Share-want) > 0.1 {
			t.Errorf("%s: %.2f, not %.2f", w.Tenant, w.Share, want)
		}
	}
}

// Changes, applied one after the other, come to the plan itself but for what hardly differs.
func TestChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var told, held Plan
		lives := incarnation.NewTable()
		for n := range rapid.IntRange(1, 12).Draw(t, "plans") {
			next := Plan{Number: uint64(n + 1), Nodes: n, AdmittedShare: 0.5}
			for s := range 6 {
				if rapid.Bool().Draw(t, "there") {
					next.Servers = append(next.Servers, ServerShare{ID: fmt.Sprint(s), Share: rapid.Float64Range(0, 1).Draw(t, "share"),
						EjectionRemaining: time.Duration(rapid.IntRange(0, 1).Draw(t, "rest")), IsAvoided: rapid.Bool().Draw(t, "avoid")})
				}
				if rapid.Bool().Draw(t, "lives") {
					next.Incarnations = append(next.Incarnations, incarnation.Entry{ID: fmt.Sprint(s), Generation: uint32(rapid.IntRange(0, n).Draw(t, "turn"))})
				}
			}
			var c Change
			c, told = Diff(told, next)
			held = Apply(held, c)
			lives.Join(0, c.Incarnations)
			got := map[string]ServerShare{}
			for _, s := range held.Servers {
				got[s.ID] = s
			}
			for _, s := range next.Servers {
				if g, ok := got[s.ID]; !ok || !near(g.Share, s.Share) || g.EjectionRemaining != s.EjectionRemaining || g.IsAvoided != s.IsAvoided {
					t.Fatalf("%+v is held as %+v", s, g)
				}
			}
			if len(got) != len(next.Servers) || len(held.Servers) != len(got) || held.Number != next.Number {
				t.Fatalf("%d servers, not %d", len(held.Servers), len(next.Servers))
			}
			for _, e := range next.Incarnations {
				if h, ok := lives.Get(e.ID); !ok || incarnation.Compare(h, e) < 0 {
					t.Fatalf("the life %+v was not told", e)
				}
			}
		}
	})
}

// Nonsense from a forwarder moves nothing that others rely on.
func TestNonsense(t *testing.T) {
	w := newWorld(5, 6)
	w.step(well)
	huge := Report{Interval: -1, InFlight: -9, Types: []TypeReport{{}}, CurrentShares: []CurrentShare{{ID: "s000", Share: math.NaN()}, {ID: "s001", Share: 1e300}},
		Servers: []ServerReport{{ID: "s000", TimedOut: -5, Failed: -5, Completions: []Completions{{TypeIndex: 9, Count: 1}, {TypeIndex: -1, Count: 1}, {TypeIndex: 0, Count: -7, TotalLatency: 1}}}}}
	w.p.ReportReceived(w.now, "odd", &huge)
	whole := w.step(well)
	for _, n := range w.names {
		for _, s := range whole.ForForwarder(n).Servers {
			if !(s.Share >= 0 && s.Share <= 1) || math.IsNaN(s.SlowStartRate) {
				t.Errorf("%s: %+v", n, s)
			}
		}
	}
}

// The largest deployment: 557 forwarders and 192 servers.
func BenchmarkPlan(b *testing.B) {
	w := newWorld(557, 192)
	for range 4 {
		w.step(well)
	}
	b.ResetTimer()
	for b.Loop() {
		w.p.ComputePlans(w.now)
	}
}

// The first plan of a planner that finds all forwarders without a part.
func BenchmarkFirstPlan(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		w := newWorld(557, 192)
		w.step(well)
		for _, f := range w.p.forwarders {
			f.held = nil
		}
		b.StartTimer()
		w.p.ComputePlans(w.now)
	}
}

// What a planner sends to 557 forwarders in a second when figures wander by chance, as changes and as whole plans.
func BenchmarkBytes(b *testing.B) {
	w := newWorld(557, 192)
	chance := rand.New(rand.NewPCG(1, 1))
	meet := func(f, s int) digest {
		d := well(f, s)
		d.took = time.Duration(float64(d.took) * (0.5 + chance.Float64()))
		return d
	}
	told := map[string]Plan{}
	changes, wholes, steps := 0, 0, 0
	for range 4 {
		w.step(meet)
	}
	for b.Loop() {
		whole := w.step(meet)
		for _, n := range w.names {
			next := whole.ForForwarder(n)
			var c Change
			c, told[n] = Diff(told[n], next)
			text, _ := planwire.Append(nil, planwire.ChangeKind, c)
			all, _ := planwire.Append(nil, planwire.ChangeKind, next)
			if steps > 0 { // the first is whole
				changes += len(text)
			}
			wholes += len(all)
		}
		steps++
	}
	b.ReportMetric(2*float64(changes)/float64(max(steps-1, 1)), "changed-B/s")
	b.ReportMetric(2*float64(wholes)/float64(steps), "whole-B/s")
}

// A tenant that reports do not name had no traffic. It is judged, and counts for the others, as if it were named with none.
func TestAbsentTenantHasNoTraffic(t *testing.T) {
	const idle, allowance = 50, 100.0
	share := func(named bool, now *time.Duration, p *Planner, asked int) (busy float64, told bool) {
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
		for _, w := range p.within() {
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
		if got, told := share(named, &now, p, 0); got != 1 || told && !named {
			t.Errorf("named %v: without traffic its share is %g, told %v", named, got, told)
		}
		if got, _ := share(named, &now, p, 100); math.Abs(got-shares[named]) > 1e-6 {
			t.Errorf("named %v: %g, and %g after a pause", named, shares[named], got)
		}
	}
	if got, want := shares[false], shares[true]; math.Abs(got-want) > 1e-6 || want > 0.6 || want < 0.4 {
		t.Errorf("%.3f where idle tenants are not named, %.3f where they are", got, want)
	}
}
