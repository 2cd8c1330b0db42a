package wal

// Commit reports when a record that was appended is durable, or that it is not known to be durable: after a failed write
// or sync it may be on disk, even twice.
type Commit struct {
	done     chan struct{}
	err      error
	sequence uint64
}

// Done is closed when the record is durable, or when it is not known to be durable.
func (c *Commit) Done() <-chan struct{} { return c.done }

// Err is nil if the record is durable, and else why it is not known to be. It is called after Done is closed.
func (c *Commit) Err() error { return c.err }

// SequenceNumber is the record's number in the stream, 0 where records have none. It is called after Done is closed.
func (c *Commit) SequenceNumber() uint64 { return c.sequence }

// finish is called by the writer, once.
func (c *Commit) finish(err error) {
	c.err = err
	close(c.done)
}
