package planfollower

import (
	"slices"
	"time"

	"fernvane/internal/controlplane/plan"
)

const (
	freshAge           = 3 * time.Second // of a plan, up to which it is followed
	minRelativeReports = 0.9             // of the most reporting forwarders of any planner, from which a planner may be followed
)

// source is what was received from one planner.
type source struct {
	plan       plan.Plan
	hasPlan    bool
	receivedAt time.Duration
}

// age of the plan: the time since this forwarder sent the report that it is based on, so that neither other clocks nor a slow
// connection make it look newer. A plan without such a report counts as expired.
func (s *source) age(now time.Duration) time.Duration {
	if !s.hasPlan || s.plan.ReportSentAt <= 0 {
		return expiryAge
	}
	return now - s.plan.ReportSentAt
}

func (s *source) isFresh(now time.Duration) bool { return s.age(now) < freshAge }

// selectPlanner returns the first planner whose plan is fresh and that nearly as many forwarders report to as to any other;
// noPlannerIndex for none. All forwarders list the planners in the same order, so that they
// mostly agree, and none follows a planner that is cut off from most forwarders.
func (f *Follower) selectPlanner(now time.Duration) int {
	mostReporting := 0
	for i := range f.sources {
		if s := &f.sources[i]; s.isFresh(now) {
			mostReporting = max(mostReporting, s.plan.ReportingForwarders)
		}
	}
	return slices.IndexFunc(f.sources, func(s source) bool {
		return s.isFresh(now) && float64(s.plan.ReportingForwarders) >= minRelativeReports*float64(mostReporting)
	})
}

// maxNodes is the greatest number of forwarders that a fresh plan names: by a smaller one each forwarder would take too much.
func (f *Follower) maxNodes(now time.Duration, nodes int) int {
	for i := range f.sources {
		if s := &f.sources[i]; s.isFresh(now) {
			nodes = max(nodes, s.plan.Nodes)
		}
	}
	return nodes
}
