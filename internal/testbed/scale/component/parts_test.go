package component

import (
	"math"
	"runtime"
	"testing"
	"time"

	"fernvane/internal/controlplane/plan"
	"fernvane/internal/controlplane/planwire"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/protocol/http1"
)

// nLogN returns the growth of an n log n cost from one size to another, plus a tenth for rounding, as by the sizes of maps.
func nLogN(from, to int) float64 {
	a, b := float64(from), float64(to)
	return 1.1 * b * math.Log2(b) / (a * math.Log2(a))
}

// TestGrowth compares counted figures at a size and at eight times that size. They may grow as n log n at most, and figures of
// one change not at all.
func TestGrowth(t *testing.T) {
	counted := func(of func(n int) (float64, error)) func(t *testing.T, n int) float64 {
		return func(t *testing.T, n int) float64 {
			v, err := of(n)
			if err != nil {
				t.Fatal(err)
			}
			return v
		}
	}
	series := func(name string) func(t *testing.T, n int) float64 {
		for _, all := range [][]figure{lists(), files(), plans()} {
			for _, f := range all {
				if f.series.Name == name {
					return counted(f.measure)
				}
			}
		}
		t.Fatalf("no series %q", name)
		return nil
	}
	const small, large = 250, 2000
	constant, full := 1.0, nLogN(small, large)
	for name, c := range map[string]struct {
		of    func(t *testing.T, n int) float64
		most  float64 // ratio of the value at the larger size to that at the smaller
		slack float64 // added to the limit, in the figure's unit: larger numbers have more digits
	}{
		"bytes of one changed server in a plan, by servers":         {series("change-bytes-by-servers"), constant, 8},
		"bytes of one changed server in a plan, by nodes":           {series("change-bytes-by-nodes"), constant, 8},
		"bytes of a plan that changes nothing, by servers":          {counted(func(n int) (float64, error) { return idleBytes(fixedNodes, n) }), constant, 8},
		"bytes of a plan that changes nothing, by nodes":            {counted(func(n int) (float64, error) { return idleBytes(n, fixedServers) }), constant, 8},
		"allocations of one changed server, by servers":             {counted(changeAllocations), constant, 4},
		"bytes of a full list":                                      {series("list-bytes"), full, 0},
		"bytes of a node's first plan":                              {series("first-plan-bytes"), full, 0},
		"bytes of a snapshot on disk":                               {series("snapshot-bytes"), full, 0},
		"bytes of the operator's file":                              {series("routes-bytes"), full, 0},
		"bytes of tenants in the settings":                          {series("tenants-bytes"), full, 0},
		"bytes of a report, which includes tenants without traffic": {series("report-bytes"), full, 0},
		"allocations of decoding a full list":                       {counted(parseAllocations), full, 0},
		"allocations of applying a full list":                       {counted(applyAllocations), full, 0},
		"allocations of decoding the operator's file":               {counted(routeAllocations), full, 0},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := c.of(t, small), c.of(t, large)
			if a <= 0 || b > c.most*a+c.slack {
				t.Errorf("got %.0f at size %d and %.0f at size %d, want at most %.0f", a, small, b, large, c.most*a+c.slack)
			}
		})
	}
}

// idleBytes returns the bytes of a plan that changes nothing but its number.
func idleBytes(nodes, servers int) (float64, error) {
	p, _ := newReportedPlanner(nodes, servers)
	_, sent := plan.Diff(plan.Plan{}, p.ComputePlans(time.Second).ForForwarder(nodeName(0)))
	next := sent
	next.Number++
	change, _ := plan.Diff(sent, next)
	frame, err := planwire.Append(nil, planwire.ChangeKind, change)
	return float64(len(frame)), err
}

func changeAllocations(servers int) (float64, error) {
	l := parsedList(servers)
	f, err := newFilledDispatcher(l)
	if err != nil {
		return 0, err
	}
	defer f.Stop()
	one, i := http1.EndpointList{Revision: l.Revision + 1, Endpoints: l.Endpoints[:1:1]}, 0
	return testing.AllocsPerRun(100, func() {
		one.Endpoints[0].Condition = http1.Condition(i % 2)
		i++
		f.ApplyList(one, endpoints.SourceDiscovery)
	}), nil
}

func parseAllocations(servers int) (float64, error) {
	b := encodedList(servers)
	return testing.AllocsPerRun(3, func() { http1.ParseEndpointList(b) }), nil
}

func applyAllocations(servers int) (float64, error) {
	l := parsedList(servers)
	f, err := newDispatcher(4)
	if err != nil {
		return 0, err
	}
	defer f.Stop()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f.ApplyList(l, endpoints.SourceDiscovery)
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs - before.Mallocs), nil
}

func routeAllocations(routes int) (float64, error) {
	var err error
	n := testing.AllocsPerRun(3, func() { _, err = routesOf(routes) })
	return n, err
}
