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

var update = flag.Bool("update", false, "write the golden files anew; only where decisions are meant to change")

// TestScenario pins what holds in a fixed course of events: two planners, a server that goes down, an ejection, a planner that
// falls silent and both of them lost for good.
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
		e := f.Advance(now, func(id string) bool { return !down[id] })
		fmt.Fprintf(&out, "%v: planned %t, from %d, age %v, nodes %d, admit %.6g, within %d, ask %t\n", now, e.HasPlan, e.Planner, e.PlanAge, e.Nodes, e.AdmittedShare,
			len(e.WithinAllowance), e.ShouldPollDiscovery)
		for _, s := range e.Servers {
			fmt.Fprintf(&out, "  %s share %.6g avoid %t pace %.6g rest %v\n", s.ID, s.Share, s.IsAvoided, s.SlowStartRate, s.EjectionRemaining)
		}
		fmt.Fprintf(&out, "  held%s\n", describeHeld(f.CurrentShares()))
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
			t.Fatalf("line %d is\n%s\nof\n%s", i+1, line, out.String())
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d lines, %d were", len(got), len(want))
	}
}

func describeHeld(held []plan.CurrentShare) (text string) {
	for _, h := range held {
		text += fmt.Sprintf(" %s %.6g", h.ID, h.Share)
	}
	return text
}
