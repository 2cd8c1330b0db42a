package zookeeper

import (
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// FuzzRequests checks that no request, whatever its bytes, makes the ensemble panic or block, and that it still opens sessions
// afterwards.
func FuzzRequests(f *testing.F) {
	var create writer
	create.int(1)
	create.int(opCreate)
	create.string("/a")
	create.buffer([]byte("x"))
	create.int(0)
	create.int(flagEphemeral)
	f.Add([]byte(create))
	var rewatch writer
	rewatch.int(2)
	rewatch.int(opWatches)
	rewatch.long(0)
	rewatch.strings([]string{"/a"})
	rewatch.strings(nil)
	rewatch.strings([]string{"/"})
	f.Add([]byte(rewatch))
	f.Add([]byte{0, 0, 0, 1, 0, 0, 0, 1, 0x7f, 0xff, 0xff, 0xff})
	r := New(nil)
	f.Cleanup(r.Close)
	s, err := r.Listen("127.0.0.1:0", 0)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		a, peer := net.Pipe()
		defer peer.Close()
		go func() {
			buffer := make([]byte, 4096)
			for {
				if _, err := peer.Read(buffer); err != nil {
					return
				}
			}
		}()
		c := &conn{Conn: a, server: s, dataWatches: map[string]bool{}, childWatches: map[string]bool{}, existWatches: map[string]bool{}}
		var hello writer
		hello.int(0)
		hello.long(0)
		hello.int(1000)
		hello.long(0)
		hello.buffer(make([]byte, 16))
		if !s.connect(c, hello) {
			t.Fatal("connect: no session was opened")
		}
		s.request(c, b)
		r.mu.Lock()
		if r.sessions[c.session.id] == c.session {
			r.endSession(c.session, time.Now())
		}
		r.mu.Unlock()
	})
}
