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

type unobserved struct{}

func (unobserved) Announced(int, string, string, int64, time.Time) {}

// start runs a planner beside a discovery of its own.
func start(t *testing.T, k *mtls.Keys) (at string, list *discovery.Service) {
	t.Helper()
	list = discovery.New(discovery.Settings{LinesPerS: 1e6, Timeout: time.Second}, 1, unobserved{})
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
	cfg := &planconfig.Planner{Name: "p", Interval: tomlfile.Duration(50 * time.Millisecond), DiscoveryAddress: netip.MustParseAddrPort(free.Addr().String()), Keys: k}
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

func entry(id, phase string) discovery.Entry {
	return discovery.Entry{ID: id, Phase: phase, Addresses: []string{"127.0.0.1:9"}}
}

// peer is a forwarder that speaks the protocol from this test.
type peer struct {
	t *testing.T
	*planwire.Conn
	held  plan.Plan
	lives *incarnation.Table
}

func join(t *testing.T, at, name string) *peer {
	t.Helper()
	nc, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	p := &peer{t: t, Conn: planwire.NewConn(nc), lives: incarnation.NewTable()}
	if _, err := p.Handshake(name, time.Now().Add(5*time.Second)); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *peer) report(r plan.Report) {
	p.t.Helper()
	if err := p.Send(planwire.ReportKind, r); err != nil {
		p.t.Fatal(err)
	}
}

// until receives changes until a condition holds.
func (p *peer) until(what string, is func() bool) {
	p.t.Helper()
	for by := time.Now().Add(5 * time.Second); !is(); {
		k, body, err := p.Receive(by)
		if err != nil {
			p.t.Fatalf("%s: %v", what, err)
		}
		var c plan.Change
		if k == planwire.ChangeKind && planwire.Decode(body, &c) == nil {
			p.held = plan.Apply(p.held, c)
			p.lives.Join(0, c.Incarnations)
		}
	}
}

func (p *peer) condition(id string) incarnation.Condition {
	e, ok := p.lives.Get(id)
	if !ok {
		return 99
	}
	return e.Condition
}

// Two forwarders receive their subsets and learn of a drain; what one of them knows reaches the other by the planner.
func TestForwardersReceivePlansAndUpdates(t *testing.T) {
	t.Parallel()
	at, list := start(t, nil)
	for i := range 8 {
		list.Set(entry(fmt.Sprint("s", i), discovery.Serving))
	}
	a, b := join(t, at, "a"), join(t, at, "b")
	report := plan.Report{SentAt: 7 * time.Second, Interval: 500 * time.Millisecond}
	a.report(report)
	b.report(report)
	for _, p := range []*peer{a, b} {
		p.until("a subset of its own", func() bool {
			return p.held.ReportingForwarders == 2 && len(p.held.Servers) >= 6 && p.held.ReportSentAt == 7*time.Second
		})
	}
	list.Set(entry("s3", discovery.Draining))
	a.until("the drain", func() bool { return a.condition("s3") == incarnation.Draining })
	a.until("no share of it", func() bool {
		for _, s := range a.held.Servers {
			if s.ID == "s3" {
				return false
			}
		}
		return true
	})
	// a knows of an end that discovery has not listed yet; b learns of it.
	report.NewerIncarnations = []incarnation.Entry{{ID: "s4", Condition: incarnation.Gone, Revision: 100}}
	a.report(report)
	b.until("what a knows", func() bool { return b.condition("s4") == incarnation.Gone })
	list.Set(entry("s3", discovery.Serving))
	b.until("the drain called off", func() bool { e, _ := b.lives.Get("s3"); return e.Condition == incarnation.Up && e.Generation == 1 })
}

// A planner on a registry sends forwarders the servers as they register, drain and vanish.
func TestRegistryAsSource(t *testing.T) {
	t.Parallel()
	r := standin.New(nil)
	server, err := r.Listen("127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	own := r.Own(time.Hour, map[string][]byte{"/hire/a": []byte("127.0.0.1:1")})
	r.Own(time.Hour, map[string][]byte{"/hire/b": []byte("127.0.0.1:2")})
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
		r.Close()
	})
	p := join(t, ln.Addr().String(), "f")
	p.until("both", func() bool { return p.condition("a") == incarnation.Up && p.condition("b") == incarnation.Up })
	own.Set("/hire/a", []byte(`{"address":"127.0.0.1","port":1,"status":"DRAINING"}`))
	p.until("the drain", func() bool { return p.condition("a") == incarnation.Draining })
	own.End()
	p.until("the end", func() bool { return p.condition("a") == incarnation.Gone })
}

// A message that violates the protocol ends that connection alone, with a reason.
func TestProtocolViolationsAreRejected(t *testing.T) {
	t.Parallel()
	at, list := start(t, nil)
	list.Set(entry("s", discovery.Serving))
	well := join(t, at, "well")
	for name, c := range map[string]struct {
		send func(p *peer)
		why  string
	}{
		"a plan":             {func(p *peer) { p.Send(planwire.ChangeKind, plan.Change{}) }, "unexpected frame kind 4"},
		"no report":          {func(p *peer) { p.Send(planwire.ReportKind, "report") }, "cannot unmarshal"},
		"an oversized frame": {func(p *peer) { p.Write([]byte{0xff, 0xff, 0xff, 0xff, 3}) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			p := join(t, at, "bad")
			c.send(p)
			for {
				k, body, err := p.Receive(time.Now().Add(5 * time.Second))
				if k == planwire.RejectionKind {
					var r planwire.Rejection
					if planwire.Decode(body, &r); !strings.Contains(r.Reason, c.why) {
						t.Errorf("%q", r.Reason)
					}
					return
				}
				if err != nil {
					if c.why != "" || strings.Contains(err.Error(), "timeout") {
						t.Errorf("ended with %v", err)
					}
					return
				}
			}
		})
	}
	well.report(plan.Report{SentAt: 1, Interval: time.Second})
	well.until("a plan all the same", func() bool { return len(well.held.Servers) == 1 })
}

// A second connection under a forwarder's name ends the older one.
func TestReconnectReplacesOlderConnection(t *testing.T) {
	t.Parallel()
	at, list := start(t, nil)
	list.Set(entry("s", discovery.Serving))
	older := join(t, at, "a")
	older.report(plan.Report{SentAt: 1, Interval: time.Second})
	older.until("a plan", func() bool { return len(older.held.Servers) == 1 }) // it is accepted: connections may overtake each other
	newer := join(t, at, "a")
	newer.report(plan.Report{SentAt: 1, Interval: time.Second})
	newer.until("a plan", func() bool { return newer.held.ReportingForwarders == 1 && len(newer.held.Servers) == 1 })
	for {
		if _, _, err := older.Receive(time.Now().Add(5 * time.Second)); err != nil {
			if strings.Contains(err.Error(), "timeout") {
				t.Error("the older connection is open")
			}
			return
		}
	}
}

// Over TLS only forwarders of the same authority are accepted.
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
	at, list := start(t, load(ours, "planner"))
	list.Set(entry("s", discovery.Serving))
	for name, c := range map[string]struct {
		keys *mtls.Keys
		well bool
	}{"ours": {load(ours, "node"), true}, "theirs": {load(theirs, "node"), false}, "plaintext": {nil, false}} {
		t.Run(name, func(t *testing.T) {
			nc, err := net.Dial("tcp", at)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			if c.keys != nil {
				nc = c.keys.ClientConn(nc, "planner")
			}
			nc.SetDeadline(time.Now().Add(5 * time.Second))
			peer, err := planwire.NewConn(nc).Handshake("n", time.Now().Add(5*time.Second))
			if (err == nil && peer == "p") != c.well {
				t.Errorf("%q, %v", peer, err)
			}
		})
	}
}
