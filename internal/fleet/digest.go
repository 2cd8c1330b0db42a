package fleet

import (
	"cmp"
	"slices"
	"time"

	"fernvane/internal/node"
	"fernvane/internal/plan"
	"fernvane/policy"
)

// digests are what a report to planners tells, gathered while there are planners.
type digests struct {
	on      bool
	since   time.Duration
	asked   []int // by type
	denied  []int
	tenants []int
	servers map[string]*digest
}

type digest struct {
	answered []int // by type
	spent    []time.Duration
	timedOut int
	failed   int
}

// Digest has reports gathered from now on.
func (f *Fleet) Digest() {
	f.mu.Lock()
	defer f.unlock()
	f.digests.reset(f.now(), len(f.set.TypeNames), len(f.set.TenantNames))
	f.digests.on = true
}

func (d *digests) reset(now time.Duration, types, tenants int) {
	d.since, d.servers = now, map[string]*digest{}
	d.asked, d.denied, d.tenants = make([]int, types), make([]int, types), make([]int, tenants)
}

// grow makes room for tenants that have come to be known.
func (d *digests) grow(tenants int) {
	if missing := tenants - len(d.tenants); d.on && missing > 0 {
		d.tenants = append(d.tenants, make([]int, missing)...)
	}
}

func (d *digests) arrived(kind, tenant int) {
	if !d.on {
		return
	}
	if kind < len(d.asked) {
		d.asked[kind]++
	}
	if tenant < len(d.tenants) {
		d.tenants[tenant]++
	}
}

func (d *digests) turnedAway(kind int) {
	if d.on && kind < len(d.denied) {
		d.denied[kind]++
	}
}

// ended books a hop's end. What says nothing of its server, or of the request alone, is left out.
func (d *digests) ended(server string, kind int, how End, spent time.Duration) {
	if !d.on || kind >= len(d.asked) {
		return
	}
	s := d.servers[server]
	if s == nil {
		s = &digest{answered: make([]int, len(d.asked)), spent: make([]time.Duration, len(d.asked))}
		d.servers[server] = s
	}
	switch how.Outcome() {
	case policy.Success:
		s.answered[kind]++
		s.spent[kind] += spent
	case policy.TimedOut:
		s.timedOut++
	case policy.Failure, policy.Unreachable:
		s.failed++
	}
}

// Report is what has happened since the last one.
func (f *Fleet) Report() plan.Report {
	f.mu.Lock()
	defer f.unlock()
	now, d := f.now(), &f.digests
	r := plan.Report{Sent: now, Span: now - d.since, Figures: plan.Figures{Nodes: f.set.Nodes, ColdFor: f.set.ColdFor,
		ColdStart: f.set.ColdStart, FallMultiple: f.set.FallMultiple}}
	for _, o := range f.ops {
		r.Flying += len(o.outs)
	}
	for k, name := range f.set.TypeNames {
		r.Types = append(r.Types, plan.Type{Name: name, Target: f.set.Types[k].TargetTime, Asked: d.asked[k], Denied: d.denied[k]})
	}
	for t, name := range f.set.TenantNames {
		if f.set.AllowancePerS[t] > 0 {
			r.Tenants = append(r.Tenants, plan.Tenant{Name: name, Allowance: f.set.AllowancePerS[t], Asked: d.tenants[t]})
		}
	}
	for id, s := range d.servers {
		told := plan.Server{ID: id, TimedOut: s.timedOut, Failed: s.failed}
		for k, n := range s.answered {
			if n > 0 {
				told.Answered = append(told.Answered, plan.Answered{Type: k, N: n, Sum: s.spent[k]})
			}
		}
		r.Servers = append(r.Servers, told)
	}
	slices.SortFunc(r.Servers, func(a, b plan.Server) int { return cmp.Compare(a.ID, b.ID) })
	d.reset(now, len(f.set.TypeNames), len(f.set.TenantNames))
	return r
}

// Now is the fleet's clock, which Report tells.
func (f *Fleet) Now() time.Duration { return f.now() }

// Planned has the module follow what a plan says. within is by tenant name; nil leaves tenants to the module.
func (f *Fleet) Planned(nodes int, admit float64, within map[string]float64, servers []plan.Share) {
	f.mu.Lock()
	defer f.unlock()
	in := policy.Input{Nodes: max(nodes, 1), Admit: admit}
	if within != nil {
		in.Within = make([]float64, len(f.set.TenantNames))
		for t, name := range f.set.TenantNames {
			if in.Within[t] = 1; f.set.AllowancePerS[t] <= 0 {
				in.Within[t] = 0 // has no share, as in the module
			} else if w, ok := within[name]; ok {
				in.Within[t] = w
			}
		}
	}
	most := 0.0
	for _, s := range servers {
		most = max(most, s.Share)
	}
	shares := make([]node.Share[string], 0, len(servers))
	for _, s := range servers {
		line := policy.Share{Part: s.Share / max(most, 1e-9), Pace: s.Pace, Rest: s.Rest}
		if s.Avoid {
			line.Part = -1
		}
		shares = append(shares, node.Share[string]{Server: s.ID, Line: line})
	}
	f.door.Planned(f.now(), in, shares, (*hands)(f))
}
