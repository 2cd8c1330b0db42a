package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testNode is a node of a cluster whose nodes all run in this process.
type testNode struct {
	*Node
	cfg    *Config
	dir    string
	log    *wal.Log
	cancel func()
	done   chan error
}

// address returns a loopback address with a free port.
func address(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// start starts a node in the folder of an earlier one, or in a new folder if dir is "".
func start(t *testing.T, name, dir string, seeds ...string) *testNode {
	t.Helper()
	return startWith(t, name, dir, "", seeds...)
}

// seed returns the node's address as a seed for other nodes. For a nil node it returns an address without a listener.
func (m *testNode) seed() string {
	if m == nil {
		return "127.0.0.1:1"
	}
	return m.cfg.Listen
}

// startWith starts a node that reconciles journals of lost machines from a file of execution records.
func startWith(t *testing.T, name, dir, file string, seeds ...string) *testNode {
	t.Helper()
	return startConfigured(t, name, dir, func(cfg *Config) {
		if file != "" {
			cfg.ExecutionRecords = []string{file}
		}
	}, seeds...)
}

// startConfigured starts a node whose configuration configure has changed.
func startConfigured(t *testing.T, name, dir string, configure func(*Config), seeds ...string) *testNode {
	t.Helper()
	if dir == "" {
		dir = t.TempDir()
	}
	for _, d := range []string{"held", "journal"} {
		if err := os.MkdirAll(filepath.Join(dir, d), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	listen := address(t)
	cfg := &Config{
		Listen:               listen,
		Advertise:            listen,
		Peers:                seeds,
		Deployment:           "d",
		Machine:              name,
		Replicas:             2,
		ReplicaDir:           filepath.Join(dir, "held"),
		MaxReplicaBytes:      1 << 30,
		RepairBytesPerSecond: 64 << 20,
		SlowAfter:            tomlfile.Duration(100 * time.Millisecond),
		RetentionAge:         tomlfile.Duration(time.Hour),
		Plaintext:            true,
	}
	configure(cfg)
	n, err := New(cfg, name, nil, zerolog.New(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &testNode{Node: n, cfg: cfg, dir: dir, cancel: cancel, done: make(chan error, 1)}
	go func() { m.done <- n.Run(ctx) }()
	incarnation := n.Join(ctx, 2*time.Second)
	n.StartJournal(filepath.Join(dir, "journal"), true)
	m.log, err = wal.Open(wal.Options{
		Dir:             filepath.Join(dir, "journal"),
		FileSystem:      wal.OSFileSystem{},
		Fsync:           true,
		MaxSegmentBytes: 64 << 10,
		Incarnation:     uint64(incarnation),
		OnChunk:         n.ReplicateChunk,
		OnStored:        n.RecordsStored,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.crash)
	return m
}

// crash stops a node without notifying the others.
func (m *testNode) crash() {
	if m.cancel != nil {
		m.cancel()
		<-m.done
		m.log.Close()
		m.cancel = nil
	}
}

// eventually fails the test if a condition is not met within 30 s.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 30 s: %s", what)
		}
	}
}

// commit appends an intent and waits until it is committed.
func (m *testNode) commit(t *testing.T, number uint64) {
	t.Helper()
	eventually(t, "an intent is committed", func() bool {
		stored, err := m.log.Append(true, intent.Record{Kind: intent.Intent, Incarnation: uint64(m.self().Incarnation), RequestNumber: number, AtUnixNano: time.Now().UnixNano(), RequestID: fmt.Sprint(m.name, "-", number), Type: "book", Server: "s"})
		if err != nil {
			t.Fatal(err)
		}
		<-stored.Done()
		committed := m.CommitOf(stored.SequenceNumber())
		select {
		case <-committed.Done():
			return committed.Err() == nil
		case <-time.After(time.Second):
			return false
		}
	})
}

// findIDs returns the request IDs that the nodes of a cluster store, and whether enough nodes responded.
func findIDs(t *testing.T, cfg *Config) (ids map[string]bool, enough bool) {
	t.Helper()
	client := Query(context.Background(), cfg, false)
	ids = map[string]bool{}
	if _, err := client.Records(context.Background(), time.Time{}, "", func(r *intent.Record) error {
		if r.RequestID != "" {
			ids[r.RequestID] = true
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	return ids, client.HasEnoughResponses()
}
