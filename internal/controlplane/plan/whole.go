package plan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const grain = 2048 // shares are told in parts of this: two bytes on the wire hold them

// FleetPlan is one plan for all forwarders.
type FleetPlan struct {
	common Plan
	names  map[string]int
	heard  []time.Duration
	parts  [][]ServerShare
	cold   []ServerShare // what is said of servers to those outside whose part they are
	alone  Plan          // for one that has not reported
}

// ComputePlans works out the plan that holds from now.
func (p *Planner) ComputePlans(now time.Duration) *FleetPlan {
	p.advance(now)
	p.number++
	w := &FleetPlan{names: map[string]int{}}
	w.common = Plan{PlannerStartMs: p.start, Number: p.number, ReportingForwarders: len(p.forwarders), Nodes: max(len(p.forwarders), 1),
		AdmittedShare: p.admit, WithinAllowance: p.within(), Incarnations: p.lives.All()}
	names, servers := ids(p.forwarders), ids(p.servers)
	var coldFor time.Duration
	coldStart, fall, counted := 1.0, math.Inf(1), len(names)
	for _, n := range names {
		f := p.forwarders[n].figures
		coldFor, coldStart, counted = max(coldFor, f.SlowStartDuration), min(coldStart, f.InitialCapacity), max(counted, min(f.Nodes, forwarderTop))
		if f.FallMultiple > 0 {
			fall = min(fall, f.FallMultiple)
		}
	}
	ejections := p.ejections(now, servers)
	p.weigh(servers, coldFor, coldStart)
	g := grid{servers: servers, weight: make([]float64, len(servers))}
	for i, id := range servers {
		if g.weight[i] = p.servers[id].weight; ejections[id] > 0 {
			g.weight[i] = 0
		}
	}
	for i, n := range names {
		w.names[n], w.heard = i, append(w.heard, p.forwarders[n].sent)
		g.add(p.forwarders[n])
	}
	g.deal()
	g.fit()
	w.parts = make([][]ServerShare, len(names))
	holders := make([]int, len(servers))
	for i, part := range g.parts {
		for _, c := range part {
			holders[c.server]++
			w.parts[i] = append(w.parts[i], ServerShare{ID: servers[c.server], Share: math.Round(c.share*grain) / grain})
		}
	}
	paces := p.paces(servers, fall, holders, float64(counted)/float64(max(len(names), 1)))
	for i, part := range g.parts {
		for j, c := range part {
			w.parts[i][j].SlowStartRate, w.parts[i][j].EjectionRemaining = paces[c.server], ejections[servers[c.server]]
			w.parts[i][j].IsAvoided = p.servers[servers[c.server]].avoided
		}
	}
	for i, id := range servers {
		if avoided := p.servers[id].avoided; paces[i] > 0 || ejections[id] > 0 || avoided {
			s := ServerShare{ID: id, EjectionRemaining: ejections[id], IsAvoided: avoided}
			if paces[i] > 0 {
				s.SlowStartRate = paceNone
			}
			w.cold = append(w.cold, s)
		}
	}
	w.alone = w.common
	return w
}

// ForForwarder is one forwarder's plan; one that has not reported yet gets no part.
func (w *FleetPlan) ForForwarder(name string) Plan {
	i, ok := w.names[name]
	if !ok {
		return w.alone
	}
	pl := w.common
	pl.ReportSentAt = w.heard[i]
	pl.Servers = append([]ServerShare(nil), w.parts[i]...)
	for _, c := range w.cold {
		in := false
		for _, s := range w.parts[i] {
			in = in || s.ID == c.ID
		}
		if !in {
			pl.Servers = append(pl.Servers, c)
		}
	}
	return pl
}

// within is each tenant's share within its allowance. As in the module, it goes with the others' traffic where that is
// above their allowances, also of those that have no traffic: a surplus of all is nobody's.
func (p *Planner) within() (all []TenantShare) {
	allowances, rates := 0.0, 0.0
	for _, name := range ids(p.tenants) { // in their order, so that plans come out alike
		t := p.tenants[name]
		allowances, rates = allowances+t.allowance, rates+t.rate
	}
	for _, f := range p.forwarders {
		allowances = max(allowances, f.figures.TotalAllowance)
	}
	for _, name := range ids(p.tenants) {
		t := p.tenants[name]
		if t.allowance <= 0 {
			continue
		}
		fair := t.allowance * max(1, (rates-t.rate)/max(allowances-t.allowance, 1e-9))
		all = append(all, TenantShare{Tenant: name, Share: min(1, fair/max(t.rate, 1e-9))})
	}
	return all
}

// ejections has servers ejected that several forwarders find failing, for longer each time, but never more than half.
func (p *Planner) ejections(now time.Duration, servers []string) map[string]time.Duration {
	ejections, ejected := map[string]time.Duration{}, 0
	for _, id := range servers {
		if p.servers[id].ejectedUntil > now {
			ejected++
		}
	}
	for _, id := range servers {
		s := p.servers[id]
		agreed := 0
		for _, at := range s.seen {
			if now-at < 2*judgeSpan {
				agreed++
			}
		}
		if s.ejectedUntil <= now && s.faults >= faultsLeast && s.faults >= faultsShare*s.hops &&
			agreed >= min(agreeLeast, len(p.forwarders)) && float64(ejected+1) <= ejectedShare*float64(len(servers)) {
			s.ejectedUntil = now + min(ejectionFirst<<min(s.ejectionsInRow, 3), ejectionMost)
			s.ejectionsInRow++
			s.hops, s.faults = 0, 0
			clear(s.seen)
			ejected++
		}
		if s.ejectedUntil > now {
			ejections[id] = s.ejectedUntil - now
		}
	}
	return ejections
}

// weigh says how much of the load each server gets beside the others.
func (p *Planner) weigh(servers []string, coldFor time.Duration, coldStart float64) {
	now, slow := p.last, make(map[string]float64, len(servers))
	for _, id := range servers {
		s := p.servers[id]
		s.cold = 1
		if age := now - time.Duration(s.life.StartedUnixMS-p.start)*time.Millisecond; s.life.StartedUnixMS > 0 && age < coldFor {
			s.cold = coldStart + (1-coldStart)*max(age.Seconds(), 0)/max(coldFor.Seconds(), 1e-9)
		}
		rule, sudden := s.slowness()
		s.weight = max(s.life.Weight, 0)
		if s.weight == 0 {
			s.weight = 1
		}
		s.weight *= s.cold * max(math.Pow(max(rule, slowLeast), -speedPower), weightLeast)
		slow[id] = sudden
	}
	p.avoid(servers, slow)
}

// avoid has the slowest left alone, as compared with what each is as a rule; never many, nor many more at once.
func (p *Planner) avoid(servers []string, slow map[string]float64) {
	order := slices.Clone(servers)
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(slow[b], slow[a]) })
	shared := 1.0 // what slows half of them is nothing to flee from
	if len(order) > 0 {
		shared = max(slow[order[len(order)/2]], 1)
	}
	most, more := int(avoidServers*float64(len(servers))), max(int(avoidAtOnce*float64(len(servers))), 1)
	for i, id := range order {
		s := p.servers[id]
		is := slow[id] > avoidFrom*shared && i < most && (s.avoided || more > 0)
		if is && !s.avoided {
			more--
		}
		s.avoided = is
	}
}

// paces are what each holder of a cold server may send it: all together what a warm one of its size is sent. Where
// forwarders count more of their kind than this planner hears, the others are taken to be there.
func (p *Planner) paces(servers []string, fall float64, holders []int, unheard float64) []float64 {
	rate, sizes, usual := 0.0, 0.0, 0.0
	for _, f := range p.forwarders {
		rate += f.rate
	}
	for _, id := range servers {
		sizes += max(p.servers[id].life.Weight, 0)
	}
	for _, k := range p.kinds {
		usual = max(usual, k.usual)
	}
	paces := make([]float64, len(servers))
	for i, id := range servers {
		s := p.servers[id]
		if s.cold >= 1 {
			continue
		}
		whole := rate * max(s.life.Weight, 0) / max(sizes, 1e-9)
		if !math.IsInf(fall, 1) && usual > 0 {
			whole = max(whole, paceFloor*fall/usual)
		}
		paces[i] = max(whole/float64(max(holders[i], 1))/max(unheard, 1), paceNone)
	}
	return paces
}
