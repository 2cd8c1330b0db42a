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
	maxRetryFloorPerSecond = 1e6  // retries a second
	maxRatePerSecond       = 1e7  // requests a second
	minRevenue             = 1e-9
	maxRevenue             = 1e9
	minHedgeShare          = 1e-6 // hedged requests for each first attempt
	minShedShare           = 1e-9 // in place of 0, which means the policy's default
	sumTolerance           = 1e-9 // of tenants' shares that add up to 1
)

// limitsChecker derives and checks the limits of one route for one traffic type. Faults are reported in the order of its
// steps.
type limitsChecker struct {
	*checker
	route  *Route
	index  int // of the route in the file
	name   string
	limits Limits
	base   policy.TrafficType  // by the settings
	result *policy.TrafficType // by the route
}

// profile derives and checks the limits of a route for one traffic type.
func (c *checker) profile(r *Route, i, kind int) (Profile, Limits) {
	name := c.settings.TypeNames[kind]
	p := Profile{BaseType: kind, Type: c.settings.TrafficTypes[kind]}
	l := &limitsChecker{checker: c, route: r, index: i, name: name, base: p.Type, result: &p.Type,
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
	if p.Type.RetryRatio > 0 || p.Type.HedgeDelay > 0 {
		p.Owner = r.Name
	}
	return p, l.limits
}

// keyPath is the path of a key in the file: in the route, its class, or the defaults.
func (l *limitsChecker) keyPath(key string) string {
	for _, place := range []string{"routes." + strconv.Itoa(l.index), "class." + l.name, "defaults"} {
		if l.Has(place + "." + key) {
			return place + "." + key
		}
	}
	return "routes." + strconv.Itoa(l.index)
}

func (l *limitsChecker) wrong(key, form string, args ...any) {
	l.Wrong(l.keyPath(key), "route %q, type %s: "+form, append([]any{l.route.Name, l.name}, args...)...)
}

// times checks how long a request and an attempt may take.
func (l *limitsChecker) times() {
	t := l.result
	if l.limits.TargetTime != nil {
		if t.LatencyObjective = l.limits.TargetTime.Std(); t.LatencyObjective <= 0 {
			l.wrong("target", "a target of %s rejects every request", t.LatencyObjective)
		} else if t.LatencyObjective > l.base.ClientTimeout {
			l.wrong("target", "the target of %s lies past the client's give-up at %s", t.LatencyObjective, l.base.ClientTimeout)
		}
	}
	if l.limits.AttemptTimeout != nil {
		if t.AttemptTimeout = l.limits.AttemptTimeout.Std(); t.AttemptTimeout <= 0 {
			l.wrong("hop_time", "an attempt of %s rejects every request", t.AttemptTimeout)
		} else if t.AttemptTimeout > l.base.ClientTimeout {
			l.wrong("hop_time", "an attempt of %s lasts past the client's give-up at %s", t.AttemptTimeout, l.base.ClientTimeout)
		}
	}
}

// attempts checks how many there may be, and after which outcomes.
func (l *limitsChecker) attempts() {
	t, most := l.result, l.settings.MaxAttempts
	if l.limits.MaxAttempts != nil {
		if t.MaxAttempts = *l.limits.MaxAttempts; t.MaxAttempts < 1 {
			l.wrong("hops", "%d attempts reject every request", t.MaxAttempts)
		} else if t.MaxAttempts > most {
			l.wrong("hops", "%d attempts, but the settings allow %d", t.MaxAttempts, most)
		}
	}
	for _, word := range l.limits.RetryOn {
		bits, ok := outcomes[word]
		switch {
		case !ok:
			l.wrong("further", "%q is none of broken, error, refused, timeout, unreachable", word)
		case l.base.Idempotency == policy.NonIdempotent && slices.Contains(outcomesThatMayHaveRun, word):
			l.wrong("further", "a non-idempotent type is never retried after %q: it may have run", word)
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
		l.wrong("retry_floor", "a floor without retry_share: there is no budget for it to be a floor of")
	}
	if share != nil && *share == 0 && valueOr(floor, 0) == 0 { // an empty budget: no retries
		l.result.MaxAttempts = 1
	}
}

// concurrency checks how many requests may be in flight and queued, and how long one may be queued.
func (l *limitsChecker) concurrency() {
	t, atOnce := l.result, l.limits.MaxInFlight
	if atOnce != nil && *atOnce < 1 {
		l.wrong("at_once", "at_once of %d rejects every request", *atOnce)
	}
	if n := valueOr(l.limits.MaxQueued, 0); n < 0 || n > 0 && atOnce == nil {
		l.wrong("waiting", "%d may wait, but without at_once nothing is queued", n)
	}
	if l.limits.MaxQueueTime == nil {
		return
	}
	if t.MaxQueueTime = l.limits.MaxQueueTime.Std(); t.MaxQueueTime < 0 {
		l.wrong("wait", "a wait below 0")
	} else if t.MaxQueueTime+t.AttemptTimeout > l.base.ClientTimeout {
		l.wrong("wait", "a wait of %s with an attempt of %s ends past the client's give-up at %s", t.MaxQueueTime, t.AttemptTimeout, l.base.ClientTimeout)
	}
	t.MaxQueueTime = max(t.MaxQueueTime, time.Nanosecond) // no queueing; 0 would mean the policy's default
}

// rates checks how many requests a second are admitted, and how large a body may be.
func (l *limitsChecker) rates() {
	rate, burst := l.limits.Rate, l.limits.Burst
	l.inRange("rate", rate, 0, maxRatePerSecond, nil)
	if rate != nil && *rate == 0 {
		l.wrong("rate", "a rate of 0 rejects every request")
	}
	if burst != nil && (*burst < 1 || rate == nil) {
		l.wrong("burst", "a burst of %d with no rate, or below 1", *burst)
	}
	if body := l.limits.MaxBodyBytes; body != nil && *body < 0 {
		l.wrong("body_bytes", "a body below 0 bytes")
	}
}

// hedging checks when a request is hedged.
func (l *limitsChecker) hedging() {
	t := l.result
	if l.limits.HedgeAfter == nil {
		if l.limits.HedgeShare != nil {
			l.wrong("copy_share", "a share of hedged requests, but no copy_after")
		}
		return
	}
	t.HedgeDelay, t.HedgeRatio = l.limits.HedgeAfter.Std(), valueOr(l.limits.HedgeShare, defaultHedgeShare)
	l.inRange("copy_share", l.limits.HedgeShare, minHedgeShare, 1, nil)
	switch {
	case l.base.Idempotency == policy.NonIdempotent:
		l.wrong("copy_after", "a non-idempotent type is never hedged: it must not run twice")
	case !l.settings.HedgingAllowed:
		l.wrong("copy_after", "the settings do not allow hedged requests")
	case t.HedgeDelay <= 0:
		l.wrong("copy_after", "a copy after %s hedges every request", t.HedgeDelay)
	case t.HedgeDelay >= t.LatencyObjective:
		l.wrong("copy_after", "a copy after %s comes past the target of %s", t.HedgeDelay, t.LatencyObjective)
	case t.AttemptTimeout > 0 && t.HedgeDelay >= t.AttemptTimeout:
		l.wrong("copy_after", "a copy after %s comes when an attempt of %s is over", t.HedgeDelay, t.AttemptTimeout)
	case cmp.Or(t.MaxAttempts, l.settings.MaxAttempts) < 2:
		l.wrong("copy_after", "a hedged request is a second attempt, and one is allowed")
	}
}

func (l *limitsChecker) pool() {
	if l.limits.Pool == nil {
		return
	}
	bits, ok := l.pools[*l.limits.Pool]
	if !ok {
		l.wrong("pool", "no pool %q", *l.limits.Pool)
	}
	l.result.PoolLabels = bits
}

// priority checks the priority weight, and which share of the requests overload never sheds.
func (l *limitsChecker) priority() {
	l.inRange("revenue", l.limits.Revenue, minRevenue, maxRevenue, &l.result.PriorityWeight)
	var keep float64
	l.inRange("keep", l.limits.MinAdmitted, 0, 1, &keep)
	if l.limits.MinAdmitted != nil {
		l.result.MaxShedShare = max(1-keep, minShedShare)
	}
}

func (l *limitsChecker) tenantShares() {
	sum := 0.0
	for tenant, share := range l.limits.Tenants {
		if _, ok := l.tenant(tenant); !ok {
			l.wrong("tenant_shares", "no tenant %q: there are %s, and other", tenant, strings.Join(l.settings.TenantNames, ", "))
		}
		if !(share > 0 && share <= 1) {
			l.wrong("tenant_shares", "the share of %q is %v: above 0, and 1 at most", tenant, share)
		}
		sum += share
	}
	if sum > 1+sumTolerance {
		l.wrong("tenant_shares", "the shares add up to %.3f: 1 at most", sum)
	}
	if len(l.limits.Tenants) > 0 && l.limits.Rate == nil && l.limits.MaxInFlight == nil {
		l.wrong("tenant_shares", "shares of what? neither rate nor at_once is set")
	}
}

// inRange checks that v lies between least and most, and stores it in into.
func (l *limitsChecker) inRange(key string, v *float64, least, most float64, into *float64) {
	if v == nil {
		return
	}
	if !(*v >= least && *v <= most) || math.IsNaN(*v) {
		l.wrong(key, "%s is %v: from %v to %v", key, *v, least, most)
		return
	}
	if into != nil {
		*into = *v
	}
}
