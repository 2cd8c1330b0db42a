package faultproxy

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo starts a server that echoes all bytes, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// TestFaults checks the effect of each fault on a byte, and that CloseConnections closes connections.
func TestFaults(t *testing.T) {
	for name, test := range map[string]struct {
		begin  func(*Proxy)
		end    func(*Proxy)
		want   byte
		passes bool
	}{
		"no fault":     {func(*Proxy) {}, func(*Proxy) {}, 'x', true},
		"cut up":       {func(c *Proxy) { c.Cut(Up, true) }, func(c *Proxy) { c.Cut(Up, false) }, 'x', false},
		"cut down":     {func(c *Proxy) { c.Cut(Down, true) }, func(c *Proxy) { c.Cut(Down, false) }, 'x', false},
		"garbled up":   {func(c *Proxy) { c.Garble(Up, 1) }, func(*Proxy) {}, 'x' ^ 0x55, true},
		"garbled down": {func(c *Proxy) { c.Garble(Down, 1) }, func(*Proxy) {}, 'x' ^ 0x55, true},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := Listen(echo(t))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			conn, err := net.Dial("tcp", c.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			b := make([]byte, 1)
			ask := func(within time.Duration) (byte, error) {
				conn.SetReadDeadline(time.Now().Add(within))
				_, err := io.ReadFull(conn, b)
				return b[0], err
			}
			conn.Write([]byte("x"))
			if got, err := ask(10 * time.Second); err != nil || got != 'x' {
				t.Fatalf("before the fault: got %c, error %v", got, err)
			}
			test.begin(c)
			conn.Write([]byte("x"))
			if !test.passes {
				if _, err := ask(100 * time.Millisecond); !os.IsTimeout(err) {
					t.Errorf("during the fault: got error %v, want a timeout", err)
				}
			}
			test.end(c)
			if got, err := ask(10 * time.Second); err != nil || got != test.want {
				t.Errorf("after the fault: got %q, error %v", got, err)
			}
			c.CloseConnections()
			if _, err := ask(10 * time.Second); err == nil || os.IsTimeout(err) {
				t.Errorf("after CloseConnections: got error %v, want a closed connection", err)
			}
		})
	}
}
