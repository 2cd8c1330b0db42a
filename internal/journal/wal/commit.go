package wal

// Commit tells when a record that was appended lasts, or that it never will.
type Commit struct {
	done     chan struct{}
	err      error
	sequence uint64
}

// Done is closed when the record lasts, or never will.
func (c *Commit) Done() <-chan struct{} { return c.done }

// Err is nil if the record lasts, and else why it does not. It is called after Done is closed.
func (c *Commit) Err() error { return c.err }

// SequenceNumber is the record's number in the stream, 0 where records have none. It is called after Done is closed.
func (c *Commit) SequenceNumber() uint64 { return c.sequence }

// finish is called by the writer, once.
func (c *Commit) finish(err error) {
	c.err = err
	close(c.done)
}
