package zookeeper

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/discovery/endpoints"
	standin "fernvane/internal/testbed/standin/zookeeper"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// The forms of an entry's data, and what is wrong with others.
func TestParse(t *testing.T) {
	for data, want := range map[string]string{
		`127.0.0.1:80`:   "127.0.0.1:80",
		"127.0.0.1:80\n": "127.0.0.1:80",
		`{"name":"hire","id":"x","address":"127.0.0.1","port":80,"registrationTimeUTC":1,"payload":{"zone":"north","size":2}}`: "127.0.0.1:80 north",
		`{"address":"127.0.0.1","port":80,"enabled":false}`:                                                                    "127.0.0.1:80 draining",
		`{"serviceEndpoint":{"host":"127.0.0.1","port":80},"additionalEndpoints":{},"status":"ALIVE","shard":1}`:               "127.0.0.1:80",
		`{"serviceEndpoint":{"host":"127.0.0.1","port":80},"status":"STOPPING"}`:                                               "127.0.0.1:80 draining",
		``:                                  "! data is empty",
		`server.example:80`:                 "! neither JSON nor an IP address",
		`{"address":"127.0.0.1"}`:           "! missing or invalid address",
		`{"address":"127.0.0.1","port":"x"`: "! decode JSON",
		`{"address":"h","port":80}`:         "! missing or invalid address",
		`{"address":"127.0.0.1","port":80,"status":"ODD"}`: "! unknown status",
		strings.Repeat("x", maxDataBytes+1):                "! bytes of data",
	} {
		l, err := ParseEntry("id", []byte(data))
		got := strings.TrimSpace(l.Address + " " + l.Zone)
		if l.IsDraining {
			got += " draining"
		}
		if why, bad := strings.CutPrefix(want, "! "); bad != (err != nil) || bad && !strings.Contains(err.Error(), why) || !bad && got != want {
			t.Errorf("%.60q: %q, %v", data, got, err)
		}
	}
}

// ensemble is a stand-in registry with two addresses, and a Reader of it.
type ensemble struct {
	t       *testing.T
	r       *standin.Registry
	servers []*standin.Server
	mu      sync.Mutex
	now     []string
	faults  []string
}

func begin(t *testing.T, session time.Duration) *ensemble {
	t.Helper()
	e := &ensemble{t: t, r: standin.New(nil)}
	var at []string
	for range 2 {
		s, err := e.r.Listen("127.0.0.1:0", 0)
		if err != nil {
			t.Fatal(err)
		}
		e.servers, at = append(e.servers, s), append(at, s.Address())
	}
	e.r.Own(time.Hour, map[string][]byte{"/services/hire/.keep": []byte("127.0.0.1:1")})
	cfg := &Config{Servers: at, Path: "/hire", Chroot: "/services", SessionTimeout: tomlfile.Duration(session)}
	conn, err := Dial(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	reader := NewReader(conn, cfg, func(all []endpoints.RegistryEntry) {
		var names []string
		for _, l := range all {
			name := l.ID
			if l.IsDraining {
				name += " draining"
			}
			if l.ID != ".keep" {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		e.mu.Lock()
		e.now = names
		e.mu.Unlock()
	}, func(err error) {
		e.mu.Lock()
		e.faults = append(e.faults, err.Error())
		e.mu.Unlock()
	})
	go func() { done <- reader.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		e.r.Close()
	})
	return e
}

func (e *ensemble) until(want ...string) {
	e.t.Helper()
	if !e.comes(want...) {
		e.t.FailNow()
	}
}

func data(port int) []byte { return fmt.Appendf(nil, "127.0.0.1:%d", port) }

// Events of entries and of the ensemble, and that the Reader holds what is there in the end.
func TestReader(t *testing.T) {
	t.Parallel()
	e := begin(t, time.Second)
	a := e.r.Own(time.Hour, map[string][]byte{"/services/hire/a": data(1)})
	b := e.r.Own(time.Hour, map[string][]byte{"/services/hire/b": data(2)})
	e.until("a", "b")
	b.Set("/services/hire/b", []byte(`{"address":"127.0.0.1","port":2,"status":"DRAINING"}`))
	e.until("a", "b draining")
	e.r.Own(time.Hour, map[string][]byte{"/services/hire/bad": []byte("nowhere")})
	b.End()
	e.until("a")
	// Events in flight are lost with the connections; what changed meanwhile is seen all the same.
	for _, s := range e.servers {
		s.Set(0, 300*time.Millisecond, false)
	}
	c := e.r.Own(time.Hour, map[string][]byte{"/services/hire/c": data(3)})
	for _, s := range e.servers {
		s.Break()
		s.Set(0, 0, false)
	}
	e.until("a", "c")
	// The ensemble is out of reach for longer than the session lives.
	e.r.Refuse(true)
	for _, s := range e.servers {
		s.Break()
	}
	a.End()
	c.Set("/services/hire/c", []byte(`{"address":"127.0.0.1","port":3,"status":"STOPPING"}`))
	time.Sleep(1500 * time.Millisecond) // the session expires
	e.r.Refuse(false)
	e.until("c draining")
	e.r.Own(time.Hour, map[string][]byte{"/services/hire/d": data(4)})
	e.until("c draining", "d")
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.ContainsFunc(e.faults, func(f string) bool { return strings.Contains(f, "/services/hire/bad: ") }) {
		t.Errorf("the bad entry is not named: %v", e.faults)
	}
}

// A server's session expires in time, and late.
func TestExpiry(t *testing.T) {
	t.Parallel()
	e := begin(t, time.Second)
	a := e.r.Own(300*time.Millisecond, map[string][]byte{"/services/hire/a": data(1)})
	b := e.r.Own(300*time.Millisecond, map[string][]byte{"/services/hire/b": data(2)})
	e.until("a", "b")
	a.Silence()
	e.until("b")
	e.r.Late(time.Hour)
	b.Silence()
	time.Sleep(600 * time.Millisecond)
	e.until("b")
	e.r.Late(0)
	e.until()
}

// Sessions are lost again and again, by their connections and by expiry, beside an entry that cannot be parsed. The Reader
// goes on, and neither a watch nor a goroutine that waits for it is left over. LOSSES=10000 loses so many, with parallel
// Readers.
func TestSessionLosses(t *testing.T) {
	losses, readers := 16, 1
	if all, err := strconv.Atoi(os.Getenv("LOSSES")); err == nil {
		readers = 50
		losses = all / readers
	}
	var es []*ensemble
	for range readers {
		e := begin(t, 500*time.Millisecond)
		e.until()
		e.r.Own(time.Hour, map[string][]byte{"/services/hire/bad": []byte("nowhere")})
		es = append(es, e)
	}
	var all sync.WaitGroup
	for _, e := range es {
		all.Go(func() {
			for i := range losses {
				if i%2 == 0 {
					e.r.Lose()
				} else {
					for _, s := range e.servers {
						s.Break()
					}
				}
				own := e.r.Own(time.Hour, map[string][]byte{"/services/hire/x": data(i + 1)})
				if !e.comes("x") {
					return
				}
				if own.End(); !e.comes() {
					return
				}
			}
		})
	}
	all.Wait()
	const stand = 3 // those of the children, .keep and bad
	waiting, watches := 0, 0
	for by := time.Now().Add(20 * time.Second); time.Now().Before(by); time.Sleep(20 * time.Millisecond) {
		buf := make([]byte, 8<<20)
		waiting = strings.Count(string(buf[:runtime.Stack(buf, true)]), "(*Reader).awaitWatch.func1(")
		watches = 0
		for _, e := range es {
			watches += e.r.Watches()
		}
		if waiting == stand*readers && watches == stand*readers {
			return
		}
	}
	t.Errorf("%d wait for %d watches, of %d readers", waiting, watches, readers)
}

// comes is until, for any goroutine.
func (e *ensemble) comes(want ...string) bool {
	for by := time.Now().Add(20 * time.Second); time.Now().Before(by); time.Sleep(5 * time.Millisecond) {
		e.mu.Lock()
		got := e.now
		e.mu.Unlock()
		if slices.Equal(got, want) {
			return true
		}
	}
	e.t.Errorf("not listed: %v; %v", want, e.faults)
	return false
}
