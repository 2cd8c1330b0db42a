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

	PlannerStartMs      int64
	Number              uint64
	ReportSentAt        time.Duration
	ReportingForwarders int
	Nodes               int
	AdmittedShare       float64
	WithinAllowance     []TenantShare // all, if any differs
	Servers             []ServerShare // new or other
	RemovedServers      []string      // servers that it says nothing of any more
	Incarnations        []incarnation.Entry
}

// Diff is the change from one plan to the next; told is what the other side holds after it, which need not be all of
// next where that hardly differs.
func Diff(before, next Plan) (c Change, told Plan) {
	c = Change{PlannerStartMs: next.PlannerStartMs, Number: next.Number, ReportSentAt: next.ReportSentAt, ReportingForwarders: next.ReportingForwarders, Nodes: next.Nodes, AdmittedShare: next.AdmittedShare}
	told = next
	if told.WithinAllowance = before.WithinAllowance; differs(before.WithinAllowance, next.WithinAllowance) {
		c.WithinAllowance, told.WithinAllowance = next.WithinAllowance, next.WithinAllowance
	}
	was := make(map[string]ServerShare, len(before.Servers))
	for _, s := range before.Servers {
		was[s.ID] = s
	}
	told.Servers = slices.Clone(next.Servers)
	for i, s := range next.Servers {
		if w, ok := was[s.ID]; ok && near(w.Share, s.Share) && near(w.SlowStartRate, s.SlowStartRate) && w.IsAvoided == s.IsAvoided && w.EjectionRemaining == 0 && s.EjectionRemaining == 0 {
			told.Servers[i] = w
		} else {
			c.Servers = append(c.Servers, s)
		}
		delete(was, s.ID)
	}
	for _, s := range before.Servers {
		if _, left := was[s.ID]; left {
			c.RemovedServers = append(c.RemovedServers, s.ID)
		}
	}
	c.Incarnations = lives(before.Incarnations, next.Incarnations)
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

func differs(a, b []TenantShare) bool {
	return !slices.EqualFunc(a, b, func(x, y TenantShare) bool { return x.Tenant == y.Tenant && near(x.Share, y.Share) })
}

// Apply is the plan that follows by a change. Its lives are those of the change only: who follows plans joins them.
func Apply(before Plan, c Change) Plan {
	next := Plan{PlannerStartMs: c.PlannerStartMs, Number: c.Number, ReportSentAt: c.ReportSentAt, ReportingForwarders: c.ReportingForwarders, Nodes: c.Nodes, AdmittedShare: c.AdmittedShare,
		WithinAllowance: before.WithinAllowance, Incarnations: c.Incarnations}
	if len(c.WithinAllowance) > 0 {
		next.WithinAllowance = c.WithinAllowance
	}
	for _, s := range before.Servers {
		told := slices.Contains(c.RemovedServers, s.ID) || slices.ContainsFunc(c.Servers, func(o ServerShare) bool { return o.ID == s.ID })
		if !told {
			next.Servers = append(next.Servers, s)
		}
	}
	next.Servers = append(next.Servers, c.Servers...)
	return next
}
