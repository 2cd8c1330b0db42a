package route

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernvane/internal/settings"
	"fernvane/internal/tomlfile"
	"fernvane/policy"
)

// outcomes are the file's words for how a hop may end.
var outcomes = map[string]policy.Outcomes{
	"refused":     1 << policy.Overloaded,
	"unreachable": 1<<policy.Unreachable | 1<<policy.Void,
	"error":       1 << policy.Failure,
	"timeout":     1 << policy.TimedOut,
	"broken":      1 << policy.Broken,
}

// mayHaveRun are those after which a type that may not repeat gets no further hop anyway.
var mayHaveRun = []string{"error", "timeout", "broken"}

// Load reads the operator's file and tells all that is wrong with it, against the settings that the node runs under.
func Load(path string, s *settings.Settings) (*Set, error) {
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, s)
}

// Parse reads the text of an operator's file.
func Parse(name string, text []byte, s *settings.Settings) (*Set, error) {
	var file File
	f, err := tomlfile.Parse(name, text, &file)
	if err != nil {
		return nil, err
	}
	c := newChecker(f, &file, s)
	set := c.compile()
	if err := f.Err(); err != nil {
		return nil, err
	}
	return set, nil
}

type checker struct {
	*tomlfile.File
	file     *File
	settings *settings.Settings
	pools    map[string]uint64
	routes   map[string]int
	parts    *partFaults // nil: all of it comes from the operator's file
}

func newChecker(f *tomlfile.File, file *File, s *settings.Settings) checker {
	return checker{File: f, file: file, settings: s, pools: map[string]uint64{}, routes: map[string]int{}}
}

// Wrong notes a fault: of the part that is looked at, where it is one, or of the operator's file.
func (c *checker) Wrong(path, format string, args ...any) {
	if !c.parts.note(format, args...) {
		c.File.Wrong(path, format, args...)
	}
}

// besides tells the line of another route, for a fault that is of both.
func (c *checker) besides(i int) string {
	if line := c.Line("routes." + strconv.Itoa(i)); line > 0 {
		return fmt.Sprintf(" of line %d", line)
	}
	return ""
}

func (c *checker) compile() *Set {
	set := &Set{Name: c.Name, tree: &tree{}, types: map[string]int{}, tenants: map[string]int{},
		byFigures: map[Profile]int{}, byName: c.routes, file: c.File, source: c.file}
	for i, name := range c.settings.TypeNames {
		set.types[name] = i
		set.profile(Profile{Kind: i, Type: c.settings.Types[i]}, -1)
	}
	for i, name := range c.settings.TenantNames {
		set.tenants[name] = i
	}
	c.checkPools(set)
	set.FastCGI = c.file.FastCGI
	if at := c.file.FastCGI.Listen; at != "" {
		var err error
		if set.Listen, err = netip.ParseAddrPort(at); err != nil {
			c.Wrong("fastcgi.listen", "%q is no address with a port", at)
		}
	}
	for _, site := range c.file.FastCGI.Sites {
		if !slices.Contains(c.settings.Zones, site) {
			c.Wrong("fastcgi.sites", "no site %q: there are %s", site, strings.Join(c.settings.Zones, ", "))
		}
	}
	for name := range c.file.Class {
		if _, ok := set.types[name]; !ok {
			c.Wrong("class."+name, "no traffic type %q: there are %s", name, strings.Join(c.settings.TypeNames, ", "))
		}
	}
	if len(c.file.Routes) > mostRoutes {
		c.Wrong("routes."+strconv.Itoa(mostRoutes), "%d routes: %d at most", len(c.file.Routes), mostRoutes)
		return set
	}
	for i := range c.file.Routes {
		c.parts.route(i)
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
		c.parts.route(i)
		c.route(set, i)
	}
	c.checkFallbacks(set)
	c.parts.own()
	if n := len(set.Profiles); n > mostProfiles {
		c.Wrong("routes", "%d different sets of figures: %d at most; routes with the same figures share one", n, mostProfiles)
	}
	return set
}

func at(route int, key string) string { return "routes." + strconv.Itoa(route) + "." + key }

func (c *checker) checkPools(set *Set) {
	defer c.parts.own()
	for i, p := range c.file.Pools {
		c.parts.pool(i)
		key := "pools." + strconv.Itoa(i)
		if _, twice := c.pools[p.Name]; p.Name == "" || twice {
			c.Wrong(key+".name", "each pool needs a name of its own")
		}
		if i >= mostPools {
			c.Wrong(key, "%d pools: %d at most", len(c.file.Pools), mostPools)
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
		set.Pools = append(set.Pools, p)
	}
}

// route checks one and puts it into the set.
func (c *checker) route(set *Set, i int) {
	r := &c.file.Routes[i]
	path, ok := c.path(r, i)
	for _, m := range r.Methods {
		if m == "" || strings.ToUpper(m) != m || strings.ContainsAny(m, " \t\r\n/") {
			c.Wrong(at(i, "methods"), "%q is no method", m)
		}
	}
	for _, t := range r.Tenants {
		if _, known := set.tenants[t]; !known {
			c.Wrong(at(i, "tenants"), "no tenant %q: there are %s", t, strings.Join(c.settings.TenantNames, ", "))
		}
	}
	if len(r.Headers) > mostHeaders {
		c.Wrong(at(i, "headers"), "%d headers: %d at most", len(r.Headers), mostHeaders)
	}
	for name := range r.Headers {
		if name == "" || strings.ContainsAny(name, " \t\r\n:") {
			c.Wrong(at(i, "headers"), "%q is no name of a field", name)
		}
	}
	var kinds []int
	if ok {
		kinds = c.kinds(set, r, i, path)
	}
	byKind, limits := slices.Repeat([]int{-1}, len(c.settings.Types)), make([]Limits, len(c.settings.Types))
	for _, k := range kinds {
		p, l := c.profile(r, i, k)
		byKind[k], limits[k] = set.profile(p, i), l
	}
	set.Routes = append(set.Routes, compiled{Route: *r, Line: c.Line("routes." + strconv.Itoa(i)), byKind: byKind, limits: limits, class: -1, fallback: -1})
	last := &set.Routes[i]
	if r.Class != "" && len(kinds) == 1 {
		last.class = kinds[0]
	}
	if ok {
		if clash := set.tree.add(path, r, i); clash >= 0 {
			c.Wrong("routes."+strconv.Itoa(i), "route %q and route %q%s fit the same requests, and neither is more specific", r.Name,
				c.file.Routes[clash].Name, c.besides(clash))
		}
	}
}

// path checks a route's path, which its type may stand for.
func (c *checker) path(r *Route, i int) ([]string, bool) {
	if r.Path == "" {
		r.Path = "/**"
		if r.Type != "" {
			r.Path = "/" + r.Type + "/**"
		}
	}
	p := parts(r.Path)
	wrong := func(form string, args ...any) ([]string, bool) {
		c.Wrong(at(i, "path"), form, args...)
		return nil, false
	}
	switch {
	case r.Path[0] != '/':
		return wrong("path %q does not begin with /", r.Path)
	case len(p) > mostParts:
		return wrong("a path of %d parts: %d at most", len(p), mostParts)
	case len(p) == 0:
		return wrong("path %q has no part; /** is for all", r.Path)
	case strings.ContainsAny(r.Path, "?# \t\r\n"):
		return wrong("path %q has a character that no path has", r.Path)
	}
	for k, part := range p {
		switch {
		case part == "" && k < len(p)-1:
			return wrong("path %q has an empty part", r.Path)
		case part == rest && k < len(p)-1:
			return wrong("path %q: ** stands at the end only", r.Path)
		case part != one && part != rest && strings.Contains(part, one):
			return wrong("path %q: * stands for a whole part", r.Path)
		}
	}
	if r.Type != "" && p[0] != r.Type && p[0] != one && p[0] != rest {
		return wrong("no path %s is of type %q, which is the first part", r.Path, r.Type)
	}
	if r.Type != "" && p[0] != r.Type {
		if p[0] == rest {
			p = []string{r.Type, rest}
		} else {
			p = append([]string{r.Type}, p[1:]...)
		}
		r.Path = "/" + strings.Join(p, "/")
	}
	return p, true
}

// kinds are the traffic types whose operations may come to a route.
func (c *checker) kinds(set *Set, r *Route, i int, path []string) []int {
	find := func(key, name string) []int {
		if k, ok := set.types[name]; ok {
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
	case path[0] != one && path[0] != rest:
		return find("path", path[0])
	}
	all := make([]int, len(c.settings.Types))
	for k := range all {
		all[k] = k
	}
	return all
}

// profile works out the limits of a route for one traffic type, and checks them.
func (c *checker) profile(r *Route, i, kind int) (Profile, Limits) {
	s, base := c.settings, c.settings.Types[kind]
	name := s.TypeNames[kind]
	class := c.file.Class[name]
	l := r.Limits.over(class).over(c.file.Defaults)
	// where tells the place of a key: in the route, its class, or the defaults.
	where := func(key string) string {
		for _, place := range []string{"routes." + strconv.Itoa(i), "class." + name, "defaults"} {
			if c.Has(place + "." + key) {
				return place + "." + key
			}
		}
		return "routes." + strconv.Itoa(i)
	}
	wrong := func(key, form string, args ...any) {
		c.Wrong(where(key), "route %q, type %s: "+form, append([]any{r.Name, name}, args...)...)
	}
	p := Profile{Kind: kind, Type: base}
	t := &p.Type
	if l.Target != nil {
		if t.TargetTime = l.Target.D(); t.TargetTime <= 0 {
			wrong("target", "a target of %s turns all away", l.Target.D())
		} else if t.TargetTime > base.AbandonTime {
			wrong("target", "the target of %s lies past the client's give-up at %s", l.Target.D(), base.AbandonTime)
		}
	}
	if l.HopTime != nil {
		if t.HopTime = l.HopTime.D(); t.HopTime <= 0 {
			wrong("hop_time", "a hop of %s turns all away", l.HopTime.D())
		} else if t.HopTime > base.AbandonTime {
			wrong("hop_time", "a hop of %s lasts past the client's give-up at %s", l.HopTime.D(), base.AbandonTime)
		}
	}
	if l.Hops != nil {
		if t.MostHops = *l.Hops; t.MostHops < 1 {
			wrong("hops", "%d hops turn all away", t.MostHops)
		} else if t.MostHops > s.MostHops {
			wrong("hops", "%d hops, but the settings allow %d", t.MostHops, s.MostHops)
		}
	}
	for _, word := range l.Further {
		bits, ok := outcomes[word]
		switch {
		case !ok:
			wrong("further", "%q is none of broken, error, refused, timeout, unreachable", word)
		case base.Repeat == policy.Binding && slices.Contains(mayHaveRun, word):
			wrong("further", "a binding type gets no further hop after %q: it may have run", word)
		}
		t.Further |= bits
	}
	if l.Further != nil && len(l.Further) == 0 { // none at all
		t.MostHops = 1
	}
	c.share(wrong, "retry_share", l.RetryShare, 0, 10, &t.RetryShare)
	c.share(wrong, "retry_floor", l.RetryFloor, 0, 1e6, &t.RetryFloor)
	if l.RetryFloor != nil && l.RetryShare == nil {
		wrong("retry_floor", "a floor without retry_share: there is no budget for it to be a floor of")
	}
	if l.RetryShare != nil && *l.RetryShare == 0 && or(l.RetryFloor, 0) == 0 { // a budget of nothing
		t.MostHops = 1
	}
	if l.AtOnce != nil && *l.AtOnce < 1 {
		wrong("at_once", "at_once of %d turns all away", *l.AtOnce)
	}
	if n := or(l.Waiting, 0); n < 0 || n > 0 && l.AtOnce == nil {
		wrong("waiting", "%d may wait, but without at_once nothing waits for a place", n)
	}
	if l.Wait != nil {
		if t.WaitMost = l.Wait.D(); t.WaitMost < 0 {
			wrong("wait", "a wait below 0")
		} else if t.WaitMost+t.HopTime > base.AbandonTime {
			wrong("wait", "a wait of %s with a hop of %s ends past the client's give-up at %s", t.WaitMost, t.HopTime, base.AbandonTime)
		}
		t.WaitMost = max(t.WaitMost, time.Nanosecond) // none, not the module's own
	}
	c.share(wrong, "rate", l.Rate, 0, 1e7, nil)
	if l.Rate != nil && *l.Rate == 0 {
		wrong("rate", "a rate of 0 turns all away")
	}
	if l.Burst != nil && (*l.Burst < 1 || l.Rate == nil) {
		wrong("burst", "a burst of %d with no rate, or below 1", *l.Burst)
	}
	if l.Body != nil && *l.Body < 0 {
		wrong("body_bytes", "a body below 0 bytes")
	}
	c.copies(wrong, &l, t, base)
	if l.Pool != nil {
		bits, ok := c.pools[*l.Pool]
		if !ok {
			wrong("pool", "no pool %q", *l.Pool)
		}
		t.Pool = bits
	}
	c.share(wrong, "revenue", l.Revenue, 1e-9, 1e9, &t.Revenue)
	var keep float64
	c.share(wrong, "keep", l.Keep, 0, 1, &keep)
	if l.Keep != nil {
		t.ShedMost = max(1-keep, 1e-9)
	}
	sum := 0.0
	for tenant, share := range l.Tenants {
		if _, ok := c.tenant(tenant); !ok {
			wrong("tenant_shares", "no tenant %q: there are %s, and other", tenant, strings.Join(s.TenantNames, ", "))
		}
		if !(share > 0 && share <= 1) {
			wrong("tenant_shares", "the share of %q is %v: above 0, and 1 at most", tenant, share)
		}
		sum += share
	}
	if sum > 1+1e-9 {
		wrong("tenant_shares", "the shares add up to %.3f: 1 at most", sum)
	}
	if len(l.Tenants) > 0 && l.Rate == nil && l.AtOnce == nil {
		wrong("tenant_shares", "shares of what? neither rate nor at_once is set")
	}
	if t.RetryShare > 0 || t.CopyAfter > 0 {
		p.Owner = r.Name
	}
	return p, l
}

// copies checks second copies.
func (c *checker) copies(wrong func(key, form string, args ...any), l *Limits, t *policy.TrafficType, base policy.TrafficType) {
	if l.CopyAfter == nil {
		if l.CopyShare != nil {
			wrong("copy_share", "a share of copies, but no copy_after")
		}
		return
	}
	t.CopyAfter, t.CopyShare = l.CopyAfter.D(), or(l.CopyShare, defaultCopy)
	c.share(wrong, "copy_share", l.CopyShare, 1e-6, 1, nil)
	switch {
	case base.Repeat == policy.Binding:
		wrong("copy_after", "a binding type gets no second copy: it must never run twice")
	case !c.settings.Copies:
		wrong("copy_after", "the settings bar second copies")
	case t.CopyAfter <= 0:
		wrong("copy_after", "a copy after %s is one for each operation", t.CopyAfter)
	case t.CopyAfter >= t.TargetTime:
		wrong("copy_after", "a copy after %s comes past the target of %s", t.CopyAfter, t.TargetTime)
	case t.HopTime > 0 && t.CopyAfter >= t.HopTime:
		wrong("copy_after", "a copy after %s comes when a hop of %s is over", t.CopyAfter, t.HopTime)
	case cmp.Or(t.MostHops, c.settings.MostHops) < 2:
		wrong("copy_after", "a copy is a second hop, and one is allowed")
	}
}

func (c *checker) tenant(name string) (int, bool) {
	if name == otherTenants {
		return len(c.settings.TenantNames), true
	}
	i := slices.Index(c.settings.TenantNames, name)
	return i, i >= 0
}

// share takes a number that must lie between two others.
func (c *checker) share(wrong func(key, form string, args ...any), key string, v *float64, least, most float64, into *float64) {
	if v == nil {
		return
	}
	if !(*v >= least && *v <= most) || math.IsNaN(*v) {
		wrong(key, "%s is %v: from %v to %v", key, *v, least, most)
		return
	}
	if into != nil {
		*into = *v
	}
}

// checkFallbacks looks for those that lead nowhere, to another class, or back.
func (c *checker) checkFallbacks(set *Set) {
	for i := range set.Routes {
		c.parts.route(i)
		l := c.fallback(i)
		if l == "" {
			continue
		}
		to, ok := c.routes[l]
		if !ok {
			c.Wrong(c.fallbackKey(i), "route %q falls back to %q, which does not exist", set.Routes[i].Name, l)
			continue
		}
		set.Routes[i].fallback = to
		for k, p := range set.Routes[i].byKind {
			if p >= 0 && to != i && set.Routes[to].byKind[k] < 0 {
				c.Wrong(c.fallbackKey(i), "route %q falls back to %q, which is not for type %s", set.Routes[i].Name, l, c.settings.TypeNames[k])
				break
			}
		}
	}
	for i := range set.Routes {
		c.parts.route(i)
		seen := []string{set.Routes[i].Name}
		for at := set.Routes[i].fallback; at >= 0; at = set.Routes[at].fallback {
			seen = append(seen, set.Routes[at].Name)
			if at == i {
				c.Wrong(c.fallbackKey(i), "the fallbacks go in a circle: %s", strings.Join(seen, ", "))
				break
			}
			if len(seen) > len(set.Routes) { // a circle that this route leads into
				break
			}
		}
	}
}

func (c *checker) fallback(i int) string {
	r := &c.file.Routes[i]
	for _, l := range []Limits{r.Limits, c.file.Class[cmp.Or(r.Class, r.Type)], c.file.Defaults} {
		if l.Fallback != nil {
			return *l.Fallback
		}
	}
	return ""
}

func (c *checker) fallbackKey(i int) string {
	if key := at(i, "fallback"); c.Has(key) {
		return key
	}
	return fmt.Sprint("routes.", i)
}
