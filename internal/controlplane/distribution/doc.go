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
// Packages client (a node) and control (a control process) own them, deliver their inputs, and carry out what they return;
// package wire carries the messages and package disk keeps a store's entries. Nothing here is safe for concurrent use: the
// owner holds one lock around store, publisher, receivers and subscriber. Times are durations since the owner's start, except
// those named wall.
package distribution
