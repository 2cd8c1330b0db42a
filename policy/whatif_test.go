package policy

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"
)

// replayInputs passes a fixed sequence of inputs, with failures, to a policy. It calls evaluate before each input, and
// returns all effects and the number of inputs for which evaluate returned different effects.
func replayInputs(t *testing.T, evaluate func(h *harness, now time.Duration, in *Input) []Effect) (all []Effect, differ int) {
	h := newHarness(t, 5, func(s *Settings) {
		s.MaxRetryAfter, s.HedgingAllowed, s.TenantQuotas = time.Second, true, []float64{40, 4}
	})
	handle := func(now time.Duration, in Input) []Effect {
		want := evaluate(h, now, &in)
		got := h.at(now, in)
		if !reflect.DeepEqual(want, got) {
			differ++
		}
		return got
	}
	for i := range 400 {
		now := time.Duration(i) * 7 * ms
		id := h.arrivals
		h.arrivals++
		all = append(all, handle(now, Input{Kind: RequestArrived, Request: id, TrafficType: i % 4, Tenant: i % 2, Key: uint32(i % 9), Timeout: time.Second})...)
		all = append(all, handle(now, Input{Kind: TimerFired})...)
		if i%3 > 0 {
			outcome := Outcome(i % 8)
			all = append(all, handle(now+5*ms, Input{Kind: AttemptEnded, Request: id, Outcome: outcome, IsSettled: outcome == Success})...)
		}
	}
	return all, differ
}

// TestWhatIfChangesNothing checks that WhatIf does not change the policy, and returns the same effects as Handle if
// the settings are equal.
func TestWhatIfChangesNothing(t *testing.T) {
	withoutWhatIf, _ := replayInputs(t, func(*harness, time.Duration, *Input) []Effect { return nil })
	for name, c := range map[string]struct {
		change func(*Settings)
		same   bool
	}{
		"equal settings": {func(*Settings) {}, true},
		"different settings": {func(s *Settings) {
			s.ServersCacheKeys, s.MaxRetryAfter, s.TrafficTypes[2].LateWeightShare, s.NodeCount = true, 0, 0.5, 40
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			withWhatIf, differ := replayInputs(t, func(h *harness, now time.Duration, in *Input) []Effect {
				s := h.settings
				s.TrafficTypes = slices.Clone(s.TrafficTypes)
				c.change(&s)
				return h.WhatIf(&s, now, in, nil)
			})
			if !reflect.DeepEqual(withoutWhatIf, withWhatIf) {
				t.Error("effects of Handle differ between runs with and without WhatIf")
			}
			if (differ == 0) != c.same {
				t.Errorf("WhatIf and Handle differ for %d inputs", differ)
			}
		})
	}
}

// TestWhatIfKeepsQuotas checks that a change of quotas in WhatIf does not change the quotas of the policy.
func TestWhatIfKeepsQuotas(t *testing.T) {
	h := newHarness(t, 1, func(s *Settings) { s.TenantQuotas = []float64{40, 4} })
	h.at(0, Input{Kind: QuotasChanged, Quotas: []Quota{{Tenant: 0, PerSecond: 50}}})
	other := h.settings
	h.WhatIf(&other, 0, &Input{Kind: QuotasChanged, Quotas: []Quota{{Tenant: 0, PerSecond: 60}}}, nil)
	if got := h.settings.TenantQuotas[0]; got != 50 {
		t.Errorf("quota after WhatIf: got %v, want 50", got)
	}
}

// TestCloneSharesNothing checks that no field of a clone shares memory with the original. It guards against new fields
// that clone does not copy.
func TestCloneSharesNothing(t *testing.T) {
	h := newHarness(t, 3, func(s *Settings) { s.TenantQuotas = []float64{1} }).fillSubset()
	h.quotaUsage.withinQuotaShares = []float64{1}
	h.readiness.SetLabels(0, 1)
	h.readiness.SetPlacements(0, 1)
	id, _ := h.arriveAt(0, 0, time.Second)
	c := h.clone(id)
	var compare func(name string, a, b reflect.Value)
	compare = func(name string, a, b reflect.Value) {
		switch a.Kind() {
		case reflect.Slice:
			if a.Len() > 0 && a.Pointer() == b.Pointer() {
				t.Errorf("%s shares memory with the original", name)
			}
			for i := range a.Len() {
				compare(fmt.Sprintf("%s[%d]", name, i), a.Index(i), b.Index(i))
			}
		case reflect.Array:
			for i := range a.Len() {
				compare(fmt.Sprintf("%s[%d]", name, i), a.Index(i), b.Index(i))
			}
		case reflect.Struct:
			for i := range a.NumField() {
				if f := a.Type().Field(i).Name; f != "settings" && f != "transitions" && f != "effects" { // read-only or replaced
					compare(name+"."+f, a.Field(i), b.Field(i))
				}
			}
		case reflect.Map, reflect.Pointer, reflect.Chan:
			t.Errorf("%s: clone does not support this kind of field", name)
		}
	}
	compare("p", reflect.ValueOf(h.Policy).Elem(), reflect.ValueOf(c).Elem())
}

func BenchmarkWhatIf(b *testing.B) {
	h := newHarness(&testing.T{}, 100, nil).fillSubset()
	for range 100 {
		h.arriveAt(0, 0, time.Hour)
	}
	for b.Loop() {
		h.WhatIf(&h.settings, time.Second, &Input{Kind: AttemptEnded, Outcome: Success, IsSettled: true}, nil)
	}
}
