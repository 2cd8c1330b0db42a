// Package control runs one control process: a replica of all configuration, which serves nodes and other control processes,
// follows its own upstreams, accepts writes and, if its file says so, writes the servers that discovery or a registry lists.
// What is decided is in package distribution; here are sockets, the disk and clocks. Process is the entry point.
//
// A Server's state is shared by its goroutines under Server.mu: one per connection reads and one writes, one publishes, one
// per follower leads the connection to an upstream. A connection's queue of messages has a lock of its own, which may be taken
// under Server.mu but not the other way round.
package control
