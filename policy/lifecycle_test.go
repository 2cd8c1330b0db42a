package policy

import (
	"reflect"
	"testing"
	"time"
)

// TestFinalAnswerByOutcome checks the effects of the end of a request's first attempt.
func TestFinalAnswerByOutcome(t *testing.T) {
	const idempotent, keyInZone, nonIdempotent, keyInAll = 0, 1, 2, 3
	for name, c := range map[string]struct {
		trafficType int
		outcome     Outcome
		after       time.Duration
		change      func(*Settings)
		want        []EffectKind
	}{
		"success":                     {idempotent, Success, 50 * ms, nil, nil},
		"idempotent error is retried": {idempotent, Failure, 50 * ms, nil, []EffectKind{SendAttempt}},
		"idempotent timeout at the objective is rejected": {idempotent, TimedOut, 390 * ms, nil, []EffectKind{Reject}},
		"error with key is retried":                       {keyInZone, Failure, 50 * ms, nil, []EffectKind{SendAttempt}},
		"timeout with key, zone scope, fails":             {keyInZone, TimedOut, 390 * ms, nil, []EffectKind{Fail}},
		"timeout with key, scope of all, is rejected":     {keyInAll, TimedOut, 390 * ms, nil, []EffectKind{Reject}},
		"key expired":                            {keyInAll, ConnectionBroken, 60 * ms, func(s *Settings) { s.TrafficTypes[3].KeyRetention = 50 * ms }, []EffectKind{Reject}},
		"non-idempotent error fails":             {nonIdempotent, Failure, 50 * ms, nil, []EffectKind{Fail}},
		"non-idempotent broken connection fails": {nonIdempotent, ConnectionBroken, 50 * ms, nil, []EffectKind{Fail}},
		"non-idempotent canceled fails":          {nonIdempotent, Canceled, 50 * ms, nil, []EffectKind{Fail}},
		"non-idempotent overload is retried":     {nonIdempotent, Overloaded, 50 * ms, nil, []EffectKind{SendAttempt}},
		"non-idempotent unreachable is retried":  {nonIdempotent, Unreachable, 50 * ms, nil, []EffectKind{SendAttempt}},
		"non-idempotent not started, too late":   {nonIdempotent, NotStarted, 390 * ms, nil, []EffectKind{Reject}},
		"no attempt left, never ran":             {nonIdempotent, Overloaded, 50 * ms, func(s *Settings) { s.MaxAttempts = 1 }, []EffectKind{Reject}},
		"no attempt left, may have run":          {keyInZone, Failure, 50 * ms, func(s *Settings) { s.MaxAttempts = 1 }, []EffectKind{Fail}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4, c.change)
			id, sent := h.arriveAt(time.Second, c.trafficType, 2*time.Second)
			if len(sent) != 1 || sent[0].Kind != SendAttempt {
				t.Fatalf("arrival: got effects %v, want one SendAttempt", sent)
			}
			got := h.end(time.Second+c.after, id, 0, c.outcome)
			if !reflect.DeepEqual(effectKinds(got), c.want) {
				t.Fatalf("end of attempt: got effects %v, want %v", effectKinds(got), c.want)
			}
			for _, e := range got {
				if e.Kind == SendAttempt && c.trafficType == keyInZone && !h.servers.zone[e.Server].isSame(h.servers.zone[sent[0].Server]) {
					t.Errorf("retry outside the key scope: server %d after server %d", e.Server, sent[0].Server)
				}
			}
			if late := h.end(time.Second+c.after, id, 0, Success); len(effectKinds(late)) > 0 {
				t.Errorf("second end of the attempt: got effects %v, want none", late)
			}
		})
	}
}

// TestRetryWithKey checks that retries of a request with an idempotency key stay within its key scope and retention.
func TestRetryWithKey(t *testing.T) {
	for name, c := range map[string]struct {
		scope     KeyScope
		first     Outcome // of the first attempt, 50 ms after it was sent
		retention time.Duration
		want      []EffectKind // after a failure of the second attempt, 40 ms later
		same      bool         // the second and third attempt must be in one key scope
	}{
		"cell": {KeyScopeCell, Failure, time.Second, []EffectKind{Fail}, true},
		"zone": {KeyScopeZone, Failure, time.Second, []EffectKind{SendAttempt}, true},
		"all":  {KeyScopeAll, Failure, time.Second, []EffectKind{SendAttempt}, false},
		"retention counts from the first attempt":  {KeyScopeAll, Failure, 80 * ms, []EffectKind{Reject}, false},
		"an attempt that never ran does not count": {KeyScopeAll, Unreachable, 80 * ms, []EffectKind{SendAttempt}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 8, func(s *Settings) { s.TrafficTypes[1].KeyScope, s.TrafficTypes[1].KeyRetention = c.scope, c.retention })
			if c.scope == KeyScopeCell { // two servers per cell: for a third attempt only tried servers remain
				for s := range h.readiness.Len() {
					h.readiness.SetReady(s, s < 2)
				}
			}
			id, _ := h.arriveAt(time.Second, 1, 2*time.Second)
			second := h.end(time.Second+50*ms, id, 0, c.first)
			if len(second) != 1 || second[0].Kind != SendAttempt {
				t.Fatalf("end of first attempt: got effects %v, want one SendAttempt", second)
			}
			if c.scope == KeyScopeCell {
				h.readiness.SetReady(0, false)
				h.readiness.SetReady(1, false)
				h.readiness.SetReady(4, true)
			}
			third := h.end(time.Second+90*ms, id, 1, Failure)
			if got := effectKinds(third); !reflect.DeepEqual(got, c.want) {
				t.Fatalf("end of second attempt: got effects %v, want %v", got, c.want)
			}
			if c.same && third[0].Kind == SendAttempt && !h.servers.zone[third[0].Server].isSame(h.servers.zone[second[0].Server]) {
				t.Error("third attempt sent outside the key scope")
			}
		})
	}
}

// TestRetryInUnknownDomain guards against a retry with an idempotency key that runs twice: servers whose zone or cell is not known do
// not share keys, so a request that may have run is sent again to the same server at most.
func TestRetryInUnknownDomain(t *testing.T) {
	for name, c := range map[string]struct {
		scope  KeyScope
		change func(*Endpoint)
	}{
		"zone": {KeyScopeZone, func(e *Endpoint) { e.Zone = UnknownDomain }},
		"cell": {KeyScopeCell, func(e *Endpoint) { e.Cell = UnknownDomain }},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 0, func(s *Settings) { s.TrafficTypes[1].KeyScope = c.scope })
			var list []Endpoint
			for i := range 8 {
				e := Endpoint{Server: i, Rank: uint32(i), Zone: 1, Cell: 1, Weight: 1}
				c.change(&e)
				list = append(list, e)
			}
			h.at(0, Input{Kind: EndpointsUpdated, Scope: Cached, Endpoints: list})
			id, sent := h.arriveAt(time.Second, 1, 2*time.Second)
			for number, outcome := range []Outcome{Unreachable, Failure} { // only the second attempt may have run
				if len(sent) != 1 || sent[0].Kind != SendAttempt {
					t.Fatalf("attempt %d: got effects %v, want one SendAttempt", number, sent)
				}
				before := sent[0].Server
				sent = h.end(time.Second+time.Duration(number+1)*50*ms, id, number, outcome)
				if outcome == Unreachable && before == sent[0].Server {
					t.Error("attempt that never ran was sent to the same server again although others are idle")
				}
				if outcome == Failure && len(sent) > 0 && sent[0].Kind == SendAttempt && sent[0].Server != before {
					t.Errorf("request that may have run at server %d was sent to server %d, which may not know its key", before, sent[0].Server)
				}
			}
		})
	}
}

// TestFinalAnswerBeforeClientTimeout checks that a request gets exactly one final response before its client gives
// up.
func TestFinalAnswerBeforeClientTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		servers, trafficType int
		timeout              time.Duration
		want                 EffectKind
	}{
		"no server, short timeout":    {0, 0, 100 * ms, Reject},
		"no server, long timeout":     {0, 2, 2 * time.Second, Reject},
		"no response, non-idempotent": {1, 2, 60 * ms, Fail},
		"no response, idempotent":     {1, 0, 60 * ms, Reject},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, c.servers, nil)
			_, got := h.arriveAt(0, c.trafficType, c.timeout)
			responses := 0
			for now := 5 * ms; now <= c.timeout; now += 5 * ms {
				got = append(got, h.at(now, Input{Kind: TimerFired})...)
			}
			for _, e := range got {
				if e.Kind == Reject || e.Kind == Fail {
					responses++
					if e.Kind != c.want {
						t.Errorf("got final response of kind %v, not the one of the case", e.Kind)
					}
				}
			}
			if responses != 1 {
				t.Errorf("got %d final responses, want 1", responses)
			}
		})
	}
}
