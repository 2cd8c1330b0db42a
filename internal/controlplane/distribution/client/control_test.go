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

const patience = 20 * time.Second

// control is a control process by hand: a store and a publisher behind a listener.
type control struct {
	t     *testing.T
	ln    net.Listener
	begun time.Time

	mu        sync.Mutex
	store     *distribution.Store
	publisher *distribution.Publisher
	conns     map[distribution.SubscriptionID]*peer
	names     map[string]int // bytes sent, by node
	wants     []wire.Pull
	offered   []distribution.Entry

	acknowledged uint64 // newest batch that any node has
	wake         chan struct{}
	quiet        bool // answers nothing
	done         sync.WaitGroup
	stop         context.CancelFunc
}

type peer struct {
	conn *framing.Conn
	name string
}

// newControl begins one; the origin tells its disk's incarnation.
func newControl(t *testing.T, origin string) *control {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return controlAt(t, ln, distribution.NewStore(distribution.Origin(origin), distribution.Limits{}))
}

func controlAt(t *testing.T, ln net.Listener, store *distribution.Store) *control {
	ctx, cancel := context.WithCancel(context.Background())
	c := &control{t: t, ln: ln, begun: time.Now(), store: store, publisher: distribution.NewPublisher(store, distribution.Budget{NodeBytesPerSecond: 1 << 20}),
		conns: map[distribution.SubscriptionID]*peer{}, names: map[string]int{}, wake: make(chan struct{}, 1), stop: cancel}
	c.done.Go(c.accept)
	c.done.Go(func() { c.publish(ctx) })
	t.Cleanup(c.kill)
	return c
}

func (c *control) now() time.Duration { return time.Since(c.begun) }

func (c *control) address() string { return c.ln.Addr().String() }

// kill ends it as a kill of the process does.
func (c *control) kill() {
	c.stop()
	c.ln.Close()
	c.mu.Lock()
	for _, p := range c.conns {
		p.conn.Close()
	}
	c.mu.Unlock()
	c.done.Wait()
}

func (c *control) accept() {
	for {
		nc, err := c.ln.Accept()
		if err != nil {
			return
		}
		c.done.Go(func() {
			defer nc.Close()
			c.lead(nc)
		})
	}
}

func (c *control) lead(nc net.Conn) {
	conn := wire.Protocol.NewConn(nc)
	by := time.Now().Add(patience)
	if _, err := conn.Handshake("control", by); err != nil {
		return
	}
	kind, body, err := conn.Receive(by)
	if err != nil {
		return
	}
	m, err := wire.Decode(kind, body)
	asked, ok := m.(*wire.Subscribe)
	if err != nil || !ok {
		return
	}
	c.mu.Lock()
	id := c.publisher.Subscribe(c.now(), asked.Subscription)
	c.conns[id] = &peer{conn, asked.Subscription.Name}
	if c.store.IsBehind(asked.Subscription.Vector) {
		wire.Send(conn, &wire.Pull{IsContinuous: true, Vector: c.store.Vector().Clone()})
	}
	c.mu.Unlock()
	c.signal()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.publisher.Unsubscribe(id)
		delete(c.conns, id)
	}()
	for {
		kind, body, err := conn.Receive(time.Now().Add(patience))
		if err != nil {
			return
		}
		if m, err = wire.Decode(kind, body); err != nil {
			return
		}
		c.take(id, conn, m)
		c.signal()
	}
}

func (c *control) take(id distribution.SubscriptionID, conn *framing.Conn, m wire.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch m := m.(type) {
	case *wire.Acknowledge:
		c.publisher.BatchAcknowledged(c.now(), id, m.Acknowledgement)
		c.acknowledged = max(c.acknowledged, m.Acknowledgement.BatchNumber)
	case *wire.Pull:
		c.wants = append(c.wants, *m)
		c.publisher.ResyncSubscriber(c.now(), id, m.Services)
		if !m.IsContinuous && len(m.Services) == 0 && !c.quiet {
			wire.Send(conn, &wire.Acknowledge{})
		}
	case *wire.Batch:
		c.offered = append(c.offered, m.Entries...)
		changed, _ := c.store.Merge(m.Entries)
		c.publisher.EntriesChanged(c.now(), changed)
		wire.Send(conn, &wire.Acknowledge{Acknowledgement: distribution.Acknowledgement{BatchNumber: m.Number}})
	}
}

func (c *control) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// publish sends what the publisher says, until the context ends.
func (c *control) publish(ctx context.Context) {
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

func (c *control) sendDue() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		id, b, ok, wait := c.publisher.NextBatch(c.now())
		if !ok {
			return wait
		}
		p := c.conns[id]
		before := p.conn.SentBytes
		wire.Send(p.conn, &wire.Batch{Batch: b})
		c.names[p.name] += p.conn.SentBytes - before
	}
}

// write changes entries there.
func (c *control) write(changes ...distribution.Change) []distribution.Entry {
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

func (c *control) status(name string) (distribution.NodeStatus, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.conns {
		if s, ok := c.publisher.SubscriberStatus(c.now(), id); ok && p.name == name {
			return s, true
		}
	}
	return distribution.NodeStatus{}, false
}

// waitApplied waits until a node has acknowledged all that is here.
func (c *control) waitApplied(name string) {
	c.t.Helper()
	until(c.t, func() bool {
		s, ok := c.status(name)
		c.mu.Lock()
		defer c.mu.Unlock()
		return ok && s.Revision >= c.store.Vector().Total() && s.PendingKeys == 0 && s.UnacknowledgedBytes == 0 && !s.IsCatchingUp
	}, "%s has applied everything", name)
}

func until(t *testing.T, is func() bool, what string, args ...any) {
	t.Helper()
	for by := time.Now().Add(patience); !is(); {
		if time.Now().After(by) {
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

// node is a client that runs.
type node struct {
	*Client
	*recordingApplier
	log  *logged
	stop func()
}

type logged struct {
	mu    sync.Mutex
	lines []string
}

func (l *logged) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(b))
	return len(b), nil
}

func startNode(t *testing.T, config *Config) *node {
	t.Helper()
	n := &node{recordingApplier: newRecordingApplier(), log: &logged{}}
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

// config is of a node that follows some addresses.
func config(t *testing.T, name string, services []string, controls ...string) *Config {
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
