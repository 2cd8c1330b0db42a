package intent

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func intent(hop int) Record {
	return Record{Kind: Intent, Incarnation: 1, RequestNumber: 1, Attempt: hop, AtUnixNano: int64(hop + 1), RequestID: "x", Type: "book", Server: fmt.Sprint("s", hop)}
}
func ended(hop int, p Proof) Record {
	return Record{Kind: AttemptEnded, Incarnation: 1, RequestNumber: 1, Attempt: hop, AtUnixNano: 5, Proof: p}
}
func settled(hop int, p Proof) Record {
	return Record{Kind: Reconciled, Incarnation: 1, RequestNumber: 1, Attempt: hop, AtUnixNano: 9, Proof: p}
}
func told(how string, hops int) Record {
	return Record{Kind: ClientNotified, Incarnation: 1, RequestNumber: 1, AtUnixNano: 7, Outcome: how, Count: hops}
}

// What was read of an operation, and what may be claimed of it.
func TestClaims(t *testing.T) {
	unsent := Record{Kind: Unsent, Incarnation: 1, RequestNumber: 1, AtUnixNano: 1, RequestID: "x"}
	for name, c := range map[string]struct {
		read      []Record
		state     State
		done      bool
		conflicts int
	}{
		"about to be sent":                     {[]Record{intent(0)}, PossiblySent, false, 0},
		"answered":                             {[]Record{intent(0), ended(0, Ran), told("handled", 1)}, HasRun, true, 0},
		"answered, and the client not told":    {[]Record{intent(0), ended(0, Ran)}, HasRun, false, 0},
		"cut off":                              {[]Record{intent(0), ended(0, PossiblyRan), told("written off", 1)}, PossiblySent, false, 0},
		"turned away, and denied":              {[]Record{intent(0), ended(0, NeverRan), told("denied", 1)}, NotSent, true, 0},
		"turned away, and sent on":             {[]Record{intent(0), ended(0, NeverRan), intent(1)}, PossiblySent, false, 0},
		"turned away, then answered":           {[]Record{intent(0), ended(0, NeverRan), intent(1), ended(1, Ran), told("handled", 2)}, HasRun, true, 0},
		"denied without a hop":                 {[]Record{unsent, told("denied", 0)}, NotSent, true, 0},
		"its intent was lost":                  {[]Record{told("handled", 1)}, PossiblySent, false, 0},
		"a second intent was lost":             {[]Record{intent(0), ended(0, NeverRan), told("written off", 2)}, PossiblySent, false, 0},
		"a first intent was lost":              {[]Record{intent(1), ended(1, NeverRan), told("denied", 2)}, PossiblySent, false, 0},
		"in the dockets":                       {[]Record{intent(0), settled(0, Ran)}, HasRun, false, 0},
		"not in the dockets":                   {[]Record{intent(0), ended(0, PossiblyRan), told("written off", 1), settled(0, NeverRan)}, NotSent, true, 0},
		"dockets against a proof":              {[]Record{intent(0), ended(0, NeverRan), settled(0, Ran)}, HasRun, false, 1},
		"dockets do not undo an answer":        {[]Record{intent(0), ended(0, Ran), settled(0, NeverRan)}, HasRun, false, 1},
		"all twice":                            {[]Record{intent(0), ended(0, Ran), intent(0), ended(0, Ran), told("handled", 1)}, HasRun, true, 0},
		"an intent written again behind a end": {[]Record{intent(0), ended(0, NeverRan), intent(0), told("denied", 1)}, NotSent, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := NewAssembler()
			var done *Entry
			for i := range c.read {
				if e := f.Add(&c.read[i]); e != nil {
					done = e
				}
			}
			e := done
			if e == nil {
				e = f.Incomplete()[0]
			}
			if e.State() != c.state || (done != nil) != c.done || e.Conflicts != c.conflicts {
				t.Errorf("%v, done %v, %d conflicts: %+v", e.State(), done != nil, e.Conflicts, e)
			}
		})
	}
}

// Whichever records are lost, nothing is claimed that the whole would not claim; an entry without its end counts as
// damaged where records are known to be lost.
func TestLossClaimsNoMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Record
		truth := NotSent
		hops := rapid.IntRange(0, 3).Draw(t, "hops")
		for h := range hops {
			all = append(all, intent(h))
			p := NeverRan
			if h == hops-1 {
				p = rapid.SampledFrom([]Proof{NeverRan, Ran, PossiblyRan}).Draw(t, "proof")
			}
			all = append(all, ended(h, p))
			truth = map[Proof]State{NeverRan: NotSent, Ran: HasRun, PossiblyRan: PossiblySent}[p]
		}
		if hops == 0 {
			all = append(all, Record{Kind: Unsent, Incarnation: 1, RequestNumber: 1, AtUnixNano: 1, RequestID: "x"})
		}
		all = append(all, told("something", hops))
		f := NewAssembler()
		var e *Entry
		for i := range all {
			if rapid.Bool().Draw(t, "kept") {
				if done := f.Add(&all[i]); done != nil {
					e = done
				}
			} else {
				f.HasDamage = true
			}
		}
		if rest := f.Incomplete(); len(rest) > 0 {
			e = rest[0]
		}
		if e != nil && e.State() != PossiblySent && e.State() != truth && !(truth == PossiblySent && e.State() == HasRun) {
			t.Fatalf("%v is claimed of %v", e.State(), truth)
		}
	})
}

// What dockets settle, by the time for which they are whole.
func TestReconcile(t *testing.T) {
	for name, c := range map[string]struct {
		at    int64
		ids   map[string]bool
		proof string
	}{
		"there":                   {100, map[string]bool{"x": true}, "1"},
		"not there":               {100, nil, "2"},
		"there, out of the time":  {5, map[string]bool{"x": true}, "1"},
		"before the time":         {5, nil, ""},
		"shortly before its end":  {195, nil, ""},
		"long before and not too": {189, nil, "2"},
	} {
		t.Run(name, func(t *testing.T) {
			f := NewAssembler()
			r := intent(0)
			r.AtUnixNano = c.at
			f.Add(&r)
			got := ""
			for _, s := range Reconcile(f.Incomplete()[0], map[string]*ExecutionRecord{"s0": {Server: "s0", FromUnixNano: 10, ToUnixNano: 200, RequestIDs: c.ids}}, 10, 300) {
				got += fmt.Sprint(s.Proof)
			}
			if got != c.proof {
				t.Errorf("settled as %q", got)
			}
		})
	}
}
