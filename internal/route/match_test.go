package route

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"fernvane/internal/config/tomlfile"
)

type fields map[string]string

func (f fields) Get(name string) []byte {
	if v, ok := f[name]; ok {
		return []byte(v)
	}
	return nil
}

// naive looks at all routes one by one and takes the most specific by comparing pairs.
func naive(routes []Route, q *Request) int {
	best := -1
	for i := range routes {
		if routes[i].matches(q) != "" {
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

// The compiled matcher against the naive one, on drawn files and requests. 100,000 cases by
// go test ./internal/route -run Reference -rapid.checks=100000.
func TestMatcherAgainstReference(t *testing.T) {
	part := rapid.SampledFrom([]string{"a", "b", "c", "*"})
	some := func(of ...string) *rapid.Generator[[]string] {
		return rapid.SliceOfNDistinct(rapid.SampledFrom(of), 0, 2, rapid.ID[string])
	}
	rapid.Check(t, func(t *rapid.T) {
		var routes []Route
		root := &tree{}
		for range rapid.IntRange(1, 12).Draw(t, "routes") {
			p := rapid.SliceOfN(part, 1, 4).Draw(t, "path")
			if rapid.Bool().Draw(t, "open") {
				p = append(p, anyRest)
			}
			r := Route{Path: "/" + strings.Join(p, "/"), Methods: some("GET", "POST").Draw(t, "methods"), Tenants: some("x", "y").Draw(t, "tenants")}
			if h := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "header"); h != "" {
				r.Headers = map[string]string{"H": h}
			}
			clash := root.add(p, &r, len(routes))
			if clash >= 0 { // such a file is refused: both must be alike, and the route is left out
				if order, by := compare(&r, &routes[clash]); order != 0 {
					t.Fatalf("%+v and %+v clash, but are ordered by %s", r, routes[clash], by)
				}
				return
			}
			routes = append(routes, r)
		}
		for range 8 {
			path := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", ""}), 1, 6).Draw(t, "asked")
			q := Request{Path: []byte("/" + strings.Join(path, "/")), Method: []byte(rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "method")),
				Tenant: []byte(rapid.SampledFrom([]string{"", "x", "y", "z"}).Draw(t, "tenant")), Headers: fields{"H": rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "field")}}
			got, want := root.match(q.Path, &q), naive(routes, &q)
			if got != want {
				t.Fatalf("%s %s for %q: route %d, the reference says %d of %+v", q.Method, q.Path, q.Tenant, got, want, routes)
			}
		}
	})
}

// No text may bring the reader down, and what it takes must be explained without a fault.
func FuzzFile(f *testing.F) {
	f.Add("[[routes]]\nname = \"a\"\ntype = \"check\"\nhops = 2\n", "/check/x")
	f.Add("[defaults]\nrate = 1e9\n[[routes]]\nname=\"x\"\npath=\"/*/**\"\ntenants=[\"dairy\"]\n", "//")
	f.Fuzz(func(t *testing.T, text, path string) {
		s := testSettings()
		set, err := Parse("f", []byte(text), s)
		if err != nil {
			if faults, ok := err.(tomlfile.Faults); ok && len(faults) == 0 {
				t.Error("refused without a reason")
			}
			return
		}
		q := &Request{Path: []byte(path), Method: []byte("GET"), Tenant: []byte("dairy")}
		if len(path) > 0 && path[0] == '/' {
			routes := make([]Route, len(set.Routes))
			for i := range set.Routes {
				routes[i] = set.Routes[i].Route
			}
			if got, want := set.tree.match(q.Path, q), naive(routes, q); got != want {
				t.Errorf("%q: route %d, the reference says %d", path, got, want)
			}
		}
		set.Explain(&strings.Builder{}, q, s)
		set.PrintTable(&strings.Builder{}, s)
	})
}

func manyRoutes(n int) *tree {
	t := &tree{}
	for i := range n {
		p := []string{"hire-book", fmt.Sprint("part-", i%97), fmt.Sprint("machine-", i), anyRest}
		if i%3 == 0 {
			p = []string{"hire-book", anySegment, fmt.Sprint("machine-", i), anyRest}
		}
		t.add(p, &Route{}, i)
	}
	return t
}

// The cost of a match by the number of routes; it must not allocate.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 100, 1_000, 10_000} {
		t := manyRoutes(n)
		q := &Request{Path: fmt.Appendf(nil, "/hire-book/part-%d/machine-%d/dates", (n-1)%97, n-1), Method: []byte("POST"), Tenant: []byte("dairy")}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if t.match(q.Path, q) < 0 {
					b.Fatal("no route")
				}
			}
		})
	}
}

func TestMatchAllocatesNothing(t *testing.T) {
	tr := manyRoutes(1000)
	q := &Request{Path: []byte("/hire-book/x/machine-999/dates"), Method: []byte("POST"), Tenant: []byte("dairy")}
	if n := testing.AllocsPerRun(100, func() { tr.match(q.Path, q) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
