package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/cluster/membership"
	"fernvane/internal/cluster/replication"
	"fernvane/internal/journal/intent"
	"fernvane/internal/testbed/standin/certauthority"
)

// Two machines are lost, then a third. The remaining nodes store all records and restore the number of copies.
func TestMachinesLost(t *testing.T) {
	t.Parallel()
	nodes := []*testNode{start(t, "n0", "")}
	for i := 1; i < 5; i++ {
		nodes = append(nodes, start(t, fmt.Sprint("n", i), "", nodes[0].cfg.Listen, nodes[i-1].cfg.Listen))
	}
	want := map[string]bool{}
	for number := range uint64(3) {
		for _, m := range nodes {
			m.commit(t, number)
			want[fmt.Sprint(m.name, "-", number)] = true
		}
	}
	complete := func(of *testNode, count, streams int) func() bool {
		return func() bool {
			c := Query(context.Background(), of.cfg, false)
			n := 0
			for _, copies := range c.CopyCounts() {
				if copies >= 3 {
					n++
				}
			}
			return len(c.Responses) == count && n >= streams
		}
	}
	eventually(t, "all streams are on three machines", complete(nodes[0], 5, 5))
	checkFound := func(node *testNode, missing int) {
		t.Helper()
		ids, enough := findIDs(t, node.cfg)
		for id := range want {
			if !ids[id] {
				t.Errorf("record %s with %d nodes lost: not found, want it found", id, missing)
			}
		}
		if enough != (missing <= 2) {
			t.Errorf("HasEnoughResponses with %d nodes lost: got %v", missing, enough)
		}
	}
	checkFound(nodes[0], 0)
	nodes[3].crash()
	nodes[4].crash()
	checkFound(nodes[0], 2)
	eventually(t, "their streams are on three machines again", complete(nodes[0], 3, 5))
	nodes[0].crash() // a third loss, after the copies are restored
	ids, enough := findIDs(t, nodes[1].cfg)
	if len(ids) != len(want) || enough {
		t.Errorf("at two of five nodes: got %d records, want %d; HasEnoughResponses: got %v, want false", len(ids), len(want), enough)
	}
	// One node restarts with its disk, another without: the copies are restored, and no record is duplicated.
	back := start(t, "n3", nodes[3].dir, nodes[1].cfg.Listen)
	start(t, "n4", "", nodes[1].cfg.Listen)
	back.commit(t, 9)
	want["n3-9"] = true
	eventually(t, "all streams are on three machines in the end", complete(nodes[1], 4, 6))
	if ids, _ := findIDs(t, nodes[2].cfg); len(ids) != len(want) {
		t.Errorf("after restarts: got %d records, want %d", len(ids), len(want))
	}
}

// If two processes use one name, the earlier one is notified to stop and the later one continues. A node whose clock
// was set back between two starts still gets a later incarnation.
func TestTwoProcessesOfOneName(t *testing.T) {
	t.Parallel()
	a := start(t, "n0", "")
	b := start(t, "n1", "", a.cfg.Listen)
	second := start(t, "n1", "", a.cfg.Listen)
	select {
	case <-b.Replaced():
	case <-time.After(20 * time.Second):
		t.Fatal("earlier process of the name: not notified to stop within 20 s")
	}
	select {
	case <-second.Replaced():
		t.Error("later process of the name: notified to stop, want only the earlier one notified")
	default:
	}
	second.crash()
	b.crash()
	later := time.Now().Add(time.Hour).UnixNano()
	a.mu.Lock()
	a.table.MergeMembers(a.now(), "", []membership.Member{{Name: "n1", Incarnation: later, Condition: membership.Dead}})
	a.mu.Unlock()
	again := start(t, "n1", "", a.cfg.Listen)
	if incarnation := again.self().Incarnation; incarnation <= later {
		t.Errorf("got incarnation %d, want one higher than %d", incarnation, later)
	}
}

// Callers that are not nodes of the cluster are rejected, and nothing is stored for them.
func TestRejectedCallers(t *testing.T) {
	t.Parallel()
	a := start(t, "n0", "")
	hello, _ := protocol.Append(nil, framing.HelloKind, framing.Hello{Version: version, Name: "x"})
	old, _ := protocol.Append(nil, framing.HelloKind, framing.Hello{Version: version + 1, Name: "x"})
	other, _ := protocol.Append(slices.Clone(hello), introKind, intro{Deployment: "other", Member: membership.Member{Name: "x", Incarnation: 1}})
	node, _ := protocol.Append(slices.Clone(hello), introKind, intro{Deployment: "d", Member: membership.Member{Name: "x", Incarnation: 1}})
	heartbeat, _ := protocol.Append(slices.Clone(hello), heartbeatKind, membership.Heartbeat{})
	batch, _ := protocol.Append(slices.Clone(node), batchKind, replication.Batch{Stream: replication.Stream{Name: "../x", Incarnation: 1}, First: 1, Count: 1, Frames: []byte("no chunk")})
	for name, c := range map[string]struct {
		sent     []byte
		response string
	}{
		"HTTP":               {[]byte("GET / HTTP/1.1\r\n\r\n"), ""},
		"another version":    {old, "version 1 is spoken here"},
		"another deployment": {other, `deployment mismatch: expected`},
		"a heartbeat first":  {heartbeat, "no valid intro frame received"},
		"an invalid batch":   {batch, ""},
	} {
		t.Run(name, func(t *testing.T) {
			nc, err := net.Dial("tcp", a.cfg.Listen)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			nc.SetDeadline(time.Now().Add(10 * time.Second))
			nc.Write(c.sent)
			got, err := io.ReadAll(nc)
			if err != nil && !strings.Contains(err.Error(), "reset") || !strings.Contains(string(got), c.response) {
				t.Errorf("got response %q, error %v", got, err)
			}
		})
	}
	if entries, _ := os.ReadDir(a.cfg.ReplicaDir); len(entries) > 0 {
		t.Errorf("got stored replicas %v, want none", entries)
	}
}

// With TLS keys, only nodes with a certificate of the authority become members.
func TestOtherAuthority(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	file := func(name string, sign *certauthority.Authority, listen string, seeds ...string) *Config {
		own := filepath.Join(dir, name)
		os.MkdirAll(filepath.Join(own, "held"), 0o700)
		cert, key, ca, err := sign.Write(own, "tier", time.Now().Add(time.Hour))
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(own, "peers.toml")
		text := fmt.Sprintf("listen = %q\npeers = [%s]\ndeployment = \"d\"\nmachine = %q\nheld = %q\ntls_name = \"tier\"\ncert = %q\nkey = %q\nca = %q\n",
			listen, strings.Join(seeds, ","), name, filepath.Join(own, "held"), cert, key, ca)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg, err := LoadConfig(path)
		if err != nil {
			t.Fatal(err)
		}
		return cfg
	}
	ours, err := certauthority.New("ours")
	if err != nil {
		t.Fatal(err)
	}
	theirs, err := certauthority.New("theirs")
	if err != nil {
		t.Fatal(err)
	}
	listen := address(t)
	run := func(cfg *Config, name string) *Node {
		n, err := New(cfg, name, nil, zerolog.New(io.Discard))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
		n.StartJournal("", false)
		return n
	}
	a := run(file("a", ours, listen), "a")
	b := run(file("b", ours, address(t), fmt.Sprintf("%q", listen)), "b")
	run(file("c", theirs, address(t), fmt.Sprintf("%q", listen)), "c")
	eventually(t, "two nodes of one authority know each other", func() bool { return len(a.Status().Members) == 2 && len(b.Status().Members) == 2 })
	time.Sleep(3 * initialRedialWait) // for the third node to dial; the check is valid whether or not it has
	if len(a.Status().Members) != 2 {
		t.Error("node of another authority: became a member, want it rejected")
	}
}

// Guards against commands that take a new node at the address of a lost one for the lost one, and so name no node that did not respond.
func TestNewNodeAtAddressOfLostNode(t *testing.T) {
	t.Parallel()
	first := start(t, "a", "")
	lost := start(t, "b", "", first.seed())
	eventually(t, "both nodes", func() bool { return len(Query(context.Background(), first.cfg, false).Responses) == 2 })
	lost.crash()
	successor := startConfigured(t, "c", "", func(cfg *Config) { cfg.Listen, cfg.Advertise = lost.cfg.Listen, lost.cfg.Listen }, first.seed())
	var client *Client
	eventually(t, "response of the new node", func() bool {
		client = Query(context.Background(), first.cfg, false)
		return client.Responses["c"] != nil
	})
	if err := client.QueryErrors["b"]; err != errAddressTaken {
		t.Errorf("lost node: got error %v, want %v", err, errAddressTaken)
	}
	// The new node is lost too, and its address is taken, after it has responded.
	successor.crash()
	startConfigured(t, "d", "", func(cfg *Config) { cfg.Listen, cfg.Advertise = lost.cfg.Listen, lost.cfg.Listen }, first.seed())
	if _, err := client.Records(context.Background(), time.Time{}, "", func(*intent.Record) error { return nil }); err != nil {
		t.Fatal(err)
	}
	if err := client.QueryErrors["c"]; err != errAddressTaken || client.Responses["c"] != nil {
		t.Errorf("records of a node whose address is taken: got error %v, want %v", err, errAddressTaken)
	}
}

// Guards against "no entry" for a request that ran: nodes that have shut down gracefully are missing like lost ones, because the journal and
// its only replica may be on their disks.
func TestNodesThatShutDownAreMissing(t *testing.T) {
	t.Parallel()
	one := func(cfg *Config) { cfg.Replicas = 1 }
	first := startConfigured(t, "a", "", one)
	nodes := []*testNode{startConfigured(t, "b", "", one, first.seed()), startConfigured(t, "c", "", one, first.seed()), startConfigured(t, "d", "", one, first.seed())}
	query := func() *Client { return Query(context.Background(), first.cfg, false) }
	eventually(t, "all nodes", func() bool { return len(query().Responses) == 4 && query().HasEnoughResponses() })
	for i, c := range []struct {
		missing   []string
		hasEnough bool
	}{
		{[]string{"b"}, true},
		{[]string{"b", "c"}, false},
	} {
		nodes[i].Leave()
		nodes[i].crash()
		var client *Client
		eventually(t, "shutdown known to the others", func() bool {
			client = query()
			return slices.Equal(client.Missing(), c.missing)
		})
		if client.HasEnoughResponses() != c.hasEnough || len(client.QueryErrors) > 0 {
			t.Errorf("without %v: got enough responses %t, errors %v, want %t and no error", c.missing, client.HasEnoughResponses(), client.QueryErrors, c.hasEnough)
		}
	}
}
