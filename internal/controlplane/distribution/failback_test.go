package distribution

import (
	"fmt"
	"testing"
	"time"
)

// newFailedOver returns a subscriber that has lost its preferred upstreams and is current with the last one.
func newFailedOver(t *testing.T, upstreams int, seed string) *Subscriber {
	t.Helper()
	s := NewSubscriber(0, SubscriberOptions{UpstreamCount: upstreams, JitterSeed: seed, FailbackDelay: time.Minute})
	for want := range upstreams {
		if action, _ := s.Tick(0); !action.ShouldDial || action.Upstream != want {
			t.Fatalf("got %+v, want a dial of upstream %d", action, want)
		}
		if want < upstreams-1 {
			s.UpstreamLost(0)
		}
	}
	s.UpstreamConnected(0)
	s.MessageReceived(0, true)
	return s
}

// awaitProbe advances time until a probe is due, and fails the test on any other action before it.
func awaitProbe(t *testing.T, s *Subscriber, from time.Duration) (at time.Duration, upstream int) {
	t.Helper()
	for at = from; at < from+time.Hour; at += time.Second {
		s.MessageReceived(at, true) // digests arrive
		action, next := s.Tick(at)
		if action.ShouldDisconnect || action.ShouldDial || next > at+tickInterval {
			t.Fatalf("at %v: got %+v, next tick at %v, want no connection change", at, action, next)
		}
		if action.ShouldProbe {
			return at, action.ProbeUpstream
		}
	}
	t.Fatal("no probe within an hour")
	return 0, 0
}

// Preferred upstreams are probed in turn while the current connection stays open. It is closed only after a response.
func TestFailbackToPreferredUpstream(t *testing.T) {
	s := newFailedOver(t, 3, "n")
	at, upstream := awaitProbe(t, s, 0)
	if upstream != 0 || at < 30*time.Second || at > 91*time.Second {
		t.Fatalf("got a probe of upstream %d at %v, want 0 from 30s to 91s", upstream, at)
	}
	if action, _ := s.Tick(at + time.Second); action.ShouldProbe {
		t.Error("second probe before the end of the first one")
	}
	s.ProbeEnded(at, 0, false)
	at, upstream = awaitProbe(t, s, at)
	if upstream != 1 {
		t.Fatalf("got a probe of upstream %d, want 1", upstream)
	}
	s.ProbeEnded(at, 1, true)
	action, _ := s.Tick(at)
	if !action.ShouldDisconnect || !action.IsFailback || !action.ShouldDial || action.Upstream != 1 || s.State() != StateBehind || !s.CanServe() {
		t.Fatalf("got %+v, state %v, want a failback to upstream 1 and state behind", action, s.State())
	}
	s.UpstreamConnected(at)
	s.MessageReceived(at, true)
	if at, upstream = awaitProbe(t, s, at); upstream != 0 {
		t.Fatalf("got a probe of upstream %d from upstream 1, want 0", upstream)
	}
	s.ProbeEnded(at, 0, true)
	if action, _ := s.Tick(at); !action.IsFailback || action.Upstream != 0 {
		t.Fatalf("got %+v, want a failback to upstream 0", action)
	}
	s.UpstreamConnected(at)
	s.MessageReceived(at, true)
	for end := at + time.Hour; at < end; at += time.Second {
		s.MessageReceived(at, true)
		if action, _ := s.Tick(at); action != (Action{}) {
			t.Fatalf("connected to the most preferred upstream: got %+v, want no action", action)
		}
	}
}

// Cases in which a failback is abandoned, disabled or delayed.
func TestFailbackIsDelayedOrAbandoned(t *testing.T) {
	t.Run("connection lost during the probe", func(t *testing.T) {
		s := newFailedOver(t, 2, "n")
		at, _ := awaitProbe(t, s, 0)
		s.UpstreamLost(at)
		s.ProbeEnded(at, 0, true)
		if action, _ := s.Tick(at); action.IsFailback || !action.ShouldDial || action.Upstream != 0 {
			t.Errorf("got %+v, want a dial of upstream 0 without failback", action)
		}
	})
	t.Run("disabled", func(t *testing.T) {
		s := newFailedOver(t, 2, "n")
		s.options.FailbackDelay = 0
		for at := time.Duration(0); at < 10*time.Minute; at += time.Second {
			s.MessageReceived(at, true)
			if action, _ := s.Tick(at); action != (Action{}) {
				t.Fatalf("got %+v, want no action", action)
			}
		}
	})
	t.Run("delay doubles after failbacks that do not last", func(t *testing.T) {
		s := newFailedOver(t, 2, "n")
		at, failbacks := time.Duration(0), 0
		for at < 2*time.Hour {
			at, _ = awaitProbe(t, s, at)
			s.ProbeEnded(at, 0, true)
			if action, _ := s.Tick(at); !action.IsFailback {
				t.Fatalf("got %+v, want a failback", action)
			}
			failbacks++
			s.UpstreamConnected(at)
			s.UpstreamLost(at)
			if action, _ := s.Tick(at); !action.ShouldDial || action.Upstream != 1 {
				t.Fatalf("got %+v, want a dial of upstream 1", action)
			}
			s.UpstreamConnected(at)
			s.MessageReceived(at, true)
		}
		if failbacks < 6 || failbacks > 20 {
			t.Errorf("got %d failbacks in two hours, want 6 to 20", failbacks)
		}
	})
}

// Subscribers that lost their control process simultaneously do not all fail back within the same seconds.
func TestFailbacksAreSpread(t *testing.T) {
	const subscribers = 160 // about those of one of 36 control processes with 5,800 nodes
	bySecond, most := map[time.Duration]int{}, 0
	for i := range subscribers {
		at, _ := awaitProbe(t, newFailedOver(t, 2, fmt.Sprint("node-", i)), 0)
		bySecond[at]++
		most = max(most, bySecond[at])
	}
	if most > 12 {
		t.Errorf("got %d of %d probes in one second, want at most 12", most, subscribers)
	}
}
