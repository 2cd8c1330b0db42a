package scale

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
)

// What passes on a connection is counted on its serving side, whole, and stays counted when it has ended.
func TestMeterCountsWhatPasses(t *testing.T) {
	netNumber, held, err := claim()
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
		if err := m.read(); err != nil {
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
