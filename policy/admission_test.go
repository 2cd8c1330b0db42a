package policy

import (
	"testing"
	"time"
)

func TestLowestWeightIsShedFirst(t *testing.T) {
	r := newHarness(t, 4, func(s *Settings) { s.TenantQuotas = []float64{1e6, 4} })
	for b := range r.admission.arrivalRates {
		r.admission.arrivalRates[b] = 10
	}
	r.admission.admitted, r.admission.saturated = 0.5, 1
	r.now = time.Second
	r.adjustAdmission(100 * ms)
	for i := 1; i < len(r.admission.classes); i++ {
		a, b := r.admission.classes[i-1], r.admission.classes[i]
		if r.admission.rejectShare[a] < r.admission.rejectShare[b] {
			t.Errorf("class %d at %.2f, class %d of higher weight at %.2f", a, r.admission.rejectShare[a], b, r.admission.rejectShare[b])
		}
	}
	if r.admission.rejectShare[r.admission.classes[0]] == 0 || r.classWeight(1) >= r.classWeight(0) {
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
			r := newHarness(t, 4, func(s *Settings) {
				s.TrafficTypes = append(s.TrafficTypes, s.TrafficTypes[0])
				s.TrafficTypes[4].PriorityWeight = c.revenue
			})
			r.admission.activeTypes.Remove(4)
			for b := range r.admission.arrivalRates[:8] {
				r.admission.arrivalRates[b] = 10
			}
			r.admission.admitted, r.admission.saturated, r.now = 0.7, 1, time.Second
			r.adjustAdmission(100 * ms)
			if len(r.admission.classes) != 8 {
				t.Fatalf("order %v", r.admission.classes)
			}
			r.activateType(4)
			if got := r.admission.rejectShare[8]; got != c.want || len(r.admission.classes) != 10 {
				t.Errorf("share %g, want %g; order %v", got, c.want, r.admission.classes)
			}
		})
	}
}
