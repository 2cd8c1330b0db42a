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

var update = flag.Bool("update", false, "write the golden files anew; only where decisions are meant to change")

// describePlan is one forwarder's plan as text. Numbers are rounded: some sums run over maps.
func describePlan(out *strings.Builder, name string, p Plan) {
	fmt.Fprintf(out, "%s: number %d, heard %v, seen %d, nodes %d, admit %.6g\n", name, p.Number, p.ReportSentAt, p.ReportingForwarders, p.Nodes, p.AdmittedShare)
	for _, w := range p.WithinAllowance {
		fmt.Fprintf(out, "  tenant %s %.6g\n", w.Tenant, w.Share)
	}
	for _, s := range p.Servers {
		fmt.Fprintf(out, "  server %s share %.6g avoid %t pace %.6g rest %v\n", s.ID, s.Share, s.IsAvoided, s.SlowStartRate, s.EjectionRemaining)
	}
	fmt.Fprintf(out, "  %d lives\n", len(p.Incarnations))
}

// TestScenario pins the plans of a fixed course of events: a calm start, failing and slow servers, a start and a drain,
// overload, forwarders that leave.
func TestScenario(t *testing.T) {
	w := newWorld(20, 12)
	tenants := []TenantReport{{Name: "big", Allowance: 100, Requests: 40}, {Name: "small", Allowance: 50, Requests: 5}}
	overload := func(f, s int) digest {
		if d := well(f, s); d.n > 0 {
			return digest{n: 1, took: 190 * ms, timedOut: 3}
		}
		return digest{}
	}
	var out strings.Builder
	for _, phase := range []struct {
		name  string
		begin func()
		steps int
		meet  func(f, s int) digest
	}{
		{"calm", nil, 20, well},
		{"two servers fail", nil, 3, func(f, s int) digest { return failing(f, s, 2, 99) }},
		{"calm again", nil, 12, well},
		{"two servers are slow", nil, 4, func(f, s int) digest { return slow(f, s, 2) }},
		{"a server starts, another drains", func() {
			w.p.EndpointsUpdated(w.now, []incarnation.Entry{{ID: "s003", Weight: 2, StartedUnixMS: w.now.Milliseconds(), Revision: 2},
				{ID: "s004", Weight: 1, Condition: incarnation.Draining, Revision: 2}}, false)
		}, 4, well},
		{"tenants", func() {
			for _, name := range w.names {
				w.p.ReportReceived(w.now, name, &Report{SentAt: w.now, Interval: 500 * ms, InFlight: 3, CurrentShares: w.held[name], Tenants: tenants,
					Settings: ForwarderSettings{Nodes: 24, SlowStartDuration: 5 * time.Second, InitialCapacity: 0.4, FallMultiple: 2.5, TotalAllowance: 200}})
			}
		}, 2, well},
		{"overload", nil, 6, overload},
		{"half of the forwarders leave", func() { w.names = w.names[:10] }, 24, well},
	} {
		if phase.begin != nil {
			phase.begin()
		}
		var whole *FleetPlan
		for range phase.steps {
			whole = w.step(phase.meet)
		}
		fmt.Fprintf(&out, "# %s\n", phase.name)
		for _, name := range []string{"n000", "n007", "unknown"} {
			describePlan(&out, name, whole.ForForwarder(name))
		}
	}
	compareGolden(t, filepath.Join("testdata", "scenario.txt"), out.String())
}

// compareGolden compares a text with a file's.
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
			t.Fatalf("line %d is\n%s\nof\n%s", i+1, line, got)
		}
	}
	if len(got) != len(golden) {
		t.Errorf("%d bytes, %d were", len(got), len(golden))
	}
}
