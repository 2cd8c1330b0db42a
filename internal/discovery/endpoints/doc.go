// Package endpoints keeps what a node or planner knows of upstream servers. It is free of I/O and of locks: the caller
// owns each value and passes the time in.
//
// A View merges what all sources announce (discovery, a registry, planners, the distribution, a cached list) into one
// Record per server. Package dispatch holds one under its lock.
//
// A Set turns the entries of a registry with ephemeral nodes, such as ZooKeeper, into announcements that a View can take
// over. A registry says less than discovery: an entry that disappears may mean a stopped server, a lost session or a
// fault of the registry. A Set also uses what attempts show about servers. Its rules:
//
//   - An entry that disappears takes its server out of use at once. If it comes back within a few seconds and the server
//     was alive all along, the server keeps its incarnation, and with it all that is known of it.
//   - A server that several attempts in a row cannot connect to is suspected: it is out of use until it responds or a
//     growing time has passed.
//   - If most entries disappear together, the registry is suspected and not the servers: the last list is retained.
//
// Package zookeeper drives a Set.
package endpoints
