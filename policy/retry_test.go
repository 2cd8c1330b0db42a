package policy

import (
	"slices"
	"testing"
	"time"
)

// TestRetryCapacity checks that only requests of the highest priority weight are retried while the node is saturated,
// and that requests of a type that breaks connections of several servers are not retried.
func TestRetryCapacity(t *testing.T) {
	for name, c := range map[string]struct {
		trafficType int // 3 has the highest priority weight
		outcome     Outcome
		saturated   bool
		broke       []int         // servers whose connections broke before; the request is sent to server 0
		ago         time.Duration // time from these breaks to the request
		isRetried   bool
	}{
		"saturated":                      {0, Failure, true, nil, 0, false},
		"saturated, highest weight":      {3, Failure, true, nil, 0, true},
		"one broken connection":          {0, ConnectionBroken, false, nil, 0, true},
		"the same server twice":          {0, ConnectionBroken, false, []int{0, 0}, 0, true},
		"another server":                 {0, ConnectionBroken, false, []int{1}, 0, false},
		"another server, 20 s before":    {0, ConnectionBroken, false, []int{1}, 20 * time.Second, true},
		"another server, highest weight": {3, ConnectionBroken, false, []int{1}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4, func(s *Settings) { s.TrafficTypes[3].PriorityWeight = 20 }).fillSubset()
			for _, s := range c.broke {
				h.recordOutcome(s, &request{trafficType: c.trafficType, objectiveAt: time.Minute}, h.now, ConnectionBroken)
			}
			h.at(h.now+c.ago, Input{Kind: TimerFired})
			id, _ := h.arriveAt(h.now, c.trafficType, time.Second)
			h.Policy.requests.all[id].attempts[0].server = 0
			if c.saturated {
				h.concurrency.inFlight += 100
			}
			if got := effectKinds(h.end(h.now+20*ms, id, 0, c.outcome)); (len(got) > 0 && got[0] == SendAttempt) != c.isRetried {
				t.Errorf("end of attempt: got effects %v", got)
			}
		})
	}
}

// routeCase is a request of a route whose first attempt was sent, with the expected effects of further inputs.
type routeCase struct {
	trafficType int
	change      func(*TrafficType) // settings of the route
	play        func(h *harness) []Effect
	want        []EffectKind
}

// runRouteCases runs each case on a separate policy.
func runRouteCases(t *testing.T, cases map[string]routeCase) {
	t.Helper()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newRouteHarness(t, 6, c.trafficType, c.change)
			if _, e := h.arriveAt(0, c.trafficType, 2*time.Second); !slices.Equal(effectKinds(e), []EffectKind{SendAttempt}) {
				t.Fatalf("arrival: got effects %v, want one SendAttempt", e)
			}
			if got := effectKinds(c.play(h)); !slices.Equal(got, c.want) {
				t.Errorf("got effects %v, want %v", got, c.want)
			}
		})
	}
}

// TestRetrySettings checks the effect of a route's settings on retries.
func TestRetrySettings(t *testing.T) {
	fails := func(h *harness) []Effect { return h.end(50*ms, 0, 0, Failure) }
	isRetried, isRejected := []EffectKind{SendAttempt}, []EffectKind{Reject}
	runRouteCases(t, map[string]routeCase{
		"default":                 {0, func(*TrafficType) {}, fails, isRetried},
		"one attempt only":        {0, func(t *TrafficType) { t.MaxAttempts = 1 }, fails, isRejected},
		"not after an error":      {0, func(t *TrafficType) { t.RetryOn = 1 << Overloaded }, fails, isRejected},
		"within the retry budget": {0, func(t *TrafficType) { t.RetryRatio = 1 }, fails, isRetried},
		"above the retry budget":  {0, func(t *TrafficType) { t.RetryRatio = 0.1 }, fails, isRejected},
		"after overload": {0, func(t *TrafficType) { t.RetryOn = 1 << Overloaded },
			func(h *harness) []Effect { return h.end(50*ms, 0, 0, Overloaded) }, isRetried},
		"minimum of the retry budget": {0, func(t *TrafficType) { t.RetryRatio, t.MinRetriesPerSecond = 0.1, 100 },
			func(h *harness) []Effect {
				h.at(40*ms, Input{Kind: TimerFired})
				return fails(h)
			}, isRetried},
		"at most MaxAttempts of the settings": {2, func(t *TrafficType) { t.MaxAttempts = 9 },
			func(h *harness) []Effect {
				for i := range 3 {
					h.end(time.Duration(10+i)*ms, 0, i, Unreachable)
				}
				return h.end(20*ms, 0, 3, Unreachable)
			}, isRejected},
	})
}

// TestRouteAttemptTimeout checks that a route's AttemptTimeout applies to the first attempt and to the retry.
func TestRouteAttemptTimeout(t *testing.T) {
	h := newRouteHarness(t, 6, 0, func(t *TrafficType) { t.AttemptTimeout = 90 * ms })
	_, e := h.arriveAt(0, 0, 2*time.Second)
	if e[0].Duration != 90*ms {
		t.Errorf("timeout of first attempt: got %s, want 90ms", e[0].Duration)
	}
	if e = h.end(90*ms, 0, 0, TimedOut); len(e) == 0 || e[0].Kind != SendAttempt || e[0].Duration != 90*ms {
		t.Errorf("end of first attempt: got %+v, want a SendAttempt with a timeout of 90ms", e)
	}
}
