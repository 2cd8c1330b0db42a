package plan

import (
	"math"
	"slices"
	"time"

	"fernvane/internal/discovery/incarnation"
)

// minRelativeChange is the difference of a number below which it is not sent again.
const minRelativeChange = 0.02

// Change is the difference between two plans sent one after the other on one connection.
type Change struct {
	_ struct{} `cbor:",toarray"`

	PlannerStartMs      int64
	Number              uint64
	ReportSentAt        time.Duration
	ReportingForwarders int
	Nodes               int
	AdmittedShare       float64
	WithinAllowance     []TenantShare // all of them, if any has changed; empty: unchanged
	Servers             []ServerShare // new or changed
	RemovedServers      []string
	Incarnations        []incarnation.Entry // new or changed
}

// Diff returns the change from one plan to the next, and the plan that the receiver is taken to hold after it. That differs from
// next where a number has changed too little to be sent. An empty WithinAllowance cannot be sent: when the last tenant is gone,
// held has no tenants while the receiver keeps the last ones, because Apply reads an empty list as unchanged.
func Diff(before, next Plan) (c Change, held Plan) {
	c = Change{
		PlannerStartMs:      next.PlannerStartMs,
		Number:              next.Number,
		ReportSentAt:        next.ReportSentAt,
		ReportingForwarders: next.ReportingForwarders,
		Nodes:               next.Nodes,
		AdmittedShare:       next.AdmittedShare,
	}
	held = next
	held.WithinAllowance = before.WithinAllowance
	if tenantSharesDiffer(before.WithinAllowance, next.WithinAllowance) {
		c.WithinAllowance, held.WithinAllowance = next.WithinAllowance, next.WithinAllowance
	}
	c.Servers, c.RemovedServers, held.Servers = diffServers(before.Servers, next.Servers)
	c.Incarnations = changedIncarnations(before.Incarnations, next.Incarnations)
	return c, held
}

// diffServers returns the servers that are new or changed, those that are gone, and what the receiver holds after that.
func diffServers(before, next []ServerShare) (changed []ServerShare, removed []string, held []ServerShare) {
	remaining := make(map[string]ServerShare, len(before))
	for _, s := range before {
		remaining[s.ID] = s
	}
	held = slices.Clone(next)
	for i, s := range next {
		if old, ok := remaining[s.ID]; ok && isNearlySame(old, s) {
			held[i] = old
		} else {
			changed = append(changed, s)
		}
		delete(remaining, s.ID)
	}
	for _, s := range before {
		if _, gone := remaining[s.ID]; gone {
			removed = append(removed, s.ID)
		}
	}
	return changed, removed, held
}

// isNearlySame reports whether a server need not be sent again. An ejected one is always sent, as its remaining time
// counts down.
func isNearlySame(a, b ServerShare) bool {
	return isNear(a.Share, b.Share) && isNear(a.SlowStartRate, b.SlowStartRate) && a.IsAvoided == b.IsAvoided &&
		a.EjectionRemaining == 0 && b.EjectionRemaining == 0
}

// changedIncarnations returns the entries of next that before lacks. Both are sorted by ID; an entry that next no longer has
// is not reported.
func changedIncarnations(before, next []incarnation.Entry) (changed []incarnation.Entry) {
	i := 0
	for _, e := range next {
		for i < len(before) && before[i].ID < e.ID {
			i++
		}
		if i == len(before) || before[i] != e {
			changed = append(changed, e)
		}
	}
	return changed
}

func isNear(a, b float64) bool {
	return math.Abs(a-b) <= minRelativeChange*max(math.Abs(a), math.Abs(b))
}

func tenantSharesDiffer(a, b []TenantShare) bool {
	return !slices.EqualFunc(a, b, func(x, y TenantShare) bool { return x.Tenant == y.Tenant && isNear(x.Share, y.Share) })
}

// Apply returns the plan that a change makes of the one before. Its Incarnations are those of the change alone: the receiver
// joins them with what it knows.
func Apply(before Plan, c Change) Plan {
	next := Plan{
		PlannerStartMs:      c.PlannerStartMs,
		Number:              c.Number,
		ReportSentAt:        c.ReportSentAt,
		ReportingForwarders: c.ReportingForwarders,
		Nodes:               c.Nodes,
		AdmittedShare:       c.AdmittedShare,
		WithinAllowance:     before.WithinAllowance,
		Incarnations:        c.Incarnations,
	}
	if len(c.WithinAllowance) > 0 {
		next.WithinAllowance = c.WithinAllowance
	}
	for _, s := range before.Servers {
		isReplaced := slices.ContainsFunc(c.Servers, func(o ServerShare) bool { return o.ID == s.ID })
		if !isReplaced && !slices.Contains(c.RemovedServers, s.ID) {
			next.Servers = append(next.Servers, s)
		}
	}
	next.Servers = append(next.Servers, c.Servers...)
	return next
}
