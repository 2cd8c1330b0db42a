package route

import (
	"net/netip"
	"slices"
	"strings"

	"fernvane/internal/config/tomlfile"
	"fernvane/policy"
)

// otherTenants is the key in the file for all tenants that the settings do not name.
const otherTenants = "other"

// Profile is a traffic type in the form that the policy uses: a traffic type of the settings with the limits of a route.
// Routes with equal limits share a profile. The first profiles are the unchanged types of the settings.
type Profile struct {
	BaseType int // traffic type of the settings
	Type     policy.TrafficType
	Owner    string // name of the one route that uses the profile, if the profile has a retry or hedging budget; "": shared
}

// compiledRoute is a route with the values that compilation derives from it.
type compiledRoute struct {
	Route
	Line          int      // in the file; 0: not known
	profileByType []int    // profile by traffic type; -1: the route does not serve the type
	limitsByType  []Limits // by traffic type, including those of the class and the defaults
	classType     int      // traffic type that the route assigns; -1: none
	fallback      int      // index of the fallback route; -1: none
}

// Table is a compiled operator's file without faults. It is immutable once Parse or Assemble has returned it.
type Table struct {
	Name     string
	Routes   []compiledRoute
	Profiles []Profile
	Pools    []Pool
	FastCGI  FastCGI
	Listen   netip.AddrPort // listen address for FastCGI clients; the zero value: none
	tree     *tree
	types    map[string]int
	tenants  map[string]int

	profileIndex map[Profile]int
	firstRoute   []int // by profile: the first route that uses it; -1: a type of the settings
	byName       map[string]int
	file         *tomlfile.File // line of each key
	source       *File          // input of the compilation
}

// profile returns the index of a profile, and adds the profile if it is new.
func (t *Table) profile(profile Profile, route int) int {
	index, ok := t.profileIndex[profile]
	if !ok {
		index = len(t.Profiles)
		t.profileIndex[profile] = index
		t.Profiles, t.firstRoute = append(t.Profiles, profile), append(t.firstRoute, route)
	}
	return index
}

// Match returns the route of a request and the index of its traffic type. route is -1 if no route matches or if the
// matching route does not serve the traffic type; trafficType is -1 if the request has none. Match is called for each
// request and allocates nothing.
func (t *Table) Match(r *Request) (route, trafficType int) {
	route, trafficType = -1, -1
	if len(r.Path) == 0 || r.Path[0] != '/' {
		return -1, -1
	}
	first, _ := nextSegment(r.Path)
	if typeOfPath, ok := t.types[string(first)]; ok {
		trafficType = typeOfPath
	}
	if route = t.tree.match(r.Path, r); route < 0 {
		return -1, trafficType
	}
	if assigned := t.Routes[route].classType; assigned >= 0 {
		trafficType = assigned
	}
	if trafficType >= 0 && t.Routes[route].profileByType[trafficType] < 0 {
		return -1, trafficType
	}
	return route, trafficType
}

// MaxBodyBytes returns the maximum size of a request body in bytes: the limit of the route if it is set, but at most limit.
func (t *Table) MaxBodyBytes(route, trafficType, limit int) int {
	if route < 0 || t.Routes[route].limitsByType[trafficType].MaxBodyBytes == nil {
		return limit
	}
	return min(*t.Routes[route].limitsByType[trafficType].MaxBodyBytes, limit)
}

// AllowsHedging reports whether requests of a route may be hedged, by the limits of the route itself or of one of its fallbacks, which
// decide once they admit a request.
func (t *Table) AllowsHedging(route, trafficType int) bool {
	for ; route >= 0; route = t.Routes[route].fallback {
		if t.Routes[route].limitsByType[trafficType].HedgeAfter != nil {
			return true
		}
	}
	return false
}

// matches reports whether a server matches a selection. An empty list matches all servers.
func matches(sites, machineKinds, servers []string, id, site, machineKind string) bool {
	return (len(sites) == 0 || slices.Contains(sites, site)) && (len(machineKinds) == 0 || slices.Contains(machineKinds, machineKind)) &&
		(len(servers) == 0 || slices.ContainsFunc(servers, func(pattern string) bool {
			if prefix, isPrefix := strings.CutSuffix(pattern, "*"); isPrefix {
				return strings.HasPrefix(id, prefix)
			}
			return id == pattern
		}))
}

// labels returns the pools of a server, one bit for each pool in the order of the file.
func (t *Table) labels(id, site, machineKind string) (labels uint64) {
	for i, p := range t.Pools {
		if matches(p.Sites, p.MachineKinds, p.Servers, id, site, machineKind) {
			labels |= 1 << i
		}
	}
	return labels
}

// UsesFastCGI reports whether a server uses FastCGI. Servers that the file does not select use HTTP.
func (t *Table) UsesFastCGI(id, site, machineKind string) bool {
	if t == nil {
		return false
	}
	f := &t.FastCGI
	return len(f.Sites)+len(f.MachineKinds)+len(f.Servers) > 0 && matches(f.Sites, f.MachineKinds, f.Servers, id, site, machineKind)
}
