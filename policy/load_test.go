package policy

import (
	"testing"
	"time"
)

// TestAbandonedAttemptsCount checks that an attempt that timed out counts until a later one is answered.
func TestAbandonedAttemptsCount(t *testing.T) {
	r := newHarness(t, 2, nil).fillSubset()
	id, _ := r.arriveAt(0, 2, time.Second)
	s := r.Policy.requests.all[id].attempts[0].server
	r.at(385*ms, Input{Kind: TimerFired})
	r.end(390*ms, id, 0, TimedOut)
	r.concurrency.inFlight = 1
	if !r.isCrowded(s) {
		t.Error("the server looks idle after a timeout")
	}
	r.Policy.requests.all[id].state = stateDone
	r.recordOutcome(s, &r.Policy.requests.all[id], 395*ms, Success)
	if r.load.abandoned[s] != 0 {
		t.Error("a later attempt was answered, and the abandoned one still counts")
	}
}
