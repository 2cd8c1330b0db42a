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

// notes is a watcher that writes down what it is told.
type notes struct {
	mu  sync.Mutex
	all []string
}

func (n *notes) note(form string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.all = append(n.all, fmt.Sprintf(form, args...))
}

func (n *notes) said() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return strings.Join(n.all, " ")
}

func (n *notes) FindRequest(id uint64) (RequestInfo, bool) {
	return RequestInfo{Work: 20 * ms}, id != 0xbad
}
func (n *notes) Attempt(id uint64, _ int, _, _ time.Duration)          { n.note("hop") }
func (n *notes) Ran(uint64, int, time.Duration)                        { n.note("ran") }
func (n *notes) AttemptEnded(_ uint64, _ int, _ time.Duration, u bool) { n.note("over:%v", u) }
func (n *notes) Overloaded(int, time.Duration)                         { n.note("fell") }
func (n *notes) Idle(uint64, int, time.Duration, time.Duration)        {}

func start(t *testing.T, f Settings) (*Server, *notes) {
	n := &notes{}
	b, err := NewServer(Identity{Name: "b"}, f, time.Now(), []string{"127.0.0.1:0", "127.0.0.1:0"},
		func(int) time.Duration { return 0 }, n)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b, n
}

func dial(t *testing.T, at string) *http1.Conn {
	t.Helper()
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return http1.NewConn(c)
}

func send(c *http1.Conn, id string) {
	fmt.Fprintf(c, "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRequest-Timeout: 1.000\r\n\r\n", id)
}

const good = "0000000000000100"

// What a caller meets, and what the audit is told of it.
func TestRequests(t *testing.T) {
	status := func(n int, more string) func(*http1.Response, error) bool {
		return func(r *http1.Response, err error) bool {
			return err == nil && r.Status == n && strings.Contains(string(r.Body), more)
		}
	}
	ends := func(with error) func(*http1.Response, error) bool {
		return func(_ *http1.Response, err error) bool { return errors.Is(err, with) }
	}
	set := func(f func(*Faults)) func(*Server) { return func(b *Server) { b.Set(f) } }
	for name, c := range map[string]struct {
		before func(*Server)
		id     string
		meets  func(*http1.Response, error) bool
		told   string
	}{
		"answered":         {nil, good, status(200, good+" b"), "hop ran over:false"},
		"no id":            {nil, "", status(404, ""), ""},
		"nobody's id":      {nil, "0000000000000bad", status(400, ""), "hop"},
		"no id at all":     {nil, "soon", status(400, ""), "hop"},
		"draining":         {func(b *Server) { b.Drain(true) }, good, status(503, ""), "hop over:true"},
		"refused":          {set(func(f *Faults) { f.Refuse = 1 }), good, status(503, ""), "hop over:true"},
		"an error":         {set(func(f *Faults) { f.Err = 1 }), good, status(500, ""), "hop ran over:false"},
		"cut before":       {set(func(f *Faults) { f.CutBefore = 1 }), good, ends(syscall.ECONNRESET), "hop over:false"},
		"cut within":       {set(func(f *Faults) { f.CutWithin = 1 }), good, ends(io.ErrUnexpectedEOF), "hop ran over:false"},
		"a spoilt answer":  {set(func(f *Faults) { f.Spoil = 1 }), "0000000000000000", ends(http1.ErrGarbled), "hop ran over:false"},
		"a wrong length":   {set(func(f *Faults) { f.Spoil = 1 }), "0000000000000300", ends(http1.ErrGarbled), "hop ran over:false"},
		"connections' end": {func(b *Server) { b.mu.Lock(); defer b.mu.Unlock(); b.conns = 5 }, good, status(503, ""), "hop over:true"},
		"its process died": {func(b *Server) { time.AfterFunc(5*ms, b.Crash) }, good, ends(syscall.ECONNRESET), "hop ran over:false"},
		"pushed over, cold": {func(b *Server) {
			b.Crash()
			b.Start()
			b.Model(func(m *Model, _ time.Duration, _ func(Event)) { m.settings.OverloadFactor = 1e-9 })
		}, good, ends(syscall.ECONNRESET), "hop over:false fell"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, told := start(t, Settings{Cores: 1, Speed: 1, Queue: 9, ColdShare: 0.5, ColdFor: time.Hour, OverloadFactor: 9, OverloadWindow: time.Second, Connections: 5})
			if c.before != nil {
				c.before(b)
			}
			conn := dial(t, b.Address(0))
			if c.id == "" {
				io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
			} else {
				send(conn, c.id)
			}
			conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			var r http1.Response
			err := conn.ReadResponse(&r, 1<<20)
			if !c.meets(&r, err) {
				t.Errorf("answered %d %q, %v", r.Status, r.Body, err)
			}
			// A process that dies resets its connections before those who led them have told of it.
			by := time.Now().Add(5 * time.Second)
			for told.said() != c.told && time.Now().Before(by) {
				time.Sleep(ms)
			}
			if got := told.said(); got != c.told {
				t.Errorf("told %q", got)
			}
		})
	}
}

// A caller that leaves ends the attempt but not the work; what waits behind it waits for that work.
func TestLeavingStopsNoWork(t *testing.T) {
	b, told := start(t, Settings{Cores: 1, Speed: 0.02, Queue: 9})
	gone := dial(t, b.Address(0))
	began := time.Now()
	send(gone, good)
	until := func(word string) {
		for !strings.Contains(told.said(), word) {
			time.Sleep(ms)
		}
	}
	until("ran")
	gone.Close()
	until("over")
	next := dial(t, b.Address(0))
	send(next, "0000000000000200")
	var r http1.Response
	if err := next.ReadResponse(&r, 1<<20); err != nil || r.Status != 200 {
		t.Fatalf("%d, %v", r.Status, err)
	}
	if took := time.Since(began); took < 1900*ms { // 20 ms of work take 1 s each
		t.Errorf("both took %s: the first was dropped", took)
	}
	if got := told.said(); !strings.HasPrefix(got, "hop ran over:false hop ran") {
		t.Errorf("told %q", got)
	}
}

// A site is cut off: its callers hear nothing, the others all.
func TestCutOff(t *testing.T) {
	b, _ := start(t, Settings{Cores: 1, Speed: 1, Queue: 9})
	ask := func(site int) error {
		c, err := net.DialTimeout("tcp", b.Address(site), 200*ms)
		if err != nil {
			return err
		}
		defer c.Close()
		conn := http1.NewConn(c)
		c.SetDeadline(time.Now().Add(200 * ms))
		send(conn, good)
		return conn.ReadResponse(&http1.Response{}, 1<<20)
	}
	b.Hush(1)
	if err := ask(0); err != nil {
		t.Errorf("from a site not cut off: %v", err)
	}
	var late net.Error
	if err := ask(1); !errors.As(err, &late) || !late.Timeout() {
		t.Errorf("from the site cut off: %v", err)
	}
	b.Speak(1)
	if err := ask(1); err != nil {
		t.Errorf("afterwards: %v", err)
	}
}

// watched tells on a channel of connections that stood unused.
type watched struct {
	*notes
	idle chan string
}

func (w *watched) Idle(id uint64, box int, from, to time.Duration) {
	w.idle <- fmt.Sprintf("%x at %d, %v", id, box, from >= 0 && to >= from)
}

// A connection on which a request came last is told of as it ends, or as the next one comes.
func TestIdle(t *testing.T) {
	w := &watched{&notes{}, make(chan string, 8)}
	b, err := NewServer(Identity{Name: "b", Number: 7}, Settings{Cores: 1, Speed: 1, Queue: 9}, time.Now(), []string{"127.0.0.1:0"},
		func(int) time.Duration { return 0 }, w)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	unused := dial(t, b.Address(0)) // never asked on: nothing is known of whose it is
	unused.Close()
	conn := dial(t, b.Address(0))
	for _, id := range []string{good, "0000000000000200"} {
		send(conn, id)
		var r http1.Response
		if err := conn.ReadResponse(&r, 1<<20); err != nil || r.Status != 200 {
			t.Fatalf("%d, %v", r.Status, err)
		}
	}
	conn.Close()
	for _, want := range []string{"100 at 7, true", "200 at 7, true"} {
		if got := <-w.idle; got != want {
			t.Errorf("told %q, want %q", got, want)
		}
	}
	if len(w.idle) > 0 {
		t.Errorf("told %q beside", <-w.idle)
	}
}
