package scale

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
)

// TestMeterCountsTraffic checks that the meter counts all bytes of a connection, once per reading, and that they stay counted
// after the connection has ended.
func TestMeterCountsTraffic(t *testing.T) {
	network, reservation, err := reserveNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer reservation.Close()
	const sentBytes, receivedBytes = 300, 70_000
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:%d", network, discoveryHost, discoveryPort))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Write(make([]byte, sentBytes)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(server, make([]byte, sentBytes)); err != nil {
		t.Fatal(err)
	}
	go server.Write(bytes.Repeat([]byte{1}, receivedBytes))
	if _, err := io.ReadFull(client, make([]byte, receivedBytes)); err != nil {
		t.Fatal(err)
	}
	m := newMeter(network)
	check := func(when string) {
		t.Helper()
		if err := m.read(noProcesses); err != nil {
			t.Fatal(err)
		}
		nodes, discovery := m.flows()[roleNodes], m.flows()[roleDiscovery]
		if discovery.BytesIn != sentBytes || discovery.BytesOut != receivedBytes || nodes.BytesOut != sentBytes || nodes.BytesIn != receivedBytes {
			t.Errorf("%s: got nodes %+v and discovery %+v, want 300 bytes of requests and 70000 of responses", when, nodes, discovery)
		}
		if discovery.SegmentsOut < 1 || discovery.SegmentsIn < 1 {
			t.Errorf("%s: got flow %+v, want segments in both directions", when, discovery)
		}
	}
	check("connection open")
	check("second reading")
	client.Close()
	server.Close()
	check("connection ended")
}

func noProcesses() []int { return nil }

// TestMeterDistinguishesNodes checks that a connection to a control process from another process than a node counts for the
// control process only.
func TestMeterDistinguishesNodes(t *testing.T) {
	network, reservation, err := reserveNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer reservation.Close()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:%d", network, controlHost, controlPort))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	const sent = 500
	if _, err := client.Write(make([]byte, sent)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(server, make([]byte, sent)); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		nonNode []int
		nodes   float64
	}{"dialed by a node": {nil, sent}, "dialed by another process": {[]int{os.Getpid()}, 0}} {
		m := newMeter(network)
		if err := m.read(func() []int { return c.nonNode }); err != nil {
			t.Fatal(err)
		}
		f := m.flows()
		if f[roleNodes].BytesOut != c.nodes || f[roleControl].BytesIn != sent {
			t.Errorf("connection %s: got nodes %+v, control %+v, want 500 bytes at control, and at nodes only if a node dialed", name, f[roleNodes], f[roleControl])
		}
	}
}
