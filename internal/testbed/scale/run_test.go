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

// scoped has each node serve half of the services.
func scoped(event string) Size {
	s := small("distribution", event)
	s.ServicesPerNode, s.Control = s.Services/2, 3
	return s
}

func restarting(s Size) Size {
	s.Restarts = 1
	return s
}

// Each plane and event, played by real processes: in the end every node that is up has every change, and knows all servers.
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
		{"planners, a rack", small("planners", Rack), []string{"start", "rest", "changes", "reload", Rack}},
		{"planners, regions apart", small("planners", RegionPartition), []string{"start", "rest", "changes", "reload", RegionPartition}},
		{"planners, one killed", small("planners", ControlKilled), []string{"start", "rest", "changes", "reload", ControlKilled}},
		{"planners, restarts", restarting(small("planners", NoEvent)), []string{"start", "rest", "changes", "restarts", "reload"}},
		{"distribution, restarts", restarting(scoped(NoEvent)), []string{"start", "rest", "changes", "restarts", "reload"}},
		{"distribution, regions apart", scoped(RegionPartition), []string{"start", "rest", "changes", "reload", RegionPartition}},
		{"distribution, one killed", scoped(ControlKilled), []string{"start", "rest", "changes", "reload", ControlKilled}},
		{"discovery, away", small("discovery", DiscoveryDown), []string{"start", "rest", "changes", "reload", DiscoveryDown}},
		{"discovery, all started at once", small("discovery", StartAll), []string{"start", "rest", "changes", "reload", StartAll}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r, err := Run(context.Background(), Options{Size: c.size, Command: []string{self, WorkerCommand}, Progress: t.Output(), CommandLine: "test"})
			if err != nil {
				t.Fatal(err)
			}
			for _, f := range r.Faults {
				t.Error("fault:", f)
			}
			for i, p := range r.Phases {
				if i >= len(c.phases) || p.Name != c.phases[i] {
					t.Fatalf("phase %d is %q, want %q", i, p.Name, c.phases)
				}
				if f := p.ChangeLatency; f != nil && (f.Missing > 0 || f.Applied == 0) {
					t.Errorf("%s: %+v", p.Name, f)
				}
				if f := p.RestartLatency; f != nil && (f.Missing > 0 || f.Applied == 0) {
					t.Errorf("%s: returned: %+v", p.Name, f)
				}
				if n := p.Roles[string(roleNodes)]; n.Members != c.size.Nodes || p.Name == "start" && n.BytesIn == 0 {
					t.Errorf("%s: nodes %+v", p.Name, n)
				}
			}
			if len(r.Phases) != len(c.phases) {
				t.Errorf("%d phases, want %q", len(r.Phases), c.phases)
			}
		})
	}
}
