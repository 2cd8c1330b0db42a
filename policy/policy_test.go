package policy

import (
	"reflect"
	"testing"
	"time"
)

func TestSameInputsGiveSameEffects(t *testing.T) {
	run := func() (all []Effect) {
		h := newHarness(t, 5, nil)
		for i := range 400 {
			now := time.Duration(i) * 7 * ms
			id, got := h.arriveAt(now, i%4, time.Second)
			all = append(append(all, got...), h.at(now, Input{Kind: TimerFired})...)
			if i%3 > 0 {
				all = append(all, h.end(now+5*ms, id, 0, Outcome(i%8))...)
			}
		}
		return all
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("effects of two runs with the same inputs differ")
	}
}
