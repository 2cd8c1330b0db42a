package route

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Request is what a route is matched by.
type Request struct {
	Method  []byte
	Path    []byte
	Tenant  []byte
	Headers HeaderGetter
}

// HeaderGetter returns the value of a header field, nil where it is absent.
type HeaderGetter interface{ Get(name string) []byte }

const (
	anySegment = "*"  // one path segment, not empty
	anyRest    = "**" // at the end of a path: any segments, or none
)

// pathSegments splits a path after its first slash.
func pathSegments(path string) []string {
	if path == "/" || path == "" {
		return nil
	}
	return strings.Split(strings.TrimPrefix(path, "/"), "/")
}

// audience is the method and tenant that an entry is for; "" is any.
type methodTenant struct{ method, tenant string }

type header struct{ name, value string }

type entry struct {
	headers []header
	route   int
}

// leaf holds the routes of one path by the other conditions that they have.
type leaf struct {
	by    map[methodTenant][]entry // those with more headers first
	forms [4]bool                  // which there are, most specific first: method and tenant, method, tenant, neither
}

// tree is a trie of path segments: the cost of a match grows with the segments of its path and hardly with the number of
// routes.
type tree struct {
	literal    map[string]*tree
	anySegment *tree
	end        *leaf // the path ends here
	rest       *leaf // any segments follow
}

// add inserts a route. It returns a route that matches the same requests with neither more specific, or -1.
func (t *tree) add(path []string, r *Route, number int) (clash int) {
	for i, part := range path {
		switch {
		case part == anyRest && i == len(path)-1:
			if t.rest == nil {
				t.rest = &leaf{by: map[methodTenant][]entry{}}
			}
			return t.rest.add(r, number)
		case part == anySegment:
			if t.anySegment == nil {
				t.anySegment = &tree{}
			}
			t = t.anySegment
		default:
			if t.literal == nil {
				t.literal = map[string]*tree{}
			}
			if t.literal[part] == nil {
				t.literal[part] = &tree{}
			}
			t = t.literal[part]
		}
	}
	if t.end == nil {
		t.end = &leaf{by: map[methodTenant][]entry{}}
	}
	return t.end.add(r, number)
}

func orAny(names []string) []string {
	if len(names) == 0 {
		return []string{""}
	}
	return names
}

func (l *leaf) add(r *Route, number int) (clash int) {
	clash = -1
	e := entry{route: number}
	for name, value := range r.Headers {
		e.headers = append(e.headers, header{name, value})
	}
	slices.SortFunc(e.headers, func(a, b header) int { return cmp.Compare(a.name, b.name) })
	for _, method := range orAny(r.Methods) {
		for _, tenant := range orAny(r.Tenants) {
			w := methodTenant{method, tenant}
			l.forms[w.form()] = true
			for _, other := range l.by[w] {
				if len(other.headers) == len(e.headers) && overlap(other.headers, e.headers) {
					clash = other.route
				}
			}
			i, _ := slices.BinarySearchFunc(l.by[w], len(e.headers), func(x entry, n int) int { return n - len(x.headers) })
			l.by[w] = slices.Insert(l.by[w], i, e)
		}
	}
	return clash
}

func (w methodTenant) form() int {
	form := 0
	if w.method == "" {
		form += 2
	}
	if w.tenant == "" {
		form++
	}
	return form
}

// overlap reports whether a request can satisfy both lists: no field is required with two values.
func overlap(a, b []header) bool {
	for _, x := range a {
		for _, y := range b {
			if strings.EqualFold(x.name, y.name) && x.value != y.value {
				return false
			}
		}
	}
	return true
}

// match finds the most specific route of a request, -1 for none. It allocates nothing.
//
// The order of routes, which is total over those that a table may hold together: the first segment in which two paths
// differ decides, a literal before *, * before **, and a path that ends before one that ends in **; then a method named
// before none; then a tenant named before none; then more headers before fewer.
func (t *tree) match(path []byte, r *Request) int {
	if len(path) == 0 {
		if found := t.end.match(r); found >= 0 {
			return found
		}
		return t.rest.match(r)
	}
	part, more := nextSegment(path)
	if next := t.literal[string(part)]; next != nil {
		if found := next.match(more, r); found >= 0 {
			return found
		}
	}
	if t.anySegment != nil && len(part) > 0 {
		if found := t.anySegment.match(more, r); found >= 0 {
			return found
		}
	}
	return t.rest.match(r)
}

// nextSegment splits the first segment off the rest of a path, which begins with its slash.
func nextSegment(path []byte) (part, more []byte) {
	path = path[1:]
	if i := bytes.IndexByte(path, '/'); i >= 0 {
		return path[:i], path[i:]
	}
	return path, nil
}

func (l *leaf) match(r *Request) int {
	if l == nil {
		return -1
	}
	for form, there := range l.forms {
		if !there {
			continue
		}
		var all []entry
		switch form {
		case 0:
			all = l.by[methodTenant{string(r.Method), string(r.Tenant)}]
		case 1:
			all = l.by[methodTenant{method: string(r.Method)}]
		case 2:
			all = l.by[methodTenant{tenant: string(r.Tenant)}]
		case 3:
			all = l.by[methodTenant{}]
		}
		for i := range all {
			if all[i].matches(r) {
				return all[i].route
			}
		}
	}
	return -1
}

func (e *entry) matches(r *Request) bool {
	for _, h := range e.headers {
		if r.Headers == nil || string(r.Headers.Get(h.name)) != h.value {
			return false
		}
	}
	return true
}

// matches matches one route by itself and returns the condition that is not met, "" for a match. Explain uses it; tests
// compare the tree with it.
func (r *Route) matches(q *Request) (why string) {
	if !matchesPath(pathSegments(r.Path), pathSegments(string(q.Path))) {
		return fmt.Sprintf("the path is not %s", r.Path)
	}
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, string(q.Method)) {
		return fmt.Sprintf("the method is none of %s", strings.Join(r.Methods, ", "))
	}
	if len(r.Tenants) > 0 && !slices.Contains(r.Tenants, string(q.Tenant)) {
		return fmt.Sprintf("the tenant is none of %s", strings.Join(r.Tenants, ", "))
	}
	for name, value := range r.Headers {
		if q.Headers == nil || string(q.Headers.Get(name)) != value {
			return fmt.Sprintf("the field %s is not %q", name, value)
		}
	}
	return ""
}

func matchesPath(pattern, path []string) bool {
	for i, p := range pattern {
		if p == anyRest && i == len(pattern)-1 {
			return true
		}
		if i >= len(path) || p == anySegment && path[i] == "" || p != anySegment && p != path[i] {
			return false
		}
	}
	return len(path) == len(pattern)
}

// compare tells which of two routes that match the same request is more specific (below 0: a), and what decides.
func compare(a, b *Route) (order int, by string) {
	rank := func(p []string, i int) int {
		switch {
		case i == len(p):
			return 2
		case p[i] == anyRest && i == len(p)-1:
			return 3
		case p[i] == anySegment:
			return 1
		}
		return 0
	}
	x, y := pathSegments(a.Path), pathSegments(b.Path)
	for i := range min(len(x), len(y)) + 1 {
		if i > len(x) || i > len(y) {
			break
		}
		if c := cmp.Compare(rank(x, i), rank(y, i)); c != 0 {
			return c, fmt.Sprintf("part %d of the path", i+1)
		}
	}
	named := func(names []string) int {
		if len(names) > 0 {
			return 0
		}
		return 1
	}
	if c := cmp.Compare(named(a.Methods), named(b.Methods)); c != 0 {
		return c, "the method"
	}
	if c := cmp.Compare(named(a.Tenants), named(b.Tenants)); c != 0 {
		return c, "the tenant"
	}
	if c := cmp.Compare(len(b.Headers), len(a.Headers)); c != 0 {
		return c, "the number of headers"
	}
	return 0, ""
}
