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
