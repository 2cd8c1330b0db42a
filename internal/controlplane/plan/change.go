package plan

import (
	"math"
	"slices"
	"time"

	"fernvane/internal/discovery/incarnation"
)

// minRelativeChange is the relative difference up to which a changed number is not sent again.
const minRelativeChange = 0.02

// Change is the difference between two consecutive plans on one connection. The scalar fields are those of the later plan.
type Change struct {
	_ struct{} `cbor:",toarray"`

	PlannerStartMs      int64
	Number              uint64
	ReportSentAt        time.Duration
	ReportingForwarders int
	Nodes               int
	AdmittedShare       float64
	WithinAllowance     []TenantShare // all shares if any has changed; empty: unchanged
	Servers             []ServerShare // new or changed
	RemovedServers      []string
	Incarnations        []incarnation.Entry // new or changed
}

// Diff returns the change from one plan to the next and the receiver's resulting plan. The resulting plan differs from next in
// numbers whose change is too small to be sent. An empty WithinAllowance cannot be sent: after the last tenant is removed, result
// contains no tenants, but the receiver keeps the last tenants because Apply treats an empty list as unchanged.
func Diff(before, next Plan) (c Change, result Plan) {
	c = Change{
		PlannerStartMs:      next.PlannerStartMs,
		Number:              next.Number,
		ReportSentAt:        next.ReportSentAt,
		ReportingForwarders: next.ReportingForwarders,
		Nodes:               next.Nodes,
		AdmittedShare:       next.AdmittedShare,
	}
	result = next
	result.WithinAllowance = before.WithinAllowance
	if tenantSharesDiffer(before.WithinAllowance, next.WithinAllowance) {
		c.WithinAllowance, result.WithinAllowance = next.WithinAllowance, next.WithinAllowance
	}
	c.Servers, c.RemovedServers, result.Servers = diffServers(before.Servers, next.Servers)
	c.Incarnations = changedIncarnations(before.Incarnations, next.Incarnations)
	return c, result
}

// diffServers returns the new or changed servers, the IDs of the removed servers, and the receiver's resulting servers.
func diffServers(before, next []ServerShare) (changed []ServerShare, removed []string, result []ServerShare) {
	remaining := make(map[string]ServerShare, len(before))
	for _, s := range before {
		remaining[s.ID] = s
	}
	result = slices.Clone(next)
	for i, s := range next {
		if old, ok := remaining[s.ID]; ok && isUnchanged(old, s) {
			result[i] = old
		} else {
			changed = append(changed, s)
		}
		delete(remaining, s.ID)
	}
	for _, s := range before {
		if _, isRemoved := remaining[s.ID]; isRemoved {
			removed = append(removed, s.ID)
		}
	}
	return changed, removed, result
}

// isUnchanged reports whether a server's entry can be omitted from a change. An ejected server is always sent because its remaining
// time decreases.
func isUnchanged(a, b ServerShare) bool {
	return isClose(a.Share, b.Share) && isClose(a.SlowStartRate, b.SlowStartRate) && a.IsAvoided == b.IsAvoided &&
		a.EjectionRemaining == 0 && b.EjectionRemaining == 0
}

// changedIncarnations returns the entries of next that are new or differ from before. Both slices are sorted by ID. Entries that are
// missing in next are not reported.
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

func isClose(a, b float64) bool {
	return math.Abs(a-b) <= minRelativeChange*max(math.Abs(a), math.Abs(b))
}

func tenantSharesDiffer(a, b []TenantShare) bool {
	return !slices.EqualFunc(a, b, func(x, y TenantShare) bool { return x.Tenant == y.Tenant && isClose(x.Share, y.Share) })
}

// Apply returns the plan that results from a change. Its Incarnations contain only those of the change; the receiver joins them with
// its own incarnations.
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
