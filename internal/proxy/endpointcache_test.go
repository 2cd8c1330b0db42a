package proxy

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/journal/wal"
	"fernvane/internal/protocol/http1"
)

// cachedList writes an endpoint list like that of a node that was killed, and returns the configuration to load it.
func cachedList(t *testing.T, change func(*snapshot.Snapshot), servers ...snapshot.Server) *snapshot.Config {
	t.Helper()
	dir := t.TempDir()
	store, err := snapshot.Open(dir, 3, wal.OSFileSystem{})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now().UnixMilli()
	s := &snapshot.Snapshot{Node: "n", Deployment: "d", WrittenUnixMS: now, ConfirmedUnixMS: now, Revision: 7, Servers: servers}
	if change != nil {
		change(s)
	}
	if err := store.Write(s); err != nil {
		t.Fatal(err)
	}
	return &snapshot.Config{Dir: dir, Deployment: "d", WriteInterval: tomlfile.Duration(20 * time.Millisecond), MaxGenerations: 3, MaxAge: tomlfile.Duration(time.Hour)}
}

// countingServer is a stand-in server that counts requests by the first part of the path.
type countingServer struct {
	mu sync.Mutex
	n  map[string]int
	at netip.AddrPort
}

func (a *countingServer) count(kind string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.n[kind]
}

func newCountingServer(t *testing.T, fields string) *countingServer {
	a := &countingServer{n: map[string]int{}}
	a.at = standIn(t, func(nc net.Conn) {
		defer nc.Close()
		var r http1.Request
		for c := http1.NewConn(nc); c.ReadRequest(&r) == nil; {
			a.mu.Lock()
			a.n[strings.Split(string(r.Target), "/")[1]]++
			a.mu.Unlock()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", fields)
		}
	})
	return a
}

func (a *countingServer) server(id string, c incarnation.Condition) snapshot.Server {
	return snapshot.Server{ID: id, Condition: uint8(c), Address: a.at.String(), Weight: 1}
}

// sendConcurrently sends more concurrent requests than one server handles.
func sendConcurrently(t *testing.T, at string) {
	t.Helper()
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			nc, err := net.Dial("tcp", at)
			if err != nil {
				t.Error(err)
				return
			}
			defer nc.Close()
			fmt.Fprintf(nc, "GET /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", ids.Add(1))
			http1.NewConn(nc).ReadResponse(&http1.Response{}, http1.MaxResponseBody)
		})
	}
	all.Wait()
}

func bookStatus(t *testing.T, at string) int {
	c := dial(t, at)
	defer c.Close()
	fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nRequest-Id: %d\r\n\r\n", ids.Add(1))
	r := readReply(t, c)
	return r.Status
}

// A node starts with its cached list while its source is unreachable: draining servers get no requests, non-idempotent requests go only to a
// server that is proven to serve, and a server that identifies itself as another server gets no further requests.
func TestStartFromCachedList(t *testing.T) {
	t.Parallel()
	up, drained, other := newCountingServer(t, ""), newCountingServer(t, ""), newCountingServer(t, "Server-Id: else\r\n")
	cfg := config()
	cfg.Snapshot = cachedList(t, func(s *snapshot.Snapshot) { s.ConfirmedUnixMS -= (10 * time.Minute).Milliseconds() },
		up.server("up", incarnation.Up), drained.server("drained", incarnation.Draining), drained.server("gone", incarnation.Gone), other.server("other", incarnation.Up))
	at, stop := startNode(t, cfg)
	if status := bookStatus(t, at); status != 503 || up.count("book")+other.count("book") > 0 {
		t.Errorf("non-idempotent request before any server is proven: got status %d, want 503 without an attempt", status)
	}
	for up.count("check") == 0 || other.count("check") == 0 {
		sendConcurrently(t, at)
	}
	for bookStatus(t, at) != 200 { // until the node has observed a response that arrived in time
		sendConcurrently(t, at)
	}
	before := other.count("check")
	for range 8 {
		sendConcurrently(t, at)
		bookStatus(t, at)
	}
	if other.count("check") > before+8 || other.count("book") > 0 || drained.count("check")+drained.count("book") > 0 {
		t.Errorf("got %d idempotent and %d non-idempotent requests to the server with another ID, %d and %d to the draining and gone servers", other.count("check")-before, other.count("book"),
			drained.count("check"), drained.count("book"))
	}
	if err := stop(); err != nil {
		t.Error(err)
	}
	store, _ := snapshot.Open(cfg.Snapshot.Dir, 3, wal.OSFileSystem{})
	if all, _ := store.All(); len(all) != 1 { // the list was never confirmed, so writing it would make it look new
		t.Errorf("got %d generations, want 1", len(all))
	}
}

// A node does not use its cached list if the list is too old, of another node or deployment, or not newer than that of the configuration. A server
// without a valid address is left out.
func TestCachedListNotUsed(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		change     func(*snapshot.Snapshot)
		configured uint64 // revision of the list in the configuration; 0: none
		used       bool
	}{
		"valid":              {nil, 0, true},
		"another deployment": {func(s *snapshot.Snapshot) { s.Deployment = "e" }, 0, false},
		"another node":       {func(s *snapshot.Snapshot) { s.Node = "m" }, 0, false},
		"too old":            {func(s *snapshot.Snapshot) { s.ConfirmedUnixMS -= (2 * time.Hour).Milliseconds() }, 0, false},
		"from the future":    {func(s *snapshot.Snapshot) { s.ConfirmedUnixMS += (2 * time.Hour).Milliseconds() }, 0, true},
		"newer configured":   {nil, 8, false},
		"older configured":   {nil, 6, true},
		"no address":         {func(s *snapshot.Snapshot) { s.Servers[0].Address = "" }, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newCountingServer(t, "")
			cfg := config()
			cfg.Snapshot = cachedList(t, c.change, server.server("s", incarnation.Up))
			if c.configured > 0 {
				cfg.SavedList = http1.EndpointList{Revision: c.configured, Endpoints: []http1.Endpoint{{ID: "gone", Condition: http1.Deleted}}}
			}
			at, _ := startNode(t, cfg)
			if status := get(t, dial(t, at), "/check/1").Status; (status == 200) != c.used {
				t.Errorf("unexpected status %d", status)
			}
		})
	}
}

// awaitList returns the next list for a poll. ok is false if the node has abandoned the poll before or lists is closed. It takes no list for an
// abandoned poll, because that list would be lost.
func awaitList(c *http1.Conn, lists <-chan string) (list string, ok bool) {
	disconnected := make(chan struct{})
	go func() {
		defer close(disconnected)
		c.WaitDisconnected()
	}()
	select {
	case list, ok = <-lists:
	case <-disconnected:
		return "", false
	}
	c.SetReadDeadline(pastDeadline)
	<-disconnected
	c.SetReadDeadline(time.Time{})
	return list, ok
}

// The first list of discovery after a start: an incomplete list changes the cached list and confirms it; a complete list that lacks proven
// servers is not applied immediately. The confirmed list is written to disk, at the end marked as that of a clean shutdown.
func TestCachedListConfirmed(t *testing.T) {
	t.Parallel()
	one, two := newCountingServer(t, ""), newCountingServer(t, "")
	lists := make(chan string, 4)
	line := func(id string, a *countingServer, condition string) string {
		return fmt.Sprintf(`{"id":%q,"host_port":%q,"phase":%q,"size":1}`, id, a.at, condition)
	}
	cfg := config()
	cfg.Snapshot = cachedList(t, func(s *snapshot.Snapshot) { s.ConfirmedUnixMS -= (10 * time.Minute).Milliseconds() },
		one.server("one", incarnation.Up), two.server("two", incarnation.Up), one.server("old", incarnation.Draining))
	cfg.Discovery = standIn(t, func(nc net.Conn) {
		defer nc.Close()
		var r http1.Request
		for c := http1.NewConn(nc); c.ReadRequest(&r) == nil; {
			body, ok := awaitList(c, lists)
			if !ok {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	})
	t.Cleanup(func() { close(lists) })
	at, stop := startNode(t, cfg)
	for one.count("check") == 0 || two.count("check") == 0 {
		sendConcurrently(t, at)
	}
	for bookStatus(t, at) != 200 {
	}
	lists <- `{"revision":9,"complete":true,"members":[]}` // not applied
	lists <- `{"revision":9,"complete":false,"members":[` + line("two", two, "DRAINING") + `]}`
	store, _ := snapshot.Open(cfg.Snapshot.Dir, 3, wal.OSFileSystem{})
	var got *snapshot.Snapshot
	for got == nil || got.Revision != 9 { // until the change is on disk
		time.Sleep(5 * time.Millisecond)
		got, _, _ = store.Newest()
	}
	before := two.count("check")
	for range 20 {
		if status := get(t, dial(t, at), "/check/1").Status; status != 200 {
			t.Fatalf("got status %d, want 200", status)
		}
	}
	if two.count("check") > before {
		t.Error("draining server got a request")
	}
	if err := stop(); err != nil {
		t.Error(err)
	}
	got, _, _ = store.Newest()
	states := map[string]uint8{}
	for _, s := range got.Servers {
		states[s.ID] = s.Condition
	}
	if !got.IsCleanShutdown || got.Node != "n" || fmt.Sprint(states) != "map[old:1 one:0 two:1]" || got.Servers[1].ExecutedUnixMS == 0 || time.Since(time.UnixMilli(got.ConfirmedUnixMS)) > time.Minute {
		t.Errorf("unexpected list on disk after the stop: %+v", got)
	}
}

// Guards against a restarted node that goes on sending requests to servers which the complete list of discovery lacks, because they are most
// of the servers that have responded since the start.
func TestCompleteListReplacesCachedList(t *testing.T) {
	t.Parallel()
	stays, left, leftToo := newCountingServer(t, ""), newCountingServer(t, ""), newCountingServer(t, "")
	servers := []*countingServer{stays, left, leftToo}
	cfg := config()
	cfg.Snapshot = cachedList(t, nil, stays.server("stays", incarnation.Up), left.server("left", incarnation.Up), leftToo.server("left-too", incarnation.Up))
	lists := make(chan string, 1)
	cfg.Discovery = standIn(t, func(nc net.Conn) {
		defer nc.Close()
		var r http1.Request
		for c := http1.NewConn(nc); c.ReadRequest(&r) == nil; {
			body, ok := awaitList(c, lists)
			if !ok {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	})
	t.Cleanup(func() { close(lists) })
	at, _ := startNode(t, cfg)
	for !allCounted(servers) || bookStatus(t, at) != 200 {
		sendConcurrently(t, at)
	}
	lists <- fmt.Sprintf(`{"revision":9,"complete":true,"members":[{"id":"stays","host_port":%q,"phase":"SERVING","size":1}]}`, stays.at)
	time.Sleep(500 * time.Millisecond) // stopSendingWithin
	before := left.count("check") + leftToo.count("check")
	for by := time.Now().Add(time.Second); time.Now().Before(by); {
		sendConcurrently(t, at)
	}
	if got := left.count("check") + leftToo.count("check") - before; got > 0 {
		t.Errorf("got %d requests to servers that the complete list lacks, want none", got)
	}
}

// A node whose disk fails serves requests; only the stored list is missing.
func TestListNotWritten(t *testing.T) {
	t.Parallel()
	serverEndpoints, _ := servers(t, 1, okResponse)
	cfg := config(serverEndpoints...)
	cfg.Snapshot = &snapshot.Config{Dir: t.TempDir(), Deployment: "d", WriteInterval: tomlfile.Duration(time.Millisecond), MaxGenerations: 2, MaxAge: tomlfile.Duration(time.Hour)}
	cfg.Filesystem = failingFilesystem{}
	at, stop := startNode(t, cfg)
	for range 20 {
		if status := get(t, dial(t, at), "/check/1").Status; status != 200 {
			t.Fatalf("got status %d, want 200", status)
		}
	}
	if err := stop(); err != nil {
		t.Error(err)
	}
}

type failingFilesystem struct{ wal.OSFileSystem }

func (failingFilesystem) Create(string) (wal.File, error) { return nil, io.ErrShortWrite }
