package proxy

import (
	"context"
	"testing"
	"time"

	"fernvane/internal/discovery/watch"
	"fernvane/internal/protocol/http1"
)

// A node with a usable server is ready immediately, whatever discovery does. A node without one is ready with its first list, or after
// firstListTimeout.
func TestReadiness(t *testing.T) {
	t.Parallel()
	serverEndpoints, _ := servers(t, 1, okResponse)
	busy := "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
	draining := serverEndpoints[0]
	draining.Condition = http1.Draining
	for name, c := range map[string]struct {
		saved            []http1.Endpoint
		script           []string // responses of discovery, none after the last
		isTimedOut       bool     // firstListTimeout has passed
		first            int      // status before the first poll
		later            int      // status after the last response
		discoveryListens bool
	}{
		"a list, discovery refuses connections":  {serverEndpoints, nil, false, 200, 200, false},
		"a list, discovery does not respond":     {serverEndpoints, nil, false, 200, 200, true},
		"a list, discovery is busy":              {serverEndpoints, []string{busy, busy, ""}, false, 200, 200, true},
		"no list, discovery refuses connections": {nil, nil, false, 503, 503, false},
		"no list, discovery does not respond":    {nil, []string{""}, false, 503, 503, true},
		"no list within the timeout":             {nil, []string{""}, true, 200, 200, true},
		"no list, busy, then a list":             {nil, []string{busy, busy, listResponse(9, true, listMember(serverEndpoints[0], "SERVING")), ""}, false, 503, 200, true},
		"only draining servers, then one up":     {[]http1.Endpoint{draining}, []string{listResponse(9, false, listMember(serverEndpoints[0], "SERVING")), ""}, false, 503, 200, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := config(c.saved...)
			node := newTestServer(t, cfg)
			if node.startedAt = time.Now().Add(time.Hour); c.isTimedOut { // the timeout never passes, however slow the machine is
				node.startedAt = time.Now().Add(-firstListTimeout - time.Second)
			}
			up := func() int {
				client, _ := node.serveClient(t, "/up")
				r := readReply(t, http1.NewConn(client))
				return r.Status
			}
			if got := up(); got != c.first {
				t.Errorf("unexpected initial status %d", got)
			}
			at, queries := cfg.Discovery, chan string(nil)
			if c.discoveryListens {
				at, queries = scriptedDiscovery(t, false, c.script...)
			}
			node.discoveryTarget.Store(watch.NewTarget(at))
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error)
			go func() { done <- node.followDiscovery(ctx) }()
			for range c.script {
				<-queries // the next poll follows when the last list was applied
			}
			if got := up(); got != c.later {
				t.Errorf("unexpected status %d after the script", got)
			}
			cancel()
			<-done
		})
	}
}
