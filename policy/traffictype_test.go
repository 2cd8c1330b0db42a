package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestTrafficTypesChange checks that unchanged traffic types keep their latencies, and that new types copy those of
// the type in LatencySources.
func TestTrafficTypesChange(t *testing.T) {
	h := newRouteHarness(t, 6, 0, func(*TrafficType) {})
	for range 30 {
		id, _ := h.arriveAt(h.now, 0, 2*time.Second)
		h.end(h.now+30*ms, id, 0, Success)
	}
	earlier, _ := h.arriveAt(h.now, 0, 2*time.Second)
	types := slices.Clone(h.settings.TrafficTypes)
	short := types[0]
	short.MaxAttempts = 1
	types = append(types, short)
	typical := h.latency.typical[0]
	h.at(h.now, Input{Kind: TrafficTypesChanged, TrafficTypes: types, LatencySources: []int{0, 1, 2, 3, 0}, RouteLimits: []int{0}})
	if h.latency.typical[0] != typical || h.latency.typical[4] != typical || h.latency.responseCounts[4] != h.latency.responseCounts[0] || len(h.admission.classes) != 10 {
		t.Errorf("typical latency: was %s, got %s for the unchanged and %s for the new type; classes %v, want 10 of them", typical, h.latency.typical[0], h.latency.typical[4], h.admission.classes)
	}
	later, _ := h.arriveAt(h.now, 4, 2*time.Second)
	for id, want := range map[int]EffectKind{earlier: SendAttempt, later: Reject} {
		if e := effectKinds(h.end(h.now+10*ms, id, 0, Failure)); !slices.Equal(e, []EffectKind{want}) {
			t.Errorf("request %d: got effects %v after a failure", id, e)
		}
	}
	order := slices.Clone(h.admission.classes)
	if slices.Sort(order); fmt.Sprint(order) != "[0 1 2 3 4 5 6 7 8 9]" {
		t.Errorf("got classes %v, want 0 to 9", h.admission.classes)
	}
}
