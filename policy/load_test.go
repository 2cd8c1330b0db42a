package policy

import (
	"testing"
	"time"
)

// TestAbandonedAttemptsCount checks that an attempt that timed out counts as load until a later one gets a response.
func TestAbandonedAttemptsCount(t *testing.T) {
	h := newHarness(t, 2, nil).fillSubset()
	id, _ := h.arriveAt(0, 2, time.Second)
	s := h.Policy.requests.all[id].attempts[0].server
	h.at(385*ms, Input{Kind: TimerFired})
	h.end(390*ms, id, 0, TimedOut)
	h.concurrency.inFlight = 1
	if !h.isAboveMeanLoad(s) {
		t.Error("abandoned attempt does not count: server is not above the mean load")
	}
	h.Policy.requests.all[id].state = stateDone
	h.recordOutcome(s, &h.Policy.requests.all[id], 395*ms, Success)
	if h.load.abandoned[s] != 0 {
		t.Error("abandoned attempt still counts after a response to a later one")
	}
}
