package dispatch

import (
	"testing"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

// keepAll is an IdleRetention that keeps every connection.
type keepAll struct{}

func (keepAll) KeepsIdle(bool) bool { return true }

func (keepAll) ClosesOnChange() bool { return false }

// TestIdleRetention checks that the Dispatcher's IdleRetention determines whether connections to a draining server are kept.
func TestIdleRetention(t *testing.T) {
	for name, c := range map[string]struct {
		retention IdleRetention
		isKept    bool
	}{
		"no rule":      {nil, false},
		"default rule": {closeUnusable{}, false},
		"keep all":     {keepAll{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := settings.Settings{ConnIdle: time.Hour, TypeNames: []string{"check"}, Settings: policy.Settings{NodeCount: 1, MaxAttempts: 1,
				TrafficTypes: []policy.TrafficType{{LatencyObjective: time.Minute, ClientTimeout: time.Hour, PriorityWeight: 1}}}}
			d := New(s, 1, limits, engine.NewPolicy, WithIdleRetention(c.retention))
			t.Cleanup(d.Stop)
			d.ApplyList(fullList(loopbackEndpoint("a", 1)), endpoints.SourceConfig)
			closed := make(chan string, 2)
			put := func(name string) {
				d.AcquireServerDescriptor()
				d.PutIdle("a", false, http1.NewConn(&closer{name: name, closed: closed}))
			}
			put("idle before")
			d.ApplyList(http1.EndpointList{Endpoints: []http1.Endpoint{{ID: "a", Condition: http1.Draining}}}, endpoints.SourceDiscovery)
			put("idle after")
			if isKept := takeSettled(d, "a") != nil; isKept != c.isKept || (len(closed) == 0) != c.isKept {
				t.Errorf("got connection kept %v and %d connections closed", isKept, len(closed))
			}
		})
	}
}
