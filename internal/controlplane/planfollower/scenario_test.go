package planfollower

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fernvane/internal/controlplane/plan"
)

var update = flag.Bool("update", false, "rewrite the golden files; only for intended changes of decisions")

// TestScenario compares the state in effect during a fixed sequence of events with a golden file: two planners, a server that goes
// down, an ejection, the loss of one planner and the permanent loss of both.
func TestScenario(t *testing.T) {
	f := New(Options{PlannerCount: 2, ConfiguredNodes: 9, PollJitter: 0.5})
	down := map[string]bool{}
	var out strings.Builder
	for step := 1; step <= 100; step++ {
		now := time.Duration(step) * 250 * ms
		switch {
		case step >= 4 && step < 30 && step%2 == 0:
			f.PlanReceived(now, 0, planOf(now-100*ms, 20, 0.5, 0.3, 0.2))
		case step >= 30 && step < 44 && step%2 == 0:
			p := planOf(now-100*ms, 19, 0, 0.1, 0.4, 0.5)
			p.Servers[1].EjectionRemaining, p.Servers[2].IsAvoided = 2*time.Second, true
			f.PlanReceived(now, 1, p)
		case step == 46:
			f.PlanReceived(now, 0, planOf(now-9*time.Second, 30, 1))
		}
		down["2"] = step >= 20 && step < 26
		d := f.Advance(now, func(id string) bool { return !down[id] })
		fmt.Fprintf(&out, "%v: has plan %t, planner %d, age %v, nodes %d, admitted %.6g, tenants %d, poll %t\n", now, d.HasPlan, d.Planner, d.PlanAge, d.Nodes, d.AdmittedShare,
			len(d.WithinAllowance), d.ShouldPollDiscovery)
		for _, s := range d.Servers {
			fmt.Fprintf(&out, "  %s share %.6g avoided %t slow start rate %.6g ejected for %v\n", s.ID, s.Share, s.IsAvoided, s.SlowStartRate, s.EjectionRemaining)
		}
		fmt.Fprintf(&out, "  current%s\n", describeShares(f.CurrentShares()))
	}
	path := filepath.Join("testdata", "scenario.txt")
	if *update {
		if err := os.WriteFile(path, []byte(out.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want, got := strings.Split(string(golden), "\n"), strings.Split(out.String(), "\n")
	for i, line := range got {
		if i >= len(want) || line != want[i] {
			t.Fatalf("line %d differs from the golden file, got\n%s\nin\n%s", i+1, line, out.String())
		}
	}
	if len(got) != len(want) {
		t.Errorf("got %d lines, want %d", len(got), len(want))
	}
}

func describeShares(shares []plan.CurrentShare) (text string) {
	for _, s := range shares {
		text += fmt.Sprintf(" %s %.6g", s.ID, s.Share)
	}
	return text
}
