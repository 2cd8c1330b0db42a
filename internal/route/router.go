package route

import (
	"math/bits"
	"slices"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/policy"
)

// Update describes the effect of Router.Replace for the policy and the dispatcher.
type Update struct {
	TrafficTypes     []policy.TrafficType // all traffic types of the policy
	LatencySources   []int                // by traffic type: its own index if unchanged, else the type whose latencies it starts with
	RouteLimits      []int                // requests with an attempt in flight, by route limit; 0: unlimited
	SelectionChanged bool                 // labels or protocols of servers may have changed
}

// typeState is the state of one traffic type of the policy.
type typeState struct {
	profile    Profile
	poolLabels uint64 // labels of the policy
	admitted   int    // requests admitted and not yet released
	isUsed     bool   // by the table in effect
	isFree     bool   // the index can be reused
}

// Router holds the routes of a running node across reloads. It is not safe for concurrent use: the dispatcher calls it
// while holding its own mutex.
type Router struct {
	table          *Table
	settingsTypes  int // number of traffic types of the settings, the first of types
	tenantCount    int // number of named tenants; also the index of all other tenants
	types          []typeState
	limiters       []routeLimiter // by route limit of the policy; index 0 is unused
	typeOfProfile  []int          // traffic type of the policy, by profile of the table
	limiterByRoute [][]int        // by route and by traffic type of the settings; 0: no limiter
	poolNames      []string       // by bit of the policy's labels
	bitOfPool      []int          // bit of the policy's labels, by pool of the table
}

// NewRouter returns a Router with the traffic types of the settings and no routes.
func NewRouter(s *settings.Settings) *Router {
	r := &Router{settingsTypes: len(s.TrafficTypes), tenantCount: len(s.TenantNames), limiters: make([]routeLimiter, 1), poolNames: make([]string, maxPools)}
	for i, t := range s.TrafficTypes {
		r.types = append(r.types, typeState{profile: Profile{BaseType: i, Type: t}})
	}
	return r
}

// Table returns the table in effect, or nil if there is none.
func (r *Router) Table() *Table { return r.table }

// Replace puts another table into effect, or none if table is nil. An open request keeps its traffic type: an unchanged
// type keeps its index, a changed type gets a new index, and the old index is reused once its last request is released.
// Concurrency limits change immediately, also for open requests. Counters and limiters are kept under the name of the
// route.
func (r *Router) Replace(now time.Duration, table *Table) Update {
	old := r.table
	oldTypeOfProfile, oldBitOfPool := r.typeOfProfile, r.bitOfPool
	r.table = table
	r.bitOfPool = r.assignPools(table)
	var profiles []Profile
	if table != nil {
		profiles = table.Profiles
	}
	for i := range r.types {
		r.types[i].isUsed = i < r.settingsTypes
	}
	latencySources := make([]int, len(r.types))
	for i := range latencySources {
		latencySources[i] = i
	}
	r.typeOfProfile = make([]int, len(profiles))
	for i, profile := range profiles {
		if i < r.settingsTypes {
			r.typeOfProfile[i] = i
			continue
		}
		labels := r.toLabels(profile.Type.PoolLabels)
		index := slices.IndexFunc(r.types, func(state typeState) bool {
			return !state.isFree && state.profile == profile && state.poolLabels == labels
		})
		if index < 0 {
			if index = slices.IndexFunc(r.types, func(state typeState) bool { return state.isFree }); index < 0 {
				index = len(r.types)
				r.types, latencySources = append(r.types, typeState{}), append(latencySources, 0)
			}
			r.types[index] = typeState{profile: profile, poolLabels: labels}
			latencySources[index] = profile.BaseType
			if previous := predecessor(old, oldTypeOfProfile, table, i); previous >= 0 && !r.types[previous].isFree && previous != index {
				latencySources[index] = previous
			}
		}
		r.types[index].isUsed = true
		r.typeOfProfile[i] = index
	}
	r.assignLimiters(now, table)
	update := Update{LatencySources: latencySources, SelectionChanged: !slices.Equal(oldBitOfPool, r.bitOfPool) || !sameSelection(old, table)}
	for i := range r.types {
		r.types[i].isFree = !r.types[i].isUsed && r.types[i].admitted == 0
		trafficType := r.types[i].profile.Type
		trafficType.PoolLabels = r.types[i].poolLabels
		update.TrafficTypes = append(update.TrafficTypes, trafficType)
	}
	for i := range r.limiters {
		update.RouteLimits = append(update.RouteLimits, r.limiters[i].maxInFlight)
	}
	return update
}

// sameSelection reports whether two tables assign the same pools and the same protocol to every server.
func sameSelection(a, b *Table) bool {
	if a == nil || b == nil {
		return a == b
	}
	sameServers := func(p, q Pool) bool {
		return slices.Equal(p.Sites, q.Sites) && slices.Equal(p.MachineKinds, q.MachineKinds) && slices.Equal(p.Servers, q.Servers)
	}
	selection := func(f FastCGI) Pool { return Pool{Sites: f.Sites, MachineKinds: f.MachineKinds, Servers: f.Servers} }
	return slices.EqualFunc(a.Pools, b.Pools, sameServers) && sameServers(selection(a.FastCGI), selection(b.FastCGI))
}

// predecessor returns the policy's index of the traffic type that the first route of a profile had in the old table, or
// -1 if there is none.
func predecessor(old *Table, typeOfProfile []int, table *Table, profile int) int {
	if old == nil {
		return -1
	}
	oldRoute, ok := old.byName[table.Routes[table.firstRoute[profile]].Name]
	if !ok {
		return -1
	}
	if oldProfile := old.Routes[oldRoute].profileByType[table.Profiles[profile].BaseType]; oldProfile >= 0 {
		return typeOfProfile[oldProfile]
	}
	return -1
}

// assignPools assigns a label bit to each pool. A pool name keeps its bit while an open request may select servers by it.
func (r *Router) assignPools(table *Table) []int {
	if table == nil {
		return nil
	}
	usedBits := uint64(0)
	for _, state := range r.types {
		if state.admitted > 0 {
			usedBits |= state.poolLabels
		}
	}
	bitOfPool := make([]int, len(table.Pools))
	for i, p := range table.Pools {
		if bitOfPool[i] = slices.Index(r.poolNames, p.Name); bitOfPool[i] >= 0 {
			usedBits |= 1 << bitOfPool[i]
		}
	}
	for i, p := range table.Pools {
		if bitOfPool[i] < 0 {
			bit := bits.TrailingZeros64(^usedBits)
			if bit == maxPools { // open requests use all bits: two pools share the last bit until those requests end
				bit--
			}
			bitOfPool[i], r.poolNames[bit] = bit, p.Name
			usedBits |= 1 << bit
		}
	}
	return bitOfPool
}

// toLabels converts a bit set of pools, numbered as in the table, to the policy's labels.
func (r *Router) toLabels(pools uint64) (labels uint64) {
	for i, bit := range r.bitOfPool {
		if pools&(1<<i) != 0 {
			labels |= 1 << bit
		}
	}
	return labels
}

// Labels returns the pools of a server in the form of policy.Endpoint.Labels.
func (r *Router) Labels(id, site, machineKind string) uint64 {
	if r.table == nil {
		return 0
	}
	return r.toLabels(r.table.labels(id, site, machineKind))
}
