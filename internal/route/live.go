package route

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"fernvane/internal/settings"
	"fernvane/policy"
)

// Denial is why a route takes no more.
type Denial uint8

const (
	Taken      Denial = iota
	OverRate          // more a second than the route takes
	NoPlace           // as many in hand as may have a hop out and wait
	OverTenant        // the tenant has used up its part of either
)

func (d Denial) String() string {
	return [...]string{"taken", "over its rate", "no place left", "over its tenant's share"}[d]
}

// Grant is what an operation holds from its taking to its answer.
type Grant struct {
	Kind, Room int // as the module knows them
	tenant     int
}

// Update is what the module and the fleet must be told after a swap.
type Update struct {
	Types   []policy.TrafficType
	Like    []int
	Rooms   []int
	Chooses bool // servers otherwise than before: their labels or what they speak may be others
}

// kind is a traffic type of the module.
type kind struct {
	profile Profile
	pools   uint64 // as the module has them
	inHand  int
	used    bool // by the present set
	free    bool
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
	Taken, OverRate, NoPlace, OverTenant int
}

// Live holds the routes of a running node over all reloads. It is for one caller at a time.
type Live struct {
	set     *Set
	base    int // traffic types of the settings, which are the first kinds
	tenants int // named ones; the number itself stands for the others
	kinds   []kind
	gates   []gate // by room; 0 is none
	kindOf  []int  // by profile of the set
	gateOf  [][]int
	pools   []string // names by bit of the module's labels
	bitOf   []int    // by pool of the set
}

// NewLive starts with the settings' own types and no routes.
func NewLive(s *settings.Settings) *Live {
	l := &Live{base: len(s.Types), tenants: len(s.TenantNames), gates: make([]gate, 1), pools: make([]string, mostPools)}
	for i, t := range s.Types {
		l.kinds = append(l.kinds, kind{profile: Profile{Kind: i, Type: t}})
	}
	return l
}

// Set is the one that holds now, nil for none.
func (l *Live) Set() *Set { return l.set }

// Swap has another set hold from now on, nil for none. Operations in hand keep the figures that they began with: what
// stays the same keeps its index, and what has changed gets another, whose old one is used again when its last
// operation has its answer. Counters and what is left of rates go on under the route's name.
func (l *Live) Swap(now time.Duration, set *Set) Update {
	old := l.set
	oldKindOf, oldBitOf := l.kindOf, l.bitOf
	l.set = set
	l.bitOf = l.assignPools(set)
	var profiles []Profile
	if set != nil {
		profiles = set.Profiles
	}
	for i := range l.kinds {
		l.kinds[i].used = i < l.base
	}
	like := make([]int, len(l.kinds))
	for i := range like {
		like[i] = i
	}
	l.kindOf = make([]int, len(profiles))
	for i, p := range profiles {
		if i < l.base {
			l.kindOf[i] = i
			continue
		}
		pools := l.mapped(p.Type.Pool)
		at := slices.IndexFunc(l.kinds, func(k kind) bool { return !k.free && k.profile == p && k.pools == pools })
		if at < 0 {
			if at = slices.IndexFunc(l.kinds, func(k kind) bool { return k.free }); at < 0 {
				at = len(l.kinds)
				l.kinds, like = append(l.kinds, kind{}), append(like, 0)
			}
			l.kinds[at] = kind{profile: p, pools: pools}
			like[at] = p.Kind
			if from := ancestor(old, oldKindOf, set, i); from >= 0 && !l.kinds[from].free && from != at {
				like[at] = from
			}
		}
		l.kinds[at].used = true
		l.kindOf[i] = at
	}
	l.assignGates(now, set)
	u := Update{Like: like, Chooses: !slices.Equal(oldBitOf, l.bitOf) || !choosesAs(old, set)}
	for i := range l.kinds {
		l.kinds[i].free = !l.kinds[i].used && l.kinds[i].inHand == 0
		t := l.kinds[i].profile.Type
		t.Pool = l.kinds[i].pools
		u.Types = append(u.Types, t)
	}
	for i := range l.gates {
		u.Rooms = append(u.Rooms, l.gates[i].atOnce)
	}
	return u
}

// choosesAs tells whether two sets put every server into the same pools, as they number them, and have it speak the same.
func choosesAs(a, b *Set) bool {
	if a == nil || b == nil {
		return a == b
	}
	same := func(p, q Pool) bool {
		return slices.Equal(p.Sites, q.Sites) && slices.Equal(p.Flavors, q.Flavors) && slices.Equal(p.Servers, q.Servers)
	}
	speaks := func(f FastCGI) Pool { return Pool{Sites: f.Sites, Flavors: f.Flavors, Servers: f.Servers} }
	return slices.EqualFunc(a.Pools, b.Pools, same) && same(speaks(a.FastCGI), speaks(b.FastCGI))
}

// ancestor is the module's index of what the first route of a profile was before, -1 for nothing.
func ancestor(old *Set, kindOf []int, set *Set, profile int) int {
	if old == nil {
		return -1
	}
	was, ok := old.byName[set.Routes[set.firstOf[profile]].Name]
	if !ok {
		return -1
	}
	if p := old.Routes[was].byKind[set.Profiles[profile].Kind]; p >= 0 {
		return kindOf[p]
	}
	return -1
}

// assignPools gives each pool a bit that stays with its name as long as an operation may ask for it.
func (l *Live) assignPools(set *Set) []int {
	if set == nil {
		return nil
	}
	held := uint64(0)
	for _, k := range l.kinds {
		if k.inHand > 0 {
			held |= k.pools
		}
	}
	bitOf := make([]int, len(set.Pools))
	for i, p := range set.Pools {
		if bitOf[i] = slices.Index(l.pools, p.Name); bitOf[i] >= 0 {
			held |= 1 << bitOf[i]
		}
	}
	for i, p := range set.Pools {
		if bitOf[i] < 0 {
			bit := bits.TrailingZeros64(^held)
			if bit == mostPools { // all bits are asked for by operations in hand: the last serves two names until they end
				bit--
			}
			bitOf[i], l.pools[bit] = bit, p.Name
			held |= 1 << bit
		}
	}
	return bitOf
}

// mapped turns pools as the set numbers them into the module's labels.
func (l *Live) mapped(pools uint64) (labels uint64) {
	for i, bit := range l.bitOf {
		if pools&(1<<i) != 0 {
			labels |= 1 << bit
		}
	}
	return labels
}

// Labels are the pools that a server is in, as policy.Member has them.
func (l *Live) Labels(id, site, flavor string) uint64 {
	if l.set == nil {
		return 0
	}
	return l.mapped(l.set.labels(id, site, flavor))
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
