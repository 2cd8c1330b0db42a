package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestTrafficTypesChange checks that unchanged traffic types keep their figures and that new ones take over those
// they learn from.
func TestTrafficTypesChange(t *testing.T) {
	r := newRouteHarness(t, 6, 0, func(*TrafficType) {})
	for range 30 {
		id, _ := r.arriveAt(r.now, 0, 2*time.Second)
		r.end(r.now+30*ms, id, 0, Success)
	}
	held, _ := r.arriveAt(r.now, 0, 2*time.Second)
	types := slices.Clone(r.settings.TrafficTypes)
	short := types[0]
	short.MaxAttempts = 1
	types = append(types, short)
	learned := r.latency.typical[0]
	r.at(r.now, Input{Kind: TrafficTypesChanged, TrafficTypes: types, LearnFrom: []int{0, 1, 2, 3, 0}, RouteLimits: []int{0}})
	if r.latency.typical[0] != learned || r.latency.typical[4] != learned || r.latency.answers[4] != r.latency.answers[0] || len(r.admission.classes) != 10 {
		t.Errorf("learned %s, kept %s, passed on %s, order %v", learned, r.latency.typical[0], r.latency.typical[4], r.admission.classes)
	}
	fresh, _ := r.arriveAt(r.now, 4, 2*time.Second)
	for id, want := range map[int]EffectKind{held: SendAttempt, fresh: Reject} {
		if e := effectKinds(r.end(r.now+10*ms, id, 0, Failure)); !slices.Equal(e, []EffectKind{want}) {
			t.Errorf("request %d then gets %v", id, e)
		}
	}
	order := slices.Clone(r.admission.classes)
	if slices.Sort(order); fmt.Sprint(order) != "[0 1 2 3 4 5 6 7 8 9]" {
		t.Errorf("order %v", r.admission.classes)
	}
}
