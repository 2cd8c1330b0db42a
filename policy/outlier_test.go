package policy

import (
	"testing"
	"time"

	"fernvane/policy/internal/failures"
)

func TestOverloadEjectsForOneType(t *testing.T) {
	r := newHarness(t, 4, nil).fillSubset()
	op, _ := r.arriveAt(time.Second, 0, time.Second)
	s := r.Policy.requests.all[op].attempts[0].server
	r.end(time.Second, op, 0, Overloaded)
	for kind, want := range []bool{true, false, false, false} {
		if got := r.isUnhealthy(s, &request{trafficType: kind}); got != want {
			t.Errorf("type %d: unwell %v", kind, got)
		}
	}
	r.at(time.Second+initialEjection, Input{Kind: TimerFired})
	if r.isUnhealthy(s, &request{trafficType: 0}) {
		t.Error("still resting")
	}
}

// TestEjectionByOutcomes checks for which traffic types a server is ejected after a row of outcomes.
func TestEjectionByOutcomes(t *testing.T) {
	type end struct {
		kind int
		how  Outcome
		old  bool // sent before the last one ended
	}
	a, b, q := end{kind: 2, how: TimedOut}, end{kind: 0, how: Success}, end{2, TimedOut, true}
	no := func(n int, how Outcome) (ends []end) {
		for range n {
			ends = append(ends, end{kind: 0, how: how})
		}
		return ends
	}
	for name, c := range map[string]struct {
		ends  []end
		want  []bool // unwell, by type
		trial bool   // is left to see
	}{
		"twice":                          {[]end{a, b, a, b}, []bool{false, false, false, false}, false},
		"again, the others answered":     {[]end{a, b, a, b, a, b}, []bool{false, false, true, false}, true},
		"and then answered":              {[]end{a, b, a, b, a, b, {kind: 2, how: Success}}, []bool{false, false, false, false}, false},
		"a queue of them":                {[]end{a, q, q, q, b}, []bool{false, false, false, false}, false},
		"all types":                      {[]end{a, {kind: 0, how: TimedOut}}, []bool{true, true, true, true}, false},
		"one connection refused":         {no(1, Unreachable), []bool{false, false, true, false}, false},
		"two refused":                    {no(2, Unreachable), []bool{true, true, true, true}, false},
		"one connection broke":           {no(1, ConnectionBroken), []bool{false, false, false, false}, false},
		"breaks all that it is sent":     {no(minSoftFailures, ConnectionBroken), []bool{true, true, true, true}, false},
		"breaks between answers":         {append(append(no(minSoftFailures-1, ConnectionBroken), b), no(1, ConnectionBroken)...), []bool{false, false, false, false}, false},
		"declined as clients erred":      {append(no(minSoftFailures-1, ClientError), b), []bool{false, false, false, false}, false},
		"declined again after an answer": {append(append(no(minSoftFailures-1, ClientError), b), no(1, ClientError)...), []bool{false, false, false, false}, false},
		"declines all that it is sent":   {no(minSoftFailures, ClientError), []bool{true, true, true, true}, false},
		"all but one declined":           {no(minSoftFailures-1, ClientError), []bool{false, false, false, false}, false},
		"turned two in a row away":       {[]end{{kind: 0, how: Overloaded}, {kind: 2, how: Overloaded}}, []bool{true, true, true, true}, false},
		"turned away, answered, again":   {[]end{{kind: 0, how: Overloaded}, b, {kind: 2, how: Overloaded}}, []bool{false, false, true, false}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, 4, func(s *Settings) { s.ConnectTimeout = 250 * ms }).fillSubset()
			r.now = time.Second
			for _, e := range c.ends {
				sent := r.now
				if r.now += 40 * ms; e.old {
					sent -= 400 * ms
				}
				r.recordOutcome(1, &request{trafficType: e.kind, objectiveAt: sent + 400*ms}, sent, e.how)
			}
			for kind, want := range c.want {
				if got := r.isUnhealthy(1, &request{trafficType: kind}); got != want {
					t.Errorf("type %d: unwell %v", kind, got)
				}
			}
			if !c.trial {
				return
			}
			if r.now += 2 * initialEjection; r.isUnhealthy(1, &request{trafficType: 2}) {
				t.Error("still resting")
			}
			r.Policy.requests.all = append(r.Policy.requests.all, request{trafficType: 2, objectiveAt: r.now + 400*ms})
			r.picked = 1
			if r.sendAttempt(len(r.Policy.requests.all) - 1); !r.isUnhealthy(1, &request{trafficType: 2}) || r.isUnhealthy(1, &request{trafficType: 0}) {
				t.Error("more than one on trial")
			}
		})
	}
}

func TestMaxEjectedShare(t *testing.T) {
	for name, c := range map[string]struct {
		failing, ready, want int
	}{
		"one of four rests":        {1, 4, 1},
		"never more than the half": {4, 4, 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, c.ready, nil)
			r.now = time.Second
			for s := range c.failing {
				r.recordFailure(s, 1)
			}
			resting := 0
			for s := range r.readiness.Len() {
				until := r.outliers.ejections.EjectedUntil(s, failures.AllTypes)
				if until > r.now {
					resting++
				}
			}
			if resting != c.want {
				t.Errorf("%d rest, want %d", resting, c.want)
			}
		})
	}
}

// TestLastFailureIsKeptWhileInFlight checks that an attempt sent before the last failure does not count again,
// while one is in flight.
func TestLastFailureIsKeptWhileInFlight(t *testing.T) {
	const kind = 2
	for name, c := range map[string]struct{ inFlight, entries int }{
		"none out": {0, 0},
		"one out":  {1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, 4, nil)
			r.outliers.ejections.GetOrCreate(0, kind).LastAt, r.load.inFlight[0], r.now = time.Second, c.inFlight, 2*time.Second
			if r.pruneEjections(0); r.outliers.ejections.EntryCount(0) != c.entries || r.outliers.ejections.Active().Has(0) != (c.entries > 0) {
				t.Fatalf("%d entries, want %d", r.outliers.ejections.EntryCount(0), c.entries)
			}
			r.recordTypeFailure(0, kind, 500*ms)
			if got := r.outliers.ejections.Get(0, kind).Consecutive; got != 1-c.entries {
				t.Errorf("%d failures counted", got)
			}
		})
	}
}
