// Package audit checks after a run whether the nodes kept the rules.
//
// It judges by what clients, stand-in servers, discovery and the process manager of the nodes saw, never by what a node
// says of itself. The testbed's observer reports each event to an Audit, in any order between events of different
// requests, and reads Verdict and Seconds when the run is over.
//
// The package has no I/O, clock or lock: times are given since the start of the run, and the observer's lock guards the
// Audit. Nodes and servers are numbered from 0.
package audit
