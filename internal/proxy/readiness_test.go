package proxy

import (
	"context"
	"testing"
	"time"

	"fernvane/internal/discovery/watch"
	"fernvane/internal/protocol/http1"
)

// A node is ready at once where it knows of a server, whatever discovery does; one that knows of none is ready with its
// first list, or when it has waited long enough.
func TestReadiness(t *testing.T) {
	t.Parallel()
	hosts, _ := servers(t, 1, okResponse)
	busy := "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
	draining := hosts[0]
	draining.Phase = http1.Draining
	for name, c := range map[string]struct {
		known   []http1.Endpoint
		script  []string // of discovery, which is silent after it
		waited  bool     // its time for a list is over
		first   int
		later   int // when the script is over
		listens bool
	}{
		"a list is known, discovery refuses":       {hosts, nil, false, 200, 200, false},
		"a list is known, discovery is silent":     {hosts, nil, false, 200, 200, true},
		"a list is known, discovery is busy":       {hosts, []string{busy, busy, ""}, false, 200, 200, true},
		"none is known, discovery refuses":         {nil, nil, false, 503, 503, false},
		"none is known, discovery is silent":       {nil, []string{""}, false, 503, 503, true},
		"none is known for long":                   {nil, []string{""}, true, 200, 200, true},
		"none is known, busy, then listed":         {nil, []string{busy, busy, listResponse(9, true, listMember(hosts[0], "SERVING")), ""}, false, 503, 200, true},
		"the known ones drain, then one is listed": {[]http1.Endpoint{draining}, []string{listResponse(9, false, listMember(hosts[0], "SERVING")), ""}, false, 503, 200, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := config(c.known...)
			l := newTestServer(t, cfg)
			if l.startedAt = time.Now().Add(time.Hour); c.waited { // never over, however slow the machine is
				l.startedAt = time.Now().Add(-firstListTimeout - time.Second)
			}
			up := func() int {
				client, _ := l.serveClient(t, "/up")
				r := readReply(t, http1.NewConn(client))
				return r.Status
			}
			if got := up(); got != c.first {
				t.Errorf("at first %d", got)
			}
			at, calls := cfg.Discovery, chan string(nil)
			if c.listens {
				at, calls = scriptedDiscovery(t, false, c.script...)
			}
			l.discoveryTarget.Store(watch.NewTarget(at))
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error)
			go func() { done <- l.followDiscovery(ctx) }()
			for range c.script {
				<-calls // the next poll comes when the last list was applied
			}
			if got := up(); got != c.later {
				t.Errorf("later %d", got)
			}
			cancel()
			<-done
		})
	}
}
