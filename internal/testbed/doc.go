// Package testbed runs a scenario with real node processes on loopback sockets. Stand-ins replace everything around the
// nodes: servers, discovery or a registry, the links to planners and between nodes, the connection balancer and clients.
//
// The command cmd/testbed calls Run with a scenario and its schedule (package load) and receives an Outcome: the results
// of the clients' requests, the verdicts of the audit (package audit) and the resource usage of the processes. Bench
// compares requests through one node with direct requests. Distribution measures how long changes take to reach nodes
// through control processes. Package scale runs large fleets.
//
// An environment owns everything that one run starts. Faults are applied one at a time under its lock. Stand-ins
// synchronize their own state, and the observer reports their events to the audit. Each run reserves its own network of
// the loopback range, so several runs can share one machine.
package testbed
