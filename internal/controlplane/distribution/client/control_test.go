package client

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

const testTimeout = 20 * time.Second

// fakeControl is a minimal control process: a store and a publisher behind a listener.
type fakeControl struct {
	t         *testing.T
	ln        net.Listener
	startedAt time.Time

	mu        sync.Mutex
	store     *distribution.Store
	publisher *distribution.Publisher
	peers     map[distribution.SubscriptionID]*peer
	sentBytes map[string]int // by name of node
	pulls     []wire.Pull    // received
	offered   []distribution.Entry

	acknowledged uint64 // newest batch number that any node acknowledged
	wake         chan struct{}
	isSilent     bool // whether pings get no response
	done         sync.WaitGroup
	stop         context.CancelFunc
}

type peer struct {
	conn *framing.Conn
	name string
}

// newFakeControl starts a fake control process. The origin identifies the incarnation of its disk.
func newFakeControl(t *testing.T, origin string) *fakeControl {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newFakeControlAt(t, ln, distribution.NewStore(distribution.Origin(origin), distribution.Limits{}))
}

func newFakeControlAt(t *testing.T, ln net.Listener, store *distribution.Store) *fakeControl {
	ctx, cancel := context.WithCancel(context.Background())
	c := &fakeControl{t: t, ln: ln, startedAt: time.Now(), store: store, publisher: distribution.NewPublisher(store, distribution.Budget{NodeBytesPerSecond: 1 << 20}),
		peers: map[distribution.SubscriptionID]*peer{}, sentBytes: map[string]int{}, wake: make(chan struct{}, 1), stop: cancel}
	c.done.Go(c.accept)
	c.done.Go(func() { c.publish(ctx) })
	t.Cleanup(c.kill)
	return c
}

func (c *fakeControl) now() time.Duration { return time.Since(c.startedAt) }

func (c *fakeControl) address() string { return c.ln.Addr().String() }

// kill closes the listener and all connections, as the termination of the process does.
func (c *fakeControl) kill() {
	c.stop()
	c.ln.Close()
	c.mu.Lock()
	for _, p := range c.peers {
		p.conn.Close()
	}
	c.mu.Unlock()
	c.done.Wait()
}

func (c *fakeControl) accept() {
	for {
		nc, err := c.ln.Accept()
		if err != nil {
			return
		}
		c.done.Go(func() {
			defer nc.Close()
			c.serve(nc)
		})
	}
}

func (c *fakeControl) serve(nc net.Conn) {
	conn := wire.Protocol.NewConn(nc)
	deadline := time.Now().Add(testTimeout)
	if _, err := conn.Handshake("control", deadline); err != nil {
		return
	}
	kind, body, err := conn.Receive(deadline)
	if err != nil {
		return
	}
	m, err := wire.Decode(kind, body)
	subscribe, ok := m.(*wire.Subscribe)
	if err != nil || !ok {
		return
	}
	c.mu.Lock()
	id := c.publisher.Subscribe(c.now(), subscribe.Subscription)
	c.peers[id] = &peer{conn, subscribe.Subscription.Name}
	if c.store.IsBehind(subscribe.Subscription.Vector) {
		wire.Send(conn, &wire.Pull{IsContinuous: true, Vector: c.store.Vector().Clone()})
	}
	c.mu.Unlock()
	c.signal()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.publisher.Unsubscribe(id)
		delete(c.peers, id)
	}()
	for {
		kind, body, err := conn.Receive(time.Now().Add(testTimeout))
		if err != nil {
			return
		}
		if m, err = wire.Decode(kind, body); err != nil {
			return
		}
		c.handle(id, conn, m)
		c.signal()
	}
}

func (c *fakeControl) handle(id distribution.SubscriptionID, conn *framing.Conn, m wire.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch m := m.(type) {
	case *wire.Acknowledge:
		c.publisher.BatchAcknowledged(c.now(), id, m.Acknowledgement)
		c.acknowledged = max(c.acknowledged, m.Acknowledgement.BatchNumber)
	case *wire.Pull:
		c.pulls = append(c.pulls, *m)
		c.publisher.ResyncSubscriber(c.now(), id, m.Services)
		if !m.IsContinuous && len(m.Services) == 0 && !c.isSilent {
			wire.Send(conn, &wire.Acknowledge{})
		}
	case *wire.Batch:
		c.offered = append(c.offered, m.Entries...)
		changed, _ := c.store.Merge(m.Entries)
		c.publisher.EntriesChanged(c.now(), changed)
		wire.Send(conn, &wire.Acknowledge{Acknowledgement: distribution.Acknowledgement{BatchNumber: m.Number}})
	}
}

func (c *fakeControl) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// publish sends the publisher's batches until the context is done.
func (c *fakeControl) publish(ctx context.Context) {
	for {
		wait := c.sendDue()
		timer := time.NewTimer(min(wait, time.Second))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-c.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (c *fakeControl) sendDue() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		id, b, ok, wait := c.publisher.NextBatch(c.now())
		if !ok {
			return wait
		}
		p := c.peers[id]
		before := p.conn.SentBytes
		wire.Send(p.conn, &wire.Batch{Batch: b})
		c.sentBytes[p.name] += p.conn.SentBytes - before
	}
}

// write writes changes at the fake control process.
func (c *fakeControl) write(changes ...distribution.Change) []distribution.Entry {
	c.t.Helper()
	c.mu.Lock()
	entries, err := c.store.Write(time.Now(), changes)
	if err == nil {
		c.publisher.EntriesChanged(c.now(), entries)
	}
	c.mu.Unlock()
	if err != nil {
		c.t.Fatal(err)
	}
	c.signal()
	return entries
}

func (c *fakeControl) status(name string) (distribution.NodeStatus, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.peers {
		if s, ok := c.publisher.SubscriberStatus(c.now(), id); ok && p.name == name {
			return s, true
		}
	}
	return distribution.NodeStatus{}, false
}

// waitApplied waits until a node has acknowledged all entries.
func (c *fakeControl) waitApplied(name string) {
	c.t.Helper()
	waitUntil(c.t, func() bool {
		s, ok := c.status(name)
		c.mu.Lock()
		defer c.mu.Unlock()
		return ok && s.Revision >= c.store.Vector().Total() && s.PendingKeys == 0 && s.UnacknowledgedBytes == 0 && !s.IsCatchingUp
	}, "%s has applied everything", name)
}

func waitUntil(t *testing.T, condition func() bool, what string, args ...any) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); {
		if time.Now().After(deadline) {
			t.Fatalf("timed out: "+what, args...)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func key(service string, kind distribution.Kind, name string) distribution.Key {
	return distribution.Key{Service: service, Kind: kind, Name: name}
}

func put(service string, kind distribution.Kind, name, value string) distribution.Change {
	return distribution.Change{Key: key(service, kind, name), Value: []byte(value)}
}

// testNode is a running client with a recording applier.
type testNode struct {
	*Client
	*recordingApplier
	log  *logRecorder
	stop func()
}

type logRecorder struct {
	mu    sync.Mutex
	lines []string
}

func (l *logRecorder) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(b))
	return len(b), nil
}

func startNode(t *testing.T, config *Config) *testNode {
	t.Helper()
	n := &testNode{recordingApplier: newRecordingApplier(), log: &logRecorder{}}
	var err error
	if n.Client, err = New(config, n.recordingApplier, zerolog.New(n.log)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	n.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(n.stop)
	return n
}

// nodeConfig returns the configuration of a node that follows control processes at some addresses.
func nodeConfig(t *testing.T, name string, services []string, controls ...string) *Config {
	t.Helper()
	text := fmt.Sprintf("control = %s\nservices = %s\nregion = \"r\"\nzone = \"z\"\ndirectory = %q\nplaintext = true\nstart_within = \"30s\"\n",
		list(controls), list(services), t.TempDir())
	return load(t, name, text)
}

func load(t *testing.T, name, text string) *Config {
	t.Helper()
	path := filepath.Join(t.TempDir(), "distribution.toml")
	writeFile(t, path, text)
	c, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	c.Name = name
	return c
}

func list(names []string) string {
	text := "["
	for _, n := range names {
		text += fmt.Sprintf("%q, ", n)
	}
	return text + "]"
}
