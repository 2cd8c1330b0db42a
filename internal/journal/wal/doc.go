// Package wal stores the journal of non-idempotent requests on disk, as a write-ahead log of intent records. A journal is
// a directory of segments. Only the process that created a segment appends to it, and no segment is changed afterwards, so
// other processes may read the directory at any time. Each record is stored in a frame with its length and a checksum
// (frame.go). A damaged range is skipped and reported; the records after it are still read.
//
// A node's journal and the replicas of other nodes' journals (package replicastore) have the same format. In a replicated
// journal the records are numbered: they are grouped into chunks, each with a header that contains the sequence number of
// its first record (chunk.go), and Options.OnChunk passes each chunk to the replicas.
//
// Open starts a Log, whose single writer goroutine owns the active segment. Log.Append queues records without waiting for
// the disk; the returned Commit reports when they are durable. When a write fails, the writer creates a new segment and
// retries; when the retry fails too, the Log rejects records until the disk is writable again (recovery.go).
//
// Open neither replays nor truncates the segments of earlier processes: it creates a new segment after them. An unfinished
// write at the end of an earlier segment stays there, and readers report it as a torn end. What an earlier process did is
// determined by reading its segments and passing the records to package intent.
//
// Scan, ScanChunks and ListSegments read a directory without a Log.
package wal
