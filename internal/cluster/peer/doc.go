// Package peer runs a node in its cluster: it connects to the other nodes, detects failed ones, and replicates
// journals. Package membership decides which nodes are alive and package replication where replicas are stored; this
// package provides the sockets, the disk (package replicastore) and the clock.
//
// The proxy creates a Node, calls Run in a separate goroutine, then Join before it opens its journal, and StartJournal
// with the journal's folder. If the journal is replicated, the wal.Log passes each chunk to ReplicateChunk, and the
// proxy waits for the Commit that CommitOf returns before it sends an attempt. At shutdown the proxy calls Leave and
// cancels Run's context.
//
// One lock guards the state of a Node. It is never held during socket or disk I/O. A connection's queue has a separate
// lock; if both are needed, the Node's lock is acquired first. A Node runs these goroutines: one ticks, one accepts
// connections, one per configured seed address connects, three per connection (one reads and processes messages, one
// writes queued messages, one acknowledges batches when they are durable), one per running replica copy, and one each
// for loading, cleanup and reconciliation.
//
// Commands query the state of the nodes with Query, which returns a Client.
package peer
