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

// tierConfig is the file of one node of a tier in which two others replicate each record.
func tierConfig(t *testing.T, name string, seeds ...string) *peer.Config {
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

// startHolder runs another node of the tier; stop ends it without a leave.
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

// replicatedEntries are the entries that a node replicates.
func replicatedEntries(t *testing.T, cfg *peer.Config) (all []*intent.Entry) {
	t.Helper()
	dirs, err := filepath.Glob(filepath.Join(cfg.ReplicaDir, "*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, dir := range dirs {
		fold := intent.NewAssembler()
		wal.Scan(wal.OSFileSystem{}, dir, time.Time{}, func(r *intent.Record) error {
			if e := fold.Add(r); e != nil {
				all = append(all, e)
			}
			return nil
		}, nil)
		all = append(all, fold.Incomplete()...)
	}
	return all
}

// When a server reads the first byte of a non-idempotent request, two other machines have its intent on disk. When both are lost, such requests
// are rejected or served as the operator's file says, others notice nothing, and with holders back all goes on.
func TestIntentReplicated(t *testing.T) {
	t.Parallel()
	for _, choice := range []string{"deny", "serve"} {
		t.Run(choice, func(t *testing.T) {
			t.Parallel()
			a := tierConfig(t, "a")
			b := tierConfig(t, "b", a.Listen)
			stopA, stopB := startHolder(t, a), startHolder(t, b)
			var early, hops atomic.Int32
			var down atomic.Bool
			box := standIn(t, func(nc net.Conn) {
				defer nc.Close()
				for c := http1.NewConn(nc); ; {
					var r http1.Request
					if c.ReadRequest(&r) != nil {
						return
					}
					if hops.Add(1); string(r.Method) == "POST" && !down.Load() {
						for _, other := range []*peer.Config{a, b} {
							found := false
							for _, e := range replicatedEntries(t, other) {
								found = found || e.RequestID == string(r.Get("Request-Id"))
							}
							if !found {
								early.Add(1)
							}
						}
					}
					io.WriteString(nc, okResponse)
				}
			})
			cfg := config(http1.Endpoint{ID: "s", Address: box, Size: 1})
			cfg.Journal = &wal.Config{Dir: t.TempDir(), Promise: wal.PromiseMachines, WhenFailing: choice, MaxWait: tomlfile.Duration(400 * time.Millisecond), SegmentBytes: 1 << 20}
			cfg.Peers = tierConfig(t, "n", a.Listen, b.Listen)
			at, _ := startNode(t, cfg)
			await(t, "binding kept", func() bool { return book(t, at, "") == 200 })
			for range 5 {
				if got := book(t, at, ""); got != 200 {
					t.Errorf("answered %d with both holders there", got)
				}
			}
			if early.Load() > 0 {
				t.Errorf("%d times a holder did not have what a server got", early.Load())
			}
			down.Store(true)
			stopA()
			stopB()
			want := map[string]int{"deny": 503, "serve": 200}[choice]
			await(t, "holders missed", func() bool { return book(t, at, "") == want })
			for range 3 {
				began := time.Now()
				if got := book(t, at, ""); got != want {
					t.Errorf("answered %d without holders, not %d", got, want)
				}
				if took := time.Since(began); choice == "deny" && took > 5*time.Second {
					t.Errorf("denied after %v", took)
				}
				if r := get(t, dial(t, at), "/check/1"); r.Status != 200 {
					t.Errorf("a check is answered %d", r.Status)
				}
			}
			for i := range 2 { // others come in their place
				startHolder(t, tierConfig(t, fmt.Sprint("c", i), cfg.Peers.Listen))
			}
			await(t, "binding kept again", func() bool { return book(t, at, "") == 200 })
		})
	}
}
