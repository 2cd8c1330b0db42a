package route

import (
	"math/bits"
	"slices"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/policy"
)

// Update is what the module and the fleet must be told after a swap.
type Update struct {
	Types            []policy.TrafficType
	InheritFrom      []int
	MaxInFlight      []int
	SelectionChanged bool // servers otherwise than before: their labels or what they speak may be others
}

// kind is a traffic type of the module.
type kind struct {
	profile Profile
	pools   uint64 // as the module has them
	inHand  int
	used    bool // by the present set
	free    bool
}

// Router holds the routes of a running node over all reloads. It is for one caller at a time.
type Router struct {
	set     *Table
	base    int // traffic types of the settings, which are the first kinds
	tenants int // named ones; the number itself stands for the others
	kinds   []kind
	gates   []gate // by room; 0 is none
	kindOf  []int  // by profile of the set
	gateOf  [][]int
	pools   []string // names by bit of the module's labels
	bitOf   []int    // by pool of the set
}

// NewRouter starts with the settings' own types and no routes.
func NewRouter(s *settings.Settings) *Router {
	l := &Router{base: len(s.TrafficTypes), tenants: len(s.TenantNames), gates: make([]gate, 1), pools: make([]string, mostPools)}
	for i, t := range s.TrafficTypes {
		l.kinds = append(l.kinds, kind{profile: Profile{BaseType: i, Type: t}})
	}
	return l
}

// Table is the one that holds now, nil for none.
func (l *Router) Table() *Table { return l.set }

// Replace has another set hold from now on, nil for none. Operations in hand keep the figures that they began with: what
// stays the same keeps its index, and what has changed gets another, whose old one is used again when its last
// operation has its answer. Counters and what is left of rates go on under the route's name.
func (l *Router) Replace(now time.Duration, set *Table) Update {
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
		pools := l.mapped(p.Type.PoolLabels)
		at := slices.IndexFunc(l.kinds, func(k kind) bool { return !k.free && k.profile == p && k.pools == pools })
		if at < 0 {
			if at = slices.IndexFunc(l.kinds, func(k kind) bool { return k.free }); at < 0 {
				at = len(l.kinds)
				l.kinds, like = append(l.kinds, kind{}), append(like, 0)
			}
			l.kinds[at] = kind{profile: p, pools: pools}
			like[at] = p.BaseType
			if from := ancestor(old, oldKindOf, set, i); from >= 0 && !l.kinds[from].free && from != at {
				like[at] = from
			}
		}
		l.kinds[at].used = true
		l.kindOf[i] = at
	}
	l.assignGates(now, set)
	u := Update{InheritFrom: like, SelectionChanged: !slices.Equal(oldBitOf, l.bitOf) || !choosesAs(old, set)}
	for i := range l.kinds {
		l.kinds[i].free = !l.kinds[i].used && l.kinds[i].inHand == 0
		t := l.kinds[i].profile.Type
		t.PoolLabels = l.kinds[i].pools
		u.Types = append(u.Types, t)
	}
	for i := range l.gates {
		u.MaxInFlight = append(u.MaxInFlight, l.gates[i].atOnce)
	}
	return u
}

// choosesAs tells whether two sets put every server into the same pools, as they number them, and have it speak the same.
func choosesAs(a, b *Table) bool {
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
func ancestor(old *Table, kindOf []int, set *Table, profile int) int {
	if old == nil {
		return -1
	}
	was, ok := old.byName[set.Routes[set.firstOf[profile]].Name]
	if !ok {
		return -1
	}
	if p := old.Routes[was].byKind[set.Profiles[profile].BaseType]; p >= 0 {
		return kindOf[p]
	}
	return -1
}

// assignPools gives each pool a bit that stays with its name as long as an operation may ask for it.
func (l *Router) assignPools(set *Table) []int {
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
func (l *Router) mapped(pools uint64) (labels uint64) {
	for i, bit := range l.bitOf {
		if pools&(1<<i) != 0 {
			labels |= 1 << bit
		}
	}
	return labels
}

// Labels are the pools that a server is in, as policy.Member has them.
func (l *Router) Labels(id, site, flavor string) uint64 {
	if l.set == nil {
		return 0
	}
	return l.mapped(l.set.labels(id, site, flavor))
}
