package main

import (
	"testing"
	"time"

	"fernvane/internal/controlplane/distribution"
)

// TestNewStatusView checks which nodes count as current, given the statuses that a control process reports.
func TestNewStatusView(t *testing.T) {
	self := distribution.NodeStatus{Name: "a", Role: distribution.RoleControl, Revision: 9, HasAcknowledged: true, IsConnected: true}
	node := distribution.NodeStatus{Name: "n", Role: distribution.RoleNode, Via: "a", Revision: 7, HasAcknowledged: true, IsConnected: true}
	with := func(s distribution.NodeStatus, change func(*distribution.NodeStatus)) distribution.NodeStatus {
		change(&s)
		return s
	}
	relay := with(node, func(s *distribution.NodeStatus) { s.Name, s.Role, s.Revision = "r", distribution.RoleControl, 9 })
	lost := with(node, func(s *distribution.NodeStatus) {
		s.IsConnected, s.DisconnectedMs = false, time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).UnixMilli()
	})
	for name, c := range map[string]struct {
		self    distribution.NodeStatus
		nodes   []distribution.NodeStatus
		options statusOptions
		state   string // of the first node
		current bool
	}{
		"no nodes":             {self, nil, statusOptions{}, "", true},
		"no nodes, one wanted": {self, nil, statusOptions{expect: 1}, "", false},
		"one":                  {self, []distribution.NodeStatus{node, self}, statusOptions{expect: 1}, "current", true},
		"relays do not count":  {self, []distribution.NodeStatus{relay}, statusOptions{expect: 1}, "current", false},
		"a relay behind":       {self, []distribution.NodeStatus{with(relay, func(s *distribution.NodeStatus) { s.Revision = 8 })}, statusOptions{}, "behind", false},
		"an entry is pending":  {self, []distribution.NodeStatus{with(node, func(s *distribution.NodeStatus) { s.PendingKeys = 1 })}, statusOptions{}, "behind", false},
		"bytes unacknowledged": {self, []distribution.NodeStatus{with(node, func(s *distribution.NodeStatus) { s.UnacknowledgedBytes = 1 })}, statusOptions{}, "behind",
			false},
		"catching up":       {self, []distribution.NodeStatus{with(node, func(s *distribution.NodeStatus) { s.IsCatchingUp = true })}, statusOptions{}, "behind", false},
		"no acknowledgment": {self, []distribution.NodeStatus{with(node, func(s *distribution.NodeStatus) { s.HasAcknowledged = false })}, statusOptions{}, "behind", false},
		"one rejects": {self, []distribution.NodeStatus{with(node, func(s *distribution.NodeStatus) {
			s.Rejected = []distribution.Rejection{{Key: distribution.Key{Service: "s", Kind: distribution.KindRoute, Name: "r"}, Reason: "no"}}
		})}, statusOptions{}, "rejecting", false},
		"one unreachable":                     {self, []distribution.NodeStatus{lost}, statusOptions{}, "unreachable", false},
		"one unreachable, ignored":            {self, []distribution.NodeStatus{lost}, statusOptions{reachable: true}, "unreachable", true},
		"one unreachable, ignored and wanted": {self, []distribution.NodeStatus{lost}, statusOptions{reachable: true, expect: 1}, "unreachable", false},
		"the queried one is catching up":      {with(self, func(s *distribution.NodeStatus) { s.IsCatchingUp = true }), []distribution.NodeStatus{node}, statusOptions{}, "current", false},
	} {
		t.Run(name, func(t *testing.T) {
			v := newStatusView("at", c.self, c.nodes, c.options)
			state := ""
			if len(v.Nodes) > 0 {
				state = v.Nodes[0].State
			}
			if v.Current != c.current || state != c.state {
				t.Errorf("unexpected status %+v", v)
			}
			if state == "unreachable" && v.Nodes[0].Unreachable != "2026-01-02T03:04:05Z" {
				t.Errorf("got unreachable since %q, want 2026-01-02T03:04:05Z", v.Nodes[0].Unreachable)
			}
		})
	}
}
