package mesh

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// pair returns a mesh of two processes and a connection from the first to the second, which echoes all bytes.
func pair(t *testing.T) (m *Mesh, a net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	m = New()
	m.processByIP["127.0.0.2"] = 0
	if err := m.Join(1, "127.0.0.3", "127.0.0.4:0", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	a, err = d.Dial("tcp", m.listeners[0].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); ln.Close(); m.Close() })
	return m, a
}

// echoed sends a text and returns the bytes that come back within a time limit, and how long that took.
func echoed(a net.Conn, text []byte, limit time.Duration) ([]byte, time.Duration) {
	began := time.Now()
	a.Write(text)
	a.SetReadDeadline(time.Now().Add(limit))
	got := make([]byte, len(text))
	n, _ := io.ReadFull(a, got)
	return got[:n], time.Since(began)
}

// TestDirections checks the effect of each fault on one direction of a connection, and that bytes are forwarded when the fault ends.
func TestDirections(t *testing.T) {
	text := bytes.Repeat([]byte("0123456789"), 100)
	for name, c := range map[string]struct {
		from, to int
		faults   Direction
		arrives  bool
		same     bool
		after    time.Duration
	}{
		"no fault":              {0, 1, Direction{}, true, true, 0},
		"cut forward":           {0, 1, Direction{Cut: true}, false, false, 0},
		"cut back":              {1, 0, Direction{Cut: true}, false, false, 0},
		"delayed":               {0, 1, Direction{Delay: 60 * time.Millisecond}, true, true, 60 * time.Millisecond},
		"limited":               {1, 0, Direction{BytesPerSecond: 10_000}, true, true, 90 * time.Millisecond},
		"garbled":               {0, 1, Direction{Garble: 1}, true, false, 0},
		"other sender's faults": {2, 1, Direction{Cut: true}, true, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			m, a := pair(t)
			m.Set(c.from, c.to, func(d *Direction) { *d = c.faults })
			limit := 10 * time.Second
			if !c.arrives {
				limit = 100 * time.Millisecond
			}
			got, took := echoed(a, text, limit)
			if (len(got) == len(text)) != c.arrives || c.arrives && bytes.Equal(got, text) != c.same || took < c.after {
				t.Errorf("got %d bytes after %v", len(got), took)
			}
			m.Set(c.from, c.to, func(d *Direction) { *d = Direction{} })
			if !c.arrives {
				a.SetReadDeadline(time.Now().Add(10 * time.Second))
				rest := make([]byte, len(text)-len(got))
				if _, err := io.ReadFull(a, rest); err != nil {
					t.Errorf("bytes that waited during the cut did not arrive: %v", err)
				}
			}
		})
	}
}

const receiveBufferBytes = 1 << 20 // for more than 400 datagrams, by the kernel's accounting

// TestDatagrams checks that datagrams are lost, duplicated and reordered by the faults of their direction, and that their
// source is the sender's address in the mesh.
func TestDatagrams(t *testing.T) {
	for name, c := range map[string]struct {
		faults      Direction
		least, most int // of 200
	}{
		"no fault":  {Direction{}, 200, 200},
		"lost":      {Direction{Loss: 1}, 0, 0},
		"twice":     {Direction{Duplication: 1}, 400, 400},
		"half lost": {Direction{Loss: 0.5}, 40, 160},
		"cut":       {Direction{Cut: true}, 0, 0},
		"reordered": {Direction{Reorder: 0.3}, 200, 200},
		"delayed":   {Direction{Delay: 10 * time.Millisecond}, 200, 200},
	} {
		t.Run(name, func(t *testing.T) {
			m := New()
			defer m.Close()
			var ends [2]net.PacketConn
			for n, ip := range []string{"127.0.0.2", "127.0.0.3"} {
				pc, err := net.ListenPacket("udp", ip+":0")
				if err != nil {
					t.Fatal(err)
				}
				defer pc.Close()
				pc.(*net.UDPConn).SetReadBuffer(receiveBufferBytes) // the test reads only after sending all; the default buffer holds some 270
				ends[n] = pc
				if err := m.JoinPackets(n, ip, ip+":0", pc.LocalAddr().String()); err != nil {
					t.Fatal(err)
				}
			}
			m.Set(0, 1, func(d *Direction) { *d = c.faults })
			for i := range 200 {
				ends[0].WriteTo([]byte{byte(i)}, m.sockets[1].LocalAddr())
			}
			got, last, reordered := 0, -1, 0
			buffer := make([]byte, 10)
			for {
				wait := 300 * time.Millisecond
				if got < c.least {
					wait = 10 * time.Second
				}
				ends[1].SetReadDeadline(time.Now().Add(wait))
				_, from, err := ends[1].ReadFrom(buffer)
				if err != nil {
					break
				}
				got++
				if int(buffer[0]) < last {
					reordered++
				}
				last = int(buffer[0])
				if from.String() != m.sockets[0].LocalAddr().String() {
					t.Fatalf("got a datagram from %v, want the sender's mesh address", from)
				}
			}
			if got < c.least || got > c.most || (c.faults.Reorder > 0) != (reordered > 0) && c.faults.Delay == 0 {
				t.Errorf("got %d datagrams, %d of them after later ones", got, reordered)
			}
		})
	}
}
