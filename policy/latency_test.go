package policy

import (
	"testing"
	"time"
)

func TestNewServerStartsAtMeanLatency(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.latency.smoothed.Set(0, 100*ms)
	h.latency.smoothed.Set(1, 300*ms)
	h.at(time.Second, Input{Kind: EndpointsUpdated, Scope: Incremental, Endpoints: []Endpoint{{Server: 2, Weight: 1}}})
	if h.latency.smoothed.At(2) != 200*ms {
		t.Errorf("latency of a new server: got %v, want 200ms", h.latency.smoothed.At(2))
	}
}
