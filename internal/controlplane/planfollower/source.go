package planfollower

import (
	"slices"
	"time"

	"fernvane/internal/controlplane/plan"
)

const (
	freshAge          = 3 * time.Second // max age of a plan that can be followed
	minReportingRatio = 0.9             // min ratio of a planner's reporting forwarders to the maximum over all planners
)

// source stores the latest plan received from one planner.
type source struct {
	plan       plan.Plan
	hasPlan    bool
	receivedAt time.Duration
}

// age returns the time since this forwarder sent the latest report that the plan includes. The age therefore does not depend on other
// clocks, and a slow connection does not make the plan appear newer. A plan without such a report counts as expired.
func (s *source) age(now time.Duration) time.Duration {
	if !s.hasPlan || s.plan.ReportSentAt <= 0 {
		return expiryAge
	}
	return now - s.plan.ReportSentAt
}

func (s *source) isFresh(now time.Duration) bool { return s.age(now) < freshAge }

// selectPlanner returns the index of the first planner with a fresh plan and a sufficient number of reporting forwarders, or
// noPlannerIndex if there is none. Forwarders mostly select the same planner because all list the planners in the same order. The
// minimum minReportingRatio excludes planners that are disconnected from most forwarders.
func (f *Follower) selectPlanner(now time.Duration) int {
	maxReporting := 0
	for i := range f.sources {
		if s := &f.sources[i]; s.isFresh(now) {
			maxReporting = max(maxReporting, s.plan.ReportingForwarders)
		}
	}
	return slices.IndexFunc(f.sources, func(s source) bool {
		return s.isFresh(now) && float64(s.plan.ReportingForwarders) >= minReportingRatio*float64(maxReporting)
	})
}

// maxNodes returns the largest number of forwarders in any fresh plan. With a smaller number each forwarder would claim too large a
// part of the shared limits.
func (f *Follower) maxNodes(now time.Duration, nodes int) int {
	for i := range f.sources {
		if s := &f.sources[i]; s.isFresh(now) {
			nodes = max(nodes, s.plan.Nodes)
		}
	}
	return nodes
}
