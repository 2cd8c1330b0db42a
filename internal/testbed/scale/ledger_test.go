package scale

import (
	"testing"
	"time"
)

// TestLedger checks which records count as the application of a change, from which time, and which nodes are excluded.
func TestLedger(t *testing.T) {
	began := time.Unix(1000, 0)
	at := func(ms int) int64 { return began.Add(time.Duration(ms) * time.Millisecond).UnixNano() }
	apply := func(l *ledger, node, marker int, draining bool, ms int) {
		l.recordAnnouncement(0, announcement{Records: []record{{Kind: markerApplied, Node: node, Marker: marker, Draining: draining, At: at(ms)}}})
	}
	for name, c := range map[string]struct {
		run  func(l *ledger)
		want ChangeLatency
	}{
		"all nodes apply it": {func(l *ledger) {
			l.addChange(0, true, began)
			for n := range 3 {
				apply(l, n, 0, true, 10*(n+1))
			}
		}, ChangeLatency{Changes: 1, Applied: 3, P50: 20, P99: 30, Last: 30}},
		"one node does not apply it": {func(l *ledger) {
			l.addChange(0, true, began)
			apply(l, 0, 0, true, 10)
			apply(l, 1, 0, true, 10)
		}, ChangeLatency{Changes: 1, Applied: 2, P50: 10, P99: 10, Last: 10, Missing: 1}},
		"an earlier state does not confirm the change": {func(l *ledger) {
			l.addChange(0, true, began)
			for n := range 3 {
				apply(l, n, 0, false, 5)
			}
		}, ChangeLatency{Changes: 1, Missing: 3}},
		"the first record counts": {func(l *ledger) {
			l.addChange(0, true, began)
			for n := range 3 {
				apply(l, n, 0, true, 10)
				apply(l, n, 0, true, 900)
			}
		}, ChangeLatency{Changes: 1, Applied: 3, P50: 10, P99: 10, Last: 10}},
		"a server that a node does not serve": {func(l *ledger) {
			l.addChange(1, true, began)
			apply(l, 0, 1, true, 10)
			apply(l, 1, 1, true, 10)
		}, ChangeLatency{Changes: 1, Applied: 2, P50: 10, P99: 10, Last: 10}},
		"a node that was down meanwhile is excluded": {func(l *ledger) {
			l.addChange(0, true, began)
			apply(l, 0, 0, true, 10)
			apply(l, 1, 0, true, 10)
			l.nodesKilled(1, []int{2})
			apply(l, 2, 0, true, 4000)
		}, ChangeLatency{Changes: 1, Applied: 2, P50: 10, P99: 10, Last: 10, Down: 1}},
		"a node that applied it before it was killed counts": {func(l *ledger) {
			l.addChange(0, true, began)
			for n := range 3 {
				apply(l, n, 0, true, 10)
			}
			l.nodesKilled(1, []int{2})
		}, ChangeLatency{Changes: 1, Applied: 3, P50: 10, P99: 10, Last: 10}},
		"superseded by the next change of the same server": {func(l *ledger) {
			l.addChange(0, true, began)
			apply(l, 0, 0, true, 10)
			l.addChange(0, false, began.Add(50*time.Millisecond))
			for n := range 3 {
				apply(l, n, 0, false, 60)
			}
		}, ChangeLatency{Changes: 2, Applied: 4, P50: 10, P99: 10, Last: 10}},
		"partition between regions: counts from its end": {func(l *ledger) {
			l.addChange(0, true, began)
			apply(l, 0, 0, true, 10)
			l.partitionEnded(began.Add(500 * time.Millisecond))
			apply(l, 1, 0, true, 520)
			apply(l, 2, 0, true, 530)
		}, ChangeLatency{Changes: 1, Applied: 3, P50: 20, P99: 30, Last: 30}},
		"made after a partition between regions": {func(l *ledger) {
			l.partitionEnded(began.Add(-time.Second))
			l.addChange(0, true, began)
			for n := range 3 {
				apply(l, n, 0, true, 10)
			}
		}, ChangeLatency{Changes: 1, Applied: 3, P50: 10, P99: 10, Last: 10}},
		"counts from a later time": {func(l *ledger) {
			l.setMadeAt(l.addChange(0, true, began), at(100))
			for n := range 3 {
				apply(l, n, 0, true, 150)
			}
		}, ChangeLatency{Changes: 1, Applied: 3, P50: 50, P99: 50, Last: 50}},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger(3, func(node, server int) bool { return node < 2 || server == 0 })
			c.run(l)
			if got := l.changeLatency(0); *got != c.want {
				t.Errorf("latency: got %+v, want %+v", *got, c.want)
			}
		})
	}
}

// TestRefusedSizes checks the error of each kind of invalid size.
func TestRefusedSizes(t *testing.T) {
	valid := Size{Nodes: 64, Servers: 192, Services: 8, Routes: 64, Tenants: 16, Regions: 3, Zones: 6, Control: 3, Churn: 2, Plane: "planners", PhaseDuration: time.Second}
	for name, c := range map[string]struct {
		change func(*Size)
		memory float64
		want   string
	}{
		"valid":                         {func(*Size) {}, 24e9, ""},
		"no nodes":                      {func(s *Size) { s.Nodes = 0 }, 24e9, "--nodes 0: want 1 to 60000"},
		"fewer zones than regions":      {func(s *Size) { s.Zones = 2 }, 24e9, "--zones 2: want 3 to 64"},
		"unknown plane":                 {func(s *Size) { s.Plane = "x" }, 24e9, "--plane x: want one of discovery, distribution, planners"},
		"unknown event":                 {func(s *Size) { s.Event = "x" }, 24e9, "--event x: want one of restart-tenth, rack, zone, regions-apart, control-killed, discovery-away, start-all"},
		"region without a root":         {func(s *Size) { s.Plane, s.Control = "distribution", 2 }, 24e9, "--control 2: each of 3 regions needs a root"},
		"too many services":             {func(s *Size) { s.Plane, s.Services, s.Servers = "distribution", 2000, 2000 }, 24e9, "--serves 0: at most 1000 services per node are allowed on this plane"},
		"event needs control processes": {func(s *Size) { s.Plane, s.Event = "discovery", ControlKilled }, 24e9, "--event control-killed: plane discovery has no control processes"},
		"too many processes":            {func(s *Size) { s.Nodes = 8000 }, 1e12, "size needs 209 processes: at most 200 are allowed"},
		"too much memory":               {func(s *Size) { s.Servers = 100_000 }, 24e9, "size needs about 20.0 GB of memory: half of this machine's memory is 12.0 GB"},
	} {
		t.Run(name, func(t *testing.T) {
			s := valid
			c.change(&s)
			err := s.Check()
			if err == nil {
				err = s.Fits(c.memory)
			}
			if got := errText(err); got != c.want {
				t.Errorf("error: got %q, want %q", got, c.want)
			}
		})
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
