package route

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Request holds the parts of a request that routes are matched by.
type Request struct {
	Method  []byte
	Path    []byte
	Tenant  []byte
	Headers HeaderGetter
}

// HeaderGetter returns the value of a header field, or nil if the field is absent.
type HeaderGetter interface{ Get(name string) []byte }

const (
	anySegment = "*"  // matches one path segment that is not empty
	anyRest    = "**" // at the end of a path: matches any number of segments
)

// pathSegments splits a path into its segments, without the slash at its start.
func pathSegments(path string) []string {
	if path == "/" || path == "" {
		return nil
	}
	return strings.Split(strings.TrimPrefix(path, "/"), "/")
}

// methodTenant is the method and the tenant that an entry matches; "" matches any.
type methodTenant struct{ method, tenant string }

// header is a header field that a request must have.
type header struct{ name, value string }

// entry is a route in a leaf.
type entry struct {
	headers []header // conditions, by name
	route   int      // index in the table
}

// leaf holds the routes with one path, by their conditions on method and tenant.
type leaf struct {
	by    map[methodTenant][]entry // entries with more headers first
	forms [4]bool                  // whether by has keys that name, most specific first: method and tenant; method; tenant; neither
}

// tree is a trie of path segments. The cost of a match grows with the number of segments of the path, and hardly with the
// number of routes.
type tree struct {
	literal    map[string]*tree
	anySegment *tree
	end        *leaf // routes whose path ends here; nil: none
	rest       *leaf // routes whose path continues with **; nil: none
}

// add inserts a route. It returns an earlier route that can match the same request while neither is more specific, or -1
// if there is none.
func (t *tree) add(path []string, r *Route, index int) (clash int) {
	for i, segment := range path {
		switch {
		case segment == anyRest && i == len(path)-1:
			if t.rest == nil {
				t.rest = &leaf{by: map[methodTenant][]entry{}}
			}
			return t.rest.add(r, index)
		case segment == anySegment:
			if t.anySegment == nil {
				t.anySegment = &tree{}
			}
			t = t.anySegment
		default:
			if t.literal == nil {
				t.literal = map[string]*tree{}
			}
			if t.literal[segment] == nil {
				t.literal[segment] = &tree{}
			}
			t = t.literal[segment]
		}
	}
	if t.end == nil {
		t.end = &leaf{by: map[methodTenant][]entry{}}
	}
	return t.end.add(r, index)
}

// orAny returns names, or the name that matches any if names is empty.
func orAny(names []string) []string {
	if len(names) == 0 {
		return []string{""}
	}
	return names
}

// add inserts a route for each of its methods and tenants. See tree.add for the result.
func (l *leaf) add(r *Route, index int) (clash int) {
	clash = -1
	added := entry{route: index}
	for name, value := range r.Headers {
		added.headers = append(added.headers, header{name, value})
	}
	slices.SortFunc(added.headers, func(a, b header) int { return cmp.Compare(a.name, b.name) })
	for _, method := range orAny(r.Methods) {
		for _, tenant := range orAny(r.Tenants) {
			key := methodTenant{method, tenant}
			l.forms[key.form()] = true
			for _, other := range l.by[key] {
				if len(other.headers) == len(added.headers) && overlap(other.headers, added.headers) {
					clash = other.route
				}
			}
			position, _ := slices.BinarySearchFunc(l.by[key], len(added.headers), func(existing entry, count int) int { return count - len(existing.headers) })
			l.by[key] = slices.Insert(l.by[key], position, added)
		}
	}
	return clash
}

// form returns the index in leaf.forms.
func (m methodTenant) form() int {
	form := 0
	if m.method == "" {
		form += 2
	}
	if m.tenant == "" {
		form++
	}
	return form
}

// overlap reports whether a request can satisfy both lists, which means that no field is required with two values.
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

// match returns the most specific route of a request, or -1 if no route matches. It allocates nothing.
//
// Of two routes that match a request, the first difference in this order decides which one is more specific:
//
//   - the first path segment in which they differ: a literal before *, * before **, and a path that ends before a path
//     that continues with **
//   - a route with methods before a route without
//   - a route with tenants before a route without
//   - a route with more headers before a route with fewer
//
// A table is rejected if two of its routes can match the same request and none of these differences orders them.
func (t *tree) match(path []byte, r *Request) int {
	if len(path) == 0 {
		if found := t.end.match(r); found >= 0 {
			return found
		}
		return t.rest.match(r)
	}
	segment, rest := nextSegment(path)
	if next := t.literal[string(segment)]; next != nil {
		if found := next.match(rest, r); found >= 0 {
			return found
		}
	}
	if t.anySegment != nil && len(segment) > 0 {
		if found := t.anySegment.match(rest, r); found >= 0 {
			return found
		}
	}
	return t.rest.match(r)
}

// nextSegment splits a path, which begins with a slash, into its first segment and the rest.
func nextSegment(path []byte) (segment, rest []byte) {
	path = path[1:]
	if i := bytes.IndexByte(path, '/'); i >= 0 {
		return path[:i], path[i:]
	}
	return path, nil
}

// match returns the most specific route of the leaf that matches a request, or -1.
func (l *leaf) match(r *Request) int {
	if l == nil {
		return -1
	}
	for form, isPresent := range l.forms {
		if !isPresent {
			continue
		}
		var entries []entry
		switch form {
		case 0:
			entries = l.by[methodTenant{string(r.Method), string(r.Tenant)}]
		case 1:
			entries = l.by[methodTenant{method: string(r.Method)}]
		case 2:
			entries = l.by[methodTenant{tenant: string(r.Tenant)}]
		case 3:
			entries = l.by[methodTenant{}]
		}
		for i := range entries {
			if entries[i].matches(r) {
				return entries[i].route
			}
		}
	}
	return -1
}

// matches reports whether a request has the header fields of the entry.
func (e *entry) matches(r *Request) bool {
	for _, h := range e.headers {
		if r.Headers == nil || string(r.Headers.Get(h.name)) != h.value {
			return false
		}
	}
	return true
}

// matches compares a request with a single route. It returns the condition that the request does not meet, or "" if the
// route matches. Explain uses it, and tests use it as the reference for the tree.
func (r *Route) matches(request *Request) (unmet string) {
	if !matchesPath(pathSegments(r.Path), pathSegments(string(request.Path))) {
		return fmt.Sprintf("path does not match %s", r.Path)
	}
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, string(request.Method)) {
		return fmt.Sprintf("method is none of %s", strings.Join(r.Methods, ", "))
	}
	if len(r.Tenants) > 0 && !slices.Contains(r.Tenants, string(request.Tenant)) {
		return fmt.Sprintf("tenant is none of %s", strings.Join(r.Tenants, ", "))
	}
	for name, value := range r.Headers {
		if request.Headers == nil || string(request.Headers.Get(name)) != value {
			return fmt.Sprintf("header %s is not %q", name, value)
		}
	}
	return ""
}

// matchesPath reports whether the segments of a path match those of a pattern.
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

// compare compares two routes that match the same request. order is negative if a is more specific, positive if b is, and
// 0 if neither is; by names the condition that decides. See tree.match for the order.
func compare(a, b *Route) (order int, by string) {
	rank := func(segments []string, i int) int {
		switch {
		case i == len(segments):
			return 2
		case segments[i] == anyRest && i == len(segments)-1:
			return 3
		case segments[i] == anySegment:
			return 1
		}
		return 0
	}
	aSegments, bSegments := pathSegments(a.Path), pathSegments(b.Path)
	for i := range min(len(aSegments), len(bSegments)) + 1 {
		if i > len(aSegments) || i > len(bSegments) {
			break
		}
		if difference := cmp.Compare(rank(aSegments, i), rank(bSegments, i)); difference != 0 {
			return difference, fmt.Sprintf("path segment %d", i+1)
		}
	}
	anyRank := func(names []string) int {
		if len(names) > 0 {
			return 0
		}
		return 1
	}
	if difference := cmp.Compare(anyRank(a.Methods), anyRank(b.Methods)); difference != 0 {
		return difference, "method"
	}
	if difference := cmp.Compare(anyRank(a.Tenants), anyRank(b.Tenants)); difference != 0 {
		return difference, "tenant"
	}
	if difference := cmp.Compare(len(b.Headers), len(a.Headers)); difference != 0 {
		return difference, "number of headers"
	}
	return 0, ""
}
