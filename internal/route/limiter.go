package route

import (
	"cmp"
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Rejection is the reason why a route does not admit a request.
type Rejection uint8

// Reasons for a rejection.
const (
	Admitted            Rejection = iota // no rejection
	RateExceeded                         // the rate of the route is exceeded
	QueueFull                            // all slots for requests in flight and queued requests are in use
	TenantShareExceeded                  // the tenant's share of the rate or of the slots is used up
)

func (r Rejection) String() string {
	return [...]string{"admitted", "rate exceeded", "queue full", "tenant share exceeded"}[r]
}

// Admission is the slot of an admitted request. Its owner passes it to Router.Release exactly once, when the request is
// answered.
type Admission struct {
	Type       int // traffic type of the policy
	LimitIndex int // route limit of the policy; 0: none
	tenant     int
}

// routeLimiter holds the limits of one route for one traffic type of the settings, and the requests that count against
// them.
type routeLimiter struct {
	key            limiterKey
	isUsed         bool // by the table in effect
	maxInFlight    int  // requests with an attempt in flight; 0: unlimited
	capacity       int  // requests in flight and queued; 0: unlimited
	admitted       int  // requests admitted and not yet released
	rateLimiter    *rate.Limiter
	tenantShares   []float64 // by tenant, of the rate and of capacity; 0: not limited
	tenantAdmitted []int     // requests admitted and not yet released, by tenant
	tenantLimiters []*rate.Limiter
	counts         LimiterCounts
}

type limiterKey struct {
	route       string
	trafficType int
}

// LimiterCounts counts the requests that a limiter has decided on, by decision.
type LimiterCounts struct {
	Admitted            int
	RateExceeded        int
	QueueFull           int
	TenantShareExceeded int
}

// assignLimiters assigns a limiter to each pair of a route and a traffic type with a rate or a concurrency limit. A pair
// keeps the limiter that it had before.
func (r *Router) assignLimiters(now time.Duration, table *Table) {
	limiterOf := map[limiterKey]int{}
	for i := 1; i < len(r.limiters); i++ {
		r.limiters[i].isUsed, r.limiters[i].maxInFlight = false, 0 // an unused limiter is kept until its last request is released
		limiterOf[r.limiters[i].key] = i
	}
	r.limiterByRoute = nil
	if table == nil {
		return
	}
	var free []int
	r.limiterByRoute = make([][]int, len(table.Routes))
	for i := range table.Routes {
		route := &table.Routes[i]
		r.limiterByRoute[i] = make([]int, len(route.profileByType))
		for trafficType, profile := range route.profileByType {
			if profile < 0 || route.limitsByType[trafficType].Rate == nil && route.limitsByType[trafficType].MaxInFlight == nil {
				continue
			}
			key := limiterKey{route.Name, trafficType}
			index, ok := limiterOf[key]
			if !ok {
				if free == nil {
					free = r.unusedLimiters(table)
				}
				if len(free) > 0 {
					index, free = free[0], free[1:]
				} else {
					index = len(r.limiters)
					r.limiters = append(r.limiters, routeLimiter{})
				}
				r.limiters[index] = routeLimiter{key: key, tenantAdmitted: make([]int, r.tenantCount+1)}
			}
			r.limiterByRoute[i][trafficType] = index
			r.limiters[index].isUsed = true
			r.limiters[index].configure(now, &route.limitsByType[trafficType], table, r.tenantCount)
		}
	}
}

// unusedLimiters returns the limiters whose routes are not in the table and that have no admitted requests.
func (r *Router) unusedLimiters(table *Table) []int {
	free := []int{}
	for i := 1; i < len(r.limiters); i++ {
		limiter := &r.limiters[i]
		if _, named := table.byName[limiter.key.route]; !named && !limiter.isUsed && limiter.admitted == 0 {
			free = append(free, i)
		}
	}
	return free
}

var epoch = time.Unix(0, 0) // zero time of the rate limiters

// configure applies limits. Rate limiters keep their tokens, so that a reload allows no additional burst.
func (l *routeLimiter) configure(now time.Duration, limits *Limits, table *Table, tenants int) {
	l.maxInFlight, l.capacity = valueOr(limits.MaxInFlight, 0), 0
	if l.maxInFlight > 0 {
		l.capacity = l.maxInFlight + valueOr(limits.MaxQueued, 0)
	}
	l.tenantShares = make([]float64, tenants+1)
	for name, share := range limits.Tenants {
		if tenant, ok := table.tenants[name]; ok {
			l.tenantShares[tenant] = share
		} else {
			l.tenantShares[tenants] = share
		}
	}
	if limits.Rate == nil {
		l.rateLimiter, l.tenantLimiters = nil, nil
		return
	}
	burst := valueOr(limits.Burst, int(max(*limits.Rate/burstDivisor, 1)))
	l.rateLimiter = updateLimiter(l.rateLimiter, now, *limits.Rate, burst)
	if l.tenantLimiters == nil {
		l.tenantLimiters = make([]*rate.Limiter, tenants+1)
	}
	for tenant, share := range l.tenantShares {
		if share == 0 {
			l.tenantLimiters[tenant] = nil
			continue
		}
		l.tenantLimiters[tenant] = updateLimiter(l.tenantLimiters[tenant], now, *limits.Rate*share, int(math.Ceil(float64(burst)*share)))
	}
}

// updateLimiter changes old in place, or returns a new limiter if old is nil.
func updateLimiter(old *rate.Limiter, now time.Duration, perSecond float64, burst int) *rate.Limiter {
	if old == nil {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	at := epoch.Add(now)
	old.SetLimitAt(at, rate.Limit(perSecond))
	old.SetBurstAt(at, burst)
	return old
}

// Admit decides whether a route, or else one of its fallbacks in order, admits a request. It skips fallbacks whose limit the body exceeds;
// the caller checks the body against the limit of the route itself. A request without a route, which a negative route stands for, is always
// admitted. The returned reason is that of the first route that rejects the request.
func (r *Router) Admit(now time.Duration, route, trafficType, tenant, bodyBytes int) (Admission, Rejection) {
	tenantIndex := tenant
	if tenantIndex < 0 || tenantIndex > r.tenantCount {
		tenantIndex = r.tenantCount
	}
	if route < 0 {
		r.types[trafficType].admitted++
		return Admission{Type: trafficType, tenant: tenantIndex}, Admitted
	}
	reason, matched := Admitted, route
	for ; route >= 0; route = r.table.Routes[route].fallback {
		compiled := &r.table.Routes[route]
		if compiled.profileByType[trafficType] < 0 {
			break
		}
		if route != matched && bodyBytes > r.table.MaxBodyBytes(route, trafficType, bodyBytes) {
			continue
		}
		limiter := &r.limiters[r.limiterByRoute[route][trafficType]]
		rejection := limiter.admit(now, tenantIndex)
		if rejection == Admitted {
			policyType := r.typeOfProfile[compiled.profileByType[trafficType]]
			r.types[policyType].admitted++
			return Admission{Type: policyType, LimitIndex: r.limiterByRoute[route][trafficType], tenant: tenantIndex}, Admitted
		}
		reason = cmp.Or(reason, rejection)
	}
	return Admission{}, reason
}

func (l *routeLimiter) admit(now time.Duration, tenant int) (reason Rejection) {
	if !l.isUsed { // no limits
		return Admitted
	}
	at := epoch.Add(now)
	tenantLimiter := (*rate.Limiter)(nil)
	if l.tenantLimiters != nil {
		tenantLimiter = l.tenantLimiters[tenant]
	}
	share := l.tenantShares[tenant]
	switch {
	case l.capacity > 0 && l.admitted >= l.capacity:
		l.counts.QueueFull++
		return QueueFull
	case l.capacity > 0 && share > 0 && float64(l.tenantAdmitted[tenant]) >= max(share*float64(l.capacity), 1):
		l.counts.TenantShareExceeded++
		return TenantShareExceeded
	case tenantLimiter != nil && tenantLimiter.TokensAt(at) < 1:
		l.counts.TenantShareExceeded++
		return TenantShareExceeded
	case l.rateLimiter != nil && !l.rateLimiter.AllowN(at, 1):
		l.counts.RateExceeded++
		return RateExceeded
	}
	if tenantLimiter != nil {
		tenantLimiter.AllowN(at, 1)
	}
	l.admitted++
	l.tenantAdmitted[tenant]++
	l.counts.Admitted++
	return Admitted
}

// Release frees the slot of a request. The dispatcher calls it once for each Admission.
func (r *Router) Release(a Admission) {
	state := &r.types[a.Type]
	if state.admitted--; state.admitted == 0 && !state.isUsed && a.Type >= r.settingsTypes {
		state.isFree = true
	}
	if a.LimitIndex > 0 {
		limiter := &r.limiters[a.LimitIndex]
		limiter.admitted--
		limiter.tenantAdmitted[a.tenant]--
	}
}

// TakeCounts calls the function each for every route with a rate or a concurrency limit that has received requests since the
// last call or still has admitted requests, and resets the counts. admitted is the number of requests admitted and not yet
// released.
func (r *Router) TakeCounts(each func(route string, admitted int, counts LimiterCounts)) {
	sums, admitted, names := map[string]LimiterCounts{}, map[string]int{}, []string{}
	for i := 1; i < len(r.limiters); i++ {
		limiter := &r.limiters[i]
		if limiter.counts == (LimiterCounts{}) && limiter.admitted == 0 {
			continue
		}
		sum, ok := sums[limiter.key.route]
		if !ok {
			names = append(names, limiter.key.route)
		}
		sum.Admitted += limiter.counts.Admitted
		sum.RateExceeded += limiter.counts.RateExceeded
		sum.QueueFull += limiter.counts.QueueFull
		sum.TenantShareExceeded += limiter.counts.TenantShareExceeded
		sums[limiter.key.route], admitted[limiter.key.route] = sum, admitted[limiter.key.route]+limiter.admitted
		limiter.counts = LimiterCounts{}
	}
	for _, name := range names {
		each(name, admitted[name], sums[name])
	}
}
