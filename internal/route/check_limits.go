package route

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernvane/policy"
)

const (
	maxRetryShare          = 10.0 // retries for each first attempt
	maxRetryFloorPerSecond = 1e6  // retries per second
	maxRatePerSecond       = 1e7  // requests per second
	minRevenue             = 1e-9 // priority weight of one request
	maxRevenue             = 1e9  // priority weight of one request
	minHedgeShare          = 1e-6 // hedged requests for each first attempt
	minShedShare           = 1e-9 // replaces 0, which means the default of the policy
	sumTolerance           = 1e-9 // rounding error of tenant shares that add up to 1
)

// limitsChecker derives and checks the limits of one route for one traffic type. Faults are reported in the order of its
// methods, as profile calls them.
type limitsChecker struct {
	*checker
	route  *Route
	index  int    // index of the route in the file
	name   string // name of the traffic type
	limits Limits
	base   policy.TrafficType  // traffic type of the settings
	result *policy.TrafficType // traffic type with the limits of the route
}

// profile derives and checks the limits of a route for one traffic type, and returns them with the profile of the pair.
func (c *checker) profile(r *Route, index, trafficType int) (Profile, Limits) {
	name := c.settings.TypeNames[trafficType]
	profile := Profile{BaseType: trafficType, Type: c.settings.TrafficTypes[trafficType]}
	l := &limitsChecker{checker: c, route: r, index: index, name: name, base: profile.Type, result: &profile.Type,
		limits: r.Limits.withDefaults(c.file.Class[name]).withDefaults(c.file.Defaults)}
	l.times()
	l.attempts()
	l.retries()
	l.concurrency()
	l.rates()
	l.hedging()
	l.pool()
	l.priority()
	l.tenantShares()
	if profile.Type.RetryRatio > 0 || profile.Type.HedgeDelay > 0 {
		profile.Owner = r.Name
	}
	return profile, l.limits
}

// keyPath returns the path at which a key is set in the file: in the route, in its class or in the defaults.
func (l *limitsChecker) keyPath(key string) string {
	for _, place := range []string{"routes." + strconv.Itoa(l.index), "class." + l.name, "defaults"} {
		if l.Has(place + "." + key) {
			return place + "." + key
		}
	}
	return "routes." + strconv.Itoa(l.index)
}

// addLimitFault records a fault at a key, with the names of the route and of the traffic type.
func (l *limitsChecker) addLimitFault(key, format string, args ...any) {
	l.AddFault(l.keyPath(key), "route %q, type %s: "+format, append([]any{l.route.Name, l.name}, args...)...)
}

// times checks the latency objective and the timeout of an attempt.
func (l *limitsChecker) times() {
	t := l.result
	if l.limits.TargetTime != nil {
		if t.LatencyObjective = l.limits.TargetTime.Std(); t.LatencyObjective <= 0 {
			l.addLimitFault("target", "target is %s, must be above 0", t.LatencyObjective)
		} else if t.LatencyObjective > l.base.ClientTimeout {
			l.addLimitFault("target", "target of %s exceeds the client timeout of %s", t.LatencyObjective, l.base.ClientTimeout)
		}
	}
	if l.limits.AttemptTimeout != nil {
		if t.AttemptTimeout = l.limits.AttemptTimeout.Std(); t.AttemptTimeout <= 0 {
			l.addLimitFault("hop_time", "hop_time is %s, must be above 0", t.AttemptTimeout)
		} else if t.AttemptTimeout > l.base.ClientTimeout {
			l.addLimitFault("hop_time", "hop_time of %s exceeds the client timeout of %s", t.AttemptTimeout, l.base.ClientTimeout)
		}
	}
}

// attempts checks the number of attempts and the outcomes after which a retry is allowed.
func (l *limitsChecker) attempts() {
	t, allowed := l.result, l.settings.MaxAttempts
	if l.limits.MaxAttempts != nil {
		if t.MaxAttempts = *l.limits.MaxAttempts; t.MaxAttempts < 1 {
			l.addLimitFault("hops", "hops is %d, must be at least 1", t.MaxAttempts)
		} else if t.MaxAttempts > allowed {
			l.addLimitFault("hops", "%d attempts, but the settings allow %d", t.MaxAttempts, allowed)
		}
	}
	for _, outcome := range l.limits.RetryOn {
		bits, ok := outcomes[outcome]
		switch {
		case !ok:
			l.addLimitFault("further", "unknown outcome %q: broken, error, refused, timeout or unreachable expected", outcome)
		case l.base.Idempotency == policy.NonIdempotent && slices.Contains(outcomesThatMayHaveRun, outcome):
			l.addLimitFault("further", "non-idempotent type cannot be retried after %q: the request may have run", outcome)
		}
		t.RetryOn |= bits
	}
	if l.limits.RetryOn != nil && len(l.limits.RetryOn) == 0 { // no outcome allows a retry
		t.MaxAttempts = 1
	}
}

// retries checks the retry budget.
func (l *limitsChecker) retries() {
	share, floor := l.limits.RetryShare, l.limits.RetryFloor
	l.inRange("retry_share", share, 0, maxRetryShare, &l.result.RetryRatio)
	l.inRange("retry_floor", floor, 0, maxRetryFloorPerSecond, &l.result.MinRetriesPerSecond)
	if floor != nil && share == nil {
		l.addLimitFault("retry_floor", "retry_floor requires retry_share: without it there is no retry budget")
	}
	if share != nil && *share == 0 && valueOr(floor, 0) == 0 { // an empty budget: no retries
		l.result.MaxAttempts = 1
	}
}

// concurrency checks the limits of requests in flight and of queued requests, and the time in the queue.
func (l *limitsChecker) concurrency() {
	t, inFlight := l.result, l.limits.MaxInFlight
	if inFlight != nil && *inFlight < 1 {
		l.addLimitFault("at_once", "at_once is %d, must be at least 1", *inFlight)
	}
	if n := valueOr(l.limits.MaxQueued, 0); n < 0 || n > 0 && inFlight == nil {
		l.addLimitFault("waiting", "waiting is %d: must be at least 0, and requires at_once", n)
	}
	if l.limits.MaxQueueTime == nil {
		return
	}
	if t.MaxQueueTime = l.limits.MaxQueueTime.Std(); t.MaxQueueTime < 0 {
		l.addLimitFault("wait", "wait is below 0")
	} else if t.MaxQueueTime+t.AttemptTimeout > l.base.ClientTimeout {
		l.addLimitFault("wait", "wait of %s plus hop_time of %s exceeds the client timeout of %s", t.MaxQueueTime, t.AttemptTimeout, l.base.ClientTimeout)
	}
	t.MaxQueueTime = max(t.MaxQueueTime, time.Nanosecond) // effectively no queue; 0 would mean the default of the policy
}

// rates checks the rate limit and the maximum size of a request body.
func (l *limitsChecker) rates() {
	rate, burst := l.limits.Rate, l.limits.Burst
	l.inRange("rate", rate, 0, maxRatePerSecond, nil)
	if rate != nil && *rate == 0 {
		l.addLimitFault("rate", "rate is 0, must be above 0")
	}
	if burst != nil && (*burst < 1 || rate == nil) {
		l.addLimitFault("burst", "burst is %d: must be at least 1, and requires rate", *burst)
	}
	if body := l.limits.MaxBodyBytes; body != nil && *body < 0 {
		l.addLimitFault("body_bytes", "body_bytes is below 0")
	}
}

// hedging checks the delay and the share of hedged requests.
func (l *limitsChecker) hedging() {
	t := l.result
	if l.limits.HedgeAfter == nil {
		if l.limits.HedgeShare != nil {
			l.addLimitFault("copy_share", "copy_share requires copy_after")
		}
		return
	}
	t.HedgeDelay, t.HedgeRatio = l.limits.HedgeAfter.Std(), valueOr(l.limits.HedgeShare, defaultHedgeShare)
	l.inRange("copy_share", l.limits.HedgeShare, minHedgeShare, 1, nil)
	switch {
	case l.base.Idempotency == policy.NonIdempotent:
		l.addLimitFault("copy_after", "non-idempotent type cannot be hedged: a request must not run twice")
	case !l.settings.HedgingAllowed:
		l.addLimitFault("copy_after", "settings do not allow hedged requests")
	case t.HedgeDelay <= 0:
		l.addLimitFault("copy_after", "copy_after is %s, must be above 0", t.HedgeDelay)
	case t.HedgeDelay >= t.LatencyObjective:
		l.addLimitFault("copy_after", "copy_after of %s is not below the target of %s", t.HedgeDelay, t.LatencyObjective)
	case t.AttemptTimeout > 0 && t.HedgeDelay >= t.AttemptTimeout:
		l.addLimitFault("copy_after", "copy_after of %s is not below the hop_time of %s", t.HedgeDelay, t.AttemptTimeout)
	case cmp.Or(t.MaxAttempts, l.settings.MaxAttempts) < 2:
		l.addLimitFault("copy_after", "hedging requires 2 attempts, only 1 is allowed")
	}
}

// pool checks that the pool of the route exists.
func (l *limitsChecker) pool() {
	if l.limits.Pool == nil {
		return
	}
	bits, ok := l.pools[*l.limits.Pool]
	if !ok {
		l.addLimitFault("pool", "unknown pool %q", *l.limits.Pool)
	}
	l.result.PoolLabels = bits
}

// priority checks the priority weight and the share of requests that is never shed.
func (l *limitsChecker) priority() {
	l.inRange("revenue", l.limits.Revenue, minRevenue, maxRevenue, &l.result.PriorityWeight)
	var keep float64
	l.inRange("keep", l.limits.MinAdmitted, 0, 1, &keep)
	if l.limits.MinAdmitted != nil {
		l.result.MaxShedShare = max(1-keep, minShedShare)
	}
}

// tenantShares checks the shares of the tenants.
func (l *limitsChecker) tenantShares() {
	sum := 0.0
	for tenant, share := range l.limits.Tenants {
		if _, ok := l.tenant(tenant); !ok {
			l.addLimitFault("tenant_shares", "unknown tenant %q: known tenants are %s, and other", tenant, strings.Join(l.settings.TenantNames, ", "))
		}
		if !(share > 0 && share <= 1) {
			l.addLimitFault("tenant_shares", "share of %q is %v, must be above 0 and at most 1", tenant, share)
		}
		sum += share
	}
	if sum > 1+sumTolerance {
		l.addLimitFault("tenant_shares", "shares add up to %.3f, at most 1 allowed", sum)
	}
	if len(l.limits.Tenants) > 0 && l.limits.Rate == nil && l.limits.MaxInFlight == nil {
		l.addLimitFault("tenant_shares", "tenant_shares requires rate or at_once")
	}
}

// inRange checks that v, if it is set, is between least and most, and stores it in into unless into is nil.
func (l *limitsChecker) inRange(key string, v *float64, least, most float64, into *float64) {
	if v == nil {
		return
	}
	if !(*v >= least && *v <= most) || math.IsNaN(*v) {
		l.addLimitFault(key, "%s is %v, must be from %v to %v", key, *v, least, most)
		return
	}
	if into != nil {
		*into = *v
	}
}
