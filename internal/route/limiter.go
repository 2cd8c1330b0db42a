package route

import (
	"cmp"
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Rejection is why a route does not admit a request.
type Rejection uint8

// Reasons for a rejection.
const (
	Admitted            Rejection = iota // no rejection
	RateExceeded                         // above the route's rate
	QueueFull                            // all slots are taken, of requests in flight and queued
	TenantShareExceeded                  // the tenant's share of rate or slots is used up
)

func (d Rejection) String() string {
	return [...]string{"admitted", "rate exceeded", "queue full", "tenant share exceeded"}[d]
}

// Admission is what an admitted request holds until its answer. Its owner passes it to Router.Release once.
type Admission struct {
	Type       int // traffic type of the policy
	LimitIndex int // route limit of the policy; 0: none
	tenant     int
}

// routeLimiter holds the limits of one route for one traffic type of the settings, and what counts against them.
type routeLimiter struct {
	key            limiterKey
	isUsed         bool
	maxInFlight    int // requests with an attempt in flight; 0: unlimited
	capacity       int // requests in flight and queued; 0: unlimited
	admitted       int
	rateLimiter    *rate.Limiter
	tenantShares   []float64 // by tenant; 0: not limited
	tenantAdmitted []int     // requests admitted, by tenant
	tenantLimiters []*rate.Limiter
	counts         LimiterCounts
}

type limiterKey struct {
	route       string
	trafficType int
}

// LimiterCounts counts requests by what became of them at a limiter.
type LimiterCounts struct {
	Admitted            int
	RateExceeded        int
	QueueFull           int
	TenantShareExceeded int
}

// assignLimiters gives each route and type with a rate or a concurrency limit a limiter: the one it had before, if any.
func (l *Router) assignLimiters(now time.Duration, table *Table) {
	at := map[limiterKey]int{}
	for i := 1; i < len(l.limiters); i++ {
		l.limiters[i].isUsed, l.limiters[i].maxInFlight = false, 0 // an unused limiter stays until its last request is released
		at[l.limiters[i].key] = i
	}
	l.limiterByRoute = nil
	if table == nil {
		return
	}
	var free []int
	l.limiterByRoute = make([][]int, len(table.Routes))
	for i := range table.Routes {
		r := &table.Routes[i]
		l.limiterByRoute[i] = make([]int, len(r.profileByType))
		for k, p := range r.profileByType {
			if p < 0 || r.limitsByType[k].Rate == nil && r.limitsByType[k].MaxInFlight == nil {
				continue
			}
			name := limiterKey{r.Name, k}
			g, ok := at[name]
			if !ok {
				if free == nil {
					free = l.unusedLimiters(table)
				}
				if len(free) > 0 {
					g, free = free[0], free[1:]
				} else {
					g = len(l.limiters)
					l.limiters = append(l.limiters, routeLimiter{})
				}
				l.limiters[g] = routeLimiter{key: name, tenantAdmitted: make([]int, l.tenantCount+1)}
			}
			l.limiterByRoute[i][k] = g
			l.limiters[g].isUsed = true
			l.limiters[g].configure(now, &r.limitsByType[k], table, l.tenantCount)
		}
	}
}

// unusedGates are those that neither the table nor an admitted request uses.
func (l *Router) unusedLimiters(table *Table) []int {
	free := []int{}
	for i := 1; i < len(l.limiters); i++ {
		g := &l.limiters[i]
		if _, named := table.byName[g.key.route]; !named && !g.isUsed && g.admitted == 0 {
			free = append(free, i)
		}
	}
	return free
}

var epoch = time.Unix(0, 0) // zero time of the limiters

// configure applies limits. A limiter keeps its tokens over a reload, so that a reload allows no additional burst.
func (g *routeLimiter) configure(now time.Duration, l *Limits, table *Table, tenants int) {
	g.maxInFlight, g.capacity = valueOr(l.MaxInFlight, 0), 0
	if g.maxInFlight > 0 {
		g.capacity = g.maxInFlight + valueOr(l.MaxQueued, 0)
	}
	g.tenantShares = make([]float64, tenants+1)
	for name, share := range l.Tenants {
		if t, ok := table.tenants[name]; ok {
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

// updateLimiter changes old in place, or makes a limiter where there is none.
func updateLimiter(old *rate.Limiter, now time.Duration, perS float64, burst int) *rate.Limiter {
	if old == nil {
		return rate.NewLimiter(rate.Limit(perS), burst)
	}
	at := epoch.Add(now)
	old.SetLimitAt(at, rate.Limit(perS))
	old.SetBurstAt(at, burst)
	return old
}

// Admit asks a route, then its fallbacks in turn, to admit a request. A route below 0 is none, and admits all. The
// rejection is that of the first route that gave one.
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
		g := &l.limiters[l.limiterByRoute[route][kind]]
		rejection := g.admit(now, t)
		if rejection == Admitted {
			k := l.typeOfProfile[r.profileByType[kind]]
			l.types[k].admitted++
			return Admission{Type: k, LimitIndex: l.limiterByRoute[route][kind], tenant: t}, Admitted
		}
		why = cmp.Or(why, rejection)
	}
	return Admission{}, why
}

func (g *routeLimiter) admit(now time.Duration, tenant int) (d Rejection) {
	if !g.isUsed { // no limits
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

// Release gives back what a request held. The dispatcher calls it once for each Admission.
func (l *Router) Release(g Admission) {
	k := &l.types[g.Type]
	if k.admitted--; k.admitted == 0 && !k.isUsed && g.Type >= l.settingsTypes {
		k.isFree = true
	}
	if g.LimitIndex > 0 {
		r := &l.limiters[g.LimitIndex]
		r.admitted--
		r.tenantAdmitted[g.tenant]--
	}
}

// TakeCounts calls each for every route with a rate or a concurrency limit that had requests since the last call, with
// the number of requests admitted now, and starts the counts anew.
func (l *Router) TakeCounts(each func(route string, admitted int, c LimiterCounts)) {
	sums, admitted, names := map[string]LimiterCounts{}, map[string]int{}, []string{}
	for i := 1; i < len(l.limiters); i++ {
		g := &l.limiters[i]
		if g.counts == (LimiterCounts{}) && g.admitted == 0 {
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
		sums[g.key.route], admitted[g.key.route] = s, admitted[g.key.route]+g.admitted
		g.counts = LimiterCounts{}
	}
	for _, name := range names {
		each(name, admitted[name], sums[name])
	}
}
