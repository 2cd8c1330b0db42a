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
	minHedgeShare          = 1e-6 // copies for each first attempt
	minShedShare           = 1e-9 // in place of none, which would mean the module's own
	sumTolerance           = 1e-9 // of shares that add up to one
)

// limitsChecker works out the limits of one route for one traffic type, and checks them. Faults are named in the order of
// its steps.
type limitsChecker struct {
	*checker
	route  *Route
	index  int // of the route in the file
	name   string
	limits Limits
	base   policy.TrafficType  // by the settings
	result *policy.TrafficType // by the route
}

// profile works out the limits of a route for one traffic type, and checks them.
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

// where is the place of a key: in the route, its class, or the defaults.
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

// times are how long a request and an attempt may take.
func (l *limitsChecker) times() {
	t := l.result
	if l.limits.TargetTime != nil {
		if t.LatencyObjective = l.limits.TargetTime.Std(); t.LatencyObjective <= 0 {
			l.wrong("target", "a target of %s turns all away", t.LatencyObjective)
		} else if t.LatencyObjective > l.base.ClientTimeout {
			l.wrong("target", "the target of %s lies past the client's give-up at %s", t.LatencyObjective, l.base.ClientTimeout)
		}
	}
	if l.limits.AttemptTimeout != nil {
		if t.AttemptTimeout = l.limits.AttemptTimeout.Std(); t.AttemptTimeout <= 0 {
			l.wrong("hop_time", "a hop of %s turns all away", t.AttemptTimeout)
		} else if t.AttemptTimeout > l.base.ClientTimeout {
			l.wrong("hop_time", "a hop of %s lasts past the client's give-up at %s", t.AttemptTimeout, l.base.ClientTimeout)
		}
	}
}

// attempts are how many there may be, and after which outcomes.
func (l *limitsChecker) attempts() {
	t, most := l.result, l.settings.MaxAttempts
	if l.limits.MaxAttempts != nil {
		if t.MaxAttempts = *l.limits.MaxAttempts; t.MaxAttempts < 1 {
			l.wrong("hops", "%d hops turn all away", t.MaxAttempts)
		} else if t.MaxAttempts > most {
			l.wrong("hops", "%d hops, but the settings allow %d", t.MaxAttempts, most)
		}
	}
	for _, word := range l.limits.RetryOn {
		bits, ok := outcomes[word]
		switch {
		case !ok:
			l.wrong("further", "%q is none of broken, error, refused, timeout, unreachable", word)
		case l.base.Idempotency == policy.NonIdempotent && slices.Contains(outcomesThatMayHaveRun, word):
			l.wrong("further", "a binding type gets no further hop after %q: it may have run", word)
		}
		t.RetryOn |= bits
	}
	if l.limits.RetryOn != nil && len(l.limits.RetryOn) == 0 { // none at all
		t.MaxAttempts = 1
	}
}

// retries are their budget.
func (l *limitsChecker) retries() {
	share, floor := l.limits.RetryShare, l.limits.RetryFloor
	l.inRange("retry_share", share, 0, maxRetryShare, &l.result.RetryRatio)
	l.inRange("retry_floor", floor, 0, maxRetryFloorPerSecond, &l.result.MinRetriesPerSecond)
	if floor != nil && share == nil {
		l.wrong("retry_floor", "a floor without retry_share: there is no budget for it to be a floor of")
	}
	if share != nil && *share == 0 && valueOr(floor, 0) == 0 { // a budget of nothing
		l.result.MaxAttempts = 1
	}
}

// places are how many requests may be out at once, and how many may wait for that, for how long.
func (l *limitsChecker) concurrency() {
	t, atOnce := l.result, l.limits.MaxInFlight
	if atOnce != nil && *atOnce < 1 {
		l.wrong("at_once", "at_once of %d turns all away", *atOnce)
	}
	if n := valueOr(l.limits.MaxQueued, 0); n < 0 || n > 0 && atOnce == nil {
		l.wrong("waiting", "%d may wait, but without at_once nothing waits for a place", n)
	}
	if l.limits.MaxQueueTime == nil {
		return
	}
	if t.MaxQueueTime = l.limits.MaxQueueTime.Std(); t.MaxQueueTime < 0 {
		l.wrong("wait", "a wait below 0")
	} else if t.MaxQueueTime+t.AttemptTimeout > l.base.ClientTimeout {
		l.wrong("wait", "a wait of %s with a hop of %s ends past the client's give-up at %s", t.MaxQueueTime, t.AttemptTimeout, l.base.ClientTimeout)
	}
	t.MaxQueueTime = max(t.MaxQueueTime, time.Nanosecond) // none, not the module's own
}

// rates are how many requests a second are taken, and how large they may be.
func (l *limitsChecker) rates() {
	rate, burst := l.limits.Rate, l.limits.Burst
	l.inRange("rate", rate, 0, maxRatePerSecond, nil)
	if rate != nil && *rate == 0 {
		l.wrong("rate", "a rate of 0 turns all away")
	}
	if burst != nil && (*burst < 1 || rate == nil) {
		l.wrong("burst", "a burst of %d with no rate, or below 1", *burst)
	}
	if body := l.limits.MaxBodyBytes; body != nil && *body < 0 {
		l.wrong("body_bytes", "a body below 0 bytes")
	}
}

// copies are second ones of a request whose first attempt takes long.
func (l *limitsChecker) hedging() {
	t := l.result
	if l.limits.HedgeAfter == nil {
		if l.limits.HedgeShare != nil {
			l.wrong("copy_share", "a share of copies, but no copy_after")
		}
		return
	}
	t.HedgeDelay, t.HedgeRatio = l.limits.HedgeAfter.Std(), valueOr(l.limits.HedgeShare, defaultHedgeShare)
	l.inRange("copy_share", l.limits.HedgeShare, minHedgeShare, 1, nil)
	switch {
	case l.base.Idempotency == policy.NonIdempotent:
		l.wrong("copy_after", "a binding type gets no second copy: it must never run twice")
	case !l.settings.HedgingAllowed:
		l.wrong("copy_after", "the settings bar second copies")
	case t.HedgeDelay <= 0:
		l.wrong("copy_after", "a copy after %s is one for each operation", t.HedgeDelay)
	case t.HedgeDelay >= t.LatencyObjective:
		l.wrong("copy_after", "a copy after %s comes past the target of %s", t.HedgeDelay, t.LatencyObjective)
	case t.AttemptTimeout > 0 && t.HedgeDelay >= t.AttemptTimeout:
		l.wrong("copy_after", "a copy after %s comes when a hop of %s is over", t.HedgeDelay, t.AttemptTimeout)
	case cmp.Or(t.MaxAttempts, l.settings.MaxAttempts) < 2:
		l.wrong("copy_after", "a copy is a second hop, and one is allowed")
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

// worth is what a request earns, and which share of the requests is kept in any overload.
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

// between takes a number that must lie between two others.
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
