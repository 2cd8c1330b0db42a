// Package membership decides which nodes of a cluster are alive, from what each hears of the others.
//
// Each node watches the few nodes before it on rings of hashed names, and is watched by the few after it, so
// the cost of watching does not grow with the cluster. A node that falls silent is asked about at its other watchers: if
// one of them hears it, the path between is cut and the node is alive; if none does, it is suspected before all members,
// may refute that itself, and is dead when it does not. What is known of members spreads by gossip. Incarnations of one
// name are ordered by their start times and cannot go back.
//
// The package does no I/O and has no clock. Package peer drives a Table: it reports connections (Connected,
// Disconnected) and messages (HandleMessage), calls Tick often, sends each Outgoing that these return, and keeps
// connections to the nodes that Watched and ReconnectCandidate name. Times are durations since a start that the caller
// chooses. A Table takes no locks; its caller does.
package membership
