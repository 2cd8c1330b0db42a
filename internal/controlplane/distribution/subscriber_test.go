package distribution

import (
	"testing"
	"time"
)

func TestSubscriberStates(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		at     time.Duration
		do     string // input: connected, received (an incomplete message), complete, lost, or passed (of time)
		state  State
		serves bool
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"current at the start", []step{{0, "passed", StateStarting, false}, {10 * ms, "connected", StateCatchingUp, false}, {20 * ms, "received", StateCatchingUp, false},
			{30 * ms, "complete", StateCurrent, true}, {3 * time.Second, "passed", StateCurrent, true}}},
		{"serves stored entries without an upstream", []step{{0, "passed", StateStarting, false}, {10 * ms, "lost", StateStarting, false},
			{1999 * ms, "passed", StateStarting, false}, {2000 * ms, "passed", StateIsolated, true}, {2100 * ms, "connected", StateBehind, true}, {2200 * ms, "complete", StateCurrent, true}}},
		{"serves during a long catch-up", []step{{0, "passed", StateStarting, false}, {10 * ms, "connected", StateCatchingUp, false},
			{2000 * ms, "passed", StateBehind, true}, {2500 * ms, "complete", StateCurrent, true}}},
		{"upstream lost during the catch-up", []step{{0, "passed", StateStarting, false}, {10 * ms, "connected", StateCatchingUp, false}, {20 * ms, "lost", StateStarting, false},
			{30 * ms, "passed", StateStarting, false}, {40 * ms, "connected", StateCatchingUp, false}}},
		{"upstream lost while current", []step{{0, "passed", StateStarting, false}, {0, "connected", StateCatchingUp, false}, {0, "complete", StateCurrent, true},
			{50 * ms, "lost", StateBehind, true}, {9 * time.Second, "passed", StateBehind, true}, {9100 * ms, "lost", StateBehind, true}, {10050 * ms, "passed", StateIsolated, true},
			{10060 * ms, "connected", StateBehind, true}, {10070 * ms, "complete", StateCurrent, true}}},
		{"no complete batch in time", []step{{0, "passed", StateStarting, false}, {0, "connected", StateCatchingUp, false}, {0, "complete", StateCurrent, true},
			{1 * ms, "received", StateCurrent, true}, {2000 * ms, "passed", StateCurrent, true}, {2001 * ms, "passed", StateBehind, true}, {2002 * ms, "complete", StateCurrent, true}}},
		{"silent upstream", []step{{0, "passed", StateStarting, false}, {0, "connected", StateCatchingUp, false}, {0, "complete", StateCurrent, true},
			{24 * time.Second, "passed", StateCurrent, true}, {25 * time.Second, "passed", StateBehind, true}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewSubscriber(0, SubscriberOptions{UpstreamCount: 2, JitterSeed: "n"})
			for i, step := range test.steps {
				switch step.do {
				case "connected":
					s.UpstreamConnected(step.at)
				case "received":
					s.MessageReceived(step.at, false)
				case "complete":
					s.MessageReceived(step.at, true)
				case "lost":
					s.UpstreamLost(step.at)
				case "passed":
					s.Tick(step.at)
				}
				if s.State() != step.state || s.CanServe() != step.serves {
					t.Fatalf("step %d, %s at %v: got %v, serves %v, want %v, serves %v", i, step.do, step.at, s.State(), s.CanServe(), step.state, step.serves)
				}
			}
		})
	}
}

// No input leads from a state that serves to one that does not.
func TestServingStatesStayServing(t *testing.T) {
	for state := StateCurrent; state < stateLimit; state++ {
		for in := range stateInputLimit {
			if next := transitions[state][in]; next < StateCurrent {
				t.Errorf("serving state %v changes to non-serving state %v", state, next)
			}
		}
	}
}

func TestUpstreamOrderAndBackoff(t *testing.T) {
	s := NewSubscriber(0, SubscriberOptions{UpstreamCount: 3, JitterSeed: "n"})
	dial := func(at time.Duration, want int) {
		t.Helper()
		if action, _ := s.Tick(at); !action.ShouldDial || action.Upstream != want {
			t.Fatalf("at %v: got %+v, want a dial of upstream %d", at, action, want)
		}
	}
	dial(0, 0)
	s.UpstreamLost(1)
	dial(1, 1)
	if action, next := s.Tick(500 * time.Millisecond); action.ShouldDial || next > 1*time.Second+1 {
		t.Fatalf("attempt in progress: got %+v, next tick at %v, want no dial", action, next)
	}
	if action, _ := s.Tick(1*time.Second + 1); !action.ShouldDisconnect || !action.ShouldDial || action.Upstream != 2 {
		t.Fatalf("attempt timed out: got %+v, want a dial of upstream 2", action)
	}
	s.UpstreamConnected(1100 * time.Millisecond)
	s.MessageReceived(1200*time.Millisecond, true)
	if action, _ := s.Tick(20 * time.Second); action.ShouldDial || action.ShouldDisconnect {
		t.Fatalf("working connection: got %+v, want no dial and no disconnect", action)
	}
	s.UpstreamLost(21 * time.Second)
	action, next := s.Tick(21 * time.Second) // the third consecutive failure ends a round of attempts
	if action.ShouldDial || next <= 21*time.Second || next > 21*time.Second+2*initialBackoff {
		t.Fatalf("got %+v, next tick at %v, want a backoff after a round", action, next)
	}
	dial(next, 0)
	for range 100 {
		s.UpstreamLost(next)
		_, next = s.Tick(next)
	}
	if waited := s.backoffAfter(100); waited > defaultMaxBackoff || waited < defaultMaxBackoff/2 {
		t.Fatalf("got a backoff of %v, want from half of defaultMaxBackoff to all of it", waited)
	}
}
