package audit

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// Each case is a day on which one thing happened; it breaks the one rule that is named, or none.
func TestVerdict(t *testing.T) {
	const check, book, fingerprinted, zoned, bound, nowhere = 0, 1, 2, 3, 4, 5
	figures := Settings{DrainGrace: 500 * ms, Slack: 50 * ms, MaxAttempts: 2, Types: []Type{
		{Name: "check"}, {Name: "book", Idempotency: NonIdempotent}, {Name: "print", Idempotency: IdempotentWithKey, KeyRetention: time.Second},
		{Name: "zoned", Idempotency: IdempotentWithKey, KeyScope: Zone, KeyRetention: time.Second}, {Name: "bound", Sites: []int{0}, Kinds: []string{"large", "huge"}},
		{Name: "nowhere", Sites: []int{}}}, ClosesOnDrain: true, DrainClose: 300 * ms}
	// attempt has a server take a request, run it and answer.
	attempt := func(a *Audit, box int, at time.Duration) {
		a.Attempt(1, box, at, at)
		a.Ran(1, box, at)
		a.Over(1, box, at+10*ms, false)
	}
	lost := func(a *Audit, box int, at time.Duration) { // came whole, and its connection broke
		a.Attempt(1, box, at, at)
		a.Over(1, box, at+10*ms, false)
	}
	away := func(a *Audit, box int, at time.Duration) {
		a.Attempt(1, box, at, at)
		a.Over(1, box, at+10*ms, true)
	}
	ask := func(a *Audit, kind int) {
		a.Sending(1, kind, 0)
		a.Sent(1, 0)
	}
	still := func(a *Audit, from, to time.Duration, told ...time.Duration) { // and is told meanwhile that a server has gone
		a.NodeStill(0, from)
		for _, at := range told {
			a.Announced(0, 1, Removed, 0, at)
		}
		a.NodeUp(0, to)
	}
	for name, c := range map[string]struct {
		day    func(a *Audit)
		breaks string
	}{
		"handled":               {func(a *Audit) { ask(a, book); attempt(a, 0, 0); a.Ended(1, Answered, 200, 20*ms, false, false) }, ""},
		"no answer":             {func(a *Audit) { ask(a, check); a.Ended(1, Unanswered, 0, 500*ms, false, false) }, "answered"},
		"one within the slack":  {func(a *Audit) { ask(a, check); attempt(a, 0, 0); a.Ended(1, Late, 200, 500*ms, false, false) }, ""},
		"closed without":        {func(a *Audit) { ask(a, check); a.Ended(1, Dropped, 0, 5*ms, false, false) }, "answered"},
		"never sent whole":      {func(a *Audit) { a.Sending(1, check, 0); a.Ended(1, Unsent, 0, 5*ms, false, false) }, ""},
		"held by a killed node": {func(a *Audit) { ask(a, check); a.NodeDown(0, 3*ms); a.Ended(1, Dropped, 0, 5*ms, false, false) }, ""},
		"killed only later":     {func(a *Audit) { ask(a, check); a.NodeDown(0, 9*ms); a.Ended(1, Dropped, 0, 5*ms, false, false) }, "answered"},
		"lost after its return": {func(a *Audit) {
			a.NodeDown(0, -9*ms)
			a.NodeUp(0, -5*ms)
			ask(a, check)
			a.Ended(1, Dropped, 0, 5*ms, false, false)
		}, "answered"},
		"closed by one that stood still": {func(a *Audit) { ask(a, check); still(a, 3*ms, 9*ms); a.Ended(1, Dropped, 0, 20*ms, false, false) }, "answered"},
		"its time over meanwhile":        {func(a *Audit) { ask(a, check); still(a, 3*ms, 900*ms); a.Ended(1, Unanswered, 0, 500*ms, false, false) }, ""},
		"told while it stood still":      {func(a *Audit) { ask(a, check); still(a, 1*ms, 700*ms, 2*ms); attempt(a, 1, 900*ms) }, ""},
		"and long ago":                   {func(a *Audit) { ask(a, check); still(a, 1*ms, 100*ms, 2*ms); attempt(a, 1, 900*ms) }, "drains"},
		"told before it stood still": {func(a *Audit) {
			ask(a, check)
			a.Announced(0, 1, Removed, 0, 0)
			still(a, 1*ms, 9*ms)
			attempt(a, 1, 900*ms)
		}, "drains"},
		"two answers":        {func(a *Audit) { ask(a, book); attempt(a, 0, 0); a.Ended(1, Answered, 200, 20*ms, false, true) }, "one-answer"},
		"an unasked one":     {func(a *Audit) { a.Extra(0) }, "one-answer"},
		"another's answer":   {func(a *Audit) { ask(a, book); attempt(a, 0, 0); a.Ended(1, Answered, 200, 20*ms, true, false) }, "own-answer"},
		"made up":            {func(a *Audit) { ask(a, book); a.Ended(1, Answered, 200, 20*ms, false, false) }, "own-answer"},
		"sent after":         {func(a *Audit) { ask(a, check); a.Ended(1, Answered, 503, 20*ms, false, false); attempt(a, 0, 80*ms) }, "nothing-after"},
		"sent just before":   {func(a *Audit) { ask(a, check); a.Ended(1, Answered, 503, 20*ms, false, false); attempt(a, 0, 60*ms) }, ""},
		"sent to nobody":     {func(a *Audit) { ask(a, check); a.Ended(1, Disconnected, 0, 20*ms, false, false); attempt(a, 0, 180*ms) }, "leavers"},
		"sent on as it left": {func(a *Audit) { ask(a, check); a.Ended(1, Disconnected, 0, 20*ms, false, false); attempt(a, 0, 160*ms) }, ""},
		"sent for one given up": {func(a *Audit) {
			ask(a, check)
			attempt(a, 0, 0)
			a.Ended(1, Unanswered, 0, 20*ms, false, false)
			attempt(a, 1, 380*ms)
		}, "answered leavers"},
		"booked twice":                             {func(a *Audit) { ask(a, book); attempt(a, 0, 0); attempt(a, 1, 20*ms) }, "no-second-effect"},
		"booked after a break":                     {func(a *Audit) { ask(a, book); lost(a, 0, 0); attempt(a, 1, 20*ms) }, "no-second-effect"},
		"booked elsewhere after being turned away": {func(a *Audit) { ask(a, book); away(a, 0, 0); attempt(a, 1, 20*ms) }, ""},
		"checked twice":                            {func(a *Audit) { ask(a, check); attempt(a, 0, 0); attempt(a, 1, 20*ms) }, ""},
		"a mark within its window":                 {func(a *Audit) { ask(a, zoned); attempt(a, 0, 0); attempt(a, 2, 900*ms) }, ""},
		"a mark in another zone":                   {func(a *Audit) { ask(a, zoned); attempt(a, 0, 0); attempt(a, 1, 20*ms) }, "no-second-effect"},
		"a mark past its window":                   {func(a *Audit) { ask(a, fingerprinted); attempt(a, 0, 0); attempt(a, 1, 1100*ms) }, "no-second-effect"},
		"denied, and it ran":                       {func(a *Audit) { ask(a, book); attempt(a, 0, 0); a.Ended(1, Answered, 503, 20*ms, false, false) }, "clean-denial"},
		"denied, and runs later": {func(a *Audit) {
			ask(a, book)
			a.Attempt(1, 0, 0, 0)
			a.Ended(1, Answered, 429, 20*ms, false, false)
			a.Ran(1, 0, 90*ms)
		}, "clean-denial"},
		"denied, and it was turned away": {func(a *Audit) { ask(a, book); away(a, 0, 0); a.Ended(1, Answered, 503, 20*ms, false, false) }, ""},
		"a mark denied, known everywhere": {func(a *Audit) {
			ask(a, fingerprinted)
			attempt(a, 0, 0)
			a.Ended(1, Answered, 503, 20*ms, false, false)
		}, ""},
		"a mark denied, known in one place": {func(a *Audit) { ask(a, zoned); attempt(a, 0, 0); a.Ended(1, Answered, 503, 20*ms, false, false) }, "clean-denial"},
		"written off, and it ran":           {func(a *Audit) { ask(a, book); attempt(a, 0, 0); a.Ended(1, Answered, 502, 20*ms, false, false) }, ""},
		"three hops":                        {func(a *Audit) { ask(a, check); away(a, 0, 0); away(a, 1, 20*ms); away(a, 2, 40*ms) }, "hops"},
		"a copy while the first is out":     {func(a *Audit) { ask(a, check); attempt(a, 1, 20*ms); a.Attempt(1, 0, 0, 0); a.Over(1, 0, 90*ms, false) }, "one-at-a-time"},
		"sent within the grace":             {func(a *Audit) { ask(a, check); a.Announced(0, 1, Draining, 0, 0); attempt(a, 1, 540*ms) }, ""},
		"sent after it":                     {func(a *Audit) { ask(a, check); a.Announced(0, 1, Draining, 0, 0); attempt(a, 1, 560*ms) }, "drains"},
		"a second word starts no new grace": {func(a *Audit) {
			ask(a, check)
			a.Announced(0, 1, Draining, 0, 0)
			a.Announced(0, 1, Removed, 0, 400*ms)
			attempt(a, 1, 560*ms)
		}, "drains"},
		"told to serve again": {func(a *Audit) {
			ask(a, check)
			a.Announced(0, 1, Removed, 0, 0)
			a.Announced(0, 1, Serving, 7, 400*ms)
			attempt(a, 1, 900*ms)
		}, ""},
		"an old word of it": {func(a *Audit) {
			ask(a, check)
			a.Announced(0, 1, Removed, 0, 0)
			a.Announced(0, 1, Serving, 0, 400*ms)
			attempt(a, 1, 900*ms)
		}, "drains"},
		"gone in its new life": {func(a *Audit) {
			ask(a, check)
			a.Announced(0, 1, Serving, 7, 0)
			a.Announced(0, 1, Draining, 0, 100*ms)
			attempt(a, 1, 900*ms)
		}, "drains"},
		"the life before ended": {func(a *Audit) {
			ask(a, check)
			a.Announced(0, 1, Serving, 7, 0)
			a.Announced(0, 1, Removed, 3, 100*ms)
			attempt(a, 1, 900*ms)
		}, ""},
		"another node was told": {func(a *Audit) { ask(a, check); a.Announced(1, 1, Removed, 0, 0); attempt(a, 1, 900*ms) }, ""},
		"told before it was started anew": {func(a *Audit) {
			ask(a, check)
			a.Announced(0, 1, Removed, 0, 0)
			a.NodeDown(0, 1*ms)
			a.NodeUp(0, 9*ms)
			attempt(a, 1, 900*ms)
		}, ""},
		"sent late, before it was started": {func(a *Audit) {
			ask(a, check)
			a.Announced(0, 1, Removed, 0, 0)
			attempt(a, 1, 900*ms)
			a.NodeDown(0, 950*ms)
			a.NodeUp(0, 999*ms)
		}, "drains"},
		"to an open box":              {func(a *Audit) { ask(a, bound); attempt(a, 2, 0) }, ""},
		"to another site":             {func(a *Audit) { ask(a, bound); attempt(a, 1, 0) }, "placement"},
		"to another kind":             {func(a *Audit) { ask(a, bound); attempt(a, 0, 0) }, "placement"},
		"turned away at another kind": {func(a *Audit) { ask(a, bound); away(a, 0, 0); attempt(a, 2, 20*ms) }, "placement"},
		"a second attempt to another": {func(a *Audit) { ask(a, bound); away(a, 2, 0); attempt(a, 1, 20*ms) }, "placement"},
		"a type that may go nowhere":  {func(a *Audit) { ask(a, nowhere); attempt(a, 2, 0) }, "placement"},
		"closed within the time": {func(a *Audit) {
			ask(a, check)
			attempt(a, 1, 0)
			a.Announced(0, 1, Draining, 0, 0)
			a.Idle(1, 1, 10*ms, 350*ms)
		}, ""},
		"closed too late": {func(a *Audit) {
			ask(a, check)
			attempt(a, 1, 0)
			a.Announced(0, 1, Draining, 0, 0)
			a.Idle(1, 1, 10*ms, 370*ms)
		}, "closing"},
		"idle before the notice already": {func(a *Audit) {
			ask(a, check)
			attempt(a, 1, 0)
			a.Announced(0, 1, Draining, 0, time.Second)
			a.Idle(1, 1, 10*ms, 1340*ms)
		}, ""},
		"and for too long after it": {func(a *Audit) {
			ask(a, check)
			attempt(a, 1, 0)
			a.Announced(0, 1, Draining, 0, time.Second)
			a.Idle(1, 1, 10*ms, 1360*ms)
		}, "closing"},
		"a later outcome there": {func(a *Audit) {
			ask(a, check)
			attempt(a, 1, 0)
			a.Attempt(1, 1, 20*ms, 20*ms)
			a.Over(1, 1, 200*ms, false)
			a.Announced(0, 1, Draining, 0, 0)
			a.Idle(1, 1, 10*ms, 540*ms)
		}, ""},
		"gone without a word of draining": {func(a *Audit) {
			ask(a, check)
			attempt(a, 1, 0)
			a.Announced(0, 1, Removed, 0, 0)
			a.Idle(1, 1, 10*ms, 900*ms)
		}, ""},
		"up again before that": {func(a *Audit) {
			ask(a, check)
			attempt(a, 1, 0)
			a.Announced(0, 1, Draining, 0, 0)
			a.Announced(0, 1, Serving, 7, 100*ms)
			a.Idle(1, 1, 10*ms, 900*ms)
		}, ""},
		"another node's connection": {func(a *Audit) {
			ask(a, check)
			attempt(a, 1, 0)
			a.Announced(1, 1, Draining, 0, 0)
			a.Idle(1, 1, 10*ms, 900*ms)
		}, ""},
		"a cold box fell":            {func(a *Audit) { a.Fell(0, 0) }, "cold"},
		"a node died":                {func(a *Audit) { a.Crashed(0, "exit 2") }, "lives"},
		"an id that nobody has sent": {func(a *Audit) { a.Invented(0, "x") }, "known"},
	} {
		t.Run(name, func(t *testing.T) {
			a := New(figures)
			for i, site := range []int{0, 1, 0} {
				a.Server(Server{Name: string(rune('a' + i)), Site: site, Kind: [...]string{"small", "large", "large"}[i]})
			}
			c.day(a)
			var broken []string
			for _, r := range a.Verdict() {
				if r.Broken > 0 {
					broken = append(broken, r.Name)
					if r.Worst == "" {
						t.Errorf("%s: no case is given", r.Name)
					}
				}
			}
			if got := strings.Join(broken, " "); got != c.breaks {
				t.Errorf("broken: %q", got)
			}
		})
	}
}

// Where tries and attempts go, second by second: the attempt that the client was answered by is not in vain, the others are.
func TestSeconds(t *testing.T) {
	a := New(Settings{Types: []Type{{Name: "x"}}})
	a.Server(Server{Name: "b0"})
	a.Server(Server{Name: "b1"})
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	for id, end := range []struct {
		how    End
		status int
	}{{Answered, 200}, {Answered, 503}, {Answered, 504}, {Unanswered, 0}} {
		id := uint64(id + 1)
		a.Sending(id, 0, int(id)%2)
		a.Sent(id, at(100))
		a.Attempt(id, 0, at(110), at(120))
		a.Ran(id, 0, at(130))
		a.Over(id, 0, at(900), false)
		a.Attempt(id, 1, at(1110), at(1120))
		a.Ran(id, 1, at(1130))
		a.Over(id, 1, at(1150), false)
		a.Ended(id, end.how, end.status, at(1160), false, false)
	}
	got := a.Seconds()
	want := []Second{{Tries: 4, First: 4, Ran: 4, Vain: 4, Busiest: 2}, {Further: 4, Ran: 4, Vain: 3, Handled: 1, Rejected: 1, WrittenOff: 1, Lost: 1, Busiest: 2}}
	if len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("%+v", got)
	}
}
