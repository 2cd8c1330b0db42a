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
	key            gateKey
	isUsed         bool
	maxInFlight    int // operations with a hop out; 0: any number
	capacity       int // operations in hand, likewise
	admitted       int
	rateLimiter    *rate.Limiter
	tenantShares   []float64 // by tenant; 0: no share is set
	tenantAdmitted []int     // operations in hand
	tenantLimiters []*rate.Limiter
	counts         GateCounts
}

type gateKey struct {
	route       string
	trafficType int
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
	at := map[gateKey]int{}
	for i := 1; i < len(l.gates); i++ {
		l.gates[i].isUsed, l.gates[i].maxInFlight = false, 0 // one that is not used any more lets its last operations out
		at[l.gates[i].key] = i
	}
	l.gateByRoute = nil
	if set == nil {
		return
	}
	var free []int
	l.gateByRoute = make([][]int, len(set.Routes))
	for i := range set.Routes {
		r := &set.Routes[i]
		l.gateByRoute[i] = make([]int, len(r.profileByType))
		for k, p := range r.profileByType {
			if p < 0 || r.limitsByType[k].Rate == nil && r.limitsByType[k].MaxInFlight == nil {
				continue
			}
			name := gateKey{r.Name, k}
			g, ok := at[name]
			if !ok {
				if free == nil {
					free = l.unusedGates(set)
				}
				if len(free) > 0 {
					g, free = free[0], free[1:]
				} else {
					g = len(l.gates)
					l.gates = append(l.gates, gate{})
				}
				l.gates[g] = gate{key: name, tenantAdmitted: make([]int, l.tenantCount+1)}
			}
			l.gateByRoute[i][k] = g
			l.gates[g].isUsed = true
			l.gates[g].configure(now, &r.limitsByType[k], set, l.tenantCount)
		}
	}
}

// freeGates are those that neither the set nor an operation in hand uses.
func (l *Router) unusedGates(set *Table) []int {
	free := []int{}
	for i := 1; i < len(l.gates); i++ {
		g := &l.gates[i]
		if _, named := set.byName[g.key.route]; !named && !g.isUsed && g.admitted == 0 {
			free = append(free, i)
		}
	}
	return free
}

var epoch = time.Unix(0, 0) // what the limiters count from

// set takes over limits. What is left of a rate goes on, so that a reload gives nobody a burst anew.
func (g *gate) configure(now time.Duration, l *Limits, set *Table, tenants int) {
	g.maxInFlight, g.capacity = valueOr(l.MaxInFlight, 0), 0
	if g.maxInFlight > 0 {
		g.capacity = g.maxInFlight + valueOr(l.MaxQueued, 0)
	}
	g.tenantShares = make([]float64, tenants+1)
	for name, share := range l.Tenants {
		if t, ok := set.tenants[name]; ok {
			g.tenantShares[t] = share
		} else {
			g.tenantShares[tenants] = share
		}
	}
	if l.Rate == nil {
		g.rateLimiter, g.tenantLimiters = nil, nil
		return
	}
	burst := valueOr(l.Burst, int(max(*l.Rate/burstDivisor, 1)))
	g.rateLimiter = updateLimiter(g.rateLimiter, now, *l.Rate, burst)
	if g.tenantLimiters == nil {
		g.tenantLimiters = make([]*rate.Limiter, tenants+1)
	}
	for t, share := range g.tenantShares {
		if share == 0 {
			g.tenantLimiters[t] = nil
			continue
		}
		g.tenantLimiters[t] = updateLimiter(g.tenantLimiters[t], now, *l.Rate*share, int(math.Ceil(float64(burst)*share)))
	}
}

func updateLimiter(old *rate.Limiter, now time.Duration, perS float64, burst int) *rate.Limiter {
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
	if t < 0 || t > l.tenantCount {
		t = l.tenantCount
	}
	if route < 0 {
		l.types[kind].admitted++
		return Admission{Type: kind, tenant: t}, Admitted
	}
	why := Admitted
	for ; route >= 0; route = l.table.Routes[route].fallback {
		r := &l.table.Routes[route]
		if r.profileByType[kind] < 0 {
			break
		}
		g := &l.gates[l.gateByRoute[route][kind]]
		denied := g.admit(now, t)
		if denied == Admitted {
			k := l.typeOfProfile[r.profileByType[kind]]
			l.types[k].admitted++
			return Admission{Type: k, LimitIndex: l.gateByRoute[route][kind], tenant: t}, Admitted
		}
		why = cmp.Or(why, denied)
	}
	return Admission{}, why
}

func (g *gate) admit(now time.Duration, tenant int) (d Rejection) {
	if !g.isUsed { // no limits, no gate
		return Admitted
	}
	at := epoch.Add(now)
	own := (*rate.Limiter)(nil)
	if g.tenantLimiters != nil {
		own = g.tenantLimiters[tenant]
	}
	share := g.tenantShares[tenant]
	switch {
	case g.capacity > 0 && g.admitted >= g.capacity:
		g.counts.QueueFull++
		return QueueFull
	case g.capacity > 0 && share > 0 && float64(g.tenantAdmitted[tenant]) >= max(share*float64(g.capacity), 1):
		g.counts.TenantShareExceeded++
		return TenantShareExceeded
	case own != nil && own.TokensAt(at) < 1:
		g.counts.TenantShareExceeded++
		return TenantShareExceeded
	case g.rateLimiter != nil && !g.rateLimiter.AllowN(at, 1):
		g.counts.RateExceeded++
		return RateExceeded
	}
	if own != nil {
		own.AllowN(at, 1)
	}
	g.admitted++
	g.tenantAdmitted[tenant]++
	g.counts.Admitted++
	return Admitted
}

// Release gives back what an operation held.
func (l *Router) Release(g Admission) {
	k := &l.types[g.Type]
	if k.admitted--; k.admitted == 0 && !k.isUsed && g.Type >= l.settingsTypes {
		k.isFree = true
	}
	if g.LimitIndex > 0 {
		r := &l.gates[g.LimitIndex]
		r.admitted--
		r.tenantAdmitted[g.tenant]--
	}
}

// Counts tells what became of operations at each gate since the last call, by route.
func (l *Router) Counts(each func(route string, inHand int, c GateCounts)) {
	sums, hands, names := map[string]GateCounts{}, map[string]int{}, []string{}
	for i := 1; i < len(l.gates); i++ {
		g := &l.gates[i]
		if g.counts == (GateCounts{}) && g.admitted == 0 {
			continue
		}
		s, ok := sums[g.key.route]
		if !ok {
			names = append(names, g.key.route)
		}
		s.Admitted += g.counts.Admitted
		s.RateExceeded += g.counts.RateExceeded
		s.QueueFull += g.counts.QueueFull
		s.TenantShareExceeded += g.counts.TenantShareExceeded
		sums[g.key.route], hands[g.key.route] = s, hands[g.key.route]+g.admitted
		g.counts = GateCounts{}
	}
	for _, name := range names {
		each(name, hands[name], sums[name])
	}
}
