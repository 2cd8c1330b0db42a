package route

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func parse(t *testing.T, text string) *Table {
	t.Helper()
	table, err := Parse("f", []byte(text), testSettings())
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// admit tries to admit count requests for a path and returns the admissions.
func admit(r *Router, now time.Duration, path string, tenant, count int) (admissions []Admission) {
	for range count {
		route, trafficType := r.Table().Match(&Request{Path: []byte(path)})
		if admission, rejection := r.Admit(now, route, trafficType, tenant, 0); rejection == Admitted {
			admissions = append(admissions, admission)
		}
	}
	return admissions
}

// TestAdmit checks how many requests a route admits under each kind of limit.
func TestAdmit(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		file string
		play func(r *Router) []int
		want []int
	}{
		"concurrency limit": {threeLines + "at_once = 2\nwaiting = 3", func(r *Router) []int { return []int{len(admit(r, 0, "/check/x", 0, 9))} }, []int{5}},
		"slot is released": {threeLines + "at_once = 2", func(r *Router) []int {
			r.Release(admit(r, 0, "/check/x", 0, 9)[0])
			return []int{len(admit(r, 0, "/check/x", 0, 9))}
		}, []int{1}},
		"a rate": {threeLines + "rate = 10\nburst = 4", func(r *Router) []int {
			return []int{len(admit(r, 0, "/check/x", 0, 9)), len(admit(r, second/2, "/check/x", 0, 9)), len(admit(r, 9*second, "/check/x", 0, 9))}
		}, []int{4, 4, 4}},
		"another type is not counted": {threeLines + "at_once = 2", func(r *Router) []int { admit(r, 0, "/check/x", 0, 9); return []int{len(admit(r, 0, "/book/x", 0, 9))} }, []int{9}},
		"burst of one tenant leaves the share of another": {threeLines + "rate = 100\nburst = 10\ntenant_shares = {dairy = 0.5, orchards = 0.5}", func(r *Router) []int {
			return []int{len(admit(r, 0, "/check/x", 0, 50)), len(admit(r, 0, "/check/x", 1, 5))}
		}, []int{5, 5}},
		"tenant shares of slots": {threeLines + "at_once = 4\ntenant_shares = {dairy = 0.25, other = 0.5}", func(r *Router) []int {
			return []int{len(admit(r, 0, "/check/x", 0, 9)), len(admit(r, 0, "/check/x", 7, 9)), len(admit(r, 0, "/check/x", 1, 9))}
		}, []int{1, 2, 1}},
		"rejected requests use the fallback": {threeLines + "at_once = 2\nfallback = \"b\"\n[[routes]]\nname = \"b\"\npath = \"/check/slow/**\"\nat_once = 3", func(r *Router) []int {
			return []int{len(admit(r, 0, "/check/x", 0, 9)), len(admit(r, 0, "/check/slow/x", 0, 9))}
		}, []int{5, 0}},
		"tenant over its share leaves the rest of the rate": {threeLines + "rate = 10\nburst = 10\ntenant_shares = {dairy = 0.1}", func(r *Router) []int {
			return []int{len(admit(r, 0, "/check/x", 0, 50)), len(admit(r, 0, "/check/x", 1, 50))}
		}, []int{1, 9}},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRouter(testSettings())
			r.Replace(0, parse(t, c.file))
			if got := c.play(r); !slices.Equal(got, c.want) {
				t.Errorf("got %v admitted requests, want %v", got, c.want)
			}
		})
	}
}

// TestFallbackBodyLimit guards against a body that a fallback takes although it exceeds the limit of the fallback.
func TestFallbackBodyLimit(t *testing.T) {
	const limited = threeLines + "rate = 0.001\nburst = 1\nfallback = \"small\"\n" +
		"[[routes]]\nname = \"small\"\npath = \"/check/small/**\"\nbody_bytes = 10\nhops = 2\n"
	for name, c := range map[string]struct {
		file      string
		bodyBytes int
		want      Rejection
	}{
		"within the limit":            {limited, 10, Admitted},
		"beyond the limit":            {limited, 11, RateExceeded},
		"beyond it, another fallback": {limited + "fallback = \"rest\"\n[[routes]]\nname = \"rest\"\npath = \"/check/rest/**\"\n", 11, Admitted},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRouter(testSettings())
			r.Replace(0, parse(t, c.file))
			admit(r, 0, "/check/x", 0, 1) // uses the rate of the route
			route, trafficType := r.Table().Match(&Request{Path: []byte("/check/x")})
			if _, got := r.Admit(0, route, trafficType, 0, c.bodyBytes); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// TestReplaceWhileRequestsAreOpen replaces the table while admitted requests have not been released.
func TestReplaceWhileRequestsAreOpen(t *testing.T) {
	fileText := func(more string) string { return threeLines + more }
	r := NewRouter(testSettings())
	r.Replace(0, parse(t, fileText("hops = 2\nat_once = 500\nwaiting = 10")))
	open := admit(r, 0, "/check/x", 0, 500)

	// An unchanged file keeps indexes and counts.
	update := r.Replace(0, parse(t, fileText("hops = 2\nat_once = 500\nwaiting = 10")))
	if admitted := admit(r, 0, "/check/x", 0, 99); len(admitted) != 10 || admitted[0].Type != open[0].Type || update.LatencySources[open[0].Type] != open[0].Type {
		t.Errorf("after an unchanged file: got %d admitted of traffic type %d, want 10 of type %d", len(admitted), admitted[0].Type, open[0].Type)
	}

	// A changed limit gets a new index that starts with the latencies of the old one. The open requests retain the old index.
	// The concurrency limit is now below the number of open requests.
	update = r.Replace(0, parse(t, fileText("hops = 3\nat_once = 100")))
	if len(admit(r, 0, "/check/x", 0, 9)) != 0 {
		t.Error("got requests admitted above the new limit, want none")
	}
	oldType := open[0].Type
	if update.TrafficTypes[oldType].MaxAttempts != 2 || update.LatencySources[oldType] != oldType {
		t.Error("traffic type of open requests has changed")
	}
	newType := len(update.TrafficTypes) - 1
	if update.TrafficTypes[newType].MaxAttempts != 3 || update.LatencySources[newType] != oldType || update.RouteLimits[open[0].LimitIndex] != 100 {
		t.Errorf("new traffic type: got %+v with latencies of type %d, route limits %v, want 3 attempts, the old type and a limit of 100", update.TrafficTypes[newType], update.LatencySources[newType], update.RouteLimits)
	}

	// The route is removed while its requests are open: they keep their index, and their releases are counted.
	update = r.Replace(0, parse(t, ""))
	if update.TrafficTypes[oldType].MaxAttempts != 2 || update.RouteLimits[open[0].LimitIndex] != 0 {
		t.Error("limits of a removed route still apply to its open requests")
	}
	for range 510 {
		r.Release(open[0])
	}
	if admitted := admit(r, 0, "/check/x", 0, 1)[0]; admitted.Type != 0 || admitted.LimitIndex != 0 {
		t.Errorf("without a route: got %+v, want type 0 and no limit", admitted)
	}

	// After the last release the indexes are reused, so that the number of types and limiters does not grow.
	types, limiters := len(r.types), len(r.limiters)
	for i := range 50 {
		r.Replace(0, parse(t, fmt.Sprintf("[[routes]]\nname = \"r%d\"\ntype = \"check\"\nhops = %d\nat_once = 3\nwait = \"%dms\"", i, 1+i%4, i+1)))
		for _, admission := range admit(r, 0, "/check/x", 0, 3) {
			r.Release(admission)
		}
	}
	if len(r.types) > types+1 || len(r.limiters) > limiters+1 {
		t.Errorf("after 50 files: got %d types, %d before; got %d limiters, %d before; want at most one more of each", len(r.types), types, len(r.limiters), limiters)
	}
}

// TestRateOutlivesReplace checks that a reload does not refill a rate limiter.
func TestRateOutlivesReplace(t *testing.T) {
	r := NewRouter(testSettings())
	for i := range 5 {
		r.Replace(0, parse(t, fmt.Sprintf("%srate = 10\nburst = 4\nwait = \"%dms\"", threeLines, i+1)))
		want := 0
		if i == 0 {
			want = 4
		}
		if got := len(admit(r, 0, "/check/x", 0, 9)); got != want {
			t.Errorf("file %d: got %d admitted, want %d", i, got, want)
		}
	}
}

// TestPoolsKeepTheirLabels checks that a pool that open requests select by keeps its labels when a file lists pools in
// another order.
func TestPoolsKeepTheirLabels(t *testing.T) {
	r := NewRouter(testSettings())
	pool := func(name, site string) string { return fmt.Sprintf("[[pools]]\nname = %q\nsites = [%q]\n", name, site) }
	update := r.Replace(0, parse(t, pool("a", "north")+pool("b", "south")+threeLines+"pool = \"b\""))
	open := admit(r, 0, "/check/x", 0, 1)[0]
	required := update.TrafficTypes[open.Type].PoolLabels
	if required == 0 || r.Labels("s", "south", "") != required || r.Labels("s", "north", "")&required != 0 {
		t.Fatalf("got required labels %b, labels of south %b, of north %b, want the required ones only for south", required, r.Labels("s", "south", ""), r.Labels("s", "north", ""))
	}
	update = r.Replace(0, parse(t, pool("b", "south")+pool("c", "north")+threeLines+"pool = \"c\""))
	if update.TrafficTypes[open.Type].PoolLabels != required || r.Labels("s", "south", "") != required || r.Labels("s", "north", "")&required != 0 {
		t.Errorf("after another file: got required labels %b, labels of south %b, of north %b, want unchanged ones only for south", update.TrafficTypes[open.Type].PoolLabels, r.Labels("s", "south", ""), r.Labels("s", "north", ""))
	}
}
