// Package planfollower decides, at one forwarder, which planner's plan takes effect, how its shares move from one plan to the
// next, how a stale plan is phased out when no fresh one arrives, and when the forwarder polls discovery itself.
//
// It is a state machine without I/O. Its owner, the node's planner connections in package proxy, calls PlanReceived for each
// plan and Advance at a fixed interval, and applies what Advance returns. A Follower is not safe for concurrent use: its owner
// holds a lock around every call. Times are durations since the owner's start.
package planfollower
