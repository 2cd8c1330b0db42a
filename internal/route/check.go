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

// outcomes are the file's words for how an attempt may end.
var outcomes = map[string]policy.OutcomeSet{
	"refused":     1 << policy.Overloaded,
	"unreachable": 1<<policy.Unreachable | 1<<policy.NotStarted,
	"error":       1 << policy.Failure,
	"timeout":     1 << policy.TimedOut,
	"broken":      1 << policy.ConnectionBroken,
}

// outcomesThatMayHaveRun are those after which a non-idempotent type is never retried.
var outcomesThatMayHaveRun = []string{"error", "timeout", "broken"}

// Load reads and parses the operator's file at path. See Parse for the error.
func Load(path string, s *settings.Settings) (*Table, error) {
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, s)
}

// Parse compiles the text of an operator's file under the node's settings. The error is a tomlfile.Faults with every
// fault and its line, or that of reading TOML.
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

type checker struct {
	*tomlfile.File
	file      *File
	settings  *settings.Settings
	pools     map[string]uint64
	routes    map[string]int
	fragments *fragmentFaults // nil: only the operator's file is checked
}

func newChecker(f *tomlfile.File, file *File, s *settings.Settings) checker {
	return checker{File: f, file: file, settings: s, pools: map[string]uint64{}, routes: map[string]int{}}
}

// Wrong records a fault of the selected fragment, or of the operator's file.
func (c *checker) Wrong(path, format string, args ...any) {
	if !c.fragments.record(format, args...) {
		c.File.Wrong(path, format, args...)
	}
}

// otherLine names the line of the second route of a fault that concerns two.
func (c *checker) otherLine(i int) string {
	if line := c.Line("routes." + strconv.Itoa(i)); line > 0 {
		return fmt.Sprintf(" of line %d", line)
	}
	return ""
}

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
			c.Wrong("fastcgi.listen", "%q is no address with a port", at)
		}
	}
	for _, site := range c.file.FastCGI.Sites {
		if !slices.Contains(c.settings.Zones, site) {
			c.Wrong("fastcgi.sites", "no site %q: there are %s", site, strings.Join(c.settings.Zones, ", "))
		}
	}
	for name := range c.file.Class {
		if _, ok := table.types[name]; !ok {
			c.Wrong("class."+name, "no traffic type %q: there are %s", name, strings.Join(c.settings.TypeNames, ", "))
		}
	}
	if len(c.file.Routes) > maxRoutes {
		c.Wrong("routes."+strconv.Itoa(maxRoutes), "%d routes: %d at most", len(c.file.Routes), maxRoutes)
		return table
	}
	for i := range c.file.Routes {
		c.fragments.selectRoute(i)
		r := &c.file.Routes[i]
		if _, twice := c.routes[r.Name]; r.Name == "" {
			c.Wrong(at(i, "name"), "a route without a name")
		} else if twice {
			first := ""
			if line := c.Line(at(c.routes[r.Name], "name")); line > 0 {
				first = fmt.Sprintf("; the first is in line %d", line)
			}
			c.Wrong(at(i, "name"), "a second route %q%s", r.Name, first)
		} else {
			c.routes[r.Name] = i
		}
	}
	for i := range c.file.Routes {
		c.fragments.selectRoute(i)
		c.checkRoute(table, i)
	}
	c.checkFallbacks(table)
	c.fragments.selectOperatorFile()
	if n := len(table.Profiles); n > maxProfiles {
		c.Wrong("routes", "%d different sets of figures: %d at most; routes with the same figures share one", n, maxProfiles)
	}
	return table
}

func at(route int, key string) string { return "routes." + strconv.Itoa(route) + "." + key }

func (c *checker) checkPools(table *Table) {
	defer c.fragments.selectOperatorFile()
	for i, p := range c.file.Pools {
		c.fragments.selectPool(i)
		key := "pools." + strconv.Itoa(i)
		if _, twice := c.pools[p.Name]; p.Name == "" || twice {
			c.Wrong(key+".name", "each pool needs a name of its own")
		}
		if i >= maxPools {
			c.Wrong(key, "%d pools: %d at most", len(c.file.Pools), maxPools)
			return
		}
		if len(p.Sites)+len(p.Flavors)+len(p.Servers) == 0 {
			c.Wrong(key, "pool %q names neither sites nor flavors nor servers", p.Name)
		}
		for _, site := range p.Sites {
			if !slices.Contains(c.settings.Zones, site) {
				c.Wrong(key+".sites", "no site %q: there are %s", site, strings.Join(c.settings.Zones, ", "))
			}
		}
		c.pools[p.Name] = 1 << i
		table.Pools = append(table.Pools, p)
	}
}

// checkRoute checks one route and adds it to the table.
func (c *checker) checkRoute(table *Table, i int) {
	r := &c.file.Routes[i]
	path, ok := c.checkPath(r, i)
	for _, m := range r.Methods {
		if m == "" || strings.ToUpper(m) != m || strings.ContainsAny(m, " \t\r\n/") {
			c.Wrong(at(i, "methods"), "%q is no method", m)
		}
	}
	for _, t := range r.Tenants {
		if _, known := table.tenants[t]; !known {
			c.Wrong(at(i, "tenants"), "no tenant %q: there are %s", t, strings.Join(c.settings.TenantNames, ", "))
		}
	}
	if len(r.Headers) > maxHeaders {
		c.Wrong(at(i, "headers"), "%d headers: %d at most", len(r.Headers), maxHeaders)
	}
	for name := range r.Headers {
		if name == "" || strings.ContainsAny(name, " \t\r\n:") {
			c.Wrong(at(i, "headers"), "%q is no name of a field", name)
		}
	}
	var kinds []int
	if ok {
		kinds = c.trafficTypes(table, r, i, path)
	}
	byKind, limits := slices.Repeat([]int{-1}, len(c.settings.TrafficTypes)), make([]Limits, len(c.settings.TrafficTypes))
	for _, k := range kinds {
		p, l := c.profile(r, i, k)
		byKind[k], limits[k] = table.profile(p, i), l
	}
	table.Routes = append(table.Routes, compiledRoute{Route: *r, Line: c.Line("routes." + strconv.Itoa(i)), profileByType: byKind, limitsByType: limits, classType: -1, fallback: -1})
	last := &table.Routes[i]
	if r.Class != "" && len(kinds) == 1 {
		last.classType = kinds[0]
	}
	if ok {
		if clash := table.tree.add(path, r, i); clash >= 0 {
			c.Wrong("routes."+strconv.Itoa(i), "route %q and route %q%s fit the same requests, and neither is more specific", r.Name,
				c.file.Routes[clash].Name, c.otherLine(clash))
		}
	}
}

// checkPath checks a route's path, which its type may imply, and returns its segments.
func (c *checker) checkPath(r *Route, i int) ([]string, bool) {
	if r.Path == "" {
		r.Path = "/**"
		if r.Type != "" {
			r.Path = "/" + r.Type + "/**"
		}
	}
	p := pathSegments(r.Path)
	wrong := func(form string, args ...any) ([]string, bool) {
		c.Wrong(at(i, "path"), form, args...)
		return nil, false
	}
	switch {
	case r.Path[0] != '/':
		return wrong("path %q does not begin with /", r.Path)
	case len(p) > maxPathSegments:
		return wrong("a path of %d parts: %d at most", len(p), maxPathSegments)
	case len(p) == 0:
		return wrong("path %q has no part; /** is for all", r.Path)
	case strings.ContainsAny(r.Path, "?# \t\r\n"):
		return wrong("path %q has a character that no path has", r.Path)
	}
	for k, part := range p {
		switch {
		case part == "" && k < len(p)-1:
			return wrong("path %q has an empty part", r.Path)
		case part == anyRest && k < len(p)-1:
			return wrong("path %q: ** stands at the end only", r.Path)
		case part != anySegment && part != anyRest && strings.Contains(part, anySegment):
			return wrong("path %q: * stands for a whole part", r.Path)
		}
	}
	if r.Type != "" && p[0] != r.Type && p[0] != anySegment && p[0] != anyRest {
		return wrong("no path %s is of type %q, which is the first part", r.Path, r.Type)
	}
	if r.Type != "" && p[0] != r.Type {
		if p[0] == anyRest {
			p = []string{r.Type, anyRest}
		} else {
			p = append([]string{r.Type}, p[1:]...)
		}
		r.Path = "/" + strings.Join(p, "/")
	}
	return p, true
}

// trafficTypes are the traffic types whose requests may match a route.
func (c *checker) trafficTypes(table *Table, r *Route, i int, path []string) []int {
	find := func(key, name string) []int {
		if k, ok := table.types[name]; ok {
			return []int{k}
		}
		c.Wrong(at(i, key), "no traffic type %q: there are %s", name, strings.Join(c.settings.TypeNames, ", "))
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
	for k := range all {
		all[k] = k
	}
	return all
}

func (c *checker) tenant(name string) (int, bool) {
	if name == otherTenants {
		return len(c.settings.TenantNames), true
	}
	i := slices.Index(c.settings.TenantNames, name)
	return i, i >= 0
}
