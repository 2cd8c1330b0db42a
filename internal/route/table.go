package route

import (
	"net/netip"
	"slices"
	"strings"

	"fernvane/internal/config/tomlfile"
	"fernvane/policy"
)

// otherTenants is the file's name for tenants that the settings do not name.
const otherTenants = "other"

// Profile is a traffic type as the policy gets it: one of the settings' types under the limits of a route. Routes with
// the same limits share a profile. The first profiles are the settings' own types.
type Profile struct {
	BaseType int // traffic type of the settings
	Type     policy.TrafficType
	Owner    string // the one route that it is for, where it has budgets of its own
}

// compiledRoute is a route with what compilation derived from it.
type compiledRoute struct {
	Route
	Line          int
	profileByType []int    // profile by traffic type; -1: the route does not serve the type
	limitsByType  []Limits // by traffic type, with class and defaults joined in
	classType     int      // traffic type that it assigns; -1: none
	fallback      int      // route; -1: none
}

// Table is an operator's file that was read in full and found valid. It is immutable once Parse or Assemble returns it.
type Table struct {
	Name     string
	Routes   []compiledRoute
	Profiles []Profile
	Pools    []Pool
	FastCGI  FastCGI
	Listen   netip.AddrPort // listener of FastCGI clients; the zero value: none
	tree     *tree
	types    map[string]int
	tenants  map[string]int

	profileIndex map[Profile]int
	firstRoute   []int // by profile: the first route that has it; -1: the settings' own
	byName       map[string]int
	file         *tomlfile.File // lines of its keys
	source       *File          // what the table was compiled from
}

// profile returns the index of p, which it adds where it is new.
func (s *Table) profile(p Profile, route int) int {
	i, ok := s.profileIndex[p]
	if !ok {
		i = len(s.Profiles)
		s.profileIndex[p] = i
		s.Profiles, s.firstRoute = append(s.Profiles, p), append(s.firstRoute, route)
	}
	return i
}

// Match finds the route of a request and the traffic type that it is taken for. route is -1 where none matches or
// the one that does is not for the type; kind is the index of the traffic type, -1 where there is none. It is called for each request, and allocates nothing.
func (s *Table) Match(r *Request) (route, kind int) {
	route, kind = -1, -1
	if len(r.Path) == 0 || r.Path[0] != '/' {
		return -1, -1
	}
	first, _ := nextSegment(r.Path)
	if k, ok := s.types[string(first)]; ok {
		kind = k
	}
	if route = s.tree.match(r.Path, r); route < 0 {
		return -1, kind
	}
	if c := s.Routes[route].classType; c >= 0 {
		kind = c
	}
	if kind >= 0 && s.Routes[route].profileByType[kind] < 0 {
		return -1, kind
	}
	return route, kind
}

// MaxBodyBytes is the largest body that a route takes, most where the route does not limit it.
func (s *Table) MaxBodyBytes(route, kind, most int) int {
	if route < 0 || s.Routes[route].limitsByType[kind].MaxBodyBytes == nil {
		return most
	}
	return min(*s.Routes[route].limitsByType[kind].MaxBodyBytes, most)
}

// AllowsHedging reports whether requests of a route may be hedged.
func (s *Table) AllowsHedging(route, kind int) bool {
	return route >= 0 && s.Routes[route].limitsByType[kind].HedgeAfter != nil
}

// matches reports whether a server matches a selection; an empty list matches all servers.
func matches(sites, flavors, servers []string, id, site, flavor string) bool {
	return (len(sites) == 0 || slices.Contains(sites, site)) && (len(flavors) == 0 || slices.Contains(flavors, flavor)) &&
		(len(servers) == 0 || slices.ContainsFunc(servers, func(pattern string) bool {
			if prefix, open := strings.CutSuffix(pattern, "*"); open {
				return strings.HasPrefix(id, prefix)
			}
			return id == pattern
		}))
}

// labels are the pools that a server is in, one bit each in the order of the file.
func (s *Table) labels(id, site, flavor string) (labels uint64) {
	for i, p := range s.Pools {
		if matches(p.Sites, p.Flavors, p.Servers, id, site, flavor) {
			labels |= 1 << i
		}
	}
	return labels
}

// SpeaksFastCGI reports whether a server speaks FastCGI; servers that the file does not name speak HTTP.
func (s *Table) SpeaksFastCGI(id, site, flavor string) bool {
	if s == nil {
		return false
	}
	f := &s.FastCGI
	return len(f.Sites)+len(f.Flavors)+len(f.Servers) > 0 && matches(f.Sites, f.Flavors, f.Servers, id, site, flavor)
}
