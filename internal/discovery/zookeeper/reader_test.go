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

// TestParse parses entry data in all supported formats and compares the errors of invalid data.
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
		entry, err := ParseEntry("id", []byte(data))
		got := strings.TrimSpace(entry.Address + " " + entry.Zone)
		if entry.IsDraining {
			got += " draining"
		}
		if wantErr, isInvalid := strings.CutPrefix(want, "! "); isInvalid != (err != nil) || isInvalid && !strings.Contains(err.Error(), wantErr) || !isInvalid && got != want {
			t.Errorf("data %.60q: got %q, error %v", data, got, err)
		}
	}
}

// ensemble is a stand-in registry with two addresses and a Reader of it.
type ensemble struct {
	t        *testing.T
	registry *standin.Registry
	servers  []*standin.Server
	mu       sync.Mutex
	listed   []string // entries that the Reader listed last
	errs     []string // errors that the Reader reported
}

// startEnsemble starts a stand-in registry and a Reader of it with the given session timeout.
func startEnsemble(t *testing.T, session time.Duration) *ensemble {
	t.Helper()
	e := &ensemble{t: t, registry: standin.New(nil)}
	var addresses []string
	for range 2 {
		s, err := e.registry.Listen("127.0.0.1:0", 0)
		if err != nil {
			t.Fatal(err)
		}
		e.servers, addresses = append(e.servers, s), append(addresses, s.Address())
	}
	e.registry.OpenSession(time.Hour, map[string][]byte{"/services/hire/.keep": []byte("127.0.0.1:1")})
	cfg := &Config{Servers: addresses, Path: "/hire", Chroot: "/services", SessionTimeout: tomlfile.Duration(session)}
	conn, err := Dial(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	reader := NewReader(conn, cfg, func(all []endpoints.RegistryEntry) {
		var names []string
		for _, entry := range all {
			name := entry.ID
			if entry.IsDraining {
				name += " draining"
			}
			if entry.ID != ".keep" {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		e.mu.Lock()
		e.listed = names
		e.mu.Unlock()
	}, func(err error) {
		e.mu.Lock()
		e.errs = append(e.errs, err.Error())
		e.mu.Unlock()
	})
	go func() { done <- reader.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		e.registry.Close()
	})
	return e
}

// waitFor waits until the Reader lists the wanted entries, and fails the test otherwise.
func (e *ensemble) waitFor(want ...string) {
	e.t.Helper()
	if !e.lists(want...) {
		e.t.FailNow()
	}
}

// data returns the data of an entry for a server at the given port.
func data(port int) []byte { return fmt.Appendf(nil, "127.0.0.1:%d", port) }

// TestReader applies events of entries and failures of the ensemble and checks that the Reader lists the current entries after
// each of them.
func TestReader(t *testing.T) {
	t.Parallel()
	e := startEnsemble(t, time.Second)
	a := e.registry.OpenSession(time.Hour, map[string][]byte{"/services/hire/a": data(1)})
	b := e.registry.OpenSession(time.Hour, map[string][]byte{"/services/hire/b": data(2)})
	e.waitFor("a", "b")
	b.Set("/services/hire/b", []byte(`{"address":"127.0.0.1","port":2,"status":"DRAINING"}`))
	e.waitFor("a", "b draining")
	e.registry.OpenSession(time.Hour, map[string][]byte{"/services/hire/bad": []byte("nowhere")})
	b.End()
	e.waitFor("a")
	// Events in flight are lost with the connections, but the changes are detected after the reconnect.
	for _, s := range e.servers {
		s.SetFaults(0, 300*time.Millisecond, false)
	}
	c := e.registry.OpenSession(time.Hour, map[string][]byte{"/services/hire/c": data(3)})
	for _, s := range e.servers {
		s.CloseConnections()
		s.SetFaults(0, 0, false)
	}
	e.waitFor("a", "c")
	// The ensemble is unreachable for longer than the session timeout.
	e.registry.SetRefusing(true)
	for _, s := range e.servers {
		s.CloseConnections()
	}
	a.End()
	c.Set("/services/hire/c", []byte(`{"address":"127.0.0.1","port":3,"status":"STOPPING"}`))
	time.Sleep(1500 * time.Millisecond) // the session expires
	e.registry.SetRefusing(false)
	e.waitFor("c draining")
	e.registry.OpenSession(time.Hour, map[string][]byte{"/services/hire/d": data(4)})
	e.waitFor("c draining", "d")
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.ContainsFunc(e.errs, func(message string) bool { return strings.Contains(message, "/services/hire/bad: ") }) {
		t.Errorf("got errors %v, want one that names the invalid entry", e.errs)
	}
}

// TestExpiry checks that an entry is listed until its session expires, both when the expiry is on time and when it is late.
func TestExpiry(t *testing.T) {
	t.Parallel()
	e := startEnsemble(t, time.Second)
	a := e.registry.OpenSession(300*time.Millisecond, map[string][]byte{"/services/hire/a": data(1)})
	b := e.registry.OpenSession(300*time.Millisecond, map[string][]byte{"/services/hire/b": data(2)})
	e.waitFor("a", "b")
	a.StopHeartbeats()
	e.waitFor("b")
	e.registry.DelayExpiry(time.Hour)
	b.StopHeartbeats()
	time.Sleep(600 * time.Millisecond)
	e.waitFor("b")
	e.registry.DelayExpiry(0)
	e.waitFor()
}

// TestSessionLosses repeatedly breaks connections and expires sessions while one entry is invalid. The Reader continues, and
// neither watches nor goroutines that wait for them leak. LOSSES=10000 sets the number of losses, divided among parallel
// Readers.
func TestSessionLosses(t *testing.T) {
	losses, readers := 16, 1
	if all, err := strconv.Atoi(os.Getenv("LOSSES")); err == nil {
		readers = 50
		losses = all / readers
	}
	var ensembles []*ensemble
	for range readers {
		e := startEnsemble(t, 500*time.Millisecond)
		e.waitFor()
		e.registry.OpenSession(time.Hour, map[string][]byte{"/services/hire/bad": []byte("nowhere")})
		ensembles = append(ensembles, e)
	}
	var all sync.WaitGroup
	for _, e := range ensembles {
		all.Go(func() {
			for i := range losses {
				if i%2 == 0 {
					e.registry.ExpireConnected()
				} else {
					for _, s := range e.servers {
						s.CloseConnections()
					}
				}
				session := e.registry.OpenSession(time.Hour, map[string][]byte{"/services/hire/x": data(i + 1)})
				if !e.lists("x") {
					return
				}
				if session.End(); !e.lists() {
					return
				}
			}
		})
	}
	all.Wait()
	const watchesPerReader = 3 // of the children, .keep and bad
	waiting, watches := 0, 0
	for by := time.Now().Add(20 * time.Second); time.Now().Before(by); time.Sleep(20 * time.Millisecond) {
		buf := make([]byte, 8<<20)
		waiting = strings.Count(string(buf[:runtime.Stack(buf, true)]), "(*Reader).awaitWatch.func1(")
		watches = 0
		for _, e := range ensembles {
			watches += e.registry.Watches()
		}
		if waiting == watchesPerReader*readers && watches == watchesPerReader*readers {
			return
		}
	}
	t.Errorf("got %d waiting goroutines and %d watches for %d readers, want watchesPerReader of each per reader", waiting, watches, readers)
}

// lists waits until the Reader lists the wanted entries and reports whether it did. Unlike waitFor, it may be called from any
// goroutine.
func (e *ensemble) lists(want ...string) bool {
	for by := time.Now().Add(20 * time.Second); time.Now().Before(by); time.Sleep(5 * time.Millisecond) {
		e.mu.Lock()
		got := e.listed
		e.mu.Unlock()
		if slices.Equal(got, want) {
			return true
		}
	}
	e.t.Errorf("entries %v not listed within 20 s, errors %v", want, e.errs)
	return false
}
