// Package distribution implements the replication of configuration from control processes to nodes: servers, routes, tenants
// and pools are stored as keyed entries with monotonically increasing versions.
//
// It contains three state machines, which perform no I/O and read no clock:
//
//   - Store contains the winning entry of each key. Merging is a join, which is commutative, associative and idempotent, so
//     messages may be reordered, duplicated or relayed. A version vector records which writes a store covers.
//   - Publisher selects the entries that each subscriber of a store lacks, and schedules them within budgets in bytes per
//     second. Receiver is the subscriber's end of one subscription.
//   - Subscriber selects the upstream to follow, and determines when the process may serve from its stored configuration.
//
// By default a subscriber receives a delta sync: the entries that its vector does not cover. A service receives a full sync
// if the vector cannot identify the missing entries: the service is new to the subscriber, deletions were pruned, entries were
// removed without a deletion, or digests differ. In a full sync the sender sends all entries of the service; at the next
// complete batch the receiver removes the entries that were not sent and that the sender covers. In the code, a full sync is
// called a reset at the sender and a transfer at the receiver. A resync starts a full sync. A repair is a full sync after
// a digest mismatch, in which a control process retains its other entries. Delta syncs and full syncs use the catch-up lane;
// changes made during a sync use the fresh lane.
//
// Packages client (a node) and control (a control process) own the state machines, deliver their inputs and perform the
// actions that they return. Package wire encodes the messages, and package disk stores the entries. The types are not safe for
// concurrent use: the owner guards store, publisher, receivers and subscriber with one lock. Times are durations since the
// owner's start, except those named wall.
package distribution
