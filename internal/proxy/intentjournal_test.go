package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/testbed/standin/memdisk"
)

// entries returns the entries of all requests in a journal, and the number of gaps.
func entries(t *testing.T, disk wal.FileSystem) (all []*intent.Entry, gaps int) {
	t.Helper()
	assembler := intent.NewAssembler()
	if _, err := wal.Scan(disk, "j", time.Time{}, func(r *intent.Record) error {
		if e := assembler.Add(r); e != nil {
			all = append(all, e)
		}
		return nil
	}, nil); err != nil {
		t.Fatal(err)
	}
	return append(all, assembler.Incomplete()...), len(assembler.Gaps)
}

func book(t *testing.T, at string, fields string) int {
	t.Helper()
	c := dial(t, at)
	fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n%sContent-Length: 0\r\n\r\n", ids.Add(1), fields)
	return readReply(t, c).Status
}

// The journal of a stopped node has one entry per non-idempotent request, with its state, its answer and its attempts.
func TestJournal(t *testing.T) {
	t.Parallel()
	const notStarted = "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		script   []string
		state    intent.State
		outcome  string
		attempts int // 0: any number
	}{
		"answered":              {[]string{okResponse}, intent.HasRun, "handled", 1},
		"not started, then ok":  {[]string{notStarted, okResponse}, intent.HasRun, "handled", 2},
		"not started anywhere":  {[]string{notStarted}, intent.NotSent, "denied", 0},
		"an error":              {[]string{"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"}, intent.PossiblySent, "written off", 1},
		"the connection breaks": {[]string{closeMark}, intent.PossiblySent, "written off", 1},
		"request fault":         {[]string{"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"}, intent.PossiblySent, "written off", 1},
		"malformed response":    {[]string{"noise\r\n\r\n" + closeMark}, intent.PossiblySent, "written off", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			serverEndpoints, _ := servers(t, 3, c.script...)
			cfg := config(serverEndpoints...)
			disk := memdisk.New()
			cfg.Filesystem, cfg.Journal = disk, &wal.Config{Dir: "j", Durability: "machine", WhenFailing: "deny", MaxWait: tomlfile.Duration(time.Second), SegmentBytes: 1 << 20, RepeatOfField: "Repeats"}
			at, stop := startNode(t, cfg)
			book(t, at, "Client-Retry: 1\r\nRepeats: 77\r\n")
			get(t, dial(t, at), "/check/1") // idempotent: not recorded
			if err := stop(); err != nil {
				t.Fatal(err)
			}
			all, _ := entries(t, disk)
			if len(all) != 1 {
				t.Fatalf("got %d entries, want 1", len(all))
			}
			if e := all[0]; e.State() != c.state || e.ClientOutcome != c.outcome || c.attempts > 0 && len(e.Attempts) != c.attempts || e.Type != "book" || !e.IsRetry || e.RepeatOf != "77" {
				t.Errorf("unexpected entry in state %v: %+v", e.State(), e)
			}
		})
	}
}

// The intent of a non-idempotent request is durable before a server receives its first byte.
func TestIntentBeforeFirstByte(t *testing.T) {
	t.Parallel()
	disk := memdisk.New()
	var withoutIntent atomic.Int32
	at := standIn(t, func(nc net.Conn) {
		defer nc.Close()
		for c := http1.NewConn(nc); c.ReadRequest(&http1.Request{}) == nil; {
			if all, _ := entries(t, disk); len(all) != 1 || len(all[0].Attempts) != 1 || all[0].ClientOutcome != "" {
				withoutIntent.Add(1)
			}
			io.WriteString(nc, okResponse)
		}
	})
	cfg := config(http1.Endpoint{ID: "s", Address: at, Weight: 1})
	cfg.Filesystem, cfg.Journal = disk, &wal.Config{Dir: "j", Durability: "machine", WhenFailing: "deny", MaxWait: tomlfile.Duration(time.Second), SegmentBytes: 1 << 20}
	node, _ := startNode(t, cfg)
	if got := book(t, node, ""); got != 200 || withoutIntent.Load() > 0 {
		t.Errorf("got status %d, want 200; %d attempts without a durable intent, want none", got, withoutIntent.Load())
	}
}

// While the disk fails, non-idempotent requests are rejected, or served with a gap in the journal, depending on the journal's file. Other requests
// are served. The journal continues when the disk works again.
func TestDiskFull(t *testing.T) {
	t.Parallel()
	for _, choice := range []string{"deny", "serve"} {
		t.Run(choice, func(t *testing.T) {
			t.Parallel()
			disk := memdisk.New()
			serverEndpoints, received := servers(t, 3, okResponse)
			cfg := config(serverEndpoints...)
			cfg.Filesystem, cfg.Journal = disk, &wal.Config{Dir: "j", Durability: "machine", WhenFailing: choice, MaxWait: tomlfile.Duration(100 * time.Millisecond), SegmentBytes: 1 << 20}
			at, stop := startNode(t, cfg)
			if got := book(t, at, ""); got != 200 {
				t.Fatalf("got status %d, want 200", got)
			}
			await(t, "recorded answer to the first request", func() bool { all, _ := entries(t, disk); return len(all) == 1 && all[0].ClientOutcome != "" })
			disk.SetFull(true)
			before := received.Load()
			want := map[string]int{"deny": 503, "serve": 200}[choice]
			for range 3 {
				if got := book(t, at, ""); got != want {
					t.Errorf("got status %d, want %d", got, want)
				}
				if r := get(t, dial(t, at), "/check/1"); r.Status != 200 {
					t.Errorf("idempotent request: got status %d, want 200", r.Status)
				}
			}
			if got := int(received.Load() - before); got != map[string]int{"deny": 3, "serve": 6}[choice] {
				t.Errorf("unexpected number of attempts: %d", got)
			}
			disk.SetFull(false)
			await(t, "recorded request after the failure", func() bool { return book(t, at, "") == 200 && gaps(t, disk) > 0 })
			if err := stop(); err != nil {
				t.Fatal(err)
			}
			for all, _ := entries(t, disk); len(all) > 0; all = all[1:] {
				if all[0].State() == intent.PossiblySent {
					t.Errorf("got entry possibly sent, want its end recorded: %+v", all[0])
				}
			}
		})
	}
}

// Guards against a data race: if the wait for an intent ends while the disk still writes it, the result of the write must not be read. The
// race detector reports such a read.
func TestIntentWaitTimesOut(t *testing.T) {
	t.Parallel()
	cfg := config()
	cfg.Filesystem = memdisk.SlowFiles{Full: func() bool { return false }, WriteDelay: func() time.Duration { return 20 * time.Millisecond }}
	cfg.Journal = &wal.Config{Dir: t.TempDir(), Durability: "process", WhenFailing: "deny", SegmentBytes: 1 << 20}
	j, err := openJournal(cfg, zerolog.Nop(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer j.close()
	commit, err := j.wal.Append(true, intent.Record{Kind: intent.Intent, Incarnation: j.incarnation, RequestNumber: 1, Server: "s"})
	if err != nil {
		t.Fatal(err)
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if err := j.awaitDurable(canceled, commit, time.Minute); err != errNotDurable && err != nil {
		t.Errorf("got error %v, want errNotDurable or none", err)
	}
	<-commit.Done()
}

func gaps(t *testing.T, disk wal.FileSystem) int {
	_, n := entries(t, disk)
	return n
}
