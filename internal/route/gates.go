package route

import (
	"cmp"
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Denial is why a route takes no more.
type Denial uint8

const (
	Taken      Denial = iota // no denial: the route takes it
	OverRate                 // more a second than the route takes
	NoPlace                  // as many in hand as may have a hop out and wait
	OverTenant               // the tenant has used up its part of either
)

func (d Denial) String() string {
	return [...]string{"taken", "over its rate", "no place left", "over its tenant's share"}[d]
}

// Grant is what an operation holds from its taking to its answer.
type Grant struct {
	Kind   int // as the module knows it
	Room   int // likewise
	tenant int
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
	Taken      int
	OverRate   int
	NoPlace    int
	OverTenant int
}

// assignGates gives each route and type that has a limit of its own a gate, the same one as before by its name.
func (l *Live) assignGates(now time.Duration, set *Set) {
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
			if p < 0 || r.limits[k].Rate == nil && r.limits[k].AtOnce == nil {
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
func (l *Live) freeGates(set *Set) []int {
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
func (g *gate) set(now time.Duration, l *Limits, set *Set, tenants int) {
	g.atOnce, g.places = or(l.AtOnce, 0), 0
	if g.atOnce > 0 {
		g.places = g.atOnce + or(l.Waiting, 0)
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
func (l *Live) Admit(now time.Duration, route, kind, tenant int) (Grant, Denial) {
	t := tenant
	if t < 0 || t > l.tenants {
		t = l.tenants
	}
	if route < 0 {
		l.kinds[kind].inHand++
		return Grant{Kind: kind, tenant: t}, Taken
	}
	why := Taken
	for ; route >= 0; route = l.set.Routes[route].fallback {
		r := &l.set.Routes[route]
		if r.byKind[kind] < 0 {
			break
		}
		g := &l.gates[l.gateOf[route][kind]]
		denied := g.take(now, t)
		if denied == Taken {
			k := l.kindOf[r.byKind[kind]]
			l.kinds[k].inHand++
			return Grant{Kind: k, Room: l.gateOf[route][kind], tenant: t}, Taken
		}
		why = cmp.Or(why, denied)
	}
	return Grant{}, why
}

func (g *gate) take(now time.Duration, tenant int) (d Denial) {
	if !g.used { // no limits, no gate
		return Taken
	}
	at := epoch.Add(now)
	own := (*rate.Limiter)(nil)
	if g.limiters != nil {
		own = g.limiters[tenant]
	}
	share := g.shares[tenant]
	switch {
	case g.places > 0 && g.inHand >= g.places:
		g.counts.NoPlace++
		return NoPlace
	case g.places > 0 && share > 0 && float64(g.tenants[tenant]) >= max(share*float64(g.places), 1):
		g.counts.OverTenant++
		return OverTenant
	case own != nil && own.TokensAt(at) < 1:
		g.counts.OverTenant++
		return OverTenant
	case g.limiter != nil && !g.limiter.AllowN(at, 1):
		g.counts.OverRate++
		return OverRate
	}
	if own != nil {
		own.AllowN(at, 1)
	}
	g.inHand++
	g.tenants[tenant]++
	g.counts.Taken++
	return Taken
}

// Done gives back what an operation held.
func (l *Live) Done(g Grant) {
	k := &l.kinds[g.Kind]
	if k.inHand--; k.inHand == 0 && !k.used && g.Kind >= l.base {
		k.free = true
	}
	if g.Room > 0 {
		r := &l.gates[g.Room]
		r.inHand--
		r.tenants[g.tenant]--
	}
}

// Counts tells what became of operations at each gate since the last call, by route.
func (l *Live) Counts(each func(route string, inHand int, c GateCounts)) {
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
		s.Taken += g.counts.Taken
		s.OverRate += g.counts.OverRate
		s.NoPlace += g.counts.NoPlace
		s.OverTenant += g.counts.OverTenant
		sums[g.name.route], hands[g.name.route] = s, hands[g.name.route]+g.inHand
		g.counts = GateCounts{}
	}
	for _, name := range names {
		each(name, hands[name], sums[name])
	}
}
