package policy

import (
	"slices"
	"testing"
	"time"

	"fernvane/policy/internal/failures"
)

// TestPlan checks the effect of a plan on one server of six, all of which are in the subset.
func TestPlan(t *testing.T) {
	const planned = 2
	for name, c := range map[string]struct {
		first, second []Assignment
		isInFlight    bool // an attempt at the server
		isInSubset    bool
		isEjected     bool
		hasSlowStart  bool // the plan sets a slow-start rate
	}{
		"not named":                       {isInSubset: true},
		"assigned":                        {second: []Assignment{{Server: planned, Preference: 1}}, isInSubset: true},
		"assigned with a slow-start rate": {second: []Assignment{{Server: planned, Preference: 1, SlowStartRate: 5}}, isInSubset: true, hasSlowStart: true},
		"avoided":                         {second: []Assignment{{Server: planned, Preference: -1}}},
		"avoided, an attempt in flight":   {second: []Assignment{{Server: planned, Preference: -1}}, isInFlight: true, isInSubset: true},
		"assignment removed":              {first: []Assignment{{Server: planned, Preference: 1}}},
		"assignment removed, an attempt in flight": {first: []Assignment{{Server: planned, Preference: 1}}, isInFlight: true, isInSubset: true},
		"slow-start rate removed":                  {first: []Assignment{{Server: planned, SlowStartRate: 5}}, isInSubset: true},
		"ejected":                                  {second: []Assignment{{Server: planned, EjectFor: time.Second}}, isInSubset: true, isEjected: true},
		"still ejected under the next plan":        {first: []Assignment{{Server: planned, EjectFor: time.Second}}, isInSubset: true, isEjected: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 6, nil).fillSubset()
			if c.isInFlight {
				h.load.inFlight[planned] = 1
			}
			h.at(0, Input{Kind: PlanChanged, NodeCount: 4, Assignments: c.first})
			h.at(0, Input{Kind: PlanChanged, NodeCount: 4, Assignments: c.second})
			if got := slices.Contains(h.subset.members, planned); got != c.isInSubset || got != h.subset.contains[planned] {
				t.Errorf("server in the subset: got %v, want %v", got, c.isInSubset)
			}
			if got := h.now < h.outliers.ejections.EjectedUntil(planned, failures.AllTypes); got != c.isEjected {
				t.Errorf("server ejected: got %v, want %v", got, c.isEjected)
			}
			if got := h.plan.slowStartRate[planned] > 0; got != c.hasSlowStart {
				t.Errorf("slow-start rate set: got %v, want %v", got, c.hasSlowStart)
			}
		})
	}
}

// TestAssignedServersJoinFirst checks that the servers that a plan assigns join the subset first, and that those that
// it avoids do not join.
func TestAssignedServersJoinFirst(t *testing.T) {
	h := newHarness(t, 6, nil)
	h.concurrency.provenLimit = 1000
	h.at(0, Input{Kind: PlanChanged, NodeCount: 4, Assignments: []Assignment{
		{Server: 1, Preference: -1}, {Server: 4, Preference: 1}, {Server: 5, Preference: 0.5}}})
	for range 8 { // more than can join
		h.arriveAt(0, 0, time.Second)
	}
	if first := slices.Sorted(slices.Values(h.subset.members[:2])); !slices.Equal(first, []int{4, 5}) || h.subset.contains[1] {
		t.Errorf("got members %v, want 4 and 5 first, and not 1", h.subset.members)
	}
}
