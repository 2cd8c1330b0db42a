package route

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func parse(t *testing.T, text string) *Table {
	t.Helper()
	set, err := Parse("f", []byte(text), testSettings())
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// take asks for n places on a path and tells how many were given.
func take(l *Router, now time.Duration, path string, tenant, n int) (got []Admission) {
	for range n {
		route, kind := l.Table().Match(&Request{Path: []byte(path)})
		if g, why := l.Admit(now, route, kind, tenant); why == Admitted {
			got = append(got, g)
		}
	}
	return got
}

// What a route takes, and what it has left after a while or a reload.
func TestAdmit(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		file string
		play func(l *Router) []int
		want []int
	}{
		"places": {one3 + "at_once = 2\nwaiting = 3", func(l *Router) []int { return []int{len(take(l, 0, "/check/x", 0, 9))} }, []int{5}},
		"a place given back": {one3 + "at_once = 2", func(l *Router) []int {
			l.Release(take(l, 0, "/check/x", 0, 9)[0])
			return []int{len(take(l, 0, "/check/x", 0, 9))}
		}, []int{1}},
		"a rate": {one3 + "rate = 10\nburst = 4", func(l *Router) []int {
			return []int{len(take(l, 0, "/check/x", 0, 9)), len(take(l, s/2, "/check/x", 0, 9)), len(take(l, 9*s, "/check/x", 0, 9))}
		}, []int{4, 4, 4}},
		"another type is not counted": {one3 + "at_once = 2", func(l *Router) []int { take(l, 0, "/check/x", 0, 9); return []int{len(take(l, 0, "/book/x", 0, 9))} }, []int{9}},
		"a bursting tenant beside a quiet one": {one3 + "rate = 100\nburst = 10\ntenant_shares = {dairy = 0.5, orchards = 0.5}", func(l *Router) []int {
			return []int{len(take(l, 0, "/check/x", 0, 50)), len(take(l, 0, "/check/x", 1, 5))}
		}, []int{5, 5}},
		"places by tenant": {one3 + "at_once = 4\ntenant_shares = {dairy = 0.25, other = 0.5}", func(l *Router) []int {
			return []int{len(take(l, 0, "/check/x", 0, 9)), len(take(l, 0, "/check/x", 7, 9)), len(take(l, 0, "/check/x", 1, 9))}
		}, []int{1, 2, 1}},
		"what does not fit falls back": {one3 + "at_once = 2\nfallback = \"b\"\n[[routes]]\nname = \"b\"\npath = \"/check/slow/**\"\nat_once = 3", func(l *Router) []int {
			return []int{len(take(l, 0, "/check/x", 0, 9)), len(take(l, 0, "/check/slow/x", 0, 9))}
		}, []int{5, 0}},
		"a tenant over its rate uses up no one else's": {one3 + "rate = 10\nburst = 10\ntenant_shares = {dairy = 0.1}", func(l *Router) []int {
			return []int{len(take(l, 0, "/check/x", 0, 50)), len(take(l, 0, "/check/x", 1, 50))}
		}, []int{1, 9}},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewRouter(testSettings())
			l.Replace(0, parse(t, c.file))
			if got := c.play(l); !slices.Equal(got, c.want) {
				t.Errorf("taken %v, not %v", got, c.want)
			}
		})
	}
}

// A file that is swapped while operations are in hand.
func TestReplaceWhileRequestsAreOpen(t *testing.T) {
	file := func(more string) string { return one3 + more }
	l := NewRouter(testSettings())
	l.Replace(0, parse(t, file("hops = 2\nat_once = 500\nwaiting = 10")))
	held := take(l, 0, "/check/x", 0, 500)

	// The same text: the same index, the same counts.
	u := l.Replace(0, parse(t, file("hops = 2\nat_once = 500\nwaiting = 10")))
	if got := take(l, 0, "/check/x", 0, 99); len(got) != 10 || got[0].Type != held[0].Type || u.LearnFrom[held[0].Type] != held[0].Type {
		t.Errorf("after the same file: %d taken, kind %d for %d", len(got), got[0].Type, held[0].Type)
	}

	// Another figure: a new index that learns from the old, which stays; and a lower limit than what is in hand.
	u = l.Replace(0, parse(t, file("hops = 3\nat_once = 100")))
	if len(take(l, 0, "/check/x", 0, 9)) != 0 {
		t.Error("more than the new limit were taken")
	}
	old := held[0].Type
	if u.TrafficTypes[old].MaxAttempts != 2 || u.LearnFrom[old] != old {
		t.Error("what is in hand lost its figures")
	}
	fresh := len(u.TrafficTypes) - 1
	if u.TrafficTypes[fresh].MaxAttempts != 3 || u.LearnFrom[fresh] != old || u.RouteLimits[held[0].LimitIndex] != 100 {
		t.Errorf("the new figures: %+v like %d, rooms %v", u.TrafficTypes[fresh], u.LearnFrom[fresh], u.RouteLimits)
	}

	// The route is removed while its operations wait: they keep their index and are counted out.
	u = l.Replace(0, parse(t, ""))
	if u.TrafficTypes[old].MaxAttempts != 2 || u.RouteLimits[held[0].LimitIndex] != 0 {
		t.Error("a removed route must let its last operations out")
	}
	for range 510 {
		l.Release(held[0])
	}
	if got := take(l, 0, "/check/x", 0, 1)[0]; got.Type != 0 || got.LimitIndex != 0 {
		t.Errorf("without a route: %+v", got)
	}

	// Drained, its indices are used again, and nothing grows.
	types, limiters := len(l.types), len(l.limiters)
	for i := range 50 {
		l.Replace(0, parse(t, fmt.Sprintf("[[routes]]\nname = \"r%d\"\ntype = \"check\"\nhops = %d\nat_once = 3\nwait = \"%dms\"", i, 1+i%4, i+1)))
		for _, g := range take(l, 0, "/check/x", 0, 3) {
			l.Release(g)
		}
	}
	if len(l.types) > types+1 || len(l.limiters) > limiters+1 {
		t.Errorf("after 50 files: %d types of %d, %d limiters of %d", len(l.types), types, len(l.limiters), limiters)
	}
}

// A reload gives nobody a burst anew.
func TestRateOutlivesReplace(t *testing.T) {
	l := NewRouter(testSettings())
	for i := range 5 {
		l.Replace(0, parse(t, fmt.Sprintf("%srate = 10\nburst = 4\nwait = \"%dms\"", one3, i+1)))
		want := 0
		if i == 0 {
			want = 4
		}
		if got := len(take(l, 0, "/check/x", 0, 9)); got != want {
			t.Errorf("file %d: %d taken, not %d", i, got, want)
		}
	}
}

// Pools keep their labels over files that name them in another order, while operations ask for them.
func TestPoolsKeepTheirLabels(t *testing.T) {
	l := NewRouter(testSettings())
	pool := func(name, site string) string { return fmt.Sprintf("[[pools]]\nname = %q\nsites = [%q]\n", name, site) }
	u := l.Replace(0, parse(t, pool("a", "north")+pool("b", "south")+one3+"pool = \"b\""))
	held := take(l, 0, "/check/x", 0, 1)[0]
	asks := u.TrafficTypes[held.Type].PoolLabels
	if asks == 0 || l.Labels("s", "south", "") != asks || l.Labels("s", "north", "")&asks != 0 {
		t.Fatalf("asks for %b, south has %b, north %b", asks, l.Labels("s", "south", ""), l.Labels("s", "north", ""))
	}
	u = l.Replace(0, parse(t, pool("b", "south")+pool("c", "north")+one3+"pool = \"c\""))
	if u.TrafficTypes[held.Type].PoolLabels != asks || l.Labels("s", "south", "") != asks || l.Labels("s", "north", "")&asks != 0 {
		t.Errorf("after another file: asks for %b, south has %b, north %b", u.TrafficTypes[held.Type].PoolLabels, l.Labels("s", "south", ""), l.Labels("s", "north", ""))
	}
}
