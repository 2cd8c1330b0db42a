package distribution

import (
	"testing"
	"time"
)

func TestSubscriberStates(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		at     time.Duration
		do     string // connected, received, complete, lost, passed
		state  State
		serves bool
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"current at the start", []step{{0, "passed", Starting, false}, {10 * ms, "connected", CatchingUp, false}, {20 * ms, "received", CatchingUp, false},
			{30 * ms, "complete", Current, true}, {3 * time.Second, "passed", Current, true}}},
		{"serves from what it holds when nobody answers", []step{{0, "passed", Starting, false}, {10 * ms, "lost", Starting, false},
			{1999 * ms, "passed", Starting, false}, {2000 * ms, "passed", Isolated, true}, {2100 * ms, "connected", Behind, true}, {2200 * ms, "complete", Current, true}}},
		{"serves while it is caught up for long", []step{{0, "passed", Starting, false}, {10 * ms, "connected", CatchingUp, false},
			{2000 * ms, "passed", Behind, true}, {2500 * ms, "complete", Current, true}}},
		{"lost while it is caught up", []step{{0, "passed", Starting, false}, {10 * ms, "connected", CatchingUp, false}, {20 * ms, "lost", Starting, false},
			{30 * ms, "passed", Starting, false}, {40 * ms, "connected", CatchingUp, false}}},
		{"loses its upstream", []step{{0, "passed", Starting, false}, {0, "connected", CatchingUp, false}, {0, "complete", Current, true},
			{50 * ms, "lost", Behind, true}, {9 * time.Second, "passed", Behind, true}, {9100 * ms, "lost", Behind, true}, {10050 * ms, "passed", Isolated, true},
			{10060 * ms, "connected", Behind, true}, {10070 * ms, "complete", Current, true}}},
		{"falls behind what it is sent", []step{{0, "passed", Starting, false}, {0, "connected", CatchingUp, false}, {0, "complete", Current, true},
			{1 * ms, "received", Current, true}, {2000 * ms, "passed", Current, true}, {2001 * ms, "passed", Behind, true}, {2002 * ms, "complete", Current, true}}},
		{"an upstream that says nothing is left", []step{{0, "passed", Starting, false}, {0, "connected", CatchingUp, false}, {0, "complete", Current, true},
			{24 * time.Second, "passed", Current, true}, {25 * time.Second, "passed", Behind, true}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewSubscriber(0, Following{Upstreams: 2, Seed: "n"})
			for i, step := range test.steps {
				switch step.do {
				case "connected":
					s.Connected(step.at)
				case "received":
					s.Received(step.at, false)
				case "complete":
					s.Received(step.at, true)
				case "lost":
					s.Lost(step.at)
				case "passed":
					s.Passed(step.at)
				}
				if s.State() != step.state || s.Serves() != step.serves {
					t.Fatalf("step %d, %s at %v: %v, serves %v; want %v, %v", i, step.do, step.at, s.State(), s.Serves(), step.state, step.serves)
				}
			}
		})
	}
}

// Nothing leads back from a state that serves to one that does not.
func TestWhoServesGoesOn(t *testing.T) {
	for state := Current; state < statesEnd; state++ {
		for in := range inputsEnd {
			if next := transitions[state][in]; next < Current {
				t.Errorf("%v leads to %v", state, next)
			}
		}
	}
}

func TestUpstreamsAreTriedInOrderAndKept(t *testing.T) {
	s := NewSubscriber(0, Following{Upstreams: 3, Seed: "n"})
	dial := func(at time.Duration, want int) {
		t.Helper()
		if do, _ := s.Passed(at); !do.Dial || do.Upstream != want {
			t.Fatalf("at %v: %+v, want upstream %d", at, do, want)
		}
	}
	dial(0, 0)
	s.Lost(1)
	dial(1, 1)
	if do, again := s.Passed(500 * time.Millisecond); do.Dial || again > 1*time.Second+1 {
		t.Fatalf("an attempt in hand: %+v, again %v", do, again)
	}
	if do, _ := s.Passed(1*time.Second + 1); !do.Drop || !do.Dial || do.Upstream != 2 {
		t.Fatalf("an attempt without an answer: %+v", do)
	}
	s.Connected(1100 * time.Millisecond)
	s.Received(1200*time.Millisecond, true)
	if do, _ := s.Passed(20 * time.Second); do.Dial || do.Drop {
		t.Fatalf("it is left for another: %+v", do)
	}
	s.Lost(21 * time.Second)
	do, again := s.Passed(21 * time.Second) // the third failure in a row: a round of all is over
	if do.Dial || again <= 21*time.Second || again > 21*time.Second+2*backOffFirst {
		t.Fatalf("%+v, again %v: no back-off after a round", do, again)
	}
	dial(again, 0)
	for range 100 {
		s.Lost(again)
		_, again = s.Passed(again)
	}
	if waited := s.backOff(100); waited > backOffMost || waited < backOffMost/2 {
		t.Fatalf("backs off for %v", waited)
	}
}
