package proxy

import (
	"bytes"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/discovery/zookeeper"
)

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Guards against a node that logs nothing and does not stop after one of its components has failed. Here the registry fails, because its
// client cannot be created.
func TestNodeStopsAfterComponentFailed(t *testing.T) {
	t.Parallel()
	const stopTimeout = 10 * time.Second
	serverEndpoints, _ := servers(t, 1, okResponse)
	cfg := config(serverEndpoints...)
	cfg.Registry = &zookeeper.Config{} // names no server
	cfg.shutdownDelays = shutdownDelays{awaitArrivals: func() {}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log, stop, done := &syncBuffer{}, make(chan struct{}), make(chan error, 1)
	go func() { done <- run(Signals{Stop: stop}, cfg, zerolog.New(log), ln.(*net.TCPListener)) }()
	await(t, "log line of the failed component", func() bool { return strings.Contains(log.String(), "component failed") })
	client := dial(t, ln.Addr().String())
	if r := get(t, client, "/check/1"); r.Status != 200 || r.Close {
		t.Errorf("got status %d, close %v, want 200 without close", r.Status, r.Close)
	}
	close(stop)
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(stopTimeout):
		t.Fatal("node did not stop within 10 s")
	}
}
