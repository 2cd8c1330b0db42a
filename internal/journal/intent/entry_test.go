package intent

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func intent(attempt int) Record {
	return Record{Kind: Intent, Incarnation: 1, RequestNumber: 1, Attempt: attempt, AtUnixNano: int64(attempt + 1), RequestID: "x", Type: "book", Server: fmt.Sprint("s", attempt)}
}
func ended(attempt int, p Proof) Record {
	return Record{Kind: AttemptEnded, Incarnation: 1, RequestNumber: 1, Attempt: attempt, AtUnixNano: 5, Proof: p}
}
func reconciled(attempt int, p Proof) Record {
	return Record{Kind: Reconciled, Incarnation: 1, RequestNumber: 1, Attempt: attempt, AtUnixNano: 9, Proof: p}
}
func notified(outcome string, attempts int) Record {
	return Record{Kind: ClientNotified, Incarnation: 1, RequestNumber: 1, AtUnixNano: 7, Outcome: outcome, Count: attempts}
}

// The state of an entry, whether it is complete, and its conflicts, by the records that were read.
func TestEntryState(t *testing.T) {
	unsent := Record{Kind: Unsent, Incarnation: 1, RequestNumber: 1, AtUnixNano: 1, RequestID: "x"}
	for name, c := range map[string]struct {
		read       []Record
		state      State
		isComplete bool
		conflicts  int
	}{
		"about to be sent":                      {[]Record{intent(0)}, PossiblySent, false, 0},
		"answered":                              {[]Record{intent(0), ended(0, Ran), notified("handled", 1)}, HasRun, true, 0},
		"answered, and the client not notified": {[]Record{intent(0), ended(0, Ran)}, HasRun, false, 0},
		"cut off":                               {[]Record{intent(0), ended(0, PossiblyRan), notified("written off", 1)}, PossiblySent, false, 0},
		"rejected by the server and to the client": {[]Record{intent(0), ended(0, NeverRan), notified("denied", 1)}, NotSent, true, 0},
		"rejected, then a second attempt":          {[]Record{intent(0), ended(0, NeverRan), intent(1)}, PossiblySent, false, 0},
		"rejected, then answered":                  {[]Record{intent(0), ended(0, NeverRan), intent(1), ended(1, Ran), notified("handled", 2)}, HasRun, true, 0},
		"rejected without an attempt":              {[]Record{unsent, notified("denied", 0)}, NotSent, true, 0},
		"its intent was lost":                      {[]Record{notified("handled", 1)}, PossiblySent, false, 0},
		"a second intent was lost":                 {[]Record{intent(0), ended(0, NeverRan), notified("written off", 2)}, PossiblySent, false, 0},
		"a first intent was lost":                  {[]Record{intent(1), ended(1, NeverRan), notified("denied", 2)}, PossiblySent, false, 0},
		"in the execution record":                  {[]Record{intent(0), reconciled(0, Ran)}, HasRun, false, 0},
		"not in the execution record":              {[]Record{intent(0), ended(0, PossiblyRan), notified("written off", 1), reconciled(0, NeverRan)}, NotSent, true, 0},
		"execution record contradicts a proof":     {[]Record{intent(0), ended(0, NeverRan), reconciled(0, Ran)}, HasRun, false, 1},
		"execution record does not undo an answer": {[]Record{intent(0), ended(0, Ran), reconciled(0, NeverRan)}, HasRun, false, 1},
		"each record twice":                        {[]Record{intent(0), ended(0, Ran), intent(0), ended(0, Ran), notified("handled", 1)}, HasRun, true, 0},
		"an intent rewritten after an end":         {[]Record{intent(0), ended(0, NeverRan), intent(0), notified("denied", 1)}, NotSent, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			assembler := NewAssembler()
			var done *Entry
			for i := range c.read {
				if e := assembler.Add(&c.read[i]); e != nil {
					done = e
				}
			}
			e := done
			if e == nil {
				e = assembler.Incomplete()[0]
			}
			if e.State() != c.state || (done != nil) != c.isComplete || e.Conflicts != c.conflicts {
				t.Errorf("got state %v, complete %v, %d conflicts: %+v", e.State(), done != nil, e.Conflicts, e)
			}
		})
	}
}

// For any lost records, an entry claims nothing that the complete records would not claim. The assembler is notified that
// records were lost, as the caller does for unreadable ranges.
func TestLostRecordsClaimNoMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Record
		truth := NotSent
		attempts := rapid.IntRange(0, 3).Draw(t, "attempts")
		for a := range attempts {
			all = append(all, intent(a))
			p := NeverRan
			if a == attempts-1 {
				p = rapid.SampledFrom([]Proof{NeverRan, Ran, PossiblyRan}).Draw(t, "proof")
			}
			all = append(all, ended(a, p))
			truth = map[Proof]State{NeverRan: NotSent, Ran: HasRun, PossiblyRan: PossiblySent}[p]
		}
		if attempts == 0 {
			all = append(all, Record{Kind: Unsent, Incarnation: 1, RequestNumber: 1, AtUnixNano: 1, RequestID: "x"})
		}
		all = append(all, notified("something", attempts))
		assembler := NewAssembler()
		var e *Entry
		for i := range all {
			if rapid.Bool().Draw(t, "read") {
				if done := assembler.Add(&all[i]); done != nil {
					e = done
				}
			} else {
				assembler.HasDamage = true
			}
		}
		if incomplete := assembler.Incomplete(); len(incomplete) > 0 {
			e = incomplete[0]
		}
		if e != nil && e.State() != PossiblySent && e.State() != truth && !(truth == PossiblySent && e.State() == HasRun) {
			t.Fatalf("got state %v, want possibly-sent or %v", e.State(), truth)
		}
	})
}
