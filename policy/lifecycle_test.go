package policy

import (
	"reflect"
	"testing"
	"time"
)

// TestFinalAnswerByOutcome checks what follows the end of a request's first attempt.
func TestFinalAnswerByOutcome(t *testing.T) {
	const retriable, fingerZone, binding, fingerAll = 0, 1, 2, 3
	for name, c := range map[string]struct {
		kind    int
		outcome Outcome
		after   time.Duration
		change  func(*Settings)
		want    []EffectKind
	}{
		"handled":                                {retriable, Success, 50 * ms, nil, nil},
		"retriable error goes again":             {retriable, Failure, 50 * ms, nil, []EffectKind{SendAttempt}},
		"retriable time-out at target is denied": {retriable, TimedOut, 390 * ms, nil, []EffectKind{Reject}},
		"fingerprinted error goes again":         {fingerZone, Failure, 50 * ms, nil, []EffectKind{SendAttempt}},
		"fingerprinted may have run, group zone": {fingerZone, TimedOut, 390 * ms, nil, []EffectKind{Fail}},
		"fingerprinted may have run, group all":  {fingerAll, TimedOut, 390 * ms, nil, []EffectKind{Reject}},
		"fingerprinted past its window":          {fingerAll, ConnectionBroken, 60 * ms, func(s *Settings) { s.TrafficTypes[3].KeyRetention = 50 * ms }, []EffectKind{Reject}},
		"binding error is written off":           {binding, Failure, 50 * ms, nil, []EffectKind{Fail}},
		"binding broken is written off":          {binding, ConnectionBroken, 50 * ms, nil, []EffectKind{Fail}},
		"binding recalled may have run":          {binding, Canceled, 50 * ms, nil, []EffectKind{Fail}},
		"binding refused goes again":             {binding, Overloaded, 50 * ms, nil, []EffectKind{SendAttempt}},
		"binding unreachable goes again":         {binding, Unreachable, 50 * ms, nil, []EffectKind{SendAttempt}},
		"binding never sent, too late: denied":   {binding, NotStarted, 390 * ms, nil, []EffectKind{Reject}},
		"no hop left, never ran: denied":         {binding, Overloaded, 50 * ms, func(s *Settings) { s.MaxAttempts = 1 }, []EffectKind{Reject}},
		"no hop left, may have run":              {fingerZone, Failure, 50 * ms, func(s *Settings) { s.MaxAttempts = 1 }, []EffectKind{Fail}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, 4, c.change)
			op, sent := r.arriveAt(time.Second, c.kind, 2*time.Second)
			if len(sent) != 1 || sent[0].Kind != SendAttempt {
				t.Fatalf("not sent: %v", sent)
			}
			got := r.end(time.Second+c.after, op, 0, c.outcome)
			if !reflect.DeepEqual(effectKinds(got), c.want) {
				t.Fatalf("got %v, want %v", effectKinds(got), c.want)
			}
			for _, e := range got {
				if e.Kind == SendAttempt && c.kind == fingerZone && r.servers.zone[e.Server] != r.servers.zone[sent[0].Server] {
					t.Errorf("left the group: server %d after %d", e.Server, sent[0].Server)
				}
			}
			if late := r.end(time.Second+c.after, op, 0, Success); len(effectKinds(late)) > 0 {
				t.Errorf("a verdict after the end did %v", late)
			}
		})
	}
}

// TestRetryWithKey checks that retries of a request with a key stay within its key scope and retention.
func TestRetryWithKey(t *testing.T) {
	for name, c := range map[string]struct {
		group  KeyScope
		first  Outcome // of the first hop, 50 ms after it is sent
		window time.Duration
		want   []EffectKind // after an error on the second hop, 40 ms later
		same   bool         // second and third hop in one group
	}{
		"cell":                                {KeyScopeCell, Failure, time.Second, []EffectKind{Fail}, true},
		"zone":                                {KeyScopeZone, Failure, time.Second, []EffectKind{SendAttempt}, true},
		"all":                                 {KeyScopeAll, Failure, time.Second, []EffectKind{SendAttempt}, false},
		"window counts from the first send":   {KeyScopeAll, Failure, 80 * ms, []EffectKind{Reject}, false},
		"a hop that never ran does not count": {KeyScopeAll, Unreachable, 80 * ms, []EffectKind{SendAttempt}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, 8, func(s *Settings) { s.TrafficTypes[1].KeyScope, s.TrafficTypes[1].KeyRetention = c.group, c.window })
			if c.group == KeyScopeCell { // two a cell: a third hop finds only those it has tried, resting
				for s := range r.readiness.Len() {
					r.readiness.SetReady(s, s < 2)
				}
			}
			op, _ := r.arriveAt(time.Second, 1, 2*time.Second)
			second := r.end(time.Second+50*ms, op, 0, c.first)
			if len(second) != 1 || second[0].Kind != SendAttempt {
				t.Fatalf("no second hop: %v", second)
			}
			if c.group == KeyScopeCell {
				r.readiness.SetReady(0, false)
				r.readiness.SetReady(1, false)
				r.readiness.SetReady(4, true)
			}
			third := r.end(time.Second+90*ms, op, 1, Failure)
			if got := effectKinds(third); !reflect.DeepEqual(got, c.want) {
				t.Fatalf("got %v, want %v", got, c.want)
			}
			if c.same && third[0].Kind == SendAttempt && r.servers.zone[third[0].Server] != r.servers.zone[second[0].Server] {
				t.Error("left the group")
			}
		})
	}
}

// TestFinalAnswerBeforeClientTimeout checks that a request gets exactly one final answer before its client gives
// up.
func TestFinalAnswerBeforeClientTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		servers, kind int
		budget        time.Duration
		want          EffectKind
	}{
		"no server, short budget":   {0, 0, 100 * ms, Reject},
		"no server, long budget":    {0, 2, 2 * time.Second, Reject},
		"never answered, binding":   {1, 2, 60 * ms, Fail},
		"never answered, may rerun": {1, 0, 60 * ms, Reject},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, c.servers, nil)
			_, got := r.arriveAt(0, c.kind, c.budget)
			answers := 0
			for now := 5 * ms; now <= c.budget; now += 5 * ms {
				got = append(got, r.at(now, Input{Kind: TimerFired})...)
			}
			for _, e := range got {
				if e.Kind == Reject || e.Kind == Fail {
					answers++
					if e.Kind != c.want {
						t.Errorf("answered %v", e.Kind)
					}
				}
			}
			if answers != 1 {
				t.Errorf("%d answers", answers)
			}
		})
	}
}
