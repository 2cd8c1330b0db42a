package component

import (
	"fmt"
	"time"

	"fernvane/internal/controlplane/plan"
	"fernvane/internal/controlplane/planwire"
	"fernvane/internal/discovery/incarnation"
)

const (
	fixedServers       = 192
	fixedNodes         = 256
	serversPerReport   = 16 // in the report of one node
	plannerStartUnixMS = startedUnixMS + 90*24*3600*1000
)

func nodeName(i int) string { return fmt.Sprintf("n%05d", i) }

func incarnations(servers int) (all []incarnation.Entry) {
	for i := range servers {
		e := entry(i, "")
		all = append(all, incarnation.Entry{ID: e.ID, StartedUnixMS: e.StartedAt.UnixMilli(), Revision: uint64(i), Address: e.Addresses[0], Zone: e.Site, MachineKind: e.MachineKind,
			Cell: e.Cell, Weight: 1})
	}
	return all
}

// newReportedPlanner returns a planner that has received a report of each of its nodes, and its servers.
func newReportedPlanner(nodes, servers int) (*plan.Planner, []incarnation.Entry) {
	p, known := plan.NewPlanner(plannerStartUnixMS), incarnations(servers)
	p.EndpointsUpdated(0, known, true)
	for i := range nodes {
		r := plan.Report{SentAt: time.Second, Interval: 500 * time.Millisecond, Types: []plan.TypeReport{{Name: "svc0001", TargetTime: 200 * time.Millisecond, Requests: 100}},
			InFlight: 8, Settings: plan.ForwarderSettings{Nodes: nodes, SlowStartDuration: 5 * time.Second, InitialCapacity: 0.3, CrashLoadFactor: 2}}
		for j := range serversPerReport {
			r.Servers = append(r.Servers, plan.ServerReport{ID: known[(i*serversPerReport+j)%servers].ID, Completions: []plan.Completions{{Count: 6, TotalLatency: 300 * time.Millisecond}}})
		}
		p.ReportReceived(time.Second, nodeName(i), &r)
	}
	return p, known
}

func planTime(nodes, servers int) float64 {
	p, _ := newReportedPlanner(nodes, servers)
	now := time.Second
	p.ComputePlans(now) // the first plan assigns all shares in one step
	return minCPUTime(3, func() {
		now += 500 * time.Millisecond
		p.ComputePlans(now)
	})
}

// changeBytes returns the bytes that a node receives for the first plan, and for the next one with one changed server.
func changeBytes(nodes, servers int) (first, next float64, err error) {
	p, known := newReportedPlanner(nodes, servers)
	change, sent := plan.Diff(plan.Plan{}, p.ComputePlans(time.Second).ForForwarder(nodeName(0)))
	frame, err := planwire.Append(nil, planwire.ChangeKind, change)
	if err != nil {
		return 0, 0, err
	}
	first = float64(len(frame))
	// The node has no share of the changed server, and only the incarnations of the next plan are used, so that the figure
	// excludes changes of shares.
	changed := known[len(known)-1]
	changed.Condition, changed.Revision = incarnation.Draining, uint64(servers)
	before := p.ComputePlans(1500 * time.Millisecond).ForForwarder(nodeName(0))
	_, sent = plan.Diff(sent, before)
	p.EndpointsUpdated(1500*time.Millisecond, []incarnation.Entry{changed}, false)
	after := before
	after.Incarnations = p.ComputePlans(2 * time.Second).ForForwarder(nodeName(0)).Incarnations
	change, _ = plan.Diff(sent, after)
	frame, err = planwire.Append(nil, planwire.ChangeKind, change)
	return first, float64(len(frame)), err
}

func plans() []figure {
	fixed := func(dimension string, n int) string { return fmt.Sprintf("%d %s", n, dimension) }
	return []figure{
		{Series{Name: "plan-by-nodes", About: "one plan", By: "nodes", Fixed: fixed("servers", fixedServers), Unit: "ms"}, doublingSizes(64, 4096),
			func(n int) (float64, error) { return planTime(n, fixedServers), nil }},
		{Series{Name: "plan-by-servers", About: "one plan", By: "servers", Fixed: fixed("nodes", fixedNodes), Unit: "ms"}, doublingSizes(64, 4096),
			func(n int) (float64, error) { return planTime(fixedNodes, n), nil }},
		{Series{Name: "first-plan-bytes", About: "a node's first plan, with all incarnations", By: "servers", Fixed: fixed("nodes", fixedNodes), Unit: "B", Exact: true},
			doublingSizes(64, 4096), func(n int) (float64, error) {
				first, _, err := changeBytes(fixedNodes, n)
				return first, err
			}},
		{Series{Name: "change-bytes-by-servers", About: "one changed server in a plan", By: "servers", Fixed: fixed("nodes", fixedNodes), Unit: "B", Exact: true},
			doublingSizes(64, 4096), func(n int) (float64, error) {
				_, next, err := changeBytes(fixedNodes, n)
				return next, err
			}},
		{Series{Name: "change-bytes-by-nodes", About: "one changed server in a plan", By: "nodes", Fixed: fixed("servers", fixedServers), Unit: "B", Exact: true},
			doublingSizes(64, 4096), func(n int) (float64, error) {
				_, next, err := changeBytes(n, fixedServers)
				return next, err
			}},
	}
}
