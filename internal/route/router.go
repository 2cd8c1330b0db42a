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
type typeState struct {
	profile    Profile
	poolLabels uint64 // as the module has them
	admitted   int
	isUsed     bool // by the present set
	isFree     bool
}

// Router holds the routes of a running node over all reloads. It is for one caller at a time.
type Router struct {
	table         *Table
	settingsTypes int // traffic types of the settings, which are the first kinds
	tenantCount   int // named ones; the number itself stands for the others
	types         []typeState
	gates         []gate // by room; 0 is none
	typeOfProfile []int  // by profile of the set
	gateByRoute   [][]int
	poolNames     []string // names by bit of the module's labels
	bitOfPool     []int    // by pool of the set
}

// NewRouter starts with the settings' own types and no routes.
func NewRouter(s *settings.Settings) *Router {
	l := &Router{settingsTypes: len(s.TrafficTypes), tenantCount: len(s.TenantNames), gates: make([]gate, 1), poolNames: make([]string, maxPools)}
	for i, t := range s.TrafficTypes {
		l.types = append(l.types, typeState{profile: Profile{BaseType: i, Type: t}})
	}
	return l
}

// Table is the one that holds now, nil for none.
func (l *Router) Table() *Table { return l.table }

// Replace has another set hold from now on, nil for none. Operations in hand keep the figures that they began with: what
// stays the same keeps its index, and what has changed gets another, whose old one is used again when its last
// operation has its answer. Counters and what is left of rates go on under the route's name.
func (l *Router) Replace(now time.Duration, set *Table) Update {
	old := l.table
	oldKindOf, oldBitOf := l.typeOfProfile, l.bitOfPool
	l.table = set
	l.bitOfPool = l.assignPools(set)
	var profiles []Profile
	if set != nil {
		profiles = set.Profiles
	}
	for i := range l.types {
		l.types[i].isUsed = i < l.settingsTypes
	}
	like := make([]int, len(l.types))
	for i := range like {
		like[i] = i
	}
	l.typeOfProfile = make([]int, len(profiles))
	for i, p := range profiles {
		if i < l.settingsTypes {
			l.typeOfProfile[i] = i
			continue
		}
		pools := l.toLabels(p.Type.PoolLabels)
		at := slices.IndexFunc(l.types, func(k typeState) bool { return !k.isFree && k.profile == p && k.poolLabels == pools })
		if at < 0 {
			if at = slices.IndexFunc(l.types, func(k typeState) bool { return k.isFree }); at < 0 {
				at = len(l.types)
				l.types, like = append(l.types, typeState{}), append(like, 0)
			}
			l.types[at] = typeState{profile: p, poolLabels: pools}
			like[at] = p.BaseType
			if from := predecessor(old, oldKindOf, set, i); from >= 0 && !l.types[from].isFree && from != at {
				like[at] = from
			}
		}
		l.types[at].isUsed = true
		l.typeOfProfile[i] = at
	}
	l.assignGates(now, set)
	u := Update{InheritFrom: like, SelectionChanged: !slices.Equal(oldBitOf, l.bitOfPool) || !sameSelection(old, set)}
	for i := range l.types {
		l.types[i].isFree = !l.types[i].isUsed && l.types[i].admitted == 0
		t := l.types[i].profile.Type
		t.PoolLabels = l.types[i].poolLabels
		u.Types = append(u.Types, t)
	}
	for i := range l.gates {
		u.MaxInFlight = append(u.MaxInFlight, l.gates[i].maxInFlight)
	}
	return u
}

// choosesAs tells whether two sets put every server into the same pools, as they number them, and have it speak the same.
func sameSelection(a, b *Table) bool {
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
func predecessor(old *Table, kindOf []int, set *Table, profile int) int {
	if old == nil {
		return -1
	}
	was, ok := old.byName[set.Routes[set.firstRoute[profile]].Name]
	if !ok {
		return -1
	}
	if p := old.Routes[was].profileByType[set.Profiles[profile].BaseType]; p >= 0 {
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
	for _, k := range l.types {
		if k.admitted > 0 {
			held |= k.poolLabels
		}
	}
	bitOf := make([]int, len(set.Pools))
	for i, p := range set.Pools {
		if bitOf[i] = slices.Index(l.poolNames, p.Name); bitOf[i] >= 0 {
			held |= 1 << bitOf[i]
		}
	}
	for i, p := range set.Pools {
		if bitOf[i] < 0 {
			bit := bits.TrailingZeros64(^held)
			if bit == maxPools { // all bits are asked for by operations in hand: the last serves two names until they end
				bit--
			}
			bitOf[i], l.poolNames[bit] = bit, p.Name
			held |= 1 << bit
		}
	}
	return bitOf
}

// mapped turns pools as the set numbers them into the module's labels.
func (l *Router) toLabels(pools uint64) (labels uint64) {
	for i, bit := range l.bitOfPool {
		if pools&(1<<i) != 0 {
			labels |= 1 << bit
		}
	}
	return labels
}

// Labels are the pools that a server is in, as policy.Member has them.
func (l *Router) Labels(id, site, flavor string) uint64 {
	if l.table == nil {
		return 0
	}
	return l.toLabels(l.table.labels(id, site, flavor))
}
