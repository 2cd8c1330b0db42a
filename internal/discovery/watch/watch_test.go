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

// What a silent watch has missed counts as announced 6 s after it fell silent, with a grace of some hundred ms. By then the
// silence must be noticed, the next call made (the decision module waits for up to 0.38 s) and answered.
func TestUnansweredPollTimesOut(t *testing.T) {
	for name, c := range map[string]struct {
		w    Watcher
		most time.Duration
	}{
		"a watch that went on":                 {Watcher{conn: &http1.Conn{}}, 4 * time.Second},
		"a new one":                            {Watcher{}, 4500 * time.Millisecond},
		"a new one, of an agent with no queue": {Watcher{IsPushed: true}, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			if wait, slack := c.w.timeouts(); wait <= 0 || slack <= 0 || wait+slack > c.most {
				t.Errorf("waits %v and %v more", wait, slack)
			}
		})
	}
}

// A change counts as announced 6 s after discovery had it and could be reached, whatever failed before. Calls are refused
// until the decision module's pause has grown to its longest; the clock is that of a synctest bubble, so the pause is exact.
// The longest call without an answer, the longest pause and the time for the answer stay within the 6 s.
func TestChangesAnnouncedInTimeAfterFailures(t *testing.T) {
	const (
		toldAfter = 6 * time.Second
		answerIn  = 700 * time.Millisecond
		failures  = 40
		seeds     = 50
	)
	for name, c := range map[string]struct {
		onRequest bool
		askWithin time.Duration
		w         Watcher
	}{
		"pushed":               {false, 0, Watcher{IsPushed: true}},
		"pushed, with a time":  {false, time.Minute, Watcher{IsPushed: true}},
		"asked for often":      {true, 2 * time.Second, Watcher{}},
		"asked for":            {true, 10 * time.Second, Watcher{}},
		"asked for seldom":     {true, time.Hour, Watcher{}},
		"a watch that went on": {true, 10 * time.Second, Watcher{conn: &http1.Conn{}}},
	} {
		t.Run(name, func(t *testing.T) {
			longest := time.Duration(0)
			for seed := range uint32(seeds) {
				synctest.Test(t, func(t *testing.T) {
					f := dispatch.New(settings.Settings{Settings: policy.Settings{NodeCount: 1, MaxAttempts: 2, MustRequestEndpoints: c.onRequest, RequestEndpointsWithin: c.askWithin,
						TrafficTypes: []policy.TrafficType{{LatencyObjective: time.Second, ClientTimeout: time.Second, PriorityWeight: 1}}}},
						seed, dispatch.Limits{MemoryMB: 64, Sockets: 64}, engine.NewPolicy)
					defer f.Stop()
					<-f.PollRequested()
					for range failures {
						f.DiscoveryFailed()
						began := time.Now()
						<-f.PollRequested()
						longest = max(longest, time.Since(began))
					}
				})
			}
			wait, slack := c.w.timeouts()
			if sum := wait + slack + longest + answerIn; sum > toldAfter {
				t.Errorf("%v: %v without an answer, a pause of %v, %v for the answer", sum, wait+slack, longest, answerIn)
			}
		})
	}
}
