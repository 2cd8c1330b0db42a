// Package replication decides which nodes store replicas of a node's journal, and when a record is committed.
//
// The records that one incarnation of a node writes to its journal form a Stream and are numbered. The stream's Origin
// sends each record to several replica holders on other machines, in order and pipelined. A record is committed when
// the required number of holders have acknowledged that it is durable on their disks. The origin immediately replaces a
// holder that is silent, slow or full by the next candidate; records that the new holder lacks are copied to it from
// disk in the background. A node's ReplicaTable tracks the streams that it stores for other nodes and for its own
// earlier incarnations. It admits batches, and when the origin of a stream is lost it restores the required number of
// copies.
//
// The package does no I/O and reads no clock. Package peer drives an Origin and a ReplicaTable: it writes and reads
// records (package replicastore), reports durable records (RecordsStored), passes in connections, members and messages,
// calls Tick, and sends each Outgoing that these return. Times are durations since an epoch that the caller chooses.
// Neither type takes locks; their caller serializes all calls.
//
// Hedged requests, which are second copies of a client's request, are unrelated to this package.
package replication
