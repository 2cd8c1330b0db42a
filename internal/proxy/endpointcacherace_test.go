package proxy

import (
	"testing"

	"github.com/rs/zerolog"

	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/proxy/engine"
)

// Guards against a data race between loading the cached list and peers that request the node's list at the same time. The race detector
// reports it.
func TestCachedListLoadsBesidePeers(t *testing.T) {
	t.Parallel()
	cfg := config()
	cfg.Snapshot = cachedList(t, nil, snapshot.Server{ID: "s", Condition: uint8(incarnation.Up), Address: "127.0.0.1:1", Weight: 1})
	d := dispatch.New(cfg.Settings, 1, cfg.Limits, engine.NewPolicy)
	defer d.Stop()
	c, err := newEndpointCache(cfg, d, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
			}
			if c.encode() != nil {
				t.Error("got an encoded list before it was confirmed, want none")
			}
		}
	}()
	if _, isSuspect := c.load(http1.EndpointList{}); !isSuspect {
		t.Error("cached list not used, want it used as suspect")
	}
	close(stop)
	<-done
}
