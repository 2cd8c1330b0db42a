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

// nLogN is by how much an n log n cost grows from one size to another, with a tenth for what rounds up, as maps do.
func nLogN(from, to int) float64 {
	a, b := float64(from), float64(to)
	return 1.1 * b * math.Log2(b) / (a * math.Log2(a))
}

// What is counted of a part, at a size and at eight times that. Where a figure grows with the fleet today, the row says so.
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
	part := func(name string) func(t *testing.T, n int) float64 {
		for _, all := range [][]figure{lists(), files(), plans()} {
			for _, f := range all {
				if f.series.Name == name {
					return counted(f.measure)
				}
			}
		}
		t.Fatalf("no part %q", name)
		return nil
	}
	const small, large = 250, 2000
	constant, whole := 1.0, nLogN(small, large)
	for name, c := range map[string]struct {
		of    func(t *testing.T, n int) float64
		most  float64 // of the larger size's value over the smaller's
		slack float64 // beside, in the figure's unit: numbers take more digits
	}{
		"bytes of one changed server in a plan, by servers":            {part("change-bytes-by-servers"), constant, 8},
		"bytes of one changed server in a plan, by nodes":              {part("change-bytes-by-nodes"), constant, 8},
		"bytes of a plan that changes nothing, by servers":             {counted(func(n int) (float64, error) { return idleBytes(fixedNodes, n) }), constant, 8},
		"bytes of a plan that changes nothing, by nodes":               {counted(func(n int) (float64, error) { return idleBytes(n, fixedServers) }), constant, 8},
		"allocations of one changed server, by servers":                {counted(changeAllocations), constant, 4},
		"bytes of a whole list":                                        {part("list-bytes"), whole, 0},
		"bytes of a node's first plan":                                 {part("first-plan-bytes"), whole, 0},
		"bytes of a copy on disk":                                      {part("snapshot-bytes"), whole, 0},
		"bytes of the operator's file":                                 {part("routes-bytes"), whole, 0},
		"bytes of tenants in the settings":                             {part("tenants-bytes"), whole, 0},
		"bytes of a report, which tells tenants without traffic today": {part("report-bytes"), whole, 0},
		"allocations of reading a whole list":                          {counted(parseAllocations), whole, 0},
		"allocations of taking in a whole list":                        {counted(takeAllocations), whole, 0},
		"allocations of reading the operator's file":                   {counted(routeAllocations), whole, 0},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := c.of(t, small), c.of(t, large)
			if a <= 0 || b > c.most*a+c.slack {
				t.Errorf("%.0f at %d, %.0f at %d: at most %.0f is right", a, small, b, large, c.most*a+c.slack)
			}
		})
	}
}

// idleBytes are those of a plan after one that a node holds, with nothing new.
func idleBytes(nodes, servers int) (float64, error) {
	p, _ := newReportedPlanner(nodes, servers)
	_, told := plan.Diff(plan.Plan{}, p.ComputePlans(time.Second).ForForwarder(nodeName(0)))
	next := told
	next.Number++
	change, _ := plan.Diff(told, next)
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
	one, i := http1.EndpointList{Revision: l.Revision + 1, Hosts: l.Hosts[:1:1]}, 0
	return testing.AllocsPerRun(100, func() {
		one.Hosts[0].Phase = http1.Condition(i % 2)
		i++
		f.ApplyList(one, endpoints.SourceDiscovery)
	}), nil
}

func parseAllocations(servers int) (float64, error) {
	b := encodedList(servers)
	return testing.AllocsPerRun(3, func() { http1.ParseEndpointList(b) }), nil
}

func takeAllocations(servers int) (float64, error) {
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
