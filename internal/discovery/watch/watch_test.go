package watch

import (
	"testing"
	"testing/synctest"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

// TestUnansweredPollTimesOut bounds the timeouts of polls that receive no response. A change during such a poll counts as
// announced 6 s after the connection became unresponsive, with a grace of some hundred ms. Within that time the poll must time
// out, the decision module must pause (up to 0.38 s), and the next poll must receive its response.
func TestUnansweredPollTimesOut(t *testing.T) {
	for name, c := range map[string]struct {
		w        Watcher
		maxTotal time.Duration
	}{
		"continued watch": {Watcher{conn: &http1.Conn{}}, 4 * time.Second},
		"new connection":  {Watcher{}, 4500 * time.Millisecond},
		"new connection to an agent without a queue": {Watcher{HasNoQueue: true}, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			if wait, slack := c.w.timeouts(); wait <= 0 || slack <= 0 || wait+slack > c.maxTotal {
				t.Errorf("got wait %v and slack %v, want positive ones with at most maxTotal in sum", wait, slack)
			}
		})
	}
}

// TestChangesAnnouncedInTimeAfterFailures checks the worst case of the timing described in the package comment: a change
// counts as announced 6 s after discovery had it and was reachable, regardless of previous failures. Polls are refused until
// the pause of the decision module has reached its maximum; the clock is that of a synctest bubble, so the pause is exact.
// The longest poll without a response, the longest pause and the time for the response add up to at most 6 s.
func TestChangesAnnouncedInTimeAfterFailures(t *testing.T) {
	const (
		announcedWithin = 6 * time.Second
		responseTime    = 700 * time.Millisecond
		failures        = 40
		seeds           = 50
	)
	for name, c := range map[string]struct {
		mustRequest   bool
		requestWithin time.Duration
		w             Watcher
	}{
		"no queue":                      {false, 0, Watcher{HasNoQueue: true}},
		"no queue, with a request time": {false, time.Minute, Watcher{HasNoQueue: true}},
		"requested within 2 s":          {true, 2 * time.Second, Watcher{}},
		"requested within 10 s":         {true, 10 * time.Second, Watcher{}},
		"requested within 1 h":          {true, time.Hour, Watcher{}},
		"continued watch":               {true, 10 * time.Second, Watcher{conn: &http1.Conn{}}},
	} {
		t.Run(name, func(t *testing.T) {
			longestPause := time.Duration(0)
			for seed := range uint32(seeds) {
				synctest.Test(t, func(t *testing.T) {
					dispatcher := dispatch.New(settings.Settings{Settings: policy.Settings{
						NodeCount:              1,
						MaxAttempts:            2,
						MustRequestEndpoints:   c.mustRequest,
						RequestEndpointsWithin: c.requestWithin,
						TrafficTypes:           []policy.TrafficType{{LatencyObjective: time.Second, ClientTimeout: time.Second, PriorityWeight: 1}},
					}}, seed, dispatch.Limits{MemoryMB: 64, Sockets: 64}, engine.NewPolicy)
					defer dispatcher.Stop()
					<-dispatcher.PollRequested()
					for range failures {
						dispatcher.DiscoveryFailed()
						startedAt := time.Now()
						<-dispatcher.PollRequested()
						longestPause = max(longestPause, time.Since(startedAt))
					}
				})
			}
			wait, slack := c.w.timeouts()
			if sum := wait + slack + longestPause + responseTime; sum > announcedWithin {
				t.Errorf("got a total of %v, want at most announcedWithin: %v without a response, a pause of %v, %v for the response", sum, wait+slack, longestPause, responseTime)
			}
		})
	}
}
