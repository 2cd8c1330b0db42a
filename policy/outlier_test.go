package policy

import (
	"testing"
	"time"

	"fernvane/policy/internal/failures"
)

func TestOverloadEjectsForOneType(t *testing.T) {
	h := newHarness(t, 4, nil).fillSubset()
	id, _ := h.arriveAt(time.Second, 0, time.Second)
	s := h.Policy.requests.all[id].attempts[0].server
	h.end(time.Second, id, 0, Overloaded)
	for trafficType, want := range []bool{true, false, false, false} {
		if got := h.isUnhealthy(s, &request{trafficType: trafficType}); got != want {
			t.Errorf("type %d: got unhealthy %v", trafficType, got)
		}
	}
	h.at(time.Second+initialEjection, Input{Kind: TimerFired})
	if h.isUnhealthy(s, &request{trafficType: 0}) {
		t.Error("server is still ejected after its ejection time")
	}
}

// TestEjectionByOutcomes checks for which traffic types a server is ejected after a sequence of outcomes.
func TestEjectionByOutcomes(t *testing.T) {
	type end struct {
		trafficType int
		outcome     Outcome
		old         bool // sent before the previous attempt ended
	}
	timeout, success, concurrentTimeout := end{trafficType: 2, outcome: TimedOut}, end{trafficType: 0, outcome: Success}, end{2, TimedOut, true}
	repeat := func(n int, outcome Outcome) (ends []end) {
		for range n {
			ends = append(ends, end{trafficType: 0, outcome: outcome})
		}
		return ends
	}
	for name, c := range map[string]struct {
		ends  []end
		want  []bool // unhealthy, by type
		trial bool   // a trial attempt follows
	}{
		"two timeouts of one type":                   {[]end{timeout, success, timeout, success}, []bool{false, false, false, false}, false},
		"three timeouts of one type, others succeed": {[]end{timeout, success, timeout, success, timeout, success}, []bool{false, false, true, false}, true},
		"three timeouts of one type, then a success": {[]end{timeout, success, timeout, success, timeout, success, {trafficType: 2, outcome: Success}}, []bool{false, false, false, false}, false},
		"timeouts in flight together":                {[]end{timeout, concurrentTimeout, concurrentTimeout, concurrentTimeout, success}, []bool{false, false, false, false}, false},
		"consecutive timeouts of two types":          {[]end{timeout, {trafficType: 0, outcome: TimedOut}}, []bool{true, true, true, true}, false},
		"one connection refused":                     {repeat(1, Unreachable), []bool{false, false, true, false}, false},
		"two refused":                                {repeat(2, Unreachable), []bool{true, true, true, true}, false},
		"one broken connection":                      {repeat(1, ConnectionBroken), []bool{false, false, false, false}, false},
		"only broken connections":                    {repeat(minSoftFailures, ConnectionBroken), []bool{true, true, true, true}, false},
		"broken connections around a success":        {append(append(repeat(minSoftFailures-1, ConnectionBroken), success), repeat(1, ConnectionBroken)...), []bool{false, false, false, false}, false},
		"client errors, then a success":              {append(repeat(minSoftFailures-1, ClientError), success), []bool{false, false, false, false}, false},
		"client errors around a success":             {append(append(repeat(minSoftFailures-1, ClientError), success), repeat(1, ClientError)...), []bool{false, false, false, false}, false},
		"only client errors":                         {repeat(minSoftFailures, ClientError), []bool{true, true, true, true}, false},
		"one client error too few":                   {repeat(minSoftFailures-1, ClientError), []bool{false, false, false, false}, false},
		"overloaded twice consecutively":             {[]end{{trafficType: 0, outcome: Overloaded}, {trafficType: 2, outcome: Overloaded}}, []bool{true, true, true, true}, false},
		"overloaded, success, overloaded":            {[]end{{trafficType: 0, outcome: Overloaded}, success, {trafficType: 2, outcome: Overloaded}}, []bool{false, false, true, false}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4, func(s *Settings) { s.ConnectTimeout = 250 * ms }).fillSubset()
			h.now = time.Second
			for _, e := range c.ends {
				sent := h.now
				if h.now += 40 * ms; e.old {
					sent -= 400 * ms
				}
				h.recordOutcome(1, &request{trafficType: e.trafficType, objectiveAt: sent + 400*ms}, sent, e.outcome)
			}
			for trafficType, want := range c.want {
				if got := h.isUnhealthy(1, &request{trafficType: trafficType}); got != want {
					t.Errorf("type %d: got unhealthy %v", trafficType, got)
				}
			}
			if !c.trial {
				return
			}
			if h.now += 2 * initialEjection; h.isUnhealthy(1, &request{trafficType: 2}) {
				t.Error("server is still ejected after its ejection time")
			}
			h.Policy.requests.all = append(h.Policy.requests.all, request{trafficType: 2, objectiveAt: h.now + 400*ms})
			h.picked = 1
			if h.sendAttempt(len(h.Policy.requests.all) - 1); !h.isUnhealthy(1, &request{trafficType: 2}) || h.isUnhealthy(1, &request{trafficType: 0}) {
				t.Error("after the trial attempt was sent: want the server unhealthy for type 2 and healthy for type 0")
			}
		})
	}
}

func TestMaxEjectedShare(t *testing.T) {
	for name, c := range map[string]struct {
		failing, ready, want int
	}{
		"one of four is ejected": {1, 4, 1},
		"at most half":           {4, 4, 2},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, c.ready, nil)
			h.now = time.Second
			for s := range c.failing {
				h.recordFailure(s, 1)
			}
			ejected := 0
			for s := range h.readiness.Len() {
				until := h.outliers.ejections.EjectedUntil(s, failures.AllTypes)
				if until > h.now {
					ejected++
				}
			}
			if ejected != c.want {
				t.Errorf("ejected servers: got %d, want %d", ejected, c.want)
			}
		})
	}
}

// TestLastFailureIsKeptWhileInFlight checks that an attempt sent before the last failure is not counted as a further
// failure while an attempt is in flight.
func TestLastFailureIsKeptWhileInFlight(t *testing.T) {
	const trafficType = 2
	for name, c := range map[string]struct{ inFlight, entries int }{
		"none in flight": {0, 0},
		"one in flight":  {1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4, nil)
			h.outliers.ejections.GetOrCreate(0, trafficType).LastAt, h.load.inFlight[0], h.now = time.Second, c.inFlight, 2*time.Second
			if h.pruneEjections(0); h.outliers.ejections.EntryCount(0) != c.entries || h.outliers.ejections.Active().Has(0) != (c.entries > 0) {
				t.Fatalf("entries after pruning: got %d, want %d", h.outliers.ejections.EntryCount(0), c.entries)
			}
			h.recordTypeFailure(0, trafficType, 500*ms)
			if got := h.outliers.ejections.Get(0, trafficType).Consecutive; got != 1-c.entries {
				t.Errorf("got %d counted failures", got)
			}
		})
	}
}
