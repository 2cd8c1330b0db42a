package policy

import (
	"testing"
	"time"
)

func TestPollBackoff(t *testing.T) {
	h := newHarness(t, 1, func(s *Settings) { s.MustRequestEndpoints = true })
	h.at(0, Input{Kind: EndpointsUpdated, Scope: Unavailable})
	var requestedAt []time.Duration
	for now := time.Duration(0); now < 30*time.Second; now += 20 * ms {
		for _, e := range h.at(now, Input{Kind: TimerFired}) {
			if e.Kind == Subscribe {
				requestedAt = append(requestedAt, now)
				h.at(now, Input{Kind: EndpointsUpdated, Scope: Unavailable})
			}
		}
	}
	if len(requestedAt) < 6 || len(requestedAt) > 20 {
		t.Fatalf("requests of the list: got %d, want 6 to 20", len(requestedAt))
	}
	for i := 1; i < len(requestedAt); i++ {
		if gap := requestedAt[i] - requestedAt[i-1]; gap > h.settings.RequestEndpointsWithin {
			t.Errorf("got %v between requests, want at most RequestEndpointsWithin", gap)
		}
	}
	if first, last := requestedAt[1]-requestedAt[0], requestedAt[len(requestedAt)-1]-requestedAt[len(requestedAt)-2]; last < 2*first {
		t.Errorf("backoff: got %v first and %v last, want it to double at least once", first, last)
	}
}
