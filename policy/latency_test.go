package policy

import (
	"testing"
	"time"
)

func TestNewServerStartsAtMeanLatency(t *testing.T) {
	r := newHarness(t, 2, nil)
	r.latency.smoothed.Set(0, 100*ms)
	r.latency.smoothed.Set(1, 300*ms)
	r.at(time.Second, Input{Kind: EndpointsUpdated, Scope: Incremental, Endpoints: []Endpoint{{Server: 2, Weight: 1}}})
	if r.latency.smoothed.At(2) != 200*ms {
		t.Errorf("starts at %v", r.latency.smoothed.At(2))
	}
}

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
