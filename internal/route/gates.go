package route

import (
	"cmp"
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Rejection is why a route takes no more.
type Rejection uint8

const (
	Admitted            Rejection = iota // no denial: the route takes it
	RateExceeded                         // more a second than the route takes
	QueueFull                            // as many in hand as may have a hop out and wait
	TenantShareExceeded                  // the tenant has used up its part of either
)

func (d Rejection) String() string {
	return [...]string{"taken", "over its rate", "no place left", "over its tenant's share"}[d]
}

// Admission is what an operation holds from its taking to its answer.
type Admission struct {
	Type       int // as the module knows it
	LimitIndex int // likewise
	tenant     int
}

// gate is what a route holds for one traffic type of the settings, under the name of both.
type gate struct {
	name     gateName
	used     bool
	atOnce   int // operations with a hop out; 0: any number
	places   int // operations in hand, likewise
	inHand   int
	limiter  *rate.Limiter
	shares   []float64 // by tenant; 0: no share is set
	tenants  []int     // operations in hand
	limiters []*rate.Limiter
	counts   GateCounts
}

type gateName struct {
	route string
	kind  int
}

// GateCounts is what became of operations at a gate.
type GateCounts struct {
	Admitted            int
	RateExceeded        int
	QueueFull           int
	TenantShareExceeded int
}

// assignGates gives each route and type that has a limit of its own a gate, the same one as before by its name.
func (l *Router) assignGates(now time.Duration, set *Table) {
	at := map[gateName]int{}
	for i := 1; i < len(l.gates); i++ {
		l.gates[i].used, l.gates[i].atOnce = false, 0 // one that is not used any more lets its last operations out
		at[l.gates[i].name] = i
	}
	l.gateOf = nil
	if set == nil {
		return
	}
	var free []int
	l.gateOf = make([][]int, len(set.Routes))
	for i := range set.Routes {
		r := &set.Routes[i]
		l.gateOf[i] = make([]int, len(r.byKind))
		for k, p := range r.byKind {
			if p < 0 || r.limits[k].Rate == nil && r.limits[k].MaxInFlight == nil {
				continue
			}
			name := gateName{r.Name, k}
			g, ok := at[name]
			if !ok {
				if free == nil {
					free = l.freeGates(set)
				}
				if len(free) > 0 {
					g, free = free[0], free[1:]
				} else {
					g = len(l.gates)
					l.gates = append(l.gates, gate{})
				}
				l.gates[g] = gate{name: name, tenants: make([]int, l.tenants+1)}
			}
			l.gateOf[i][k] = g
			l.gates[g].used = true
			l.gates[g].set(now, &r.limits[k], set, l.tenants)
		}
	}
}

// freeGates are those that neither the set nor an operation in hand uses.
func (l *Router) freeGates(set *Table) []int {
	free := []int{}
	for i := 1; i < len(l.gates); i++ {
		g := &l.gates[i]
		if _, named := set.byName[g.name.route]; !named && !g.used && g.inHand == 0 {
			free = append(free, i)
		}
	}
	return free
}

var epoch = time.Unix(0, 0) // what the limiters count from

// set takes over limits. What is left of a rate goes on, so that a reload gives nobody a burst anew.
func (g *gate) set(now time.Duration, l *Limits, set *Table, tenants int) {
	g.atOnce, g.places = or(l.MaxInFlight, 0), 0
	if g.atOnce > 0 {
		g.places = g.atOnce + or(l.MaxQueued, 0)
	}
	g.shares = make([]float64, tenants+1)
	for name, share := range l.Tenants {
		if t, ok := set.tenants[name]; ok {
			g.shares[t] = share
		} else {
			g.shares[tenants] = share
		}
	}
	if l.Rate == nil {
		g.limiter, g.limiters = nil, nil
		return
	}
	burst := or(l.Burst, int(max(*l.Rate/burstPart, 1)))
	g.limiter = limit(g.limiter, now, *l.Rate, burst)
	if g.limiters == nil {
		g.limiters = make([]*rate.Limiter, tenants+1)
	}
	for t, share := range g.shares {
		if share == 0 {
			g.limiters[t] = nil
			continue
		}
		g.limiters[t] = limit(g.limiters[t], now, *l.Rate*share, int(math.Ceil(float64(burst)*share)))
	}
}

func limit(old *rate.Limiter, now time.Duration, perS float64, burst int) *rate.Limiter {
	if old == nil {
		return rate.NewLimiter(rate.Limit(perS), burst)
	}
	at := epoch.Add(now)
	old.SetLimitAt(at, rate.Limit(perS))
	old.SetBurstAt(at, burst)
	return old
}

// Admit asks a route for a place, and its fallbacks after it. A route below 0 is none, and takes all.
func (l *Router) Admit(now time.Duration, route, kind, tenant int) (Admission, Rejection) {
	t := tenant
	if t < 0 || t > l.tenants {
		t = l.tenants
	}
	if route < 0 {
		l.kinds[kind].inHand++
		return Admission{Type: kind, tenant: t}, Admitted
	}
	why := Admitted
	for ; route >= 0; route = l.set.Routes[route].fallback {
		r := &l.set.Routes[route]
		if r.byKind[kind] < 0 {
			break
		}
		g := &l.gates[l.gateOf[route][kind]]
		denied := g.take(now, t)
		if denied == Admitted {
			k := l.kindOf[r.byKind[kind]]
			l.kinds[k].inHand++
			return Admission{Type: k, LimitIndex: l.gateOf[route][kind], tenant: t}, Admitted
		}
		why = cmp.Or(why, denied)
	}
	return Admission{}, why
}

func (g *gate) take(now time.Duration, tenant int) (d Rejection) {
	if !g.used { // no limits, no gate
		return Admitted
	}
	at := epoch.Add(now)
	own := (*rate.Limiter)(nil)
	if g.limiters != nil {
		own = g.limiters[tenant]
	}
	share := g.shares[tenant]
	switch {
	case g.places > 0 && g.inHand >= g.places:
		g.counts.QueueFull++
		return QueueFull
	case g.places > 0 && share > 0 && float64(g.tenants[tenant]) >= max(share*float64(g.places), 1):
		g.counts.TenantShareExceeded++
		return TenantShareExceeded
	case own != nil && own.TokensAt(at) < 1:
		g.counts.TenantShareExceeded++
		return TenantShareExceeded
	case g.limiter != nil && !g.limiter.AllowN(at, 1):
		g.counts.RateExceeded++
		return RateExceeded
	}
	if own != nil {
		own.AllowN(at, 1)
	}
	g.inHand++
	g.tenants[tenant]++
	g.counts.Admitted++
	return Admitted
}

// Release gives back what an operation held.
func (l *Router) Release(g Admission) {
	k := &l.kinds[g.Type]
	if k.inHand--; k.inHand == 0 && !k.used && g.Type >= l.base {
		k.free = true
	}
	if g.LimitIndex > 0 {
		r := &l.gates[g.LimitIndex]
		r.inHand--
		r.tenants[g.tenant]--
	}
}

// Counts tells what became of operations at each gate since the last call, by route.
func (l *Router) Counts(each func(route string, inHand int, c GateCounts)) {
	sums, hands, names := map[string]GateCounts{}, map[string]int{}, []string{}
	for i := 1; i < len(l.gates); i++ {
		g := &l.gates[i]
		if g.counts == (GateCounts{}) && g.inHand == 0 {
			continue
		}
		s, ok := sums[g.name.route]
		if !ok {
			names = append(names, g.name.route)
		}
		s.Admitted += g.counts.Admitted
		s.RateExceeded += g.counts.RateExceeded
		s.QueueFull += g.counts.QueueFull
		s.TenantShareExceeded += g.counts.TenantShareExceeded
		sums[g.name.route], hands[g.name.route] = s, hands[g.name.route]+g.inHand
		g.counts = GateCounts{}
	}
	for _, name := range names {
		each(name, hands[name], sums[name])
	}
}
