package policy

import (
	"testing"
	"time"
)

func TestPollBackoff(t *testing.T) {
	h := newHarness(t, 1, func(s *Settings) { s.MustRequestEndpoints = true })
	h.at(0, Input{Kind: EndpointsUpdated, Scope: Unavailable})
	var asked []time.Duration
	for now := time.Duration(0); now < 30*time.Second; now += 20 * ms {
		for _, e := range h.at(now, Input{Kind: TimerFired}) {
			if e.Kind == Subscribe {
				asked = append(asked, now)
				h.at(now, Input{Kind: EndpointsUpdated, Scope: Unavailable})
			}
		}
	}
	if len(asked) < 6 || len(asked) > 20 {
		t.Fatalf("requested %d times", len(asked))
	}
	for i := 1; i < len(asked); i++ {
		if gap := asked[i] - asked[i-1]; gap > h.settings.RequestEndpointsWithin {
			t.Errorf("waited %v", gap)
		}
	}
	if first, last := asked[1]-asked[0], asked[len(asked)-1]-asked[len(asked)-2]; last < 2*first {
		t.Errorf("the wait does not grow: %v to %v", first, last)
	}
}
