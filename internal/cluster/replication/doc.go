// Package replication decides where copies of a node's journal stand, and when a record counts as committed.
//
// What one incarnation of a node writes to its journal is a Stream of numbered records. Its Origin sends each record to
// a few holders on other machines, in order and without waiting, and a record is committed when enough holders have
// acknowledged that it is durable there. A holder that is silent, slow or full is replaced by the next candidate at
// once; what the new one lacks is copied to it from disk, beside the serving. What a node holds of other nodes' streams,
// and of its own earlier incarnations, is its ReplicaTable: it admits batches, and when the origin of a stream is gone
// it sees to it that there are enough copies again.
//
// The package does no I/O and has no clock. Package peer drives an Origin and a ReplicaTable: it writes and reads
// records (package replicastore), reports what is durable (RecordsStored), hands in connections, members and messages,
// calls Tick, and sends each Outgoing that these return. Times are durations since a start that the caller chooses.
// Neither type takes locks; their caller does.
//
// (A second copy of a request is a hedged request; it has nothing to do with this package.)
package replication
