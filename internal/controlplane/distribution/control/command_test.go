package control

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/cluster/mtls"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

// openCommand opens a connection of an operator's command.
func openCommand(t *testing.T, at string, keys *mtls.Keys) *framing.Conn {
	t.Helper()
	conn, err := dialPeer(at, "operator", keys)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func dialPeer(at, name string, keys *mtls.Keys) (*framing.Conn, error) {
	nc, err := net.DialTimeout("tcp", at, time.Second)
	if err != nil {
		return nil, err
	}
	if keys != nil {
		nc = keys.ClientConn(nc, "control")
	}
	conn := wire.Protocol.NewConn(nc)
	if _, err := conn.Handshake(name, time.Now().Add(2*time.Second)); err != nil {
		nc.Close()
		return nil, err
	}
	return conn, nil
}

// receiveMessage receives a message, or returns a rejection as an error.
func receiveMessage(conn *framing.Conn, within time.Duration) (wire.Message, error) {
	kind, body, err := conn.Receive(time.Now().Add(within))
	if err != nil {
		return nil, err
	}
	if kind == framing.RejectionKind {
		return nil, framing.RejectionError(body)
	}
	return wire.Decode(kind, body)
}

// tryWrite sends a write to the process at an address, and returns its result within 10 s.
func tryWrite(at string, changes ...distribution.Change) (*wire.WriteResult, error) {
	return tryWriteWithin(at, 10*time.Second, changes...)
}

func tryWriteWithin(at string, within time.Duration, changes ...distribution.Change) (*wire.WriteResult, error) {
	conn, err := dialPeer(at, "operator", nil)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := wire.Send(conn, &wire.Write{ID: 7, Changes: changes}); err != nil {
		return nil, err
	}
	m, err := receiveMessage(conn, within)
	if err != nil {
		return nil, err
	}
	written, ok := m.(*wire.WriteResult)
	if !ok || written.ID != 7 {
		return nil, fmt.Errorf("unexpected response %T", m)
	}
	if written.Error != "" {
		return written, errors.New(written.Error)
	}
	return written, nil
}

func write(t *testing.T, at string, changes ...distribution.Change) *wire.WriteResult {
	t.Helper()
	written, err := tryWrite(at, changes...)
	if err != nil {
		t.Fatal(err)
	}
	return written
}

// query requests the status of a process and of all nodes that it knows.
func query(at string) (self distribution.NodeStatus, nodes map[string]distribution.NodeStatus, err error) {
	conn, err := dialPeer(at, "operator", nil)
	if err != nil {
		return self, nil, err
	}
	defer conn.Close()
	if err := wire.Send(conn, &wire.StatusQuery{ID: 3}); err != nil {
		return self, nil, err
	}
	nodes = map[string]distribution.NodeStatus{}
	for {
		m, err := receiveMessage(conn, 10*time.Second)
		if err != nil {
			return self, nil, err
		}
		response, ok := m.(*wire.StatusAnswer)
		if !ok {
			return self, nil, fmt.Errorf("unexpected response %T", m)
		}
		for _, status := range response.Nodes {
			nodes[status.Name] = status
		}
		if response.IsLast {
			return response.Self, nodes, nil
		}
	}
}

// digests requests the digests of all services from a process.
func digests(at string) (map[string]uint64, error) {
	conn, err := dialPeer(at, "digests", nil)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := wire.Send(conn, &wire.Pull{WantsDigests: true}); err != nil {
		return nil, err
	}
	m, err := receiveMessage(conn, 2*time.Second)
	if err != nil {
		return nil, err
	}
	if d, ok := m.(*wire.Digests); ok {
		return d.Digests.Services, nil
	}
	return nil, fmt.Errorf("unexpected response %T", m)
}
