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
	retryShareMost = 10.0 // retries for each first attempt
	retryFloorMost = 1e6  // retries a second
	rateMost       = 1e7  // requests a second
	revenueLeast   = 1e-9
	revenueMost    = 1e9
	copyShareLeast = 1e-6 // copies for each first attempt
	shedLeast      = 1e-9 // in place of none, which would mean the module's own
	sumSlack       = 1e-9 // of shares that add up to one
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
	limit  *policy.TrafficType // by the route
}

// profile works out the limits of a route for one traffic type, and checks them.
func (c *checker) profile(r *Route, i, kind int) (Profile, Limits) {
	name := c.settings.TypeNames[kind]
	p := Profile{Kind: kind, Type: c.settings.Types[kind]}
	l := &limitsChecker{checker: c, route: r, index: i, name: name, base: p.Type, limit: &p.Type,
		limits: r.Limits.over(c.file.Class[name]).over(c.file.Defaults)}
	l.times()
	l.attempts()
	l.retries()
	l.places()
	l.rates()
	l.copies()
	l.pool()
	l.worth()
	l.tenantShares()
	if p.Type.RetryShare > 0 || p.Type.CopyAfter > 0 {
		p.Owner = r.Name
	}
	return p, l.limits
}

// where is the place of a key: in the route, its class, or the defaults.
func (l *limitsChecker) where(key string) string {
	for _, place := range []string{"routes." + strconv.Itoa(l.index), "class." + l.name, "defaults"} {
		if l.Has(place + "." + key) {
			return place + "." + key
		}
	}
	return "routes." + strconv.Itoa(l.index)
}

func (l *limitsChecker) wrong(key, form string, args ...any) {
	l.Wrong(l.where(key), "route %q, type %s: "+form, append([]any{l.route.Name, l.name}, args...)...)
}

// times are how long a request and an attempt may take.
func (l *limitsChecker) times() {
	t := l.limit
	if l.limits.Target != nil {
		if t.TargetTime = l.limits.Target.D(); t.TargetTime <= 0 {
			l.wrong("target", "a target of %s turns all away", t.TargetTime)
		} else if t.TargetTime > l.base.AbandonTime {
			l.wrong("target", "the target of %s lies past the client's give-up at %s", t.TargetTime, l.base.AbandonTime)
		}
	}
	if l.limits.HopTime != nil {
		if t.HopTime = l.limits.HopTime.D(); t.HopTime <= 0 {
			l.wrong("hop_time", "a hop of %s turns all away", t.HopTime)
		} else if t.HopTime > l.base.AbandonTime {
			l.wrong("hop_time", "a hop of %s lasts past the client's give-up at %s", t.HopTime, l.base.AbandonTime)
		}
	}
}

// attempts are how many there may be, and after which outcomes.
func (l *limitsChecker) attempts() {
	t, most := l.limit, l.settings.MostHops
	if l.limits.Hops != nil {
		if t.MostHops = *l.limits.Hops; t.MostHops < 1 {
			l.wrong("hops", "%d hops turn all away", t.MostHops)
		} else if t.MostHops > most {
			l.wrong("hops", "%d hops, but the settings allow %d", t.MostHops, most)
		}
	}
	for _, word := range l.limits.Further {
		bits, ok := outcomes[word]
		switch {
		case !ok:
			l.wrong("further", "%q is none of broken, error, refused, timeout, unreachable", word)
		case l.base.Repeat == policy.Binding && slices.Contains(mayHaveRun, word):
			l.wrong("further", "a binding type gets no further hop after %q: it may have run", word)
		}
		t.Further |= bits
	}
	if l.limits.Further != nil && len(l.limits.Further) == 0 { // none at all
		t.MostHops = 1
	}
}

// retries are their budget.
func (l *limitsChecker) retries() {
	share, floor := l.limits.RetryShare, l.limits.RetryFloor
	l.between("retry_share", share, 0, retryShareMost, &l.limit.RetryShare)
	l.between("retry_floor", floor, 0, retryFloorMost, &l.limit.RetryFloor)
	if floor != nil && share == nil {
		l.wrong("retry_floor", "a floor without retry_share: there is no budget for it to be a floor of")
	}
	if share != nil && *share == 0 && or(floor, 0) == 0 { // a budget of nothing
		l.limit.MostHops = 1
	}
}

// places are how many requests may be out at once, and how many may wait for that, for how long.
func (l *limitsChecker) places() {
	t, atOnce := l.limit, l.limits.AtOnce
	if atOnce != nil && *atOnce < 1 {
		l.wrong("at_once", "at_once of %d turns all away", *atOnce)
	}
	if n := or(l.limits.Waiting, 0); n < 0 || n > 0 && atOnce == nil {
		l.wrong("waiting", "%d may wait, but without at_once nothing waits for a place", n)
	}
	if l.limits.Wait == nil {
		return
	}
	if t.WaitMost = l.limits.Wait.D(); t.WaitMost < 0 {
		l.wrong("wait", "a wait below 0")
	} else if t.WaitMost+t.HopTime > l.base.AbandonTime {
		l.wrong("wait", "a wait of %s with a hop of %s ends past the client's give-up at %s", t.WaitMost, t.HopTime, l.base.AbandonTime)
	}
	t.WaitMost = max(t.WaitMost, time.Nanosecond) // none, not the module's own
}

// rates are how many requests a second are taken, and how large they may be.
func (l *limitsChecker) rates() {
	rate, burst := l.limits.Rate, l.limits.Burst
	l.between("rate", rate, 0, rateMost, nil)
	if rate != nil && *rate == 0 {
		l.wrong("rate", "a rate of 0 turns all away")
	}
	if burst != nil && (*burst < 1 || rate == nil) {
		l.wrong("burst", "a burst of %d with no rate, or below 1", *burst)
	}
	if body := l.limits.Body; body != nil && *body < 0 {
		l.wrong("body_bytes", "a body below 0 bytes")
	}
}

// copies are second ones of a request whose first attempt takes long.
func (l *limitsChecker) copies() {
	t := l.limit
	if l.limits.CopyAfter == nil {
		if l.limits.CopyShare != nil {
			l.wrong("copy_share", "a share of copies, but no copy_after")
		}
		return
	}
	t.CopyAfter, t.CopyShare = l.limits.CopyAfter.D(), or(l.limits.CopyShare, defaultCopy)
	l.between("copy_share", l.limits.CopyShare, copyShareLeast, 1, nil)
	switch {
	case l.base.Repeat == policy.Binding:
		l.wrong("copy_after", "a binding type gets no second copy: it must never run twice")
	case !l.settings.Copies:
		l.wrong("copy_after", "the settings bar second copies")
	case t.CopyAfter <= 0:
		l.wrong("copy_after", "a copy after %s is one for each operation", t.CopyAfter)
	case t.CopyAfter >= t.TargetTime:
		l.wrong("copy_after", "a copy after %s comes past the target of %s", t.CopyAfter, t.TargetTime)
	case t.HopTime > 0 && t.CopyAfter >= t.HopTime:
		l.wrong("copy_after", "a copy after %s comes when a hop of %s is over", t.CopyAfter, t.HopTime)
	case cmp.Or(t.MostHops, l.settings.MostHops) < 2:
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
	l.limit.Pool = bits
}

// worth is what a request earns, and which share of the requests is kept in any overload.
func (l *limitsChecker) worth() {
	l.between("revenue", l.limits.Revenue, revenueLeast, revenueMost, &l.limit.Revenue)
	var keep float64
	l.between("keep", l.limits.Keep, 0, 1, &keep)
	if l.limits.Keep != nil {
		l.limit.ShedMost = max(1-keep, shedLeast)
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
	if sum > 1+sumSlack {
		l.wrong("tenant_shares", "the shares add up to %.3f: 1 at most", sum)
	}
	if len(l.limits.Tenants) > 0 && l.limits.Rate == nil && l.limits.AtOnce == nil {
		l.wrong("tenant_shares", "shares of what? neither rate nor at_once is set")
	}
}

// between takes a number that must lie between two others.
func (l *limitsChecker) between(key string, v *float64, least, most float64, into *float64) {
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
