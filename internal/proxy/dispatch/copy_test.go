package dispatch

import (
	"slices"
	"testing"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

// copier sends each operation to the first server, and a copy to the second at each sweep while a hop is out.
type copier struct{ out [][]bool }

func (m *copier) Handle(_ time.Duration, in *policy.Input, e []policy.Effect) []policy.Effect {
	switch in.Kind {
	case policy.RequestArrived:
		m.out = append(m.out, []bool{true})
		return append(e, policy.Effect{Kind: policy.SendAttempt, Request: in.Request, Server: 0, Duration: time.Hour})
	case policy.TimerFired:
		for op := range m.out {
			if len(m.out[op]) == 1 && m.out[op][0] {
				m.out[op] = append(m.out[op], true)
				e = append(e, policy.Effect{Kind: policy.SendAttempt, Request: op, Server: 1, Duration: time.Hour})
			}
		}
	case policy.AttemptEnded:
		if m.out[in.Request][in.Attempt] = false; !in.ClientAnswered && !slices.Contains(m.out[in.Request], true) {
			return append(e, policy.Effect{Kind: policy.Fail, Request: in.Request})
		}
	case policy.ClientLeft:
		clear(m.out[in.Request])
	}
	return e
}

// Two hops of one operation are out: whatever crosses, it gets one answer, the other hop is given up, and nothing of it
// is left.
func TestCopies(t *testing.T) {
	const first, copied, leave = 0, 1, 2
	type step struct {
		what int
		how  AttemptResult
	}
	for name, c := range map[string]struct {
		steps  []step
		want   Action
		answer string
		gaveUp [2]bool // the first, the copy
	}{
		"the copy answers":              {[]step{{copied, Succeeded}, {first, Abandoned}}, Respond, "copy", [2]bool{true, false}},
		"the first answers":             {[]step{{first, Succeeded}, {copied, Abandoned}}, Respond, "first", [2]bool{false, true}},
		"both answer, the copy before":  {[]step{{copied, Succeeded}, {first, Succeeded}}, Respond, "copy", [2]bool{true, false}},
		"both answer, the first before": {[]step{{first, Succeeded}, {copied, Succeeded}}, Respond, "first", [2]bool{false, true}},
		"the first breaks":              {[]step{{first, ConnectionLost}, {copied, Succeeded}}, Respond, "copy", [2]bool{}},
		"the copy breaks":               {[]step{{copied, ConnectionLost}, {first, Succeeded}}, Respond, "first", [2]bool{}},
		"both break":                    {[]step{{copied, ConnectionLost}, {first, ConnectionLost}}, Fail, "", [2]bool{}},
		"the copy is declined":          {[]step{{copied, RequestFault}, {first, Abandoned}}, Fail, "copy", [2]bool{true, false}},
		"the client leaves":             {[]step{{leave, 0}, {copied, Succeeded}, {first, Succeeded}}, Drop, "", [2]bool{}},
		"it leaves when one is broken":  {[]step{{first, ConnectionLost}, {leave, 0}, {copied, Succeeded}}, Drop, "", [2]bool{}},
	} {
		t.Run(name, func(t *testing.T) {
			s := settings.Settings{TypeNames: []string{"check"}, Settings: policy.Settings{TrafficTypes: []policy.TrafficType{{ClientTimeout: time.Hour}}}}
			f := New(s, 1, Limits{MemoryMB: 64, Sockets: 64}, func(policy.Settings, uint32) engine.Decider { return &copier{} })
			t.Cleanup(f.Stop)
			f.ApplyList(listed(host("a", 1), host("b", 2)), endpoints.SourceConfig)
			var copyHop Decision
			var gaveUp [2]bool
			op, err := f.Submit(Arrival{ID: []byte("x"), RouteIndex: -1, Timeout: time.Hour, StartHedge: func(_ *Request, d Decision) { copyHop = d }})
			if err != nil {
				t.Fatal(err)
			}
			d := op.NextDecision(func() { gaveUp[first] = true })
			f.onTimer()
			if copyHop.Action != SendAttempt || copyHop.Attempt != 1 || copyHop.Server != "b" {
				t.Fatalf("the copy: %+v", copyHop)
			}
			op.HedgeStarted(copyHop, func() { gaveUp[copied] = true })
			if !op.BeginWrite(d.Attempt) || !op.BeginWrite(copyHop.Attempt) {
				t.Fatal("not to be written")
			}
			for _, s := range c.steps {
				switch s.what {
				case leave:
					op.ClientDisconnected()
				case first:
					op.AttemptEnded(d.Attempt, s.how, []byte("first"))
				case copied:
					op.AttemptEnded(copyHop.Attempt, s.how, []byte("copy"))
				}
			}
			last := op.NextDecision(func() {})
			if last.Action != c.want || string(last.Answer) != c.answer || gaveUp != c.gaveUp {
				t.Errorf("ended with %d, %q, given up %v", last.Action, last.Answer, gaveUp)
			}
			n := f.Counts()
			if n.Responded+n.Failed+n.Disconnected != 1 || n.Hedges != 1 || n.OpenRequests != 0 || len(f.requests.openClientIDs) != 0 {
				t.Errorf("counted %+v", n)
			}
		})
	}
}

// A copy that is decided on when the answer is already there is given up before it is sent.
func TestCopyAfterTheAnswer(t *testing.T) {
	f := New(settings.Settings{TypeNames: []string{"check"}, Settings: policy.Settings{TrafficTypes: []policy.TrafficType{{}}}}, 1,
		Limits{MemoryMB: 64, Sockets: 64}, func(policy.Settings, uint32) engine.Decider { return &copier{} })
	t.Cleanup(f.Stop)
	f.ApplyList(listed(host("a", 1), host("b", 2)), endpoints.SourceConfig)
	var copyHop Decision
	op, _ := f.Submit(Arrival{ID: []byte("x"), RouteIndex: -1, Timeout: time.Hour, StartHedge: func(_ *Request, d Decision) { copyHop = d }})
	d := op.NextDecision(func() {})
	f.onTimer()
	op.AttemptEnded(d.Attempt, Succeeded, nil)
	gaveUp := false
	if op.HedgeStarted(copyHop, func() { gaveUp = true }); !gaveUp || !op.IsSettled() {
		t.Error("it is sent all the same")
	}
	op.NextDecision(func() {})
	op.AttemptEnded(copyHop.Attempt, Abandoned, nil)
	if n := f.Counts(); n.OpenRequests != 0 || n.AttemptResults[Abandoned] != 1 {
		t.Errorf("counted %+v", n)
	}
}

// What is written late to a server that leaves stays well within the grace of the settings, however short.
func TestLateWithinTheGrace(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{-1: maxLateWrite, 0: 0, 100 * time.Millisecond: 60 * time.Millisecond, time.Minute: maxLateWrite} {
		f := Dispatcher{settings: settings.Settings{DrainGrace: grace}}
		if got := f.maxWriteDelay(); got != want {
			t.Errorf("grace %v: %v, not %v", grace, got, want)
		}
	}
}

// A server that has left gets nothing new by any path: kept connections, operations that wait, further hops, second copies.
func TestNothingNewToWhoLeft(t *testing.T) {
	gone, drains := host("a", 1), host("a", 1)
	gone.Phase, drains.Phase = http1.Deleted, http1.Draining
	for name, l := range map[string]http1.EndpointList{
		"gone": {Hosts: []http1.Endpoint{gone}}, "drains": {Hosts: []http1.Endpoint{drains}}, "not named": listed(host("b", 2)),
		"another at its address": {Hosts: []http1.Endpoint{host("c", 1)}},
	} {
		t.Run(name, func(t *testing.T) {
			s := settings.Settings{ConnIdle: time.Hour, TypeNames: []string{"check"}, Settings: policy.Settings{NodeCount: 1, MaxAttempts: 4, HedgingAllowed: true,
				ConnectTimeout: time.Second, TrafficTypes: []policy.TrafficType{{LatencyObjective: time.Minute, ClientTimeout: time.Hour, PriorityWeight: 1,
					HedgeDelay: time.Nanosecond, HedgeRatio: 1}}}}
			f := New(s, 1, limits, engine.NewPolicy)
			t.Cleanup(f.Stop)
			f.ApplyList(listed(host("a", 1), host("b", 2)), endpoints.SourceConfig)
			f.AcquireServerDescriptor()
			f.PutIdle("a", false, http1.NewConn(&closer{closed: make(chan string, 1)}))
			var waiting []*Request
			for range 40 { // more than are sent at once
				if op := arrive(f); op != nil {
					waiting = append(waiting, op)
				}
			}
			f.ApplyList(l, endpoints.SourceDiscovery)
			if f.TakeIdle("a") != nil {
				t.Error("a kept connection is used")
			}
			to := func(d Decision) {
				if d.Action == SendAttempt && d.Server == "a" {
					t.Errorf("hop %d is sent there", d.Attempt)
				}
			}
			first := 0
			for _, op := range waiting {
				select { // what was decided before is on its way
				case <-op.ready:
					if op.pending.Server == "a" {
						first++
					}
					op.ready <- struct{}{}
					d := op.NextDecision(func() {})
					f.onTimer() // a copy, if any
					op.AttemptEnded(d.Attempt, ConnectRefused, nil)
				default:
				}
			}
			if first == 0 {
				t.Fatal("nothing was sent there before")
			}
			for _, op := range waiting { // further hops, and those that waited
				for range 4 {
					select {
					case <-op.ready:
						if op.pending.Action == undecided {
							break // it waits for a connection; what it is sent then is looked at below
						}
						op.ready <- struct{}{}
						d := op.NextDecision(func() {})
						if to(d); d.Action != SendAttempt {
							break
						}
						f.onTimer()
						op.AttemptEnded(d.Attempt, ConnectRefused, nil)
					default:
					}
				}
				for _, h := range op.inFlight {
					if h.server == "a" && h.isHedge {
						t.Error("a copy is sent there")
					}
				}
			}
			for range 10 {
				if op := arrive(f); op != nil {
					to(op.pending)
				}
			}
			for range 10 { // those that wait get their turn
				f.onTimer()
			}
			for _, op := range waiting {
				to(op.pending)
			}
		})
	}
}
