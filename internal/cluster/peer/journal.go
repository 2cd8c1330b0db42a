package peer

import (
	"errors"
	"slices"
	"time"

	"fernvane/internal/cluster/replication"
)

// Errors of a record that is not committed.
var (
	// ErrQueueOverflow means that the record left the replication queue because too many records were uncommitted. Once
	// it is written to this node's disk, it is copied to holders from there.
	ErrQueueOverflow = errors.New("replication queue overflow: too many uncommitted records")
	// ErrStopped means that the node is shutting down.
	ErrStopped = errors.New("node is shutting down")
)

// permanentStall is the result of StalledFor when records cannot be committed at all.
const permanentStall = time.Hour

// Commit reports when a record is committed, which means durable on the disks of holders on the required number of other
// machines. The record's durability on this node's own disk is reported by wal.Commit.
type Commit struct {
	sequence uint64
	done     chan struct{}
	err      error
}

// Done returns a channel that is closed when the record is committed, or when its commit can no longer be reported.
func (c *Commit) Done() <-chan struct{} { return c.done }

// Err returns nil if the record is committed, otherwise ErrQueueOverflow, ErrReplaced or ErrStopped. It must be called
// after Done is closed.
func (c *Commit) Err() error { return c.err }

// StartJournal sets the folder of this incarnation's journal, "" for none, and whether the journal is replicated. It
// must be called once, after Join; until then the node stores nothing for other nodes.
func (n *Node) StartJournal(dir string, isReplicated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.journalConfigured:
	default:
		close(n.journalConfigured)
	}
	n.journal = dir
	if !isReplicated {
		return
	}
	now := n.now()
	stream := replication.Stream{Name: n.name, Incarnation: n.table.Self().Incarnation}
	n.origin = replication.NewOrigin(now, stream, n.candidate(), n.cfg.Replicas, n.cfg.SlowAfter.Std())
	n.appliedDigest = 0 // makes applyChanges pass the members to the origin
	n.applyChanges(now)
}

// ReplicateChunk queues a chunk of the journal for the holders before it is written locally (wal.Options.OnChunk). A
// chunk that is not awaited is sent with the next tick, together with others.
func (n *Node) ReplicateChunk(first uint64, count int, frames []byte, isAwaited bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	_, out := n.origin.Append(now, count, frames, isAwaited)
	n.send(now, out)
	n.resolveCommits()
}

// RecordsStored informs the origin that records of the journal are written locally, and synced if they are awaited
// (wal.Options.OnStored).
func (n *Node) RecordsStored(first uint64, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.origin.RecordsStored(first, first+uint64(count))
}

// CommitOf returns the Commit of the record with a number in the journal.
func (n *Node) CommitOf(sequence uint64) *Commit {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &Commit{sequence: sequence, done: make(chan struct{})}
	n.commits = append(n.commits, c)
	n.resolveCommits()
	return c
}

// StalledFor returns how long the oldest uncommitted record has waited, or how long too few holders have been in sync,
// whichever is longer. Without a replicated journal, or after the node was replaced, it returns permanentStall.
func (n *Node) StalledFor() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lifecycle.isReplaced || n.origin == nil {
		return permanentStall
	}
	return n.origin.StalledFor(n.now())
}

// resolveCommits closes the commits whose outcome is known. mu must be held.
func (n *Node) resolveCommits() {
	if len(n.commits) == 0 {
		return
	}
	committed := n.origin.Committed()
	firstQueued := n.origin.FirstQueued()
	n.commits = slices.DeleteFunc(n.commits, func(c *Commit) bool {
		switch {
		case c.sequence < committed:
		case c.sequence < firstQueued:
			c.err = ErrQueueOverflow
		case n.lifecycle.isReplaced:
			c.err = ErrReplaced
		case n.lifecycle.isLeaving:
			c.err = ErrStopped
		default:
			return false
		}
		close(c.done)
		return true
	})
}
