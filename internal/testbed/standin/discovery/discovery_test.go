package discovery

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"fernvane/internal/protocol/http1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// announcements is a Watcher that records the entries that were written to nodes.
type announcements struct {
	mu  sync.Mutex
	all []string
}

func (a *announcements) Announced(node int, id, condition string, _ int64, _ time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, fmt.Sprint(node, id, condition))
}

const address = "127.0.0.1:0"

func start(t *testing.T, settings Settings) (*Service, *announcements, *http1.Conn) {
	w := &announcements{}
	s := New(settings, 1, w)
	t.Cleanup(s.Close)
	if err := s.Serve(7, 0, address); err != nil {
		t.Fatal(err)
	}
	return s, w, dial(t, s)
}

func dial(t *testing.T, s *Service) *http1.Conn {
	c, err := net.Dial("tcp", s.endpoints[0].listener.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return http1.NewConn(c)
}

func call(c *http1.Conn, query string) (http1.EndpointList, int, error) {
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "GET /discovery/hosts%s HTTP/1.1\r\nHost: h\r\n\r\n", query)
	var r http1.Response
	if err := c.ReadResponse(&r, 1<<20); err != nil {
		return http1.EndpointList{}, 0, err
	}
	l, _ := http1.ParseEndpointList(r.Body)
	return l, r.Status, nil
}

func entry(id, condition string) Entry {
	return Entry{ID: id, Condition: condition, Addresses: []string{"127.0.0.1:1"}}
}

// TestCalls makes consecutive calls on one connection, with changes between them, and checks each list.
func TestCalls(t *testing.T) {
	s, w, c := start(t, Settings{LinesPerSecond: 1e6, Timeout: time.Second})
	s.Set(entry("a", Serving))
	s.Set(entry("b", Serving))
	for _, step := range []struct {
		change func()
		query  string
		want   string
	}{
		{nil, "", "2 complete a0 b0"},
		{nil, "?index=1&wait=1000", "2 b0"},
		{nil, "?index=2&wait=1", "2"},
		{func() { s.Set(entry("a", Draining)) }, "?index=2&wait=1000", "3 a1"},
		{func() { time.AfterFunc(20*time.Millisecond, func() { s.Set(entry("a", Deleted)) }) }, "?index=3&wait=4000", "4 a2"},
		{nil, "", "4 complete b0"},
	} {
		if step.change != nil {
			step.change()
		}
		l, status, err := call(c, step.query)
		got := fmt.Sprint(l.Revision)
		if l.IsComplete {
			got += " complete"
		}
		for _, h := range l.Endpoints {
			got += fmt.Sprintf(" %s%d", h.ID, h.Condition)
		}
		if err != nil || status != 200 || got != step.want {
			t.Errorf("call %q: got status %d, list %q, error %v, want status 200", step.query, status, got, err)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if got := strings.Join(w.all, " "); !strings.Contains(got, "7aDRAINING 7aDELETED") {
		t.Errorf("got announcements %s, want 7aDRAINING 7aDELETED among them", got)
	}
}

// TestFailures checks how calls and new connections fail, and that calls succeed again afterwards.
func TestFailures(t *testing.T) {
	for name, c := range map[string]struct {
		settings  Settings
		fail      func(*Service)
		status    int  // 0: the connection ends
		isRefused bool // of new connections
	}{
		"over its capacity": {Settings{LinesPerSecond: 10, CallLines: 30, Timeout: time.Second}, func(*Service) {}, 503, false},
		"down":              {Settings{LinesPerSecond: 1e6, Timeout: time.Second}, func(s *Service) { s.SetDown(true) }, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, _, conn := start(t, c.settings)
			s.Set(entry("a", Serving))
			listenAddress := s.endpoints[0].listener.Address()
			c.fail(s)
			_, status, err := call(conn, "")
			if status != c.status || (err == nil) != (c.status > 0) {
				t.Errorf("call: got status %d, error %v", status, err)
			}
			fresh, err := net.Dial("tcp", listenAddress)
			if (err != nil) != c.isRefused {
				t.Errorf("new connection: got error %v", err)
			}
			if err == nil {
				fresh.Close()
			}
			if c.isRefused {
				s.SetDown(false)
				if l, status, err := call(dial(t, s), ""); err != nil || status != 200 || len(l.Endpoints) != 1 {
					t.Errorf("after the failure: got status %d, error %v, want status 200 and one endpoint", status, err)
				}
			}
		})
	}
}
