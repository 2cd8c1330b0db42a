package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/cluster/peer"
	"fernvane/internal/config/tomlfile"
	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
	"fernvane/internal/protocol/http1"
)

// clusterConfig returns the configuration of a cluster member; two other members replicate each record.
func clusterConfig(t *testing.T, name string, seeds ...string) *peer.Config {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := ln.Addr().String()
	ln.Close()
	return &peer.Config{Name: name, Listen: at, Advertise: at, Peers: seeds, Deployment: "d", Machine: name, Replicas: 2, ReplicaDir: t.TempDir(), MaxReplicaBytes: 1 << 30,
		RepairBytesPerSecond: 8 << 20, SlowAfter: tomlfile.Duration(50 * time.Millisecond), RetentionAge: tomlfile.Duration(time.Hour), ReconcileAfter: tomlfile.Duration(time.Minute), Plaintext: true}
}

// startHolder runs another cluster member as a replica holder; stop terminates it without announcing a leave.
func startHolder(t *testing.T, cfg *peer.Config) (stop func()) {
	t.Helper()
	p, err := peer.New(cfg, cfg.Name, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	p.StartJournal("", false)
	var once atomic.Bool
	stop = func() {
		if !once.Swap(true) {
			cancel()
			<-done
		}
	}
	t.Cleanup(stop)
	return stop
}

// replicatedEntries returns the entries in the replicas that a node stores.
func replicatedEntries(t *testing.T, cfg *peer.Config) (all []*intent.Entry) {
	t.Helper()
	dirs, err := filepath.Glob(filepath.Join(cfg.ReplicaDir, "*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, dir := range dirs {
		assembler := intent.NewAssembler()
		wal.Scan(wal.OSFileSystem{}, dir, time.Time{}, func(r *intent.Record) error {
			if e := assembler.Add(r); e != nil {
				all = append(all, e)
			}
			return nil
		}, nil)
		all = append(all, assembler.Incomplete()...)
	}
	return all
}

// Two other machines store the intent of a non-idempotent request before a server receives its first byte. While both are down, such requests
// are rejected or served, depending on the journal's file, and other requests are served. With new replica holders, requests are recorded again.
func TestIntentReplicated(t *testing.T) {
	t.Parallel()
	for _, choice := range []string{"deny", "serve"} {
		t.Run(choice, func(t *testing.T) {
			t.Parallel()
			a := clusterConfig(t, "a")
			b := clusterConfig(t, "b", a.Listen)
			stopA, stopB := startHolder(t, a), startHolder(t, b)
			var missingIntents, attempts atomic.Int32
			var down atomic.Bool
			server := standIn(t, func(nc net.Conn) {
				defer nc.Close()
				for c := http1.NewConn(nc); ; {
					var r http1.Request
					if c.ReadRequest(&r) != nil {
						return
					}
					if attempts.Add(1); string(r.Method) == "POST" && !down.Load() {
						for _, other := range []*peer.Config{a, b} {
							found := false
							for _, e := range replicatedEntries(t, other) {
								found = found || e.RequestID == string(r.Get("Request-Id"))
							}
							if !found {
								missingIntents.Add(1)
							}
						}
					}
					io.WriteString(nc, okResponse)
				}
			})
			cfg := config(http1.Endpoint{ID: "s", Address: server, Weight: 1})
			cfg.Journal = &wal.Config{Dir: t.TempDir(), Durability: wal.DurabilityMachines, WhenFailing: choice, MaxWait: tomlfile.Duration(400 * time.Millisecond), SegmentBytes: 1 << 20}
			cfg.Peers = clusterConfig(t, "n", a.Listen, b.Listen)
			at, _ := startNode(t, cfg)
			await(t, "recorded request", func() bool { return book(t, at, "") == 200 })
			for range 5 {
				if got := book(t, at, ""); got != 200 {
					t.Errorf("got status %d with both replica holders up, want 200", got)
				}
			}
			if missingIntents.Load() > 0 {
				t.Errorf("got %d attempts whose intent a replica holder lacked, want none", missingIntents.Load())
			}
			down.Store(true)
			stopA()
			stopB()
			want := map[string]int{"deny": 503, "serve": 200}[choice]
			await(t, "expected status without replica holders", func() bool { return book(t, at, "") == want })
			for range 3 {
				began := time.Now()
				if got := book(t, at, ""); got != want {
					t.Errorf("got status %d without replica holders, want %d", got, want)
				}
				if took := time.Since(began); choice == "deny" && took > 5*time.Second {
					t.Errorf("got a rejection after %v, want at most 5 s", took)
				}
				if r := get(t, dial(t, at), "/check/1"); r.Status != 200 {
					t.Errorf("idempotent request: got status %d, want 200", r.Status)
				}
			}
			for i := range 2 { // replacements join
				startHolder(t, clusterConfig(t, fmt.Sprint("c", i), cfg.Peers.Listen))
			}
			await(t, "recorded request with new replica holders", func() bool { return book(t, at, "") == 200 })
		})
	}
}
