package control

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/config/tomlfile"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		if built.Load() {
			if path, err := fernvane(); err == nil {
				os.RemoveAll(filepath.Dir(path))
			}
		}
		os.Exit(code)
	}))
}

const testStartTimeout = 500 * time.Millisecond // replaces defaultStartTimeout

const waitTimeout = 30 * time.Second // upper bound of waits for expected events; no test measures it

// wait polls until a condition is true.
func wait(t *testing.T, what string, done func() bool) {
	t.Helper()
	for by := time.Now().Add(waitTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(by) {
			t.Fatal("timeout while waiting for ", what)
		}
	}
}

// member is a control process that runs within the test process.
type member struct {
	*Server
	at     string
	cancel func()
	done   chan error
}

// settings returns the settings of a member.
func settings(t *testing.T, name, at, path string, upstreams ...string) *Config {
	t.Helper()
	c := &Config{Name: name, Region: "region", Zone: "zone-" + name, Disk: path, Follow: followOne, TotalBytesPerSecond: 8 << 20, NodeBytesPerSecond: 1 << 20,
		ControlBytesPerSecond: 4 << 20, MaxConnections: 100, DeletionRetention: tomlfile.Duration(time.Hour), ListenAddress: netip.MustParseAddrPort(at)}
	for _, upstream := range upstreams {
		c.UpstreamAddresses = append(c.UpstreamAddresses, netip.MustParseAddrPort(upstream))
	}
	return c
}

func start(t *testing.T, config *Config) *member {
	t.Helper()
	return startWith(t, config, zerolog.Nop(), testStartTimeout)
}

// startWith starts a member with a log and a start timeout.
func startWith(t *testing.T, config *Config, log zerolog.Logger, startTimeout time.Duration) *member {
	t.Helper()
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(config.ListenAddress))
	if err != nil {
		t.Fatal(err)
	}
	s, err := newServer(config, log)
	if err != nil {
		listener.Close()
		t.Fatal(err)
	}
	s.startTimeout = startTimeout
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{Server: s, at: config.ListenAddress.String(), cancel: cancel, done: make(chan error, 1)}
	go func() { m.done <- s.run(ctx, listener) }()
	t.Cleanup(func() { m.stop(t) })
	return m
}

// stop shuts a member down; a second call does nothing.
func (m *member) stop(t *testing.T) {
	t.Helper()
	m.cancel()
	if err, ok := <-m.done; ok {
		if err != nil {
			t.Error(err)
		}
		close(m.done)
	}
}

func (m *member) isCurrent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Server.isCurrent
}

// state returns the digest of a member's store.
func (m *member) state() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprintf("%016x", m.store.TotalDigest())
}

func (m *member) has(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.store.Entry(route("s", name).Key)
	return ok && !e.Deleted
}

func (m *member) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, _ := m.store.Size()
	return n
}

func agree(t *testing.T, members ...*member) {
	t.Helper()
	wait(t, "equal digests", func() bool {
		for _, m := range members {
			if m.state() != members[0].state() {
				return false
			}
		}
		return true
	})
}

// route returns a change that sets one route.
func route(service, name string) distribution.Change {
	return distribution.Change{Key: distribution.Key{Service: service, Kind: distribution.KindRoute, Name: name}, Value: []byte("value of " + name)}
}

func routes(service string, from, to int) (all []distribution.Change) {
	for n := from; n < to; n++ {
		all = append(all, route(service, fmt.Sprint("route-", n)))
	}
	return all
}

// subscriber is a node, or another subscriber, that the test implements.
type subscriber struct {
	name     string
	role     distribution.Role
	services []string

	mu         sync.Mutex
	store      *distribution.Store
	publisher  *distribution.Publisher
	newest     map[distribution.Key]uint64 // greatest clock received for each key
	regression error                       // a key was replaced by an older version
	complete   bool
	err        error

	conn *framing.Conn
	send sync.Mutex
	done chan struct{}
}

func node(name string, services ...string) *subscriber {
	s := &subscriber{name: name, role: distribution.RoleNode, services: services, store: distribution.NewStore("", distribution.Limits{})}
	s.store.SetScope(services)
	s.publisher = distribution.NewPublisher(s.store, distribution.Budget{})
	return s
}

// subscribe connects to a control process and processes its messages until the connection ends or the test does.
func (s *subscriber) subscribe(t *testing.T, at string) {
	t.Helper()
	if err := s.connect(at); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.leave)
}

func (s *subscriber) connect(at string) error {
	conn, err := dialPeer(at, s.name, nil)
	if err != nil {
		return err
	}
	s.conn, s.done = conn, make(chan struct{})
	s.mu.Lock()
	s.complete, s.err = false, nil
	subscription := distribution.Subscription{Name: s.name, Role: s.role, Services: s.services, AllServices: s.services == nil, Vector: s.store.Vector().Clone(),
		UnsyncedServices: s.store.UnsyncedServices()}
	receiver := distribution.NewReceiver(s.store)
	s.mu.Unlock()
	s.sendMessage(&wire.Subscribe{Subscription: subscription})
	go func() {
		defer close(s.done)
		for {
			m, err := receiveMessage(conn, time.Hour)
			if err != nil {
				s.mu.Lock()
				s.err = err
				s.mu.Unlock()
				return
			}
			s.handle(receiver, m)
		}
	}()
	return nil
}

func (s *subscriber) leave() {
	if s.conn != nil {
		s.conn.Close()
		<-s.done
	}
}

func (s *subscriber) sendMessage(m wire.Message) {
	s.send.Lock()
	defer s.send.Unlock()
	wire.Send(s.conn, m)
}

func (s *subscriber) handle(receiver *distribution.Receiver, m wire.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch m := m.(type) {
	case *wire.Batch:
		got := receiver.ReceiveBatch(m.Batch)
		s.checkVersions(got.Changed)
		s.complete = s.complete || got.IsComplete
		a := distribution.Acknowledgement{BatchNumber: m.Number}
		if got.IsComplete {
			a.Applied = s.store.Vector().Clone()
		}
		s.sendMessage(&wire.Acknowledge{Acknowledgement: a})
	case *wire.Pull:
		if m.IsContinuous {
			s.upload(m)
		}
	case *wire.Digests:
		if services, _, _ := receiver.CompareDigests(m.Digests); len(services) > 0 {
			s.sendMessage(&wire.Pull{Services: services})
		}
	}
}

// checkVersions records an error if a key is replaced by an older version.
func (s *subscriber) checkVersions(changed []distribution.Entry) {
	if s.newest == nil {
		s.newest = map[distribution.Key]uint64{}
	}
	for _, e := range changed {
		if e.Clock < s.newest[e.Key] {
			s.regression = fmt.Errorf("%v replaced by a version older by %v", e.Key, distribution.ClockTime(s.newest[e.Key]).Sub(distribution.ClockTime(e.Clock)))
		}
		s.newest[e.Key] = e.Clock
	}
}

// upload immediately sends all entries that the control process lacks.
func (s *subscriber) upload(m *wire.Pull) {
	s.publisher.SubscribePartial(0, distribution.Subscription{Name: "upstream", Role: distribution.RoleControl, Services: s.services, Vector: m.Vector})
	for {
		_, batch, ok, _ := s.publisher.NextBatch(0)
		if !ok {
			return
		}
		s.sendMessage(&wire.Batch{Batch: batch})
	}
}

func (s *subscriber) has(c distribution.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.store.Entry(c.Key)
	return ok && !e.Deleted && string(e.Value) == string(c.Value)
}

func (s *subscriber) ended() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func disks(t *testing.T) func(name string) string {
	dir := t.TempDir()
	return func(name string) string { return filepath.Join(dir, name+".db") }
}
