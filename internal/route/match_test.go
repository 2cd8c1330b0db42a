package route

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"fernvane/internal/config/tomlfile"
)

// fields is a HeaderGetter for tests, by the exact name of the field.
type fields map[string]string

func (f fields) Get(name string) []byte {
	if v, ok := f[name]; ok {
		return []byte(v)
	}
	return nil
}

// naive compares a request with every route and returns the most specific one. It is the reference for the tree.
func naive(routes []Route, request *Request) int {
	best := -1
	for i := range routes {
		if routes[i].matches(request) != "" {
			continue
		}
		if best < 0 {
			best = i
		} else if order, _ := compare(&routes[i], &routes[best]); order < 0 {
			best = i
		}
	}
	return best
}

// TestMatcherAgainstReference compares the tree with the naive matcher, for random routes and requests. To run 100,000
// cases: go test ./internal/route -run Reference -rapid.checks=100000.
func TestMatcherAgainstReference(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "c", "*"})
	subset := func(of ...string) *rapid.Generator[[]string] {
		return rapid.SliceOfNDistinct(rapid.SampledFrom(of), 0, 2, rapid.ID[string])
	}
	rapid.Check(t, func(t *rapid.T) {
		var routes []Route
		root := &tree{}
		for range rapid.IntRange(1, 12).Draw(t, "routes") {
			pattern := rapid.SliceOfN(segment, 1, 4).Draw(t, "path")
			if rapid.Bool().Draw(t, "open") {
				pattern = append(pattern, anyRest)
			}
			r := Route{Path: "/" + strings.Join(pattern, "/"), Methods: subset("GET", "POST").Draw(t, "methods"), Tenants: subset("x", "y").Draw(t, "tenants")}
			if value := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "header"); value != "" {
				r.Headers = map[string]string{"H": value}
			}
			clash := root.add(pattern, &r, len(routes))
			if clash >= 0 { // such a file is rejected: neither route may be more specific
				if order, by := compare(&r, &routes[clash]); order != 0 {
					t.Fatalf("%+v and %+v clash, but are ordered by %s", r, routes[clash], by)
				}
				return
			}
			routes = append(routes, r)
		}
		for range 8 {
			path := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", ""}), 1, 6).Draw(t, "request")
			request := Request{Path: []byte("/" + strings.Join(path, "/")), Method: []byte(rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "method")),
				Tenant: []byte(rapid.SampledFrom([]string{"", "x", "y", "z"}).Draw(t, "tenant")), Headers: fields{"H": rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "field")}}
			got, want := root.match(request.Path, &request), naive(routes, &request)
			if got != want {
				t.Fatalf("%s %s for tenant %q: got route %d, want %d of %+v", request.Method, request.Path, request.Tenant, got, want, routes)
			}
		}
	})
}

// FuzzFile checks that no text makes the parser panic, and that the tables of valid texts can be printed and explained.
func FuzzFile(f *testing.F) {
	f.Add("[[routes]]\nname = \"a\"\ntype = \"check\"\nhops = 2\n", "/check/x")
	f.Add("[defaults]\nrate = 1e9\n[[routes]]\nname=\"x\"\npath=\"/*/**\"\ntenants=[\"dairy\"]\n", "//")
	f.Fuzz(func(t *testing.T, text, path string) {
		s := testSettings()
		table, err := Parse("f", []byte(text), s)
		if err != nil {
			if faults, ok := err.(tomlfile.Faults); ok && len(faults) == 0 {
				t.Error("got an error without faults")
			}
			return
		}
		request := &Request{Path: []byte(path), Method: []byte("GET"), Tenant: []byte("dairy")}
		if len(path) > 0 && path[0] == '/' {
			routes := make([]Route, len(table.Routes))
			for i := range table.Routes {
				routes[i] = table.Routes[i].Route
			}
			if got, want := table.tree.match(request.Path, request), naive(routes, request); got != want {
				t.Errorf("%q: got route %d, want %d", path, got, want)
			}
		}
		table.Explain(&strings.Builder{}, request, s)
		table.PrintTable(&strings.Builder{}, s)
	})
}

func manyRoutes(n int) *tree {
	root := &tree{}
	for i := range n {
		path := []string{"hire-book", fmt.Sprint("part-", i%97), fmt.Sprint("machine-", i), anyRest}
		if i%3 == 0 {
			path = []string{"hire-book", anySegment, fmt.Sprint("machine-", i), anyRest}
		}
		root.add(path, &Route{}, i)
	}
	return root
}

// BenchmarkMatch measures a match by the number of routes. A match must not allocate.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 100, 1_000, 10_000} {
		t := manyRoutes(n)
		request := &Request{Path: fmt.Appendf(nil, "/hire-book/part-%d/machine-%d/dates", (n-1)%97, n-1), Method: []byte("POST"), Tenant: []byte("dairy")}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if t.match(request.Path, request) < 0 {
					b.Fatal("no route")
				}
			}
		})
	}
}

func TestMatchAllocatesNothing(t *testing.T) {
	tr := manyRoutes(1000)
	request := &Request{Path: []byte("/hire-book/x/machine-999/dates"), Method: []byte("POST"), Tenant: []byte("dairy")}
	if n := testing.AllocsPerRun(100, func() { tr.match(request.Path, request) }); n != 0 {
		t.Errorf("got %v allocations, want 0", n)
	}
}
