// Package audit checks after a run whether the nodes complied with the rules.
//
// It uses only events observed by clients, stand-in servers, discovery and the process manager of the nodes, never reports
// of the nodes themselves. The testbed's observer reports each event to an Audit and reads Verdict and Seconds after the
// run. Events of different requests may be reported in any order.
//
// The package does no I/O, reads no clock and takes no lock: callers pass times relative to the start of the run, and the
// observer's lock guards the Audit. Nodes and servers are numbered from 0.
package audit
