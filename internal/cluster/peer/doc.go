// Package peer runs a node's part in its cluster: connections to the other nodes, who of them is alive, and the replicas
// of their journals. Who is alive is decided by package membership, who holds what by package replication; this package
// has the sockets, the disk (package replicastore) and the clock.
//
// The proxy makes a Node, calls Run in a goroutine of its own, then Join before it starts its journal and StartJournal
// with the journal's folder. In a replicated journal the wal.Log hands each chunk to ReplicateChunk, and the proxy waits
// for the Commit that CommitOf returns before it sends an attempt. At shutdown it calls Leave and ends Run's context.
//
// The state of a Node is under its one lock, which is never held over a socket or the disk. A connection's queue has a lock
// of its own, which is taken within that of the Node and never the other way round. The goroutines are: one that
// ticks, one that accepts, one for each configured address, three for each connection (one reads and hands in messages,
// one writes what is queued, one acknowledges batches when they are durable), one for each copy of a replica, and one each
// for loading, cleanup and reconciliation.
//
// Commands that ask for the state of the nodes use Query, which returns a Client.
package peer
