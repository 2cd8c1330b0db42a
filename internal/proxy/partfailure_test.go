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

// syncBuffer collects log lines of several goroutines.
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

// Guards against a part that fails (here a registry whose client cannot be built) leaving a node that logs nothing and does not stop.
func TestNodeStopsAfterPartFailed(t *testing.T) {
	t.Parallel()
	const stopTimeout = 10 * time.Second
	hosts, _ := servers(t, 1, okResponse)
	cfg := config(hosts...)
	cfg.Registry = &zookeeper.Config{} // names no server
	cfg.shutdownDelays = shutdownDelays{awaitArrivals: func() {}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log, stop, done := &syncBuffer{}, make(chan struct{}), make(chan error, 1)
	go func() { done <- run(Signals{Stop: stop}, cfg, zerolog.New(log), ln.(*net.TCPListener)) }()
	await(t, "log line of the part", func() bool { return strings.Contains(log.String(), "component failed") })
	kept := dial(t, ln.Addr().String())
	if r := get(t, kept, "/check/1"); r.Status != 200 || r.Close {
		t.Errorf("answered %d, close %v", r.Status, r.Close)
	}
	close(stop)
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(stopTimeout):
		t.Fatal("the node does not stop")
	}
}
