// Package control runs a control process: a replica of all configuration that serves nodes and other control processes,
// follows its own upstreams, accepts writes and, if configured, writes the servers that discovery or a registry lists. Package
// distribution contains the protocol logic; this package adds sockets, the disk and clocks. Process is the entry point.
//
// The goroutines of a Server share its state under Server.mu: each connection has one that reads and one that writes, one
// goroutine publishes, one accepts connections, and each follower has one that manages the connection to an upstream. Further
// ones run periodic tasks and write the listed servers. The message queue of a connection has its own lock, which may be
// acquired while Server.mu is held, but not vice versa.
package control
