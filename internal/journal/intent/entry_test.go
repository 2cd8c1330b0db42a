package intent

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func intent(hop int) Record {
	return Record{Kind: Intent, Run: 1, Op: 1, Hop: hop, At: int64(hop + 1), ID: "x", Type: "book", Server: fmt.Sprint("s", hop)}
}
func ended(hop int, p Proof) Record {
	return Record{Kind: Ended, Run: 1, Op: 1, Hop: hop, At: 5, Proof: p}
}
func settled(hop int, p Proof) Record {
	return Record{Kind: Settled, Run: 1, Op: 1, Hop: hop, At: 9, Proof: p}
}
func told(how string, hops int) Record {
	return Record{Kind: Told, Run: 1, Op: 1, At: 7, How: how, N: hops}
}

// What was read of an operation, and what may be claimed of it.
func TestClaims(t *testing.T) {
	unsent := Record{Kind: Unsent, Run: 1, Op: 1, At: 1, ID: "x"}
	for name, c := range map[string]struct {
		read      []Record
		state     State
		done      bool
		conflicts int
	}{
		"about to be sent":                     {[]Record{intent(0)}, PossiblySent, false, 0},
		"answered":                             {[]Record{intent(0), ended(0, Ran), told("handled", 1)}, HasRun, true, 0},
		"answered, and the client not told":    {[]Record{intent(0), ended(0, Ran)}, HasRun, false, 0},
		"cut off":                              {[]Record{intent(0), ended(0, Possibly), told("written off", 1)}, PossiblySent, false, 0},
		"turned away, and denied":              {[]Record{intent(0), ended(0, Never), told("denied", 1)}, NotSent, true, 0},
		"turned away, and sent on":             {[]Record{intent(0), ended(0, Never), intent(1)}, PossiblySent, false, 0},
		"turned away, then answered":           {[]Record{intent(0), ended(0, Never), intent(1), ended(1, Ran), told("handled", 2)}, HasRun, true, 0},
		"denied without a hop":                 {[]Record{unsent, told("denied", 0)}, NotSent, true, 0},
		"its intent was lost":                  {[]Record{told("handled", 1)}, PossiblySent, false, 0},
		"a second intent was lost":             {[]Record{intent(0), ended(0, Never), told("written off", 2)}, PossiblySent, false, 0},
		"a first intent was lost":              {[]Record{intent(1), ended(1, Never), told("denied", 2)}, PossiblySent, false, 0},
		"in the dockets":                       {[]Record{intent(0), settled(0, Ran)}, HasRun, false, 0},
		"not in the dockets":                   {[]Record{intent(0), ended(0, Possibly), told("written off", 1), settled(0, Never)}, NotSent, true, 0},
		"dockets against a proof":              {[]Record{intent(0), ended(0, Never), settled(0, Ran)}, HasRun, false, 1},
		"dockets do not undo an answer":        {[]Record{intent(0), ended(0, Ran), settled(0, Never)}, HasRun, false, 1},
		"all twice":                            {[]Record{intent(0), ended(0, Ran), intent(0), ended(0, Ran), told("handled", 1)}, HasRun, true, 0},
		"an intent written again behind a end": {[]Record{intent(0), ended(0, Never), intent(0), told("denied", 1)}, NotSent, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := NewFold()
			var done *Entry
			for i := range c.read {
				if e := f.Add(&c.read[i]); e != nil {
					done = e
				}
			}
			e := done
			if e == nil {
				e = f.Rest()[0]
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
			p := Never
			if h == hops-1 {
				p = rapid.SampledFrom([]Proof{Never, Ran, Possibly}).Draw(t, "proof")
			}
			all = append(all, ended(h, p))
			truth = map[Proof]State{Never: NotSent, Ran: HasRun, Possibly: PossiblySent}[p]
		}
		if hops == 0 {
			all = append(all, Record{Kind: Unsent, Run: 1, Op: 1, At: 1, ID: "x"})
		}
		all = append(all, told("something", hops))
		f := NewFold()
		var e *Entry
		for i := range all {
			if rapid.Bool().Draw(t, "kept") {
				if done := f.Add(&all[i]); done != nil {
					e = done
				}
			} else {
				f.Damaged = true
			}
		}
		if rest := f.Rest(); len(rest) > 0 {
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
			f := NewFold()
			r := intent(0)
			r.At = c.at
			f.Add(&r)
			got := ""
			for _, s := range Reconcile(f.Rest()[0], map[string]*Dockets{"s0": {Server: "s0", From: 10, To: 200, IDs: c.ids}}, 10, 300) {
				got += fmt.Sprint(s.Proof)
			}
			if got != c.proof {
				t.Errorf("settled as %q", got)
			}
		})
	}
}
