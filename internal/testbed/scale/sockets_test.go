package scale

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
)

// What passes on a connection is counted on its serving side, whole, and stays counted when it has ended.
func TestMeterCountsWhatPasses(t *testing.T) {
	netNumber, held, err := reserveNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	const asked, answered = 300, 70_000
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:%d", netNumber, discoveryHost, discoveryPort))
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
	if _, err := client.Write(make([]byte, asked)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(server, make([]byte, asked)); err != nil {
		t.Fatal(err)
	}
	go server.Write(bytes.Repeat([]byte{1}, answered))
	if _, err := io.ReadFull(client, make([]byte, answered)); err != nil {
		t.Fatal(err)
	}
	m := newMeter(netNumber)
	check := func(when string) {
		t.Helper()
		if err := m.read(nobodyElse); err != nil {
			t.Fatal(err)
		}
		nodes, discovery := m.flows()[roleNodes], m.flows()[roleDiscovery]
		if discovery.BytesIn != asked || discovery.BytesOut != answered || nodes.BytesOut != asked || nodes.BytesIn != answered {
			t.Errorf("%s: nodes %+v, discovery %+v", when, nodes, discovery)
		}
		if discovery.SegmentsOut < 1 || discovery.SegmentsIn < 1 {
			t.Errorf("%s: no segments: %+v", when, discovery)
		}
	}
	check("while it is open")
	check("read twice")
	client.Close()
	server.Close()
	check("when it has ended")
}

func nobodyElse() []int { return nil }

// A connection to a control process that is no node's is counted for the control process alone.
func TestMeterTellsNodesFromOthers(t *testing.T) {
	netNumber, held, err := reserveNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:%d", netNumber, controlHost, controlPort))
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
		inner []int
		nodes float64
	}{"a node's": {nil, sent}, "another's": {[]int{os.Getpid()}, 0}} {
		m := newMeter(netNumber)
		if err := m.read(func() []int { return c.inner }); err != nil {
			t.Fatal(err)
		}
		f := m.flows()
		if f[roleNodes].BytesOut != c.nodes || f[roleControl].BytesIn != sent {
			t.Errorf("%s: nodes %+v, control %+v", name, f[roleNodes], f[roleControl])
		}
	}
}
