// Package plan decides, for one planner, what only the sum over all forwarders shows: which subset of the servers each
// forwarder uses and with which shares, how fast servers in slow start may be sent requests by all forwarders together, which
// servers are ejected or avoided, which share of the requests is admitted, and how much of each tenant's traffic is within its
// allowance.
//
// It is a state machine without I/O. The owner of a Planner, package planner, calls EndpointsUpdated and ReportReceived as
// discovery and forwarders deliver them, and ComputePlans at a fixed interval. Between planner and forwarder only the
// difference of two plans travels: Diff makes it, Apply adds it to the plan held before. Package planfollower decides at the
// forwarder what of the plans takes effect.
//
// The same inputs at the same times give the same plans. A Planner is not safe for concurrent use: its owner holds a lock
// around every call. Times are durations since the owner's start, except where a field says that they are another clock's.
package plan
