package plan

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fernvane/internal/discovery/incarnation"
)

var update = flag.Bool("update", false, "rewrite the golden files; only for intended changes of decisions")

// describePlan writes one forwarder's plan as text. It rounds numbers because some sums iterate over maps in random order.
func describePlan(out *strings.Builder, name string, p Plan) {
	fmt.Fprintf(out, "%s: number %d, report sent at %v, reporting %d, nodes %d, admitted %.6g\n", name, p.Number, p.ReportSentAt, p.ReportingForwarders, p.Nodes, p.AdmittedShare)
	for _, share := range p.WithinAllowance {
		fmt.Fprintf(out, "  tenant %s %.6g\n", share.Tenant, share.Share)
	}
	for _, s := range p.Servers {
		fmt.Fprintf(out, "  server %s share %.6g avoided %t slow start rate %.6g ejected for %v\n", s.ID, s.Share, s.IsAvoided, s.SlowStartRate, s.EjectionRemaining)
	}
	fmt.Fprintf(out, "  %d incarnations\n", len(p.Incarnations))
}

// TestScenario compares the plans of a fixed sequence of events with a golden file: normal load, failing and slow servers, a server
// start and a drain, overload, and forwarders that leave.
func TestScenario(t *testing.T) {
	fleet := newFleet(20, 12)
	tenants := []TenantReport{{Name: "big", Allowance: 100, Requests: 40}, {Name: "small", Allowance: 50, Requests: 5}}
	overload := func(f, s int) outcome {
		if result := healthy(f, s); result.completed > 0 {
			return outcome{completed: 1, latency: 190 * ms, timedOut: 3}
		}
		return outcome{}
	}
	var out strings.Builder
	for _, phase := range []struct {
		name     string
		begin    func()
		steps    int
		attempts func(f, s int) outcome
	}{
		{"calm", nil, 20, healthy},
		{"two servers fail", nil, 3, func(f, s int) outcome { return failing(f, s, 2, 99) }},
		{"calm again", nil, 12, healthy},
		{"two servers are slow", nil, 4, func(f, s int) outcome { return slow(f, s, 2) }},
		{"a server starts, another drains", func() {
			fleet.planner.EndpointsUpdated(fleet.now, []incarnation.Entry{{ID: "s003", Weight: 2, StartedUnixMS: fleet.now.Milliseconds(), Revision: 2},
				{ID: "s004", Weight: 1, Condition: incarnation.Draining, Revision: 2}}, false)
		}, 4, healthy},
		{"tenants", func() {
			for _, name := range fleet.forwarderNames {
				fleet.planner.ReportReceived(fleet.now, name, &Report{SentAt: fleet.now, Interval: 500 * ms, InFlight: 3, CurrentShares: fleet.currentShares[name], Tenants: tenants,
					Settings: ForwarderSettings{Nodes: 24, SlowStartDuration: 5 * time.Second, InitialCapacity: 0.4, CrashLoadFactor: 2.5, TotalAllowance: 200}})
			}
		}, 2, healthy},
		{"overload", nil, 6, overload},
		{"half of the forwarders leave", func() { fleet.forwarderNames = fleet.forwarderNames[:10] }, 24, healthy},
	} {
		if phase.begin != nil {
			phase.begin()
		}
		var plans *FleetPlan
		for range phase.steps {
			plans = fleet.step(phase.attempts)
		}
		fmt.Fprintf(&out, "# %s\n", phase.name)
		for _, name := range []string{"n000", "n007", "unknown"} {
			describePlan(&out, name, plans.ForForwarder(name))
		}
	}
	compareGolden(t, filepath.Join("testdata", "scenario.txt"), out.String())
}

// compareGolden compares a text with a golden file.
func compareGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(string(golden), "\n")
	for i, line := range strings.Split(got, "\n") {
		if i >= len(want) || line != want[i] {
			t.Fatalf("line %d differs from the golden file, got\n%s\nin\n%s", i+1, line, got)
		}
	}
	if len(got) != len(golden) {
		t.Errorf("got %d bytes, want %d", len(got), len(golden))
	}
}
