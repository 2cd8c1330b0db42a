// Package endpoints merges the endpoint lists that a node or planner receives about upstream servers. It performs no I/O
// and takes no locks: the caller owns each value and passes in the current time.
//
// A View merges the announcements of all sources (discovery, a registry, planners, the distribution, a cached list) into
// one Record per server. Package dispatch guards its View with a lock.
//
// A Set converts the entries of a registry with ephemeral nodes, such as ZooKeeper, into announcements that a View can
// apply. A registry conveys less than discovery: the removal of an entry may be due to a stopped server, an expired
// session or a fault of the registry. A Set therefore also evaluates the results of attempts. Its rules:
//
//   - When an entry is removed, its server is immediately taken out of use. If the entry is added again within a few
//     seconds and the server was alive throughout, the server keeps its incarnation and therefore its accumulated state.
//   - A server is suspected after several consecutive failed connection attempts. It is out of use until it responds or
//     until a timeout, which grows with each suspicion, has expired.
//   - If most entries are removed together, the registry is suspected instead of the servers, and the last list is retained.
//
// Package zookeeper drives a Set.
package endpoints
