package scale

import (
	"testing"
	"time"
)

// What counts as taken, by whom, and what is left out.
func TestLedger(t *testing.T) {
	began := time.Unix(1000, 0)
	at := func(ms int) int64 { return began.Add(time.Duration(ms) * time.Millisecond).UnixNano() }
	take := func(l *ledger, node, marker int, draining bool, ms int) {
		l.recordAnnouncement(0, announcement{Records: []record{{Kind: markerApplied, Node: node, Marker: marker, Draining: draining, At: at(ms)}}})
	}
	for name, c := range map[string]struct {
		play func(l *ledger)
		want ChangeLatency
	}{
		"all took it": {func(l *ledger) {
			l.addChange(0, true, began)
			for n := range 3 {
				take(l, n, 0, true, 10*(n+1))
			}
		}, ChangeLatency{Changes: 1, Applied: 3, P50: 20, P99: 30, Last: 30}},
		"one did not": {func(l *ledger) {
			l.addChange(0, true, began)
			take(l, 0, 0, true, 10)
			take(l, 1, 0, true, 10)
		}, ChangeLatency{Changes: 1, Applied: 2, P50: 10, P99: 10, Last: 10, Missing: 1}},
		"a state of before is not the change": {func(l *ledger) {
			l.addChange(0, true, began)
			for n := range 3 {
				take(l, n, 0, false, 5)
			}
		}, ChangeLatency{Changes: 1, Missing: 3}},
		"the first word counts": {func(l *ledger) {
			l.addChange(0, true, began)
			for n := range 3 {
				take(l, n, 0, true, 10)
				take(l, n, 0, true, 900)
			}
		}, ChangeLatency{Changes: 1, Applied: 3, P50: 10, P99: 10, Last: 10}},
		"a server that a node does not serve": {func(l *ledger) {
			l.addChange(1, true, began)
			take(l, 0, 1, true, 10)
			take(l, 1, 1, true, 10)
		}, ChangeLatency{Changes: 1, Applied: 2, P50: 10, P99: 10, Last: 10}},
		"a node that was down meanwhile is left out": {func(l *ledger) {
			l.addChange(0, true, began)
			take(l, 0, 0, true, 10)
			take(l, 1, 0, true, 10)
			l.nodesKilled(1, []int{2})
			take(l, 2, 0, true, 4000)
		}, ChangeLatency{Changes: 1, Applied: 2, P50: 10, P99: 10, Last: 10, Down: 1}},
		"one that had it before it went counts": {func(l *ledger) {
			l.addChange(0, true, began)
			for n := range 3 {
				take(l, n, 0, true, 10)
			}
			l.nodesKilled(1, []int{2})
		}, ChangeLatency{Changes: 1, Applied: 3, P50: 10, P99: 10, Last: 10}},
		"overtaken by the next change of the same server": {func(l *ledger) {
			l.addChange(0, true, began)
			take(l, 0, 0, true, 10)
			l.addChange(0, false, began.Add(50*time.Millisecond))
			for n := range 3 {
				take(l, n, 0, false, 60)
			}
		}, ChangeLatency{Changes: 2, Applied: 4, P50: 10, P99: 10, Last: 10}},
		"regions apart: from when the node could hear of it": {func(l *ledger) {
			l.addChange(0, true, began)
			take(l, 0, 0, true, 10)
			l.partitionEnded(began.Add(500 * time.Millisecond))
			take(l, 1, 0, true, 520)
			take(l, 2, 0, true, 530)
		}, ChangeLatency{Changes: 1, Applied: 3, P50: 20, P99: 30, Last: 30}},
		"made after regions were apart": {func(l *ledger) {
			l.partitionEnded(began.Add(-time.Second))
			l.addChange(0, true, began)
			for n := range 3 {
				take(l, n, 0, true, 10)
			}
		}, ChangeLatency{Changes: 1, Applied: 3, P50: 10, P99: 10, Last: 10}},
		"counted from a later moment": {func(l *ledger) {
			l.setMadeAt(l.addChange(0, true, began), at(100))
			for n := range 3 {
				take(l, n, 0, true, 150)
			}
		}, ChangeLatency{Changes: 1, Applied: 3, P50: 50, P99: 50, Last: 50}},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger(3, func(node, server int) bool { return node < 2 || server == 0 })
			c.play(l)
			if got := l.changeLatency(0); *got != c.want {
				t.Errorf("%+v, want %+v", *got, c.want)
			}
		})
	}
}

// Sizes that are refused, each by one line.
func TestRefusedSizes(t *testing.T) {
	well := Size{Nodes: 64, Servers: 192, Services: 8, Routes: 64, Tenants: 16, Regions: 3, Zones: 6, Control: 3, Churn: 2, Plane: "planners", PhaseDuration: time.Second}
	for name, c := range map[string]struct {
		change func(*Size)
		memory float64
		want   string
	}{
		"well":                   {func(*Size) {}, 24e9, ""},
		"no nodes":               {func(s *Size) { s.Nodes = 0 }, 24e9, "--nodes 0: from 1 to 60000"},
		"fewer zones":            {func(s *Size) { s.Zones = 2 }, 24e9, "--zones 2: from 3 to 64"},
		"an unknown plane":       {func(s *Size) { s.Plane = "x" }, 24e9, "--plane x: one of discovery, distribution, planners"},
		"an unknown event":       {func(s *Size) { s.Event = "x" }, 24e9, "--event x: one of restart-tenth, rack, zone, regions-apart, control-killed, discovery-away, start-all"},
		"no root in a region":    {func(s *Size) { s.Plane, s.Control = "distribution", 2 }, 24e9, "--control 2: each of 3 regions wants a root"},
		"too many services":      {func(s *Size) { s.Plane, s.Services, s.Servers = "distribution", 2000, 2000 }, 24e9, "--serves 0: a node names 1000 services at most"},
		"an event of no control": {func(s *Size) { s.Plane, s.Event = "discovery", ControlKilled }, 24e9, "--event control-killed: plane discovery has no control processes"},
		"too many processes":     {func(s *Size) { s.Nodes = 8000 }, 1e12, "209 processes are needed: 200 at most"},
		"too much memory":        {func(s *Size) { s.Servers = 100_000 }, 24e9, "about 20.0 GB of memory are needed: half of this machine's are 12.0"},
	} {
		t.Run(name, func(t *testing.T) {
			s := well
			c.change(&s)
			err := s.Check()
			if err == nil {
				err = s.Fits(c.memory)
			}
			if got := errText(err); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
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
