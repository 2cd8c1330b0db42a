package scale

import (
	"context"
	"os"
	"testing"
	"time"
)

func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == WorkerCommand {
		os.Exit(Worker(os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func small(plane, event string) Size {
	return Size{Nodes: 12, Servers: 40, Services: 4, Routes: 8, Tenants: 4, Regions: 2, Zones: 4, Control: 2, Churn: 5, Plane: plane, Event: event,
		PhaseDuration: time.Second, Seed: 1}
}

// scoped returns a size of the distribution plane in which each node serves half of the services.
func scoped(event string) Size {
	s := small("distribution", event)
	s.ServicesPerNode, s.Control = s.Services/2, 3
	return s
}

func restarting(s Size) Size {
	s.Restarts = 1
	return s
}

// TestRuns runs planes and events with real processes and checks that in the end every running node has applied every change
// and knows all servers.
func TestRuns(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		size   Size
		phases []string
	}{
		{"planners, rack killed", small("planners", Rack), []string{"start", "rest", "changes", "reload", Rack}},
		{"planners, regions partitioned", small("planners", RegionPartition), []string{"start", "rest", "changes", "reload", RegionPartition}},
		{"planners, one planner killed", small("planners", ControlKilled), []string{"start", "rest", "changes", "reload", ControlKilled}},
		{"planners, restarts", restarting(small("planners", NoEvent)), []string{"start", "rest", "changes", "restarts", "reload"}},
		{"distribution, restarts", restarting(scoped(NoEvent)), []string{"start", "rest", "changes", "restarts", "reload"}},
		{"distribution, regions partitioned", scoped(RegionPartition), []string{"start", "rest", "changes", "reload", RegionPartition}},
		{"distribution, one control process killed", scoped(ControlKilled), []string{"start", "rest", "changes", "reload", ControlKilled}},
		{"discovery, unreachable", small("discovery", DiscoveryDown), []string{"start", "rest", "changes", "reload", DiscoveryDown}},
		{"discovery, all nodes restarted", small("discovery", StartAll), []string{"start", "rest", "changes", "reload", StartAll}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r, err := Run(context.Background(), Options{Size: c.size, Command: []string{self, WorkerCommand}, Progress: t.Output(), CommandLine: "test"})
			if err != nil {
				t.Fatal(err)
			}
			for _, f := range r.Faults {
				t.Error("run reported an error:", f)
			}
			for i, p := range r.Phases {
				if i >= len(c.phases) || p.Name != c.phases[i] {
					t.Fatalf("phase %d: got %q, want phases %q", i, p.Name, c.phases)
				}
				if f := p.ChangeLatency; f != nil && (f.Missing > 0 || f.Applied == 0) {
					t.Errorf("phase %s: got latency %+v, want changes applied by all nodes", p.Name, f)
				}
				if f := p.RestartLatency; f != nil && (f.Missing > 0 || f.Applied == 0) {
					t.Errorf("phase %s: got restart latency %+v, want all killed nodes complete", p.Name, f)
				}
				if n := p.Roles[string(roleNodes)]; n.Members != c.size.Nodes || p.Name == "start" && n.BytesIn == 0 {
					t.Errorf("phase %s: got nodes %+v, want all nodes, with traffic at the start", p.Name, n)
				}
			}
			if len(r.Phases) != len(c.phases) {
				t.Errorf("got %d phases, want %q", len(r.Phases), c.phases)
			}
		})
	}
}
