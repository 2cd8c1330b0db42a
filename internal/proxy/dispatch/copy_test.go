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
	case policy.Arrival:
		m.out = append(m.out, []bool{true})
		return append(e, policy.Effect{Kind: policy.SendHop, Op: in.Op, Server: 0, For: time.Hour})
	case policy.Woken:
		for op := range m.out {
			if len(m.out[op]) == 1 && m.out[op][0] {
				m.out[op] = append(m.out[op], true)
				e = append(e, policy.Effect{Kind: policy.SendHop, Op: op, Server: 1, For: time.Hour})
			}
		}
	case policy.HopEnded:
		if m.out[in.Op][in.Hop] = false; !in.Final && !slices.Contains(m.out[in.Op], true) {
			return append(e, policy.Effect{Kind: policy.WriteOff, Op: in.Op})
		}
	case policy.Left:
		clear(m.out[in.Op])
	}
	return e
}

// Two hops of one operation are out: whatever crosses, it gets one answer, the other hop is given up, and nothing of it
// is left.
func TestCopies(t *testing.T) {
	const first, copied, leave = 0, 1, 2
	type step struct {
		what int
		how  End
	}
	for name, c := range map[string]struct {
		steps  []step
		want   DecisionKind
		answer string
		gaveUp [2]bool // the first, the copy
	}{
		"the copy answers":              {[]step{{copied, Answered}, {first, GivenUp}}, Handled, "copy", [2]bool{true, false}},
		"the first answers":             {[]step{{first, Answered}, {copied, GivenUp}}, Handled, "first", [2]bool{false, true}},
		"both answer, the copy before":  {[]step{{copied, Answered}, {first, Answered}}, Handled, "copy", [2]bool{true, false}},
		"both answer, the first before": {[]step{{first, Answered}, {copied, Answered}}, Handled, "first", [2]bool{false, true}},
		"the first breaks":              {[]step{{first, CutOff}, {copied, Answered}}, Handled, "copy", [2]bool{}},
		"the copy breaks":               {[]step{{copied, CutOff}, {first, Answered}}, Handled, "first", [2]bool{}},
		"both break":                    {[]step{{copied, CutOff}, {first, CutOff}}, WriteOff, "", [2]bool{}},
		"the copy is declined":          {[]step{{copied, Declined}, {first, GivenUp}}, WriteOff, "copy", [2]bool{true, false}},
		"the client leaves":             {[]step{{leave, 0}, {copied, Answered}, {first, Answered}}, Drop, "", [2]bool{}},
		"it leaves when one is broken":  {[]step{{first, CutOff}, {leave, 0}, {copied, Answered}}, Drop, "", [2]bool{}},
	} {
		t.Run(name, func(t *testing.T) {
			s := settings.Settings{TypeNames: []string{"check"}, Settings: policy.Settings{Types: []policy.TrafficType{{AbandonTime: time.Hour}}}}
			f := New(s, 1, Limits{MemoryMB: 64, Sockets: 64}, func(policy.Settings, uint32) engine.Module { return &copier{} })
			t.Cleanup(f.Stop)
			f.Listed(listed(host("a", 1), host("b", 2)), endpoints.Saved)
			var copyHop Decision
			var gaveUp [2]bool
			op, err := f.Arrive(Arrival{ID: []byte("x"), Route: -1, Budget: time.Hour, Copying: func(_ *Operation, d Decision) { copyHop = d }})
			if err != nil {
				t.Fatal(err)
			}
			d := op.Next(func() { gaveUp[first] = true })
			f.woken()
			if copyHop.Kind != Send || copyHop.Hop != 1 || copyHop.Server != "b" {
				t.Fatalf("the copy: %+v", copyHop)
			}
			op.Copying(copyHop, func() { gaveUp[copied] = true })
			if !op.Writing(d.Hop) || !op.Writing(copyHop.Hop) {
				t.Fatal("not to be written")
			}
			for _, s := range c.steps {
				switch s.what {
				case leave:
					op.Left()
				case first:
					op.Ended(d.Hop, s.how, []byte("first"))
				case copied:
					op.Ended(copyHop.Hop, s.how, []byte("copy"))
				}
			}
			last := op.Next(func() {})
			if last.Kind != c.want || string(last.Answer) != c.answer || gaveUp != c.gaveUp {
				t.Errorf("ended with %d, %q, given up %v", last.Kind, last.Answer, gaveUp)
			}
			n := f.Counts()
			if n.Handled+n.WrittenOff+n.Left != 1 || n.Copies != 1 || n.Open != 0 || len(f.open) != 0 {
				t.Errorf("counted %+v", n)
			}
		})
	}
}

// A copy that is decided on when the answer is already there is given up before it is sent.
func TestCopyAfterTheAnswer(t *testing.T) {
	f := New(settings.Settings{TypeNames: []string{"check"}, Settings: policy.Settings{Types: []policy.TrafficType{{}}}}, 1,
		Limits{MemoryMB: 64, Sockets: 64}, func(policy.Settings, uint32) engine.Module { return &copier{} })
	t.Cleanup(f.Stop)
	f.Listed(listed(host("a", 1), host("b", 2)), endpoints.Saved)
	var copyHop Decision
	op, _ := f.Arrive(Arrival{ID: []byte("x"), Route: -1, Budget: time.Hour, Copying: func(_ *Operation, d Decision) { copyHop = d }})
	d := op.Next(func() {})
	f.woken()
	op.Ended(d.Hop, Answered, nil)
	gaveUp := false
	if op.Copying(copyHop, func() { gaveUp = true }); !gaveUp || !op.Settled() {
		t.Error("it is sent all the same")
	}
	op.Next(func() {})
	op.Ended(copyHop.Hop, GivenUp, nil)
	if n := f.Counts(); n.Open != 0 || n.Ends[GivenUp] != 1 {
		t.Errorf("counted %+v", n)
	}
}

// What is written late to a server that leaves stays well within the grace of the settings, however short.
func TestLateWithinTheGrace(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{-1: lateMost, 0: 0, 100 * time.Millisecond: 60 * time.Millisecond, time.Minute: lateMost} {
		f := Fleet{set: settings.Settings{DrainGrace: grace}}
		if got := f.lateFor(); got != want {
			t.Errorf("grace %v: %v, not %v", grace, got, want)
		}
	}
}

// A server that has left gets nothing new by any path: kept connections, operations that wait, further hops, second copies.
func TestNothingNewToWhoLeft(t *testing.T) {
	gone, drains := host("a", 1), host("a", 1)
	gone.Phase, drains.Phase = http1.Deleted, http1.Draining
	for name, l := range map[string]http1.List{
		"gone": {Hosts: []http1.Host{gone}}, "drains": {Hosts: []http1.Host{drains}}, "not named": listed(host("b", 2)),
		"another at its address": {Hosts: []http1.Host{host("c", 1)}},
	} {
		t.Run(name, func(t *testing.T) {
			s := settings.Settings{ConnIdle: time.Hour, TypeNames: []string{"check"}, Settings: policy.Settings{Nodes: 1, MostHops: 4, Copies: true,
				ConnectTimeout: time.Second, Types: []policy.TrafficType{{TargetTime: time.Minute, AbandonTime: time.Hour, Revenue: 1,
					CopyAfter: time.Nanosecond, CopyShare: 1}}}}
			f := New(s, 1, limits, engine.Policy)
			t.Cleanup(f.Stop)
			f.Listed(listed(host("a", 1), host("b", 2)), endpoints.Saved)
			f.Reserve()
			f.Keep("a", false, http1.NewConn(&closer{closed: make(chan string, 1)}))
			var waiting []*Operation
			for range 40 { // more than are sent at once
				if op := arrive(f); op != nil {
					waiting = append(waiting, op)
				}
			}
			f.Listed(l, endpoints.Discovery)
			if f.Take("a") != nil {
				t.Error("a kept connection is used")
			}
			to := func(d Decision) {
				if d.Kind == Send && d.Server == "a" {
					t.Errorf("hop %d is sent there", d.Hop)
				}
			}
			first := 0
			for _, op := range waiting {
				select { // what was decided before is on its way
				case <-op.ready:
					if op.next.Server == "a" {
						first++
					}
					op.ready <- struct{}{}
					d := op.Next(func() {})
					f.woken() // a copy, if any
					op.Ended(d.Hop, Refused, nil)
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
						if op.next.Kind == undecided {
							break // it waits for a connection; what it is sent then is looked at below
						}
						op.ready <- struct{}{}
						d := op.Next(func() {})
						if to(d); d.Kind != Send {
							break
						}
						f.woken()
						op.Ended(d.Hop, Refused, nil)
					default:
					}
				}
				for _, h := range op.outs {
					if h.server == "a" && h.copy {
						t.Error("a copy is sent there")
					}
				}
			}
			for range 10 {
				if op := arrive(f); op != nil {
					to(op.next)
				}
			}
			for range 10 { // those that wait get their turn
				f.woken()
			}
			for _, op := range waiting {
				to(op.next)
			}
		})
	}
}
