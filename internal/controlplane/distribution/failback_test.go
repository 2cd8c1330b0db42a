package distribution

import (
	"fmt"
	"testing"
	"time"
)

// fallenBack returns a subscriber that has lost its preferred upstreams and is current at the last one.
func fallenBack(t *testing.T, upstreams int, seed string) *Subscriber {
	t.Helper()
	s := NewSubscriber(0, SubscriberOptions{UpstreamCount: upstreams, JitterSeed: seed, FailbackDelay: time.Minute})
	for want := range upstreams {
		if do, _ := s.Tick(0); !do.ShouldDial || do.Upstream != want {
			t.Fatalf("%+v, want upstream %d dialled", do, want)
		}
		if want < upstreams-1 {
			s.UpstreamLost(0)
		}
	}
	s.UpstreamConnected(0)
	s.MessageReceived(0, true)
	return s
}

// probeDue passes time until a probe is due, and looks that nothing else is done meanwhile.
func probeDue(t *testing.T, s *Subscriber, from time.Duration) (at time.Duration, upstream int) {
	t.Helper()
	for at = from; at < from+time.Hour; at += time.Second {
		s.MessageReceived(at, true) // digests come
		do, again := s.Tick(at)
		if do.ShouldDisconnect || do.ShouldDial || again > at+tickInterval {
			t.Fatalf("at %v: %+v, again at %v", at, do, again)
		}
		if do.ShouldProbe {
			return at, do.ProbeUpstream
		}
	}
	t.Fatal("no probe within an hour")
	return 0, 0
}

// Preferred upstreams are probed in turn beside the connection in hand, which is left only for one that has answered.
func TestFailbackToPreferredUpstream(t *testing.T) {
	s := fallenBack(t, 3, "n")
	at, upstream := probeDue(t, s, 0)
	if upstream != 0 || at < 30*time.Second || at > 91*time.Second {
		t.Fatalf("upstream %d is probed at %v", upstream, at)
	}
	if do, _ := s.Tick(at + time.Second); do.ShouldProbe {
		t.Error("two probes at a time")
	}
	s.ProbeEnded(at, 0, false)
	at, upstream = probeDue(t, s, at)
	if upstream != 1 {
		t.Fatalf("then %d is probed", upstream)
	}
	s.ProbeEnded(at, 1, true)
	do, _ := s.Tick(at)
	if !do.ShouldDisconnect || !do.IsFailback || !do.ShouldDial || do.Upstream != 1 || s.State() != StateBehind || !s.CanServe() {
		t.Fatalf("%+v, %v", do, s.State())
	}
	s.UpstreamConnected(at)
	s.MessageReceived(at, true)
	if at, upstream = probeDue(t, s, at); upstream != 0 {
		t.Fatalf("from 1, %d is probed", upstream)
	}
	s.ProbeEnded(at, 0, true)
	if do, _ := s.Tick(at); !do.IsFailback || do.Upstream != 0 {
		t.Fatalf("%+v", do)
	}
	s.UpstreamConnected(at)
	s.MessageReceived(at, true)
	for end := at + time.Hour; at < end; at += time.Second {
		s.MessageReceived(at, true)
		if do, _ := s.Tick(at); do != (Action{}) {
			t.Fatalf("at the first of all: %+v", do)
		}
	}
}

// What abandons or delays a failback.
func TestFailbackIsDelayedOrAbandoned(t *testing.T) {
	t.Run("connection lost during the probe", func(t *testing.T) {
		s := fallenBack(t, 2, "n")
		at, _ := probeDue(t, s, 0)
		s.UpstreamLost(at)
		s.ProbeEnded(at, 0, true)
		if do, _ := s.Tick(at); do.IsFailback || !do.ShouldDial || do.Upstream != 0 {
			t.Errorf("%+v", do)
		}
	})
	t.Run("disabled", func(t *testing.T) {
		s := fallenBack(t, 2, "n")
		s.options.FailbackDelay = 0
		for at := time.Duration(0); at < 10*time.Minute; at += time.Second {
			s.MessageReceived(at, true)
			if do, _ := s.Tick(at); do != (Action{}) {
				t.Fatalf("%+v", do)
			}
		}
	})
	t.Run("delay doubles after failbacks that do not last", func(t *testing.T) {
		s := fallenBack(t, 2, "n")
		at, returns := time.Duration(0), 0
		for at < 2*time.Hour {
			at, _ = probeDue(t, s, at)
			s.ProbeEnded(at, 0, true)
			if do, _ := s.Tick(at); !do.IsFailback {
				t.Fatalf("%+v", do)
			}
			returns++
			s.UpstreamConnected(at)
			s.UpstreamLost(at)
			if do, _ := s.Tick(at); !do.ShouldDial || do.Upstream != 1 {
				t.Fatalf("%+v", do)
			}
			s.UpstreamConnected(at)
			s.MessageReceived(at, true)
		}
		if returns < 6 || returns > 20 {
			t.Errorf("%d returns in two hours", returns)
		}
	})
}

// Subscribers that lost their control process at one moment do not all fail back within the same seconds.
func TestFailbacksAreSpread(t *testing.T) {
	const subscribers = 160 // of one of 36 control processes at 5,800 nodes
	bySecond, most := map[time.Duration]int{}, 0
	for i := range subscribers {
		at, _ := probeDue(t, fallenBack(t, 2, fmt.Sprint("node-", i)), 0)
		bySecond[at]++
		most = max(most, bySecond[at])
	}
	if most > 12 {
		t.Errorf("%d of %d in one second", most, subscribers)
	}
}
