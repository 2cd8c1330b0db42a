package route

import (
	"net/netip"
	"slices"
	"strings"

	"fernvane/internal/config/tomlfile"
	"fernvane/policy"
)

const otherTenants = "other" // stands for those that the settings do not name

// Profile is a traffic type of the module: the figures of one of the settings' types under the limits of a route, or of
// all routes whose figures are alike. The first profiles are the settings' own types.
type Profile struct {
	BaseType int // traffic type of the settings
	Type     policy.TrafficType
	Owner    string // the one route that it is for, where it has budgets of its own
}

// compiled is a route with what was worked out.
type compiledRoute struct {
	Route
	Line          int
	profileByType []int    // profiles by traffic type; -1 where it is not for the type
	limitsByType  []Limits // by traffic type: what holds, with class and defaults
	classType     int      // traffic type that it sets, or -1
	fallback      int      // route, or -1
}

// Table is a file that was read whole and found sound.
type Table struct {
	Name     string
	Routes   []compiledRoute
	Profiles []Profile
	Pools    []Pool
	FastCGI  FastCGI
	Listen   netip.AddrPort // of clients that speak FastCGI; not valid for none
	tree     *tree
	types    map[string]int
	tenants  map[string]int

	profileIndex map[Profile]int
	firstRoute   []int // by profile: the first route that has it; -1 for the settings' own
	byName       map[string]int
	file         *tomlfile.File // the places of its keys
	source       *File          // what the set was made of
}

// profile finds a profile with these figures, or adds it.
func (s *Table) profile(p Profile, route int) int {
	i, ok := s.profileIndex[p]
	if !ok {
		i = len(s.Profiles)
		s.profileIndex[p] = i
		s.Profiles, s.firstRoute = append(s.Profiles, p), append(s.firstRoute, route)
	}
	return i
}

// Match finds the route of a request and the traffic type that it is taken for; route is -1 where none fits, and kind
// is -1 where there is no such type.
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

// MaxBodyBytes is the largest body that a route takes, or most if it does not say.
func (s *Table) MaxBodyBytes(route, kind, most int) int {
	if route < 0 || s.Routes[route].limitsByType[kind].MaxBodyBytes == nil {
		return most
	}
	return min(*s.Routes[route].limitsByType[kind].MaxBodyBytes, most)
}

// AllowsHedging tells whether operations of a route may get a second copy.
func (s *Table) AllowsHedging(route, kind int) bool {
	return route >= 0 && s.Routes[route].limitsByType[kind].HedgeAfter != nil
}

// fits tells whether a server is among those that a choice names; what is left empty chooses all.
func fits(sites, flavors, servers []string, id, site, flavor string) bool {
	return (len(sites) == 0 || slices.Contains(sites, site)) && (len(flavors) == 0 || slices.Contains(flavors, flavor)) &&
		(len(servers) == 0 || slices.ContainsFunc(servers, func(pattern string) bool {
			if prefix, open := strings.CutSuffix(pattern, "*"); open {
				return strings.HasPrefix(id, prefix)
			}
			return id == pattern
		}))
}

// labels are the pools that a server is in, a bit for each in the order of the file.
func (s *Table) labels(id, site, flavor string) (labels uint64) {
	for i, p := range s.Pools {
		if fits(p.Sites, p.Flavors, p.Servers, id, site, flavor) {
			labels |= 1 << i
		}
	}
	return labels
}

// SpeaksFastCGI tells whether a server does; those that the file does not name speak HTTP.
func (s *Table) SpeaksFastCGI(id, site, flavor string) bool {
	if s == nil {
		return false
	}
	f := &s.FastCGI
	return len(f.Sites)+len(f.Flavors)+len(f.Servers) > 0 && fits(f.Sites, f.Flavors, f.Servers, id, site, flavor)
}
