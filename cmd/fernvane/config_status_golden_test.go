package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fernvane/internal/controlplane/distribution"
)

// TestStatusGolden compares the JSON and the text that `fernvane config status` prints with golden files.
func TestStatusGolden(t *testing.T) {
	self := distribution.NodeStatus{Name: "root-1", Role: distribution.RoleControl, Revision: 31, HasAcknowledged: true, IsConnected: true}
	nodes := []distribution.NodeStatus{
		{Name: "n2", Role: distribution.RoleNode, Region: "north", Zone: "z1", Via: "relay-1", Revision: 31, HasAcknowledged: true, IsConnected: true},
		{Name: "n1", Role: distribution.RoleNode, Region: "south", Zone: "z2", Via: "relay-2", Revision: 30, Lag: 1250 * time.Millisecond, PendingKeys: 4,
			HasAcknowledged: true, IsConnected: true},
		{Name: "n3", Role: distribution.RoleNode, Region: "east", Zone: "z3", Via: "relay-3", Revision: 29, HasAcknowledged: true, IsConnected: true,
			Rejected: []distribution.Rejection{{Key: distribution.Key{Service: "ferries", Kind: distribution.KindRoute, Name: "checks"}, Reason: "no pool"}}},
		{Name: "relay-1", Role: distribution.RoleControl, Region: "north", Revision: 28, HasAcknowledged: true,
			DisconnectedMs: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).UnixMilli()},
	}
	v := newStatusView("127.0.0.1:7100", self, nodes, statusOptions{})
	var asJSON, asText strings.Builder
	if err := json.NewEncoder(&asJSON).Encode(v); err != nil {
		t.Fatal(err)
	}
	v.print(&asText)
	for name, got := range map[string]string{"status.json": asJSON.String(), "status.txt": asText.String()} {
		golden, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		if got != string(golden) {
			t.Errorf("%s: got\n%swant\n%s", name, got, golden)
		}
	}
}
