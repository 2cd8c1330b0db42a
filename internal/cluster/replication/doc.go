// Package replication decides which nodes store replicas of a node's journal, and when a record is committed.
//
// The records that one incarnation of a node writes to its journal form a Stream and are numbered. The stream's Origin
// sends each record to several replica holders on other machines, in order and pipelined. A record is committed when
// holders on the required number of machines have acknowledged that it is durable on their disks; the origin's own disk
// does not count. The origin replaces a holder by the next candidate as soon as the holder is disconnected, rejects
// records, has not replied to an offer within offerTimeout, or has not acknowledged a record within the origin's ack
// timeout. Records that the new holder lacks are copied to it from disk in the background. A node's ReplicaTable tracks the streams that it stores for
// other nodes and for its own earlier incarnations. It admits batches. When the origin of a stream is lost, it restores
// the required number of copies and one more in place of the origin's.
//
// The package does no I/O and reads no clock. Package peer drives an Origin and a ReplicaTable: it writes and reads
// records (package replicastore), reports durable records (RecordsStored), passes in connections, members and messages,
// calls Tick, and sends each Outgoing that these return. Times are durations since an epoch that the caller chooses.
// Neither type takes locks; their caller serializes all calls.
//
// Hedged requests, which are second copies of a client's request, are unrelated to this package.
package replication
