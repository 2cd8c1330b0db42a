package plan

import (
	"math"
	"slices"
	"time"

	"fernvane/internal/discovery/incarnation"
)

const worthTelling = 0.02 // by which a figure must differ to be told again

// Change is what one plan has that the one before, on the same connection, had not.
type Change struct {
	_ struct{} `cbor:",toarray"`

	Start   int64
	Number  uint64
	Heard   time.Duration
	Seen    int
	Nodes   int
	Admit   float64
	Within  []Within // all, if any differs
	Servers []Share  // new or other
	Dropped []string // servers that it says nothing of any more
	Lives   []incarnation.Entry
}

// Diff is the change from one plan to the next; told is what the other side holds after it, which need not be all of
// next where that hardly differs.
func Diff(before, next Plan) (c Change, told Plan) {
	c = Change{Start: next.Start, Number: next.Number, Heard: next.Heard, Seen: next.Seen, Nodes: next.Nodes, Admit: next.Admit}
	told = next
	if told.Within = before.Within; differs(before.Within, next.Within) {
		c.Within, told.Within = next.Within, next.Within
	}
	was := make(map[string]Share, len(before.Servers))
	for _, s := range before.Servers {
		was[s.ID] = s
	}
	told.Servers = slices.Clone(next.Servers)
	for i, s := range next.Servers {
		if w, ok := was[s.ID]; ok && near(w.Share, s.Share) && near(w.Pace, s.Pace) && w.Avoid == s.Avoid && w.Rest == 0 && s.Rest == 0 {
			told.Servers[i] = w
		} else {
			c.Servers = append(c.Servers, s)
		}
		delete(was, s.ID)
	}
	for _, s := range before.Servers {
		if _, left := was[s.ID]; left {
			c.Dropped = append(c.Dropped, s.ID)
		}
	}
	c.Lives = lives(before.Lives, next.Lives)
	return c, told
}

// lives are those of next that before has not; both are sorted by id, and one that is forgotten is not told.
func lives(before, next []incarnation.Entry) (other []incarnation.Entry) {
	i := 0
	for _, e := range next {
		for i < len(before) && before[i].ID < e.ID {
			i++
		}
		if i == len(before) || before[i] != e {
			other = append(other, e)
		}
	}
	return other
}

func near(a, b float64) bool { return math.Abs(a-b) <= worthTelling*max(math.Abs(a), math.Abs(b)) }

func differs(a, b []Within) bool {
	return !slices.EqualFunc(a, b, func(x, y Within) bool { return x.Tenant == y.Tenant && near(x.Share, y.Share) })
}

// Apply is the plan that follows by a change. Its lives are those of the change only: who follows plans joins them.
func Apply(before Plan, c Change) Plan {
	next := Plan{Start: c.Start, Number: c.Number, Heard: c.Heard, Seen: c.Seen, Nodes: c.Nodes, Admit: c.Admit,
		Within: before.Within, Lives: c.Lives}
	if len(c.Within) > 0 {
		next.Within = c.Within
	}
	for _, s := range before.Servers {
		told := slices.Contains(c.Dropped, s.ID) || slices.ContainsFunc(c.Servers, func(o Share) bool { return o.ID == s.ID })
		if !told {
			next.Servers = append(next.Servers, s)
		}
	}
	next.Servers = append(next.Servers, c.Servers...)
	return next
}
