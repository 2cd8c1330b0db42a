package policy

import (
	"testing"
	"time"
)

func TestLowestWeightIsShedFirst(t *testing.T) {
	h := newHarness(t, 4, func(s *Settings) { s.TenantQuotas = []float64{1e6, 4} })
	for class := range h.admission.arrivalRates {
		h.admission.arrivalRates[class] = 10
	}
	h.admission.admitted, h.admission.saturated = 0.5, 1
	h.now = time.Second
	h.adjustAdmission(100 * ms)
	for i := 1; i < len(h.admission.classes); i++ {
		a, b := h.admission.classes[i-1], h.admission.classes[i]
		if h.admission.rejectShare[a] < h.admission.rejectShare[b] {
			t.Errorf("reject shares: class %d has %.2f, class %d of higher weight has %.2f, want a descending order", a, h.admission.rejectShare[a], b, h.admission.rejectShare[b])
		}
	}
	if h.admission.rejectShare[h.admission.classes[0]] == 0 || h.classWeight(1) >= h.classWeight(0) {
		t.Error("want a reject share for the lowest class, and a lower weight above the quota")
	}
}

// TestIdleTypeIsShedLikeOthers checks that a traffic type without recent traffic is shed as if each tick had computed
// its reject share.
func TestIdleTypeIsShedLikeOthers(t *testing.T) {
	for name, c := range map[string]struct {
		weight float64
		want   float64
	}{
		"lowest weight":  {0.05, defaultMaxShedShare},
		"highest weight": {50, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4, func(s *Settings) {
				s.TrafficTypes = append(s.TrafficTypes, s.TrafficTypes[0])
				s.TrafficTypes[4].PriorityWeight = c.weight
			})
			h.admission.activeTypes.Remove(4)
			for class := range h.admission.arrivalRates[:8] {
				h.admission.arrivalRates[class] = 10
			}
			h.admission.admitted, h.admission.saturated, h.now = 0.7, 1, time.Second
			h.adjustAdmission(100 * ms)
			if len(h.admission.classes) != 8 {
				t.Fatalf("got classes %v, want 8 of them", h.admission.classes)
			}
			h.activateType(4)
			if got := h.admission.rejectShare[8]; got != c.want || len(h.admission.classes) != 10 {
				t.Errorf("reject share: got %g, want %g; classes: %v, want 10 of them", got, c.want, h.admission.classes)
			}
		})
	}
}
