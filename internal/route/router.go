package route

import (
	"math/bits"
	"slices"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/policy"
)

// Update is what the policy and the dispatcher are given after a Replace.
type Update struct {
	TrafficTypes     []policy.TrafficType
	LearnFrom        []int
	RouteLimits      []int
	SelectionChanged bool // servers' labels or protocols may have changed
}

// typeState is a traffic type of the policy.
type typeState struct {
	profile    Profile
	poolLabels uint64 // labels of the policy
	admitted   int
	isUsed     bool // by the table in force
	isFree     bool
}

// Router holds the routes of a running node over all reloads. It does not lock: the dispatcher calls it under its own
// mutex.
type Router struct {
	table          *Table
	settingsTypes  int // number of traffic types of the settings, the first of types
	tenantCount    int // number of named tenants; also the index that stands for all others
	types          []typeState
	limiters       []routeLimiter // by route limit of the policy; 0: none
	typeOfProfile  []int          // by profile of the table
	limiterByRoute [][]int
	poolNames      []string // by bit of the policy's labels
	bitOfPool      []int    // by pool of the table
}

// NewRouter starts with the settings' own types and no routes.
func NewRouter(s *settings.Settings) *Router {
	l := &Router{settingsTypes: len(s.TrafficTypes), tenantCount: len(s.TenantNames), limiters: make([]routeLimiter, 1), poolNames: make([]string, maxPools)}
	for i, t := range s.TrafficTypes {
		l.types = append(l.types, typeState{profile: Profile{BaseType: i, Type: t}})
	}
	return l
}

// Table is the table in force, nil for none.
func (l *Router) Table() *Table { return l.table }

// Replace puts another table in force, nil for none. An open request keeps its traffic type: a
// type that stays the same keeps its index, one that has changed gets a new index, and the old index is reused
// once its last request is released. Concurrency
// limits change at once, also for open requests; counts and limiters go on under the route's name.
func (l *Router) Replace(now time.Duration, table *Table) Update {
	old := l.table
	oldKindOf, oldBitOf := l.typeOfProfile, l.bitOfPool
	l.table = table
	l.bitOfPool = l.assignPools(table)
	var profiles []Profile
	if table != nil {
		profiles = table.Profiles
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
			if from := predecessor(old, oldKindOf, table, i); from >= 0 && !l.types[from].isFree && from != at {
				like[at] = from
			}
		}
		l.types[at].isUsed = true
		l.typeOfProfile[i] = at
	}
	l.assignLimiters(now, table)
	u := Update{LearnFrom: like, SelectionChanged: !slices.Equal(oldBitOf, l.bitOfPool) || !sameSelection(old, table)}
	for i := range l.types {
		l.types[i].isFree = !l.types[i].isUsed && l.types[i].admitted == 0
		t := l.types[i].profile.Type
		t.PoolLabels = l.types[i].poolLabels
		u.TrafficTypes = append(u.TrafficTypes, t)
	}
	for i := range l.limiters {
		u.RouteLimits = append(u.RouteLimits, l.limiters[i].maxInFlight)
	}
	return u
}

// sameSelection reports whether two tables put every server into the same pools and have it speak the same protocol.
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

// predecessor is the policy's index of the traffic type that the first route of a profile had before; -1: none.
func predecessor(old *Table, kindOf []int, table *Table, profile int) int {
	if old == nil {
		return -1
	}
	was, ok := old.byName[table.Routes[table.firstRoute[profile]].Name]
	if !ok {
		return -1
	}
	if p := old.Routes[was].profileByType[table.Profiles[profile].BaseType]; p >= 0 {
		return kindOf[p]
	}
	return -1
}

// assignPools gives each pool a bit, which stays with its name as long as an open request may select by it.
func (l *Router) assignPools(table *Table) []int {
	if table == nil {
		return nil
	}
	held := uint64(0)
	for _, k := range l.types {
		if k.admitted > 0 {
			held |= k.poolLabels
		}
	}
	bitOf := make([]int, len(table.Pools))
	for i, p := range table.Pools {
		if bitOf[i] = slices.Index(l.poolNames, p.Name); bitOf[i] >= 0 {
			held |= 1 << bitOf[i]
		}
	}
	for i, p := range table.Pools {
		if bitOf[i] < 0 {
			bit := bits.TrailingZeros64(^held)
			if bit == maxPools { // all bits are in use by open requests: the last serves two names until they end
				bit--
			}
			bitOf[i], l.poolNames[bit] = bit, p.Name
			held |= 1 << bit
		}
	}
	return bitOf
}

// toLabels turns pools as the table numbers them into the policy's labels.
func (l *Router) toLabels(pools uint64) (labels uint64) {
	for i, bit := range l.bitOfPool {
		if pools&(1<<i) != 0 {
			labels |= 1 << bit
		}
	}
	return labels
}

// Labels are the pools that a server is in, as policy.Endpoint.Labels has them.
func (l *Router) Labels(id, site, flavor string) uint64 {
	if l.table == nil {
		return 0
	}
	return l.toLabels(l.table.labels(id, site, flavor))
}
