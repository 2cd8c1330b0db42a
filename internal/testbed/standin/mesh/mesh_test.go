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

// pair is two processes that a fabric connects: what the first sends, the second echoes.
func pair(t *testing.T) (f *Mesh, a net.Conn) {
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
	f = New()
	f.processByIP["127.0.0.2"] = 0
	if err := f.Join(1, "127.0.0.3", "127.0.0.4:0", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	a, err = d.Dial("tcp", f.listeners[0].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); ln.Close(); f.Close() })
	return f, a
}

// echoed sends a text and returns what comes back of it in a while, and after how long.
func echoed(a net.Conn, text []byte, most time.Duration) ([]byte, time.Duration) {
	began := time.Now()
	a.Write(text)
	a.SetReadDeadline(time.Now().Add(most))
	got := make([]byte, len(text))
	n, _ := io.ReadFull(a, got)
	return got[:n], time.Since(began)
}

// What befalls each direction of a link, and that it passes when it is over.
func TestWays(t *testing.T) {
	text := bytes.Repeat([]byte("0123456789"), 100)
	for name, c := range map[string]struct {
		from, to int
		way      Direction
		comes    bool
		same     bool
		after    time.Duration
	}{
		"well":           {0, 1, Direction{}, true, true, 0},
		"cut there":      {0, 1, Direction{Cut: true}, false, false, 0},
		"cut back":       {1, 0, Direction{Cut: true}, false, false, 0},
		"late":           {0, 1, Direction{Delay: 60 * time.Millisecond}, true, true, 60 * time.Millisecond},
		"narrow":         {1, 0, Direction{PerS: 10_000}, true, true, 90 * time.Millisecond},
		"garbled":        {0, 1, Direction{Garble: 1}, true, false, 0},
		"another's ways": {2, 1, Direction{Cut: true}, true, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f, a := pair(t)
			f.Set(c.from, c.to, func(w *Direction) { *w = c.way })
			most := 10 * time.Second
			if !c.comes {
				most = 100 * time.Millisecond
			}
			got, took := echoed(a, text, most)
			if (len(got) == len(text)) != c.comes || c.comes && bytes.Equal(got, text) != c.same || took < c.after {
				t.Errorf("%d bytes after %v", len(got), took)
			}
			f.Set(c.from, c.to, func(w *Direction) { *w = Direction{} })
			if !c.comes {
				a.SetReadDeadline(time.Now().Add(10 * time.Second))
				rest := make([]byte, len(text)-len(got))
				if _, err := io.ReadFull(a, rest); err != nil {
					t.Errorf("what was held back does not come: %v", err)
				}
			}
		})
	}
}

const receiveBufferBytes = 1 << 20 // bytes: more than 400 datagrams as the system counts them

// Datagrams are lost, come twice or out of order by their ways, and their receiver sees their sender's place.
func TestDatagrams(t *testing.T) {
	for name, c := range map[string]struct {
		way         Direction
		least, most int // of 200
	}{
		"well":       {Direction{}, 200, 200},
		"lost":       {Direction{Lose: 1}, 0, 0},
		"twice":      {Direction{Twice: 1}, 400, 400},
		"half lost":  {Direction{Lose: 0.5}, 40, 160},
		"cut":        {Direction{Cut: true}, 0, 0},
		"reordered":  {Direction{Reorder: 0.3}, 200, 200},
		"a bit late": {Direction{Delay: 10 * time.Millisecond}, 200, 200},
	} {
		t.Run(name, func(t *testing.T) {
			f := New()
			defer f.Close()
			var ends [2]net.PacketConn
			for n, ip := range []string{"127.0.0.2", "127.0.0.3"} {
				pc, err := net.ListenPacket("udp", ip+":0")
				if err != nil {
					t.Fatal(err)
				}
				defer pc.Close()
				pc.(*net.UDPConn).SetReadBuffer(receiveBufferBytes) // they are read only once all are sent; some 270 fit as it is
				ends[n] = pc
				if err := f.JoinPackets(n, ip, ip+":0", pc.LocalAddr().String()); err != nil {
					t.Fatal(err)
				}
			}
			f.Set(0, 1, func(w *Direction) { *w = c.way })
			for i := range 200 {
				ends[0].WriteTo([]byte{byte(i)}, f.sockets[1].LocalAddr())
			}
			got, last, behind := 0, -1, 0
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
					behind++
				}
				last = int(buffer[0])
				if from.String() != f.sockets[0].LocalAddr().String() {
					t.Fatalf("it comes from %v", from)
				}
			}
			if got < c.least || got > c.most || (c.way.Reorder > 0) != (behind > 0) && c.way.Delay == 0 {
				t.Errorf("%d came, %d of them behind later ones", got, behind)
			}
		})
	}
}
