package control

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/cluster/mtls"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
	"fernvane/internal/testbed/standin/address"
	"fernvane/internal/testbed/standin/certauthority"
	"fernvane/internal/testbed/standin/faultproxy"
)

// A subscriber that does not read is disconnected, and the others are served meanwhile.
func TestSlowSubscriberIsDisconnected(t *testing.T) {
	t.Parallel()
	m := start(t, settings(t, "a", address.Free(t), disks(t)("a")))
	wait(t, "the processes to be current", m.isCurrent)
	conn := openCommand(t, m.at, nil)
	wire.Send(conn, &wire.Subscribe{Subscription: distribution.Subscription{Name: "operator", Role: distribution.RoleNode, Services: []string{"s"}}})
	n := node("n", "s")
	n.subscribe(t, m.at)
	wait(t, "two subscribers", func() bool { m.mu.Lock(); defer m.mu.Unlock(); return len(m.links.subscribers) == 2 })
	cut := func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.links.subscribers) == 1 && m.links.subscribers["n"] != nil
	}
	for i := 0; !cut(); i++ {
		c := route("s", fmt.Sprint("route-", i%100))
		c.Value = []byte(strings.Repeat("v", 8000+i))
		write(t, m.at, c)
		wait(t, "the change at the other subscriber", func() bool { return n.has(c) })
		if m.now() > waitTimeout {
			t.Fatal("slow subscriber was not disconnected within 30s")
		}
	}
	if n.ended() != nil {
		t.Errorf("other subscriber was disconnected: %v", n.ended())
	}
}

// A message that violates the protocol is rejected and ends only its own connection.
func TestProtocolViolationsAreRejected(t *testing.T) {
	t.Parallel()
	m := start(t, settings(t, "a", address.Free(t), disks(t)("a")))
	wait(t, "the processes to be current", m.isCurrent)
	n := node("n", "s")
	n.subscribe(t, m.at)
	subscribe := &wire.Subscribe{Subscription: distribution.Subscription{Name: "x", Role: distribution.RoleNode, Services: []string{"s"}}}
	sent := func(messages ...wire.Message) (b []byte) {
		for _, m := range messages {
			var err error
			if b, err = wire.Append(b, m); err != nil {
				t.Fatal(err)
			}
		}
		return b
	}
	garbled := sent(subscribe)
	garbled[12] ^= 1
	for name, c := range map[string]struct {
		name string
		text []byte
		want string
	}{
		"a second subscription": {"x", sent(subscribe, subscribe), errSubscribedTwice.Error()},
		"a batch":               {"x", sent(&wire.Batch{}), errUnrequestedBatch.Error()},
		"an answer":             {"x", sent(&wire.StatusAnswer{}), "Answer"},
		"a changed byte":        {"x", garbled, framing.ErrChecksum.Error()},
		"an unknown kind":       {"x", []byte{0, 0, 0, 4, 99, 0, 0, 0, 0}, framing.ErrUnknownKind.Error()},
		"a long frame":          {"x", []byte{255, 0, 0, 4, 5, 0, 0, 0, 0}, framing.ErrFrameTooLong.Error()},
		"its own name": {"a", sent(&wire.Subscribe{Subscription: distribution.Subscription{Name: "a", Role: distribution.RoleControl, AllServices: true}}),
			errOwnName.Error()},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := dialPeer(m.at, c.name, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := conn.Write(c.text); err != nil {
				t.Fatal(err)
			}
			for err == nil {
				_, err = receiveMessage(conn, waitTimeout)
			}
			if !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), "refused by the peer") || strings.Contains(err.Error(), "\n") {
				t.Error(err)
			}
		})
	}
	t.Run("no greeting", func(t *testing.T) {
		conn, err := net.Dial("tcp", m.at)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		conn.SetReadDeadline(time.Now().Add(waitTimeout))
		for b := make([]byte, 100); err == nil; {
			_, err = conn.Read(b)
		}
		if os.IsTimeout(err) {
			t.Error("connection without a hello frame was not closed")
		}
	})
	write(t, m.at, route("s", "x"))
	wait(t, "the change at another subscriber", func() bool { return n.has(route("s", "x")) })
}

// Connections beyond the configured limit are rejected, and the others stay open.
func TestConnectionsAreBounded(t *testing.T) {
	t.Parallel()
	config := settings(t, "a", address.Free(t), disks(t)("a"))
	config.MaxConnections = 2
	m := start(t, config)
	wait(t, "the processes to be current", m.isCurrent)
	n := node("n", "s")
	n.subscribe(t, m.at)
	conn := openCommand(t, m.at, nil)
	if _, err := dialPeer(m.at, "third", nil); err == nil || !strings.Contains(err.Error(), errTooManyConnections.Error()) {
		t.Errorf("third connection: got error %v, want errTooManyConnections", err)
	}
	wire.Send(conn, &wire.Write{ID: 1, Changes: []distribution.Change{route("s", "x")}})
	wait(t, "the change at the first subscriber", func() bool { return n.has(route("s", "x")) })
	conn.Close()
	wait(t, "an accepted connection after a close", func() bool {
		conn, err := dialPeer(m.at, "third", nil)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
}

// Connections without a subscription are limited, so that subscribers can connect.
func TestIdleCommandsAreBounded(t *testing.T) {
	t.Parallel()
	m := start(t, settings(t, "a", address.Free(t), disks(t)("a")))
	for range maxUnsubscribed {
		openCommand(t, m.at, nil)
	}
	wait(t, "all connections", func() bool { m.mu.Lock(); defer m.mu.Unlock(); return m.links.unsubscribed == maxUnsubscribed })
	conn := openCommand(t, m.at, nil)
	if _, err := receiveMessage(conn, waitTimeout); err == nil || !strings.Contains(err.Error(), errTooManyConnections.Error()) {
		t.Errorf("connection beyond the limit: got error %v, want errTooManyConnections", err)
	}
}

// A second connection with a node's name closes the older one.
func TestReconnectReplacesOlderConnection(t *testing.T) {
	t.Parallel()
	m := start(t, settings(t, "a", address.Free(t), disks(t)("a")))
	wait(t, "the processes to be current", m.isCurrent)
	first, second := node("n", "s"), node("n", "s")
	first.subscribe(t, m.at)
	wait(t, "the first subscription", func() bool { m.mu.Lock(); defer m.mu.Unlock(); return m.links.subscribers["n"] != nil })
	second.subscribe(t, m.at)
	wait(t, "the end of the older connection", func() bool { return first.ended() != nil })
	write(t, m.at, route("s", "x"))
	wait(t, "the change at the newer connection", func() bool { return second.has(route("s", "x")) })
}

// With TLS, only peers with certificates of the same authority are accepted.
func TestOtherAuthoritiesAreRejected(t *testing.T) {
	t.Parallel()
	authority := func() *certauthority.Authority {
		a, err := certauthority.New("authority")
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	ours, theirs := authority(), authority()
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
	disk, at := disks(t), address.Free(t)
	first := settings(t, "a", at, disk("a"))
	first.Keys = load(ours, "control")
	a := start(t, first)
	second := settings(t, "b", address.Free(t), disk("b"), at)
	second.Keys, second.TLSName = load(ours, "control"), "control"
	b := start(t, second)
	wait(t, "the processes to be current", func() bool { return a.isCurrent() && b.isCurrent() })
	conn := openCommand(t, a.at, load(ours, "operator"))
	wire.Send(conn, &wire.Write{ID: 1, Changes: []distribution.Change{route("s", "x")}})
	wait(t, "the change at the other process", func() bool { return b.has("x") })
	for name, k := range map[string]*mtls.Keys{"of another authority": load(theirs, "operator"), "none": nil} {
		if conn, err := dialPeer(a.at, "operator", k); err == nil {
			conn.Close()
			t.Errorf("peer was accepted with keys: %s", name)
		}
	}
}

// A peer that sends queries without reading the responses is disconnected, and its message queue stays bounded.
func TestQueuedResponsesAreBounded(t *testing.T) {
	t.Parallel()
	m := start(t, settings(t, "a", address.Free(t), disks(t)("a")))
	wait(t, "the processes to be current", m.isCurrent)
	m.mu.Lock()
	for n := range 2000 {
		m.nodes.putSubscriber(distribution.NodeStatus{Name: fmt.Sprint("node-", n), Role: distribution.RoleNode, IsConnected: true})
	}
	m.mu.Unlock()
	conn := openCommand(t, m.at, nil)
	var err error
	for n := 0; err == nil && n < 100_000; n++ {
		err = wire.Send(conn, &wire.StatusQuery{ID: uint64(n)})
		m.mu.Lock()
		for l := range m.links.established {
			l.outbox.mu.Lock()
			if len(l.outbox.queue) > maxQueuedMessages {
				t.Errorf("got %d queued messages, want at most maxQueuedMessages", len(l.outbox.queue))
			}
			l.outbox.mu.Unlock()
		}
		m.mu.Unlock()
	}
	if err == nil {
		t.Fatal("peer was not disconnected after 100,000 queries")
	}
}

// A relay does not send the entries that it receives from its root back to it.
func TestReceivedEntriesAreNotSentBack(t *testing.T) {
	t.Parallel()
	disk, at := disks(t), address.Free(t)
	a := start(t, settings(t, "a", at, disk("a")))
	proxy, err := faultproxy.Listen(at)
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	r := start(t, settings(t, "r", address.Free(t), disk("r"), proxy.Address()))
	wait(t, "the processes to be current", func() bool { return a.isCurrent() && r.isCurrent() })
	for n := range 30 {
		c := route("s", fmt.Sprint("large-", n))
		c.Value = []byte(strings.Repeat("v", 10_000))
		write(t, a.at, c)
		agree(t, a, r)
	}
	write(t, r.at, route("s", "from below"))
	agree(t, a, r)
	if up, down := proxy.Bytes(faultproxy.Up), proxy.Bytes(faultproxy.Down); down < 300_000 || up > 30_000 {
		t.Errorf("got %d bytes to the root and %d from it, want at most 30,000 and at least 300,000", up, down)
	}
	r.stop(t)
}
