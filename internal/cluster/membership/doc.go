// Package membership implements SWIM-like failure detection: it decides which nodes of a cluster are alive.
//
// Each node watches its predecessors on several hash rings of node names, and its successors watch it, so the cost of
// watching does not grow with the cluster. When a watched node is silent, its watcher queries the node's other
// watchers. If one of them still receives messages from the node, only the path between the two nodes is cut and the
// node is alive. If none does, the watcher marks the node as suspected and gossips the suspicion to all members. The
// node may refute it; otherwise it is declared dead. Member states are disseminated by gossip. Incarnations of one name
// are ordered by their start times and never go back.
//
// The package does no I/O and reads no clock. Package peer drives a Table: it reports connections (Connected,
// Disconnected) and messages (HandleMessage), calls Tick several times per HeartbeatInterval, sends each Outgoing that
// these return, and maintains connections to the nodes that Watched and ReconnectCandidate return. Times are durations
// since an epoch that the caller chooses. A Table takes no locks; its caller serializes all calls.
package membership
