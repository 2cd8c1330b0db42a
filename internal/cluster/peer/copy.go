package peer

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"fernvane/internal/cluster/membership"
	"fernvane/internal/cluster/replication"
	"fernvane/internal/journal/wal"
)

const (
	maxUnackedBatches = 8 // per copy
	copyAckTimeout    = 2 * time.Second
	// copyBatchBytes is enough for about 300 records of usual length, so that the unacknowledged batches usually fit
	// into the holder's queue.
	copyBatchBytes = 64 << 10
)

// errCopyEnded ends a copy to a node that is disconnected, acknowledges too slowly, or no longer lacks records. A later
// copy sends the remaining records.
var errCopyEnded = errors.New("copy ended: receiver disconnected, acknowledging too slowly, or complete")

// startCopies starts a goroutine for each copy that this node should make and that is not running yet. mu must be held.
func (n *Node) startCopies(ctx context.Context, g *errgroup.Group, now time.Duration) {
	var tasks []replication.CopyTask
	if n.isLoaded {
		tasks = n.replicas.CopyTasks(now)
	}
	if n.origin != nil {
		for _, name := range n.origin.WantedConnections() {
			if len(n.origin.MissingAt(name)) > 0 {
				tasks = append(tasks, replication.CopyTask{Stream: n.origin.Stream(), To: name})
			}
		}
	}
	for _, task := range tasks {
		if n.copies[task] != nil || !n.connections.isOpen(task.To) {
			continue
		}
		unacked := make(chan struct{}, maxUnackedBatches)
		n.copies[task] = unacked
		g.Go(func() error {
			n.runCopy(ctx, task, unacked)
			return nil
		})
	}
}

// runCopy runs one copy. When it ends, complete or not, the number of records sent is logged.
func (n *Node) runCopy(ctx context.Context, task replication.CopyTask, unacked chan struct{}) {
	began := time.Now()
	c := &replicaCopy{node: n, task: task, unacked: unacked}
	err := c.run(ctx)
	n.mu.Lock()
	delete(n.copies, task)
	n.mu.Unlock()
	if c.records > 0 && ctx.Err() == nil {
		n.log.Info().Err(err).Stringer("stream", task.Stream).Str("to", task.To).Int("records", c.records).Dur("took", time.Since(began)).Msg("replica copy ended")
	}
}

// acknowledgeCopiedBatch releases the slot of an acknowledged batch of a copy. mu must be held.
func (n *Node) acknowledgeCopiedBatch(from string, ack *replication.Ack) {
	if unacked := n.copies[replication.CopyTask{Stream: ack.Stream, To: from}]; unacked != nil {
		select {
		case <-unacked:
		default:
		}
	}
}

// missingAt returns the records that a task's receiver lacks. mu must be held.
func (n *Node) missingAt(task replication.CopyTask) replication.Ranges {
	if n.isOwnStream(task.Stream) {
		return n.origin.MissingAt(task.To)
	}
	return n.replicas.MissingAt(task.Stream, task.To)
}

// isOwnStream reports whether a stream is that of this node's running incarnation. mu must be held.
func (n *Node) isOwnStream(s replication.Stream) bool {
	return n.origin != nil && s == n.origin.Stream()
}

// replicaCopy copies one stream from this node's disk to another node.
type replicaCopy struct {
	node        *Node
	task        replication.CopyTask
	isOwnStream bool
	unacked     chan struct{}      // contains one element per unacknowledged batch
	batch       *replication.Batch // collects consecutive chunks; nil if empty
	records     int                // number of records sent
}

// run sends the records that the receiver lacks, within the rate limit that all copies of this node share. Then it
// waits up to copyAckTimeout for the acknowledgements.
func (c *replicaCopy) run(ctx context.Context) error {
	n := c.node
	n.mu.Lock()
	c.isOwnStream = n.isOwnStream(c.task.Stream)
	n.mu.Unlock()
	_, err := n.readStream(c.task.Stream, func(chunk wal.Chunk) error { return c.add(ctx, chunk) })
	if err == nil {
		err = c.flush(ctx)
	}
	for deadline := time.Now().Add(copyAckTimeout); len(c.unacked) > 0 && time.Now().Before(deadline) && ctx.Err() == nil; {
		time.Sleep(tickInterval)
	}
	if errors.Is(err, errCopyEnded) {
		return nil
	}
	return err
}

// add appends a chunk to the batch if the receiver lacks any of its records. If the chunk does not fit, the batch is
// sent first.
func (c *replicaCopy) add(ctx context.Context, chunk wal.Chunk) error {
	n := c.node
	n.mu.Lock()
	missing := n.missingAt(c.task)
	isConnected := n.connections.isOpen(c.task.To)
	n.mu.Unlock()
	if len(missing) == 0 || !isConnected {
		return errCopyEnded
	}
	end := chunk.First + uint64(chunk.Count)
	present := replication.Ranges{{From: chunk.First, To: end}}.Without(missing)
	if present.Contains(chunk.First, end) {
		return nil
	}
	if !c.fits(chunk) {
		if err := c.flush(ctx); err != nil {
			return err
		}
	}
	if c.batch == nil {
		c.batch = &replication.Batch{Stream: c.task.Stream, First: chunk.First, FromOrigin: c.isOwnStream}
	}
	c.batch.Count += chunk.Count
	c.batch.Frames = append(c.batch.Frames, chunk.Frames...)
	return nil
}

// fits reports whether a chunk directly follows the batch's records and the batch stays within copyBatchBytes.
func (c *replicaCopy) fits(chunk wal.Chunk) bool {
	b := c.batch
	return b == nil || b.First+uint64(b.Count) == chunk.First && len(b.Frames)+len(chunk.Frames) <= copyBatchBytes
}

// flush sends the batch once the rate limit permits it and fewer than maxUnackedBatches are unacknowledged.
func (c *replicaCopy) flush(ctx context.Context) error {
	b := c.batch
	if b == nil {
		return nil
	}
	n := c.node
	if err := n.copyLimit.WaitN(ctx, len(b.Frames)); err != nil {
		return err
	}
	timer := time.NewTimer(copyAckTimeout)
	defer timer.Stop()
	select {
	case c.unacked <- struct{}{}:
	case <-timer.C:
		return errCopyEnded
	case <-ctx.Done():
		return ctx.Err()
	}
	c.records += b.Count
	n.mu.Lock()
	n.send(n.now(), []membership.Outgoing{{To: c.task.To, Message: b}})
	n.mu.Unlock()
	c.batch = nil
	return nil
}
