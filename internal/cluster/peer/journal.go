package peer

import (
	"errors"
	"slices"
	"time"

	"fernvane/internal/cluster/replication"
)

// Why a record is not committed.
var (
	// ErrQueueOverflow says that too many records wait for holders. The record is on this node's disk, and is copied
	// to holders from there.
	ErrQueueOverflow = errors.New("too many records wait for holders")
	// ErrStopped says that the node shuts down.
	ErrStopped = errors.New("the node stops")
)

// replacedStall is what StalledFor returns when records cannot be committed at all.
const replacedStall = time.Hour

// Commit reports when a record is committed: it is durable at enough other nodes.
type Commit struct {
	sequence uint64
	done     chan struct{}
	err      error
}

// Done is closed when the record is committed, or when it is known that this is not going to be reported.
func (c *Commit) Done() <-chan struct{} { return c.done }

// Err is nil if the record is committed, or else ErrQueueOverflow, ErrReplaced or ErrStopped. It is called after Done is
// closed.
func (c *Commit) Err() error { return c.err }

// StartJournal says which folder this incarnation's journal is in, "" for none, and whether it is replicated. It is
// called once, after Join; until then nothing is stored for other nodes.
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
	n.appliedDigest = 0 // has afterChange give the members to the origin
	n.applyChanges(now)
}

// ReplicateChunk takes in a chunk of the journal before it is written here (wal.Options.OnChunk). A chunk that nobody
// waits for goes out with others.
func (n *Node) ReplicateChunk(first uint64, count int, frames []byte, isAwaited bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	_, out := n.origin.Append(now, count, frames, isAwaited)
	n.send(now, out)
	n.resolveCommits()
}

// RecordsStored is called when records of the journal are written here, and synced if someone waits for them
// (wal.Options.OnStored).
func (n *Node) RecordsStored(first uint64, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.origin.RecordsStored(first, first+uint64(count))
}

// CommitOf returns the Commit of a record, by its number in the journal.
func (n *Node) CommitOf(sequence uint64) *Commit {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &Commit{sequence: sequence, done: make(chan struct{})}
	n.commits = append(n.commits, c)
	n.resolveCommits()
	return c
}

// StalledFor is how long records have waited for holders, or how long there have been too few.
func (n *Node) StalledFor() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lifecycle.isReplaced || n.origin == nil {
		return replacedStall
	}
	return n.origin.StalledFor(n.now())
}

// finishCommits ends the commits that are decided. mu is held.
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
