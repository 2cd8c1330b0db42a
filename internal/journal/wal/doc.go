// Package wal keeps the journal of non-idempotent requests on disk, as a write-ahead log of intent records. A journal is
// a folder of segments. A segment is appended to only by the process that made it and never changed afterwards, so
// anyone may read the folder meanwhile. Each record is in a frame with its length and a checksum (frame.go). What
// cannot be read is skipped and reported, and costs no other record.
//
// A node's journal and the replicas of other nodes' journals (package replicastore) have the same form. In a journal that
// is replicated the records are numbered: they are in chunks, each after a header with the number of its first record
// (chunk.go), and Options.OnChunk hands each chunk on to the replicas.
//
// Open starts a Log, whose single writer goroutine owns the segment that is written. Log.Append queues records and waits
// for no disk; the Commit that it returns reports when they are durable. When a write fails the writer begins a new
// segment; when that fails too, the Log refuses records until the disk takes them again (recovery.go).
//
// Scan, ScanChunks and ListSegments read a folder without a Log.
package wal
