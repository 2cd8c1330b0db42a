package route

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"fernvane/internal/config/settings"
	"fernvane/internal/config/tomlfile"
	"fernvane/policy"
)

// outcomes maps the names of outcomes in the file to the outcomes of an attempt.
var outcomes = map[string]policy.OutcomeSet{
	"refused":     1 << policy.Overloaded,
	"unreachable": 1<<policy.Unreachable | 1<<policy.NotStarted,
	"error":       1 << policy.Failure,
	"timeout":     1 << policy.TimedOut,
	"broken":      1 << policy.ConnectionBroken,
}

// outcomesThatMayHaveRun are the outcomes after which a request may have run, so that a non-idempotent type is never
// retried.
var outcomesThatMayHaveRun = []string{"error", "timeout", "broken"}

// Load reads and compiles the operator's file at path. The error is that of tomlfile.Read or of Parse.
func Load(path string, s *settings.Settings) (*Table, error) {
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, s)
}

// Parse compiles the text of an operator's file and checks it against the settings of the node. The error is of type
// tomlfile.Faults and holds every fault with its line.
func Parse(name string, text []byte, s *settings.Settings) (*Table, error) {
	var file File
	f, err := tomlfile.Parse(name, text, &file)
	if err != nil {
		return nil, err
	}
	c := newChecker(f, &file, s)
	table := c.compile()
	if err := f.Err(); err != nil {
		return nil, err
	}
	return table, nil
}

// checker compiles and checks an operator's file, with or without fragments.
type checker struct {
	*tomlfile.File
	file      *File
	settings  *settings.Settings
	pools     map[string]uint64 // bit of the pool, by name
	routes    map[string]int    // index of the route, by name
	fragments *fragmentFaults   // nil: only the operator's file is checked
}

func newChecker(f *tomlfile.File, file *File, s *settings.Settings) checker {
	return checker{File: f, file: file, settings: s, pools: map[string]uint64{}, routes: map[string]int{}}
}

// AddFault records a fault of the selected fragment, or of the operator's file if no fragment is selected.
func (c *checker) AddFault(path, format string, args ...any) {
	if !c.fragments.record(format, args...) {
		c.File.AddFault(path, format, args...)
	}
}

// otherLine returns the line of the other route of a fault that concerns two routes, as a suffix of its name.
func (c *checker) otherLine(i int) string {
	if line := c.Line("routes." + strconv.Itoa(i)); line > 0 {
		return fmt.Sprintf(" (line %d)", line)
	}
	return ""
}

// compile checks the file and returns its table. The table is valid only if no fault was recorded.
func (c *checker) compile() *Table {
	table := &Table{Name: c.Name, tree: &tree{}, types: map[string]int{}, tenants: map[string]int{},
		profileIndex: map[Profile]int{}, byName: c.routes, file: c.File, source: c.file}
	for i, name := range c.settings.TypeNames {
		table.types[name] = i
		table.profile(Profile{BaseType: i, Type: c.settings.TrafficTypes[i]}, -1)
	}
	for i, name := range c.settings.TenantNames {
		table.tenants[name] = i
	}
	c.checkPools(table)
	table.FastCGI = c.file.FastCGI
	if at := c.file.FastCGI.Listen; at != "" {
		var err error
		if table.Listen, err = netip.ParseAddrPort(at); err != nil {
			c.AddFault("fastcgi.listen", "listen address %q is invalid: host:port expected", at)
		}
	}
	for _, site := range c.file.FastCGI.Sites {
		if !slices.Contains(c.settings.Zones, site) {
			c.AddFault("fastcgi.sites", "unknown site %q: known sites are %s", site, strings.Join(c.settings.Zones, ", "))
		}
	}
	for name := range c.file.Class {
		if _, ok := table.types[name]; !ok {
			c.AddFault("class."+name, "no traffic type %q: there are %s", name, strings.Join(c.settings.TypeNames, ", "))
		}
	}
	if len(c.file.Routes) > maxRoutes {
		c.AddFault("routes."+strconv.Itoa(maxRoutes), "%d routes, at most %d allowed", len(c.file.Routes), maxRoutes)
		return table
	}
	for i := range c.file.Routes {
		c.fragments.selectRoute(i)
		route := &c.file.Routes[i]
		if _, duplicate := c.routes[route.Name]; route.Name == "" {
			c.AddFault(at(i, "name"), "route has no name")
		} else if duplicate {
			first := ""
			if line := c.Line(at(c.routes[route.Name], "name")); line > 0 {
				first = fmt.Sprintf(", first defined in line %d", line)
			}
			c.AddFault(at(i, "name"), "duplicate route %q%s", route.Name, first)
		} else {
			c.routes[route.Name] = i
		}
	}
	for i := range c.file.Routes {
		c.fragments.selectRoute(i)
		c.checkRoute(table, i)
	}
	c.checkFallbacks(table)
	c.fragments.selectOperatorFile()
	if n := len(table.Profiles); n > maxProfiles {
		c.AddFault("routes", "%d distinct sets of limits, at most %d allowed; routes with equal limits share one", n, maxProfiles)
	}
	return table
}

// at returns the path of a key of a route in the file.
func at(route int, key string) string { return "routes." + strconv.Itoa(route) + "." + key }

// checkPools checks the pools and adds them to the table.
func (c *checker) checkPools(table *Table) {
	defer c.fragments.selectOperatorFile()
	for i, pool := range c.file.Pools {
		c.fragments.selectPool(i)
		key := "pools." + strconv.Itoa(i)
		if _, duplicate := c.pools[pool.Name]; pool.Name == "" || duplicate {
			c.AddFault(key+".name", "pool name is missing or already in use")
		}
		if i >= maxPools {
			c.AddFault(key, "%d pools, at most %d allowed", len(c.file.Pools), maxPools)
			return
		}
		if len(pool.Sites)+len(pool.MachineKinds)+len(pool.Servers) == 0 {
			c.AddFault(key, "pool %q sets none of sites, flavors and servers", pool.Name)
		}
		for _, site := range pool.Sites {
			if !slices.Contains(c.settings.Zones, site) {
				c.AddFault(key+".sites", "unknown site %q: known sites are %s", site, strings.Join(c.settings.Zones, ", "))
			}
		}
		c.pools[pool.Name] = 1 << i
		table.Pools = append(table.Pools, pool)
	}
}

// checkRoute checks one route and adds it to the table.
func (c *checker) checkRoute(table *Table, i int) {
	r := &c.file.Routes[i]
	path, ok := c.checkPath(r, i)
	for _, method := range r.Methods {
		if method == "" || strings.ToUpper(method) != method || strings.ContainsAny(method, " \t\r\n/") {
			c.AddFault(at(i, "methods"), "invalid method %q: name in upper case expected", method)
		}
	}
	for _, tenant := range r.Tenants {
		if _, known := table.tenants[tenant]; !known {
			c.AddFault(at(i, "tenants"), "unknown tenant %q: known tenants are %s", tenant, strings.Join(c.settings.TenantNames, ", "))
		}
	}
	if len(r.Headers) > maxHeaders {
		c.AddFault(at(i, "headers"), "%d headers, at most %d allowed", len(r.Headers), maxHeaders)
	}
	for name := range r.Headers {
		if name == "" || strings.ContainsAny(name, " \t\r\n:") {
			c.AddFault(at(i, "headers"), "invalid header name %q", name)
		}
	}
	var trafficTypes []int
	if ok {
		trafficTypes = c.trafficTypes(table, r, i, path)
	}
	profileByType, limits := slices.Repeat([]int{-1}, len(c.settings.TrafficTypes)), make([]Limits, len(c.settings.TrafficTypes))
	for _, trafficType := range trafficTypes {
		p, derived := c.profile(r, i, trafficType)
		profileByType[trafficType], limits[trafficType] = table.profile(p, i), derived
	}
	table.Routes = append(table.Routes, compiledRoute{Route: *r, Line: c.Line("routes." + strconv.Itoa(i)), profileByType: profileByType, limitsByType: limits, classType: -1, fallback: -1})
	last := &table.Routes[i]
	if r.Class != "" && len(trafficTypes) == 1 {
		last.classType = trafficTypes[0]
		c.checkClass(i, trafficTypes[0], path)
	}
	if ok {
		if clash := table.tree.add(path, r, i); clash >= 0 {
			c.AddFault("routes."+strconv.Itoa(i), "route %q and route %q%s match the same requests, and neither is more specific", r.Name,
				c.file.Routes[clash].Name, c.otherLine(clash))
		}
	}
}

// checkPath checks the path of a route and returns its segments. A path that is not set is derived from the traffic type.
func (c *checker) checkPath(r *Route, i int) ([]string, bool) {
	if r.Path == "" {
		r.Path = "/**"
		if r.Type != "" {
			r.Path = "/" + r.Type + "/**"
		}
	}
	segments := pathSegments(r.Path)
	addFault := func(format string, args ...any) ([]string, bool) {
		c.AddFault(at(i, "path"), format, args...)
		return nil, false
	}
	switch {
	case r.Path[0] != '/':
		return addFault("path %q does not begin with /", r.Path)
	case len(segments) > maxPathSegments:
		return addFault("path has %d segments, at most %d allowed", len(segments), maxPathSegments)
	case len(segments) == 0:
		return addFault("path %q has no segment; /** matches every path", r.Path)
	case strings.ContainsAny(r.Path, "?# \t\r\n"):
		return addFault("path %q contains a space, a line break, ? or #", r.Path)
	}
	for position, segment := range segments {
		switch {
		case segment == "" && position < len(segments)-1:
			return addFault("path %q has an empty segment", r.Path)
		case segment == anyRest && position < len(segments)-1:
			return addFault("path %q: ** is allowed only as the last segment", r.Path)
		case segment != anySegment && segment != anyRest && strings.Contains(segment, anySegment):
			return addFault("path %q: * must be a whole segment", r.Path)
		}
	}
	if r.Type != "" && segments[0] != r.Type && segments[0] != anySegment && segments[0] != anyRest {
		return addFault("path %s does not match type %q, which must be the first segment", r.Path, r.Type)
	}
	if r.Type != "" && segments[0] != r.Type {
		if segments[0] == anyRest {
			segments = []string{r.Type, anyRest}
		} else {
			segments = append([]string{r.Type}, segments[1:]...)
		}
		r.Path = "/" + strings.Join(segments, "/")
	}
	return segments, true
}

// trafficTypes returns the traffic types whose requests can match a route.
func (c *checker) trafficTypes(table *Table, r *Route, i int, path []string) []int {
	find := func(key, name string) []int {
		if trafficType, ok := table.types[name]; ok {
			return []int{trafficType}
		}
		c.AddFault(at(i, key), "no traffic type %q: there are %s", name, strings.Join(c.settings.TypeNames, ", "))
		return nil
	}
	switch {
	case r.Class != "":
		return find("class", r.Class)
	case r.Type != "":
		return find("type", r.Type)
	case path[0] != anySegment && path[0] != anyRest:
		return find("path", path[0])
	}
	all := make([]int, len(c.settings.TrafficTypes))
	for trafficType := range all {
		all[trafficType] = trafficType
	}
	return all
}

// tenant returns the index of a tenant; "other" has the index behind the last named tenant.
func (c *checker) tenant(name string) (int, bool) {
	if name == otherTenants {
		return len(c.settings.TenantNames), true
	}
	i := slices.Index(c.settings.TenantNames, name)
	return i, i >= 0
}
