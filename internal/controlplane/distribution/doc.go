// Package distribution decides how configuration spreads from control processes to nodes: servers, routes, tenants and pools,
// as keyed entries in versions that only grow.
//
// It has three state machines, all free of I/O and of clocks:
//
//   - Store holds the winning entry of each key. Stores merge what they receive by a join, so that order, repetition and route
//     of messages don't matter. A version vector says which writes a store covers.
//   - Publisher decides, for the subscribers of one store, which entries each one lacks, and when they are sent, within budgets
//     of bytes per second. Receiver is the other end of one subscription.
//   - Subscriber decides which upstream is followed, and when a process may serve by what it holds.
//
// A subscriber normally gets a delta sync: the entries that its vector does not cover. A service gets a full sync where a
// vector does not say what is missing: it is new to the subscriber, deletions were pruned, entries were removed without a
// deletion, or digests differ. All its entries are sent, and at the next complete batch those that were not sent and that the
// sender covers end at the receiver. Reset and transfer name a full sync in code, at the sender and at the receiver; resync
// starts one, and repair is one after digests differed, in which a control process keeps what it holds beside. Both kinds go
// out in the catch-up lane; changes made meanwhile go out in the fresh lane.
//
// Packages client (a node) and control (a control process) own them, deliver their inputs, and carry out what they return;
// package wire carries the messages and package disk keeps a store's entries. Nothing here is safe for concurrent use: the
// owner holds one lock around store, publisher, receivers and subscriber. Times are durations since the owner's start, except
// those named wall.
package distribution
