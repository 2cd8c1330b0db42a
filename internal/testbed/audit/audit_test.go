package audit

import (
	"encoding/json"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// Each case reports the events of a run and lists the names of the rules that they violate, if any.
func TestVerdict(t *testing.T) {
	const check, book, keyed, zoned, placed, nowhere = 0, 1, 2, 3, 4, 5
	settings := Settings{DrainGrace: 500 * ms, Slack: 50 * ms, MaxAttempts: 2, Types: []Type{
		{Name: "check"}, {Name: "book", Idempotency: NonIdempotent}, {Name: "keyed", Idempotency: IdempotentWithKey, KeyRetention: time.Second},
		{Name: "zoned", Idempotency: IdempotentWithKey, KeyScope: Zone, KeyRetention: time.Second}, {Name: "placed", Sites: []int{0}, Kinds: []string{"large", "huge"}},
		{Name: "nowhere", Sites: []int{}}}, ClosesOnDrain: true, DrainClose: 300 * ms}
	// attempt reports that a server received the request, executed it and responded.
	attempt := func(a *Audit, server int, at time.Duration) {
		a.AttemptReceived(1, server, at, at)
		a.AttemptRan(1, server, at)
		a.AttemptEnded(1, server, at+10*ms, false)
	}
	cutOff := func(a *Audit, server int, at time.Duration) { // the server received the request completely, then the connection broke
		a.AttemptReceived(1, server, at, at)
		a.AttemptEnded(1, server, at+10*ms, false)
	}
	rejected := func(a *Audit, server int, at time.Duration) {
		a.AttemptReceived(1, server, at, at)
		a.AttemptEnded(1, server, at+10*ms, true)
	}
	send := func(a *Audit, kind int) {
		a.Sending(1, kind, 0)
		a.Sent(1, 0)
	}
	pause := func(a *Audit, from, to time.Duration, removedAt ...time.Duration) { // the node is also notified that server 1 was removed at these times
		a.NodePaused(0, from)
		for _, at := range removedAt {
			a.NodeNotified(0, 1, Removed, 0, at)
		}
		a.NodeUp(0, to)
	}
	for name, c := range map[string]struct {
		events   func(a *Audit)
		violated string
	}{
		"handled":                                  {func(a *Audit) { send(a, book); attempt(a, 0, 0); a.Ended(1, Answered, 200, 20*ms, false, false) }, ""},
		"no answer in time":                        {func(a *Audit) { send(a, check); a.Ended(1, Unanswered, 0, 500*ms, false, false) }, "answered"},
		"answer late within the slack":             {func(a *Audit) { send(a, check); attempt(a, 0, 0); a.Ended(1, Late, 200, 500*ms, false, false) }, ""},
		"connection closed without answer":         {func(a *Audit) { send(a, check); a.Ended(1, Dropped, 0, 5*ms, false, false) }, "answered"},
		"request not completely written":           {func(a *Audit) { a.Sending(1, check, 0); a.Ended(1, Unsent, 0, 5*ms, false, false) }, ""},
		"node stopped with the request in flight":  {func(a *Audit) { send(a, check); a.NodeDown(0, 3*ms); a.Ended(1, Dropped, 0, 5*ms, false, false) }, ""},
		"node stopped after the connection closed": {func(a *Audit) { send(a, check); a.NodeDown(0, 9*ms); a.Ended(1, Dropped, 0, 5*ms, false, false) }, "answered"},
		"connection closed after the node restarted": {func(a *Audit) {
			a.NodeDown(0, -9*ms)
			a.NodeUp(0, -5*ms)
			send(a, check)
			a.Ended(1, Dropped, 0, 5*ms, false, false)
		}, "answered"},
		"connection closed by a paused node": {func(a *Audit) { send(a, check); pause(a, 3*ms, 9*ms); a.Ended(1, Dropped, 0, 20*ms, false, false) }, "answered"},
		"client timeout during a pause": {func(a *Audit) {
			send(a, check)
			pause(a, 3*ms, 900*ms)
			a.Ended(1, Unanswered, 0, 500*ms, false, false)
		}, ""},
		"removal notified during a pause, sent within the grace after it": {func(a *Audit) { send(a, check); pause(a, 1*ms, 700*ms, 2*ms); attempt(a, 1, 900*ms) }, ""},
		"removal notified during a pause, sent after the grace":           {func(a *Audit) { send(a, check); pause(a, 1*ms, 100*ms, 2*ms); attempt(a, 1, 900*ms) }, "drains"},
		"removal notified before a pause": {func(a *Audit) {
			send(a, check)
			a.NodeNotified(0, 1, Removed, 0, 0)
			pause(a, 1*ms, 9*ms)
			attempt(a, 1, 900*ms)
		}, "drains"},
		"two answers":                            {func(a *Audit) { send(a, book); attempt(a, 0, 0); a.Ended(1, Answered, 200, 20*ms, false, true) }, "one-answer"},
		"unsolicited response":                   {func(a *Audit) { a.UnsolicitedResponse(0) }, "one-answer"},
		"answer of another request":              {func(a *Audit) { send(a, book); attempt(a, 0, 0); a.Ended(1, Answered, 200, 20*ms, true, false) }, "own-answer"},
		"success without an execution":           {func(a *Audit) { send(a, book); a.Ended(1, Answered, 200, 20*ms, false, false) }, "own-answer"},
		"sent after the answer":                  {func(a *Audit) { send(a, check); a.Ended(1, Answered, 503, 20*ms, false, false); attempt(a, 0, 80*ms) }, "nothing-after"},
		"sent after the answer within the slack": {func(a *Audit) { send(a, check); a.Ended(1, Answered, 503, 20*ms, false, false); attempt(a, 0, 60*ms) }, ""},
		"sent after the client disconnected": {func(a *Audit) {
			send(a, check)
			a.Ended(1, Disconnected, 0, 20*ms, false, false)
			attempt(a, 0, 180*ms)
		}, "leavers"},
		"sent as the client disconnected": {func(a *Audit) {
			send(a, check)
			a.Ended(1, Disconnected, 0, 20*ms, false, false)
			attempt(a, 0, 160*ms)
		}, ""},
		"sent after the client timeout": {func(a *Audit) {
			send(a, check)
			attempt(a, 0, 0)
			a.Ended(1, Unanswered, 0, 20*ms, false, false)
			attempt(a, 1, 380*ms)
		}, "answered leavers"},
		"non-idempotent executed twice":                    {func(a *Audit) { send(a, book); attempt(a, 0, 0); attempt(a, 1, 20*ms) }, "no-second-effect"},
		"non-idempotent retried after a broken connection": {func(a *Audit) { send(a, book); cutOff(a, 0, 0); attempt(a, 1, 20*ms) }, "no-second-effect"},
		"non-idempotent retried after a rejection":         {func(a *Audit) { send(a, book); rejected(a, 0, 0); attempt(a, 1, 20*ms) }, ""},
		"idempotent executed twice":                        {func(a *Audit) { send(a, check); attempt(a, 0, 0); attempt(a, 1, 20*ms) }, ""},
		"key repeated within its retention":                {func(a *Audit) { send(a, zoned); attempt(a, 0, 0); attempt(a, 2, 900*ms) }, ""},
		"key repeated in another zone":                     {func(a *Audit) { send(a, zoned); attempt(a, 0, 0); attempt(a, 1, 20*ms) }, "no-second-effect"},
		"key repeated after its retention":                 {func(a *Audit) { send(a, keyed); attempt(a, 0, 0); attempt(a, 1, 1100*ms) }, "no-second-effect"},
		"non-idempotent rejected after an execution":       {func(a *Audit) { send(a, book); attempt(a, 0, 0); a.Ended(1, Answered, 503, 20*ms, false, false) }, "clean-denial"},
		"non-idempotent rejected before an execution": {func(a *Audit) {
			send(a, book)
			a.AttemptReceived(1, 0, 0, 0)
			a.Ended(1, Answered, 429, 20*ms, false, false)
			a.AttemptRan(1, 0, 90*ms)
		}, "clean-denial"},
		"non-idempotent rejected by the server": {func(a *Audit) { send(a, book); rejected(a, 0, 0); a.Ended(1, Answered, 503, 20*ms, false, false) }, ""},
		"key known everywhere, rejected after an execution": {func(a *Audit) {
			send(a, keyed)
			attempt(a, 0, 0)
			a.Ended(1, Answered, 503, 20*ms, false, false)
		}, ""},
		"key known in one zone, rejected after an execution": {func(a *Audit) { send(a, zoned); attempt(a, 0, 0); a.Ended(1, Answered, 503, 20*ms, false, false) }, "clean-denial"},
		"failed after an execution":                          {func(a *Audit) { send(a, book); attempt(a, 0, 0); a.Ended(1, Answered, 502, 20*ms, false, false) }, ""},
		"three attempts":                                     {func(a *Audit) { send(a, check); rejected(a, 0, 0); rejected(a, 1, 20*ms); rejected(a, 2, 40*ms) }, "hops"},
		"second attempt while the first is in flight": {func(a *Audit) {
			send(a, check)
			attempt(a, 1, 20*ms)
			a.AttemptReceived(1, 0, 0, 0)
			a.AttemptEnded(1, 0, 90*ms, false)
		}, "one-at-a-time"},
		"sent to a draining server within the grace": {func(a *Audit) { send(a, check); a.NodeNotified(0, 1, Draining, 0, 0); attempt(a, 1, 540*ms) }, ""},
		"sent to a draining server after the grace":  {func(a *Audit) { send(a, check); a.NodeNotified(0, 1, Draining, 0, 0); attempt(a, 1, 560*ms) }, "drains"},
		"second notification starts no new grace": {func(a *Audit) {
			send(a, check)
			a.NodeNotified(0, 1, Draining, 0, 0)
			a.NodeNotified(0, 1, Removed, 0, 400*ms)
			attempt(a, 1, 560*ms)
		}, "drains"},
		"server serves again with a later start": {func(a *Audit) {
			send(a, check)
			a.NodeNotified(0, 1, Removed, 0, 0)
			a.NodeNotified(0, 1, Serving, 7, 400*ms)
			attempt(a, 1, 900*ms)
		}, ""},
		"old notification that the server serves": {func(a *Audit) {
			send(a, check)
			a.NodeNotified(0, 1, Removed, 0, 0)
			a.NodeNotified(0, 1, Serving, 0, 400*ms)
			attempt(a, 1, 900*ms)
		}, "drains"},
		"server of a later start drains": {func(a *Audit) {
			send(a, check)
			a.NodeNotified(0, 1, Serving, 7, 0)
			a.NodeNotified(0, 1, Draining, 0, 100*ms)
			attempt(a, 1, 900*ms)
		}, "drains"},
		"server of an earlier start removed": {func(a *Audit) {
			send(a, check)
			a.NodeNotified(0, 1, Serving, 7, 0)
			a.NodeNotified(0, 1, Removed, 3, 100*ms)
			attempt(a, 1, 900*ms)
		}, ""},
		"another node notified": {func(a *Audit) { send(a, check); a.NodeNotified(1, 1, Removed, 0, 0); attempt(a, 1, 900*ms) }, ""},
		"removal notified before a restart": {func(a *Audit) {
			send(a, check)
			a.NodeNotified(0, 1, Removed, 0, 0)
			a.NodeDown(0, 1*ms)
			a.NodeUp(0, 9*ms)
			attempt(a, 1, 900*ms)
		}, ""},
		"sent after the grace, before a restart": {func(a *Audit) {
			send(a, check)
			a.NodeNotified(0, 1, Removed, 0, 0)
			attempt(a, 1, 900*ms)
			a.NodeDown(0, 950*ms)
			a.NodeUp(0, 999*ms)
		}, "drains"},
		"server allowed for the type":                {func(a *Audit) { send(a, placed); attempt(a, 2, 0) }, ""},
		"server at another site":                     {func(a *Audit) { send(a, placed); attempt(a, 1, 0) }, "placement"},
		"server of another kind":                     {func(a *Audit) { send(a, placed); attempt(a, 0, 0) }, "placement"},
		"rejected by a server of another kind":       {func(a *Audit) { send(a, placed); rejected(a, 0, 0); attempt(a, 2, 20*ms) }, "placement"},
		"second attempt at a server of another kind": {func(a *Audit) { send(a, placed); rejected(a, 2, 0); attempt(a, 1, 20*ms) }, "placement"},
		"type with no allowed site":                  {func(a *Audit) { send(a, nowhere); attempt(a, 2, 0) }, "placement"},
		"idle connection closed in time": {func(a *Audit) {
			send(a, check)
			attempt(a, 1, 0)
			a.NodeNotified(0, 1, Draining, 0, 0)
			a.ConnectionIdle(1, 1, 10*ms, 350*ms)
		}, ""},
		"idle connection closed late": {func(a *Audit) {
			send(a, check)
			attempt(a, 1, 0)
			a.NodeNotified(0, 1, Draining, 0, 0)
			a.ConnectionIdle(1, 1, 10*ms, 370*ms)
		}, "closing"},
		"idle before the notification, closed in time": {func(a *Audit) {
			send(a, check)
			attempt(a, 1, 0)
			a.NodeNotified(0, 1, Draining, 0, time.Second)
			a.ConnectionIdle(1, 1, 10*ms, 1340*ms)
		}, ""},
		"idle before the notification, closed late": {func(a *Audit) {
			send(a, check)
			attempt(a, 1, 0)
			a.NodeNotified(0, 1, Draining, 0, time.Second)
			a.ConnectionIdle(1, 1, 10*ms, 1360*ms)
		}, "closing"},
		"limit counts from a later outcome": {func(a *Audit) {
			send(a, check)
			attempt(a, 1, 0)
			a.AttemptReceived(1, 1, 20*ms, 20*ms)
			a.AttemptEnded(1, 1, 200*ms, false)
			a.NodeNotified(0, 1, Draining, 0, 0)
			a.ConnectionIdle(1, 1, 10*ms, 540*ms)
		}, ""},
		"removed without draining": {func(a *Audit) {
			send(a, check)
			attempt(a, 1, 0)
			a.NodeNotified(0, 1, Removed, 0, 0)
			a.ConnectionIdle(1, 1, 10*ms, 900*ms)
		}, ""},
		"serves again before the limit": {func(a *Audit) {
			send(a, check)
			attempt(a, 1, 0)
			a.NodeNotified(0, 1, Draining, 0, 0)
			a.NodeNotified(0, 1, Serving, 7, 100*ms)
			a.ConnectionIdle(1, 1, 10*ms, 900*ms)
		}, ""},
		"connection of another node": {func(a *Audit) {
			send(a, check)
			attempt(a, 1, 0)
			a.NodeNotified(1, 1, Draining, 0, 0)
			a.ConnectionIdle(1, 1, 10*ms, 900*ms)
		}, ""},
		"server in slow start overloaded": {func(a *Audit) { a.ServerOverloaded(0, 0) }, "cold"},
		"node crashed":                    {func(a *Audit) { a.Crashed(0, "exit 2") }, "lives"},
		"request that no client sent":     {func(a *Audit) { a.UnknownRequest(0, "x") }, "known"},
	} {
		t.Run(name, func(t *testing.T) {
			a := New(settings)
			for i, site := range []int{0, 1, 0} {
				a.Server(Server{Name: string(rune('a' + i)), Site: site, Kind: [...]string{"small", "large", "large"}[i]})
			}
			c.events(a)
			var violated []string
			for _, r := range a.Verdict() {
				if r.Violations > 0 {
					violated = append(violated, r.Name)
					if r.FirstViolation == "" {
						t.Errorf("rule %s: got no description of the violation", r.Name)
					}
				}
			}
			if got := strings.Join(violated, " "); got != c.violated {
				t.Errorf("got violated rules %q", got)
			}
		})
	}
}

// Only executions whose answer the client did not get count as wasted.
func TestSeconds(t *testing.T) {
	a := New(Settings{Types: []Type{{Name: "x"}}})
	a.Server(Server{Name: "b0"})
	a.Server(Server{Name: "b1"})
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	for id, client := range []struct {
		end    End
		status int
	}{{Answered, 200}, {Answered, 503}, {Answered, 504}, {Unanswered, 0}} {
		id := uint64(id + 1)
		a.Sending(id, 0, int(id)%2)
		a.Sent(id, at(100))
		a.AttemptReceived(id, 0, at(110), at(120))
		a.AttemptRan(id, 0, at(130))
		a.AttemptEnded(id, 0, at(900), false)
		a.AttemptReceived(id, 1, at(1110), at(1120))
		a.AttemptRan(id, 1, at(1130))
		a.AttemptEnded(id, 1, at(1150), false)
		a.Ended(id, client.end, client.status, at(1160), false, false)
	}
	got := a.Seconds()
	want := []Second{{Tries: 4, First: 4, Ran: 4, Wasted: 4, Busiest: 2}, {Retries: 4, Ran: 4, Wasted: 3, Handled: 1, Rejected: 1, Failed: 1, Unanswered: 1, Busiest: 2}}
	if len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("got %+v", got)
	}
}

// Guards against renamed JSON keys: reports of earlier runs use these names.
func TestSecondJSON(t *testing.T) {
	got, err := json.Marshal(Second{Tries: 1, First: 2, Retries: 3, Ran: 4, Wasted: 5, Handled: 6, Rejected: 7, Failed: 8, Unanswered: 9, Busiest: 10})
	const want = `{"Tries":1,"First":2,"Further":3,"Ran":4,"Vain":5,"Handled":6,"Rejected":7,"WrittenOff":8,"Lost":9,"Busiest":10}`
	if err != nil || string(got) != want {
		t.Errorf("got %s, error %v", got, err)
	}
}
