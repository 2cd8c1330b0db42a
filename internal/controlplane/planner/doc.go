// Package planner runs one planner process: it follows discovery or a registry, receives the forwarders' reports, computes plans
// at an interval and sends each forwarder what has changed of its own. What is decided is in package plan; here are sockets and
// clocks. Process is the entry point.
//
// Server.mu guards the state, which the two goroutines of each connection (one receives reports, one sends plans), the computing
// goroutine, the one that logs counts and the one that follows discovery share.
package planner
