package planner

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"fernvane/internal/cluster/mtls"
	"fernvane/internal/config/tomlfile"
	"fernvane/internal/controlplane/plan"
	"fernvane/internal/controlplane/planconfig"
	"fernvane/internal/controlplane/planwire"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/zookeeper"
	"fernvane/internal/testbed/standin/certauthority"
	"fernvane/internal/testbed/standin/discovery"
	standin "fernvane/internal/testbed/standin/zookeeper"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// noObserver ignores the announcements of the stand-in discovery.
type noObserver struct{}

func (noObserver) Announced(int, string, string, int64, time.Time) {}

// startPlanner starts a planner with its own stand-in discovery. It returns the planner's address and the discovery.
func startPlanner(t *testing.T, keys *mtls.Keys) (address string, list *discovery.Service) {
	t.Helper()
	list = discovery.New(discovery.Settings{LinesPerSecond: 1e6, Timeout: time.Second}, 1, noObserver{})
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	free.Close()
	if err := list.Serve(0, 0, free.Addr().String()); err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := &planconfig.Planner{Name: "p", Interval: tomlfile.Duration(50 * time.Millisecond), DiscoveryAddress: netip.MustParseAddrPort(free.Addr().String()), Keys: keys}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- run(ctx, cfg, zerolog.Nop(), ln.(*net.TCPListener)) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		list.Close()
	})
	return ln.Addr().String(), list
}

func entry(id, condition string) discovery.Entry {
	return discovery.Entry{ID: id, Condition: condition, Addresses: []string{"127.0.0.1:9"}}
}

// testForwarder is a forwarder that implements the wire protocol in the test.
type testForwarder struct {
	t *testing.T
	*planwire.Conn
	plan         plan.Plan
	incarnations *incarnation.Table
}

// connect connects a forwarder to a planner and completes the handshake.
func connect(t *testing.T, address, name string) *testForwarder {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	f := &testForwarder{t: t, Conn: planwire.NewConn(nc), incarnations: incarnation.NewTable()}
	if _, err := f.Handshake(name, time.Now().Add(5*time.Second)); err != nil {
		t.Fatal(err)
	}
	return f
}

func (f *testForwarder) report(r plan.Report) {
	f.t.Helper()
	if err := f.Send(planwire.ReportKind, r); err != nil {
		f.t.Fatal(err)
	}
}

// waitUntil receives changes until a condition is true, for at most 5 s.
func (f *testForwarder) waitUntil(event string, isTrue func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !isTrue(); {
		k, body, err := f.Receive(deadline)
		if err != nil {
			f.t.Fatalf("wait for %s: %v", event, err)
		}
		var c plan.Change
		if k == planwire.ChangeKind && planwire.Decode(body, &c) == nil {
			f.plan = plan.Apply(f.plan, c)
			f.incarnations.Join(0, c.Incarnations)
		}
	}
}

// condition returns a server's condition, or 99 for an unknown server.
func (f *testForwarder) condition(id string) incarnation.Condition {
	e, ok := f.incarnations.Get(id)
	if !ok {
		return 99
	}
	return e.Condition
}

// TestForwardersReceivePlansAndUpdates checks that two forwarders receive their subsets and a drain, and that the planner passes a newer
// incarnation from one forwarder to the other.
func TestForwardersReceivePlansAndUpdates(t *testing.T) {
	t.Parallel()
	address, list := startPlanner(t, nil)
	for i := range 8 {
		list.Set(entry(fmt.Sprint("s", i), discovery.Serving))
	}
	a, b := connect(t, address, "a"), connect(t, address, "b")
	report := plan.Report{SentAt: 7 * time.Second, Interval: 500 * time.Millisecond}
	a.report(report)
	b.report(report)
	for _, f := range []*testForwarder{a, b} {
		f.waitUntil("first subset", func() bool {
			return f.plan.ReportingForwarders == 2 && len(f.plan.Servers) >= 6 && f.plan.ReportSentAt == 7*time.Second
		})
	}
	list.Set(entry("s3", discovery.Draining))
	a.waitUntil("drain of s3", func() bool { return a.condition("s3") == incarnation.Draining })
	a.waitUntil("removal of s3's share", func() bool {
		for _, s := range a.plan.Servers {
			if s.ID == "s3" {
				return false
			}
		}
		return true
	})
	// Forwarder a reports a removed server that discovery has not listed yet. The planner notifies forwarder b.
	report.NewerIncarnations = []incarnation.Entry{{ID: "s4", Condition: incarnation.Gone, Revision: 100}}
	a.report(report)
	b.waitUntil("removal of s4 reported by a", func() bool { return b.condition("s4") == incarnation.Gone })
	list.Set(entry("s3", discovery.Serving))
	b.waitUntil("cancellation of the drain of s3", func() bool {
		e, _ := b.incarnations.Get("s3")
		return e.Condition == incarnation.Up && e.Generation == 1
	})
}

// startRegistryPlanner starts a planner with its own stand-in registry, in which servers a and b have sessions.
func startRegistryPlanner(t *testing.T) (address string, a, b *standin.OwnedSession) {
	t.Helper()
	registry := standin.New(nil)
	server, err := registry.Listen("127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	a = registry.OpenSession(time.Hour, map[string][]byte{"/hire/a": []byte("127.0.0.1:1")})
	b = registry.OpenSession(time.Hour, map[string][]byte{"/hire/b": []byte("127.0.0.1:2")})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := &planconfig.Planner{Name: "p", Interval: tomlfile.Duration(50 * time.Millisecond),
		Ensemble: &zookeeper.Config{Servers: []string{server.Address()}, Path: "/hire", SessionTimeout: tomlfile.Duration(time.Second)}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- run(ctx, cfg, zerolog.Nop(), ln.(*net.TCPListener)) }()
	t.Cleanup(func() {
		cancel()
		<-done
		registry.Close()
	})
	return ln.Addr().String(), a, b
}

// TestRegistryAsSource checks that a planner with a registry sends forwarders the servers that register, drain and disappear.
func TestRegistryAsSource(t *testing.T) {
	t.Parallel()
	address, session, _ := startRegistryPlanner(t)
	f := connect(t, address, "f")
	f.waitUntil("servers a and b", func() bool { return f.condition("a") == incarnation.Up && f.condition("b") == incarnation.Up })
	session.Set("/hire/a", []byte(`{"address":"127.0.0.1","port":1,"status":"DRAINING"}`))
	f.waitUntil("drain of a", func() bool { return f.condition("a") == incarnation.Draining })
	session.End()
	f.waitUntil("removal of a", func() bool { return f.condition("a") == incarnation.Gone })
}

// TestServersThatLeftWhilePlannersWereAway guards against planners that lost their memory and bring back servers that left meanwhile: the
// forwarders still have them from earlier plans and report them.
func TestServersThatLeftWhilePlannersWereAway(t *testing.T) {
	t.Parallel()
	left := incarnation.Entry{ID: "left", StartedUnixMS: 5, Revision: 2, Address: "127.0.0.1:9", Zone: "z", Weight: 1}
	t.Run("discovery", func(t *testing.T) {
		t.Parallel()
		address, list := startPlanner(t, nil)
		for i := range 4 {
			list.Set(entry(fmt.Sprint("s", i), discovery.Serving))
		}
		f := connect(t, address, "f")
		f.waitUntil("all listed servers", func() bool { return f.condition("s3") == incarnation.Up })
		later := left
		later.ID, later.Revision = "later", 100
		f.report(plan.Report{Interval: 500 * time.Millisecond, NewerIncarnations: []incarnation.Entry{left, later}})
		f.waitUntil("removal of the server that left", func() bool { return f.condition("left") == incarnation.Gone })
		f.waitUntil("the server of a later list", func() bool { return f.condition("later") == incarnation.Up })
		f.report(plan.Report{Interval: 500 * time.Millisecond, NewerIncarnations: []incarnation.Entry{left}})
		list.Set(entry("s4", discovery.Serving))
		f.waitUntil("a new server", func() bool { return f.condition("s4") == incarnation.Up })
		for _, s := range f.plan.Servers {
			if s.ID == "left" {
				t.Error("server that left is in the plan")
			}
		}
	})
	t.Run("registry", func(t *testing.T) {
		t.Parallel()
		address, _, _ := startRegistryPlanner(t)
		f := connect(t, address, "f")
		f.waitUntil("servers a and b", func() bool { return f.condition("a") == incarnation.Up && f.condition("b") == incarnation.Up })
		f.report(plan.Report{Interval: 500 * time.Millisecond, NewerIncarnations: []incarnation.Entry{left}})
		f.waitUntil("removal of the server that left", func() bool {
			return f.condition("left") == incarnation.Draining || f.condition("left") == incarnation.Gone
		})
	})
}

// TestProtocolViolationsAreRejected checks that a protocol violation closes only the connection of the sender, with a reason.
func TestProtocolViolationsAreRejected(t *testing.T) {
	t.Parallel()
	address, list := startPlanner(t, nil)
	list.Set(entry("s", discovery.Serving))
	valid := connect(t, address, "well")
	for name, c := range map[string]struct {
		send   func(f *testForwarder)
		reason string
	}{
		"a plan":             {func(f *testForwarder) { f.Send(planwire.ChangeKind, plan.Change{}) }, "unexpected frame kind 4"},
		"an invalid report":  {func(f *testForwarder) { f.Send(planwire.ReportKind, "report") }, "cannot unmarshal"},
		"an oversized frame": {func(f *testForwarder) { f.Write([]byte{0xff, 0xff, 0xff, 0xff, 3}) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := connect(t, address, "bad")
			c.send(f)
			for {
				k, body, err := f.Receive(time.Now().Add(5 * time.Second))
				if k == planwire.RejectionKind {
					var r planwire.Rejection
					if planwire.Decode(body, &r); !strings.Contains(r.Reason, c.reason) {
						t.Errorf("got rejection reason %q, want the one of the case", r.Reason)
					}
					return
				}
				if err != nil {
					if c.reason != "" || strings.Contains(err.Error(), "timeout") {
						t.Errorf("got end of connection %v, want a rejection, or a close for an oversized frame", err)
					}
					return
				}
			}
		})
	}
	valid.report(plan.Report{SentAt: 1, Interval: time.Second})
	valid.waitUntil("plan after the violations of other forwarders", func() bool { return len(valid.plan.Servers) == 1 })
}

// TestReconnectReplacesOlderConnection checks that a second connection with the same forwarder name closes the older connection.
func TestReconnectReplacesOlderConnection(t *testing.T) {
	t.Parallel()
	address, list := startPlanner(t, nil)
	list.Set(entry("s", discovery.Serving))
	older := connect(t, address, "a")
	older.report(plan.Report{SentAt: 1, Interval: time.Second})
	older.waitUntil("plan on the older connection", func() bool { return len(older.plan.Servers) == 1 }) // ensures that the planner accepts the older connection first
	newer := connect(t, address, "a")
	newer.report(plan.Report{SentAt: 1, Interval: time.Second})
	newer.waitUntil("plan on the newer connection", func() bool { return newer.plan.ReportingForwarders == 1 && len(newer.plan.Servers) == 1 })
	for {
		if _, _, err := older.Receive(time.Now().Add(5 * time.Second)); err != nil {
			if strings.Contains(err.Error(), "timeout") {
				t.Error("older connection is still open after 5 s")
			}
			return
		}
	}
}

// TestTLS checks that a planner with TLS accepts only forwarders with certificates of its own authority.
func TestTLS(t *testing.T) {
	t.Parallel()
	load := func(a *certauthority.Authority, name string) *mtls.Keys {
		cert, key, ca, err := a.Write(t.TempDir(), name, time.Now().Add(time.Hour))
		if err != nil {
			t.Fatal(err)
		}
		k, err := mtls.LoadKeys(mtls.Files{Cert: cert, Key: key, CA: ca})
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	ours, _ := certauthority.New("ours")
	theirs, _ := certauthority.New("theirs")
	address, list := startPlanner(t, load(ours, "planner"))
	list.Set(entry("s", discovery.Serving))
	for name, c := range map[string]struct {
		keys       *mtls.Keys
		isAccepted bool
	}{"ours": {load(ours, "node"), true}, "theirs": {load(theirs, "node"), false}, "plaintext": {nil, false}} {
		t.Run(name, func(t *testing.T) {
			nc, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			if c.keys != nil {
				nc = c.keys.ClientConn(nc, "planner")
			}
			nc.SetDeadline(time.Now().Add(5 * time.Second))
			peer, err := planwire.NewConn(nc).Handshake("n", time.Now().Add(5*time.Second))
			if (err == nil && peer == "p") != c.isAccepted {
				t.Errorf("got planner name %q, error %v, want a handshake only with keys of the same authority", peer, err)
			}
		})
	}
}
