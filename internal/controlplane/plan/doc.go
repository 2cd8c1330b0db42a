// Package plan computes the plans that one planner sends to its forwarders. A plan contains the decisions that need the load
// summed over all forwarders: the subset of servers that each forwarder uses and their shares, the request rates of servers in
// slow start, the ejected and avoided servers, the share of requests to admit, and the share of each tenant's traffic that is
// within its allowance.
//
// The package is a state machine without I/O. Package planner owns a Planner. It calls EndpointsUpdated and ReportReceived when
// discovery and forwarders deliver data, and ComputePlans at a fixed interval. A planner sends a forwarder only the difference
// between two consecutive plans: Diff computes the difference, and Apply adds it to the forwarder's previous plan. Package
// planfollower selects the plan that takes effect at a forwarder.
//
// A Planner is deterministic: the same inputs at the same times give the same plans. It is not safe for concurrent use; the
// owner holds a lock around every call. Times are durations since the owner's start unless a field's comment names another clock.
package plan
