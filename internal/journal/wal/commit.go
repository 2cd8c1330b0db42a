package wal

// Commit reports when an appended record is durable, or that its write failed. Durable means that the record is written to
// the segment and, with Options.Fsync, synced. After a failed write or sync the record may still be on disk, even twice.
type Commit struct {
	done     chan struct{}
	err      error
	sequence uint64
}

// Done returns a channel that is closed when the record is durable or its write has failed.
func (c *Commit) Done() <-chan struct{} { return c.done }

// Err returns nil if the record is durable, and otherwise why its write failed. It must be called only after Done is
// closed.
func (c *Commit) Err() error { return c.err }

// SequenceNumber returns the record's number in the stream, or 0 if records are not numbered. It must be called only after
// Done is closed.
func (c *Commit) SequenceNumber() uint64 { return c.sequence }

// finish stores the result and closes done. The writer calls it once.
func (c *Commit) finish(err error) {
	c.err = err
	close(c.done)
}
