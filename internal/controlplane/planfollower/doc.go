// Package planfollower runs at each forwarder. It selects the planner whose plan takes effect, moves the shares gradually from one
// plan to the next, phases out a stale plan while no fresh plan arrives, and reports when the forwarder must poll discovery.
//
// The package is a state machine without I/O. The planner connections in package proxy own a Follower. They call PlanReceived for
// each plan and Advance at a fixed interval, and apply the result of Advance. A Follower is not safe for concurrent use; the owner
// holds a lock around every call. Times are durations since the owner's start.
package planfollower
