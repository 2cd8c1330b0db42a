package policy

import (
	"testing"
	"time"
)

func TestLowestWeightIsShedFirst(t *testing.T) {
	h := newHarness(t, 4, func(s *Settings) { s.TenantQuotas = []float64{1e6, 4} })
	for b := range h.admission.arrivalRates {
		h.admission.arrivalRates[b] = 10
	}
	h.admission.admitted, h.admission.saturated = 0.5, 1
	h.now = time.Second
	h.adjustAdmission(100 * ms)
	for i := 1; i < len(h.admission.classes); i++ {
		a, b := h.admission.classes[i-1], h.admission.classes[i]
		if h.admission.rejectShare[a] < h.admission.rejectShare[b] {
			t.Errorf("class %d at %.2f, class %d of higher weight at %.2f", a, h.admission.rejectShare[a], b, h.admission.rejectShare[b])
		}
	}
	if h.admission.rejectShare[h.admission.classes[0]] == 0 || h.classWeight(1) >= h.classWeight(0) {
		t.Error("nothing shed, or requests beyond the quota weigh as much")
	}
}

// TestIdleTypeIsShedLikeOthers checks that a traffic type after a time without traffic is shed as if each tick had
// worked out its share.
func TestIdleTypeIsShedLikeOthers(t *testing.T) {
	for name, c := range map[string]struct {
		revenue float64
		want    float64
	}{
		"lowest weight":  {0.05, defaultMaxShedShare},
		"highest weight": {50, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4, func(s *Settings) {
				s.TrafficTypes = append(s.TrafficTypes, s.TrafficTypes[0])
				s.TrafficTypes[4].PriorityWeight = c.revenue
			})
			h.admission.activeTypes.Remove(4)
			for b := range h.admission.arrivalRates[:8] {
				h.admission.arrivalRates[b] = 10
			}
			h.admission.admitted, h.admission.saturated, h.now = 0.7, 1, time.Second
			h.adjustAdmission(100 * ms)
			if len(h.admission.classes) != 8 {
				t.Fatalf("order %v", h.admission.classes)
			}
			h.activateType(4)
			if got := h.admission.rejectShare[8]; got != c.want || len(h.admission.classes) != 10 {
				t.Errorf("share %g, want %g; order %v", got, c.want, h.admission.classes)
			}
		})
	}
}
