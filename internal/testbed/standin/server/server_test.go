package server

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"fernvane/internal/protocol/http1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// reports is a Watcher that records its notifications as words.
type reports struct {
	mu  sync.Mutex
	all []string
}

func (r *reports) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, fmt.Sprintf(format, args...))
}

func (r *reports) words() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.all, " ")
}

func (r *reports) FindRequest(id uint64) (RequestInfo, bool) {
	return RequestInfo{Work: 20 * ms}, id != 0xbad
}
func (r *reports) Attempt(id uint64, _ int, _, _ time.Duration) { r.add("attempt") }
func (r *reports) Ran(uint64, int, time.Duration)               { r.add("ran") }
func (r *reports) AttemptEnded(_ uint64, _ int, _ time.Duration, neverRan bool) {
	r.add("ended:%v", neverRan)
}
func (r *reports) Overloaded(int, time.Duration)                  { r.add("overloaded") }
func (r *reports) Idle(uint64, int, time.Duration, time.Duration) {}

func start(t *testing.T, settings Settings) (*Server, *reports) {
	r := &reports{}
	s, err := NewServer(Identity{Name: "b"}, settings, time.Now(), []string{"127.0.0.1:0", "127.0.0.1:0"},
		func(int) time.Duration { return 0 }, r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, r
}

func dial(t *testing.T, address string) *http1.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return http1.NewConn(c)
}

func send(c *http1.Conn, id string) {
	fmt.Fprintf(c, "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRequest-Timeout: 1.000\r\n\r\n", id)
}

const knownID = "0000000000000100"

// TestRequests checks the response of each kind of request and fault, and the reports to the watcher.
func TestRequests(t *testing.T) {
	status := func(n int, body string) func(*http1.Response, error) bool {
		return func(r *http1.Response, err error) bool {
			return err == nil && r.Status == n && strings.Contains(string(r.Body), body)
		}
	}
	ends := func(want error) func(*http1.Response, error) bool {
		return func(_ *http1.Response, err error) bool { return errors.Is(err, want) }
	}
	set := func(f func(*Faults)) func(*Server) { return func(s *Server) { s.ChangeFaults(f) } }
	for name, c := range map[string]struct {
		before func(*Server)
		id     string
		want   func(*http1.Response, error) bool
		report string
	}{
		"executed":         {nil, knownID, status(200, knownID+" b"), "attempt ran ended:false"},
		"no id":            {nil, "", status(404, ""), ""},
		"unknown id":       {nil, "0000000000000bad", status(400, ""), "attempt"},
		"malformed id":     {nil, "soon", status(400, ""), "attempt"},
		"draining":         {func(s *Server) { s.SetDraining(true) }, knownID, status(503, ""), "attempt ended:true"},
		"rejected":         {set(func(f *Faults) { f.Reject = 1 }), knownID, status(503, ""), "attempt ended:true"},
		"error":            {set(func(f *Faults) { f.ErrorResponse = 1 }), knownID, status(500, ""), "attempt ran ended:false"},
		"cut before":       {set(func(f *Faults) { f.CutBefore = 1 }), knownID, ends(syscall.ECONNRESET), "attempt ended:false"},
		"cut within":       {set(func(f *Faults) { f.CutWithin = 1 }), knownID, ends(io.ErrUnexpectedEOF), "attempt ran ended:false"},
		"garbled response": {set(func(f *Faults) { f.GarbleResponse = 1 }), "0000000000000000", ends(http1.ErrMalformedResponse), "attempt ran ended:false"},
		"wrong length":     {set(func(f *Faults) { f.GarbleResponse = 1 }), "0000000000000300", ends(http1.ErrMalformedResponse), "attempt ran ended:false"},
		"full":             {func(s *Server) { s.mu.Lock(); defer s.mu.Unlock(); s.conns = 5 }, knownID, status(503, ""), "attempt ended:true"},
		"crashed":          {func(s *Server) { time.AfterFunc(5*ms, s.Crash) }, knownID, ends(syscall.ECONNRESET), "attempt ran ended:false"},
		"overloaded while cold": {func(s *Server) {
			s.Crash()
			s.Start()
			s.WithModel(func(m *Model, _ time.Duration, _ func(Event)) { m.settings.OverloadFactor = 1e-9 })
		}, knownID, ends(syscall.ECONNRESET), "attempt ended:false overloaded"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, watcher := start(t, Settings{Cores: 1, Speed: 1, Queue: 9, ColdShare: 0.5, ColdFor: time.Hour, OverloadFactor: 9, OverloadWindow: time.Second, Connections: 5})
			if c.before != nil {
				c.before(s)
			}
			conn := dial(t, s.Address(0))
			if c.id == "" {
				io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
			} else {
				send(conn, c.id)
			}
			conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			var r http1.Response
			err := conn.ReadResponse(&r, 1<<20)
			if !c.want(&r, err) {
				t.Errorf("got status %d, body %q, error %v", r.Status, r.Body, err)
			}
			// A crash resets connections before their goroutines have reported the ends of attempts.
			deadline := time.Now().Add(5 * time.Second)
			for watcher.words() != c.report && time.Now().Before(deadline) {
				time.Sleep(ms)
			}
			if got := watcher.words(); got != c.report {
				t.Errorf("got reports %q", got)
			}
		})
	}
}

// TestDisconnectStopsNoWork checks that a caller's disconnect ends the attempt but not its execution: the next request waits
// until the execution ends.
func TestDisconnectStopsNoWork(t *testing.T) {
	s, watcher := start(t, Settings{Cores: 1, Speed: 0.02, Queue: 9})
	first := dial(t, s.Address(0))
	began := time.Now()
	send(first, knownID)
	waitFor := func(word string) {
		for !strings.Contains(watcher.words(), word) {
			time.Sleep(ms)
		}
	}
	waitFor("ran")
	first.Close()
	waitFor("ended")
	next := dial(t, s.Address(0))
	send(next, "0000000000000200")
	var r http1.Response
	if err := next.ReadResponse(&r, 1<<20); err != nil || r.Status != 200 {
		t.Fatalf("got status %d, error %v, want status 200", r.Status, err)
	}
	if took := time.Since(began); took < 1900*ms { // 20 ms of work take 1 s each
		t.Errorf("both requests took %s, want at least 1.9 s: execution of the first was stopped", took)
	}
	if got := watcher.words(); !strings.HasPrefix(got, "attempt ran ended:false attempt ran") {
		t.Errorf("got reports %q", got)
	}
}

// TestCutOff checks that callers of a site that is cut off get timeouts, and callers of other sites get responses.
func TestCutOff(t *testing.T) {
	s, _ := start(t, Settings{Cores: 1, Speed: 1, Queue: 9})
	request := func(site int) error {
		c, err := net.DialTimeout("tcp", s.Address(site), 200*ms)
		if err != nil {
			return err
		}
		defer c.Close()
		conn := http1.NewConn(c)
		c.SetDeadline(time.Now().Add(200 * ms))
		send(conn, knownID)
		return conn.ReadResponse(&http1.Response{}, 1<<20)
	}
	s.CutOff(1)
	if err := request(0); err != nil {
		t.Errorf("site not cut off: got error %v", err)
	}
	var late net.Error
	if err := request(1); !errors.As(err, &late) || !late.Timeout() {
		t.Errorf("site cut off: got error %v, want a timeout", err)
	}
	s.EndCutOff(1)
	if err := request(1); err != nil {
		t.Errorf("after the cut: got error %v", err)
	}
}

// idleReports is a Watcher that sends reports of idle connections to a channel.
type idleReports struct {
	*reports
	idle chan string
}

func (w *idleReports) Idle(id uint64, server int, from, to time.Duration) {
	w.idle <- fmt.Sprintf("%x at %d, %v", id, server, from >= 0 && to >= from)
}

// TestIdle checks that a connection that was idle after a request is reported when the next request comes or the connection
// ends.
func TestIdle(t *testing.T) {
	w := &idleReports{&reports{}, make(chan string, 8)}
	s, err := NewServer(Identity{Name: "b", Number: 7}, Settings{Cores: 1, Speed: 1, Queue: 9}, time.Now(), []string{"127.0.0.1:0"},
		func(int) time.Duration { return 0 }, w)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	unused := dial(t, s.Address(0)) // carries no request, so that no request's ID can report it as idle
	unused.Close()
	conn := dial(t, s.Address(0))
	for _, id := range []string{knownID, "0000000000000200"} {
		send(conn, id)
		var r http1.Response
		if err := conn.ReadResponse(&r, 1<<20); err != nil || r.Status != 200 {
			t.Fatalf("got status %d, error %v, want status 200", r.Status, err)
		}
	}
	conn.Close()
	for _, want := range []string{"100 at 7, true", "200 at 7, true"} {
		if got := <-w.idle; got != want {
			t.Errorf("idle report: got %q, want %q", got, want)
		}
	}
	if len(w.idle) > 0 {
		t.Errorf("got further idle report %q", <-w.idle)
	}
}

// TestSecondCopies checks that a response or rejection that a fault hits arrives twice while nothing else waits on the connection.
// A busy machine may delay a copy beyond maxCopyOverdue, so the request is repeated until a copy arrives.
func TestSecondCopies(t *testing.T) {
	for name, c := range map[string]struct {
		faults Faults
		status int
	}{
		"of a response":  {Faults{CopyResponse: 1, CopyDelay: ms}, 200},
		"of a rejection": {Faults{Reject: 1, CopyRejection: 1, CopyDelay: ms}, 503},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := start(t, Settings{Cores: 1, Speed: 1, Queue: 9})
			s.ChangeFaults(func(f *Faults) { *f = c.faults })
			for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
				conn := dial(t, s.Address(0))
				send(conn, knownID)
				var first, second http1.Response
				if err := conn.ReadResponse(&first, 1<<20); err != nil || first.Status != c.status {
					t.Fatalf("got status %d, error %v, want status %d", first.Status, err, c.status)
				}
				body := string(first.Body)
				conn.SetReadDeadline(time.Now().Add(200 * ms))
				if conn.ReadResponse(&second, 1<<20) == nil {
					if second.Status != c.status || string(second.Body) != body {
						t.Errorf("second copy: got status %d, body %q, want %d %q", second.Status, second.Body, c.status, body)
					}
					return
				}
			}
			t.Error("got no second copy within 10 s")
		})
	}
}
