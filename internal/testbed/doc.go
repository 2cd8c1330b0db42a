// Package testbed runs a scenario with real node processes on loopback sockets against stand-ins for all that surrounds
// them: servers, discovery or a registry, planners' links, the links between nodes, the connection balancer and clients.
//
// The command cmd/testbed calls Run with a scenario and its schedule (package load) and gets an Outcome: what clients
// met, what the audit (package audit) found and what the processes used. Bench compares one node with direct requests;
// Distribution measures how changes reach nodes through control processes. Package scale holds the runs of large
// fleets.
//
// An environment owns all that one run starts. Faults are applied one at a time under its lock; stand-ins guard their
// own state; the observer gathers what they see for the audit. Each run takes a network of the loopback range of its
// own, so that several can run on one machine.
package testbed
