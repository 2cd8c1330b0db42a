package peer

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"fernvane/internal/cluster/membership"
	"fernvane/internal/cluster/replication"
	"fernvane/internal/journal/wal"
)

const (
	idleTimeout         = 3 * time.Second        // of a connection, twelve heartbeats
	duplicateNameLinger = 500 * time.Millisecond // for another process with this node's name to read the notification
	maxEarlyOffers      = 1024
	// reasonDiskFailed is the RejectReason of an Ack for any failure to write a batch, including a full queue and a
	// closed store. The text is sent to other nodes, so it must not change.
	reasonDiskFailed = "the disk takes nothing"
)

var (
	errSelf          = errors.New("peer has no name or is this node itself")
	errDuplicateName = errors.New("peer is another incarnation of this node's name")
)

// serveNode reads and processes messages from a node until the connection is closed. It owns the connection's
// goroutines.
func (n *Node) serveNode(c *connection, remote membership.Member) error {
	defer c.close()
	if c.name == "" || c.name == n.name && remote.Incarnation == n.self().Incarnation {
		return errSelf
	}
	readerDone := make(chan struct{})
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer close(readerDone)
	defer close(c.pendingAcks)
	goroutines.Go(func() { c.writeQueued(readerDone) })
	goroutines.Go(func() { n.acknowledgeBatches(c) })
	if c.name == n.name {
		n.handleDuplicateName(c, remote)
		time.Sleep(duplicateNameLinger)
		return errDuplicateName
	}
	n.connected(c, remote)
	defer n.disconnected(c)
	for {
		kind, body, err := c.conn.Receive(time.Now().Add(idleTimeout))
		if err != nil {
			return err
		}
		message, err := decodeMessage(kind, body)
		if err != nil {
			return err
		}
		switch m := message.(type) {
		case *replication.Batch:
			if err := n.handleBatch(c, m); err != nil {
				return err
			}
		case *endpointList:
			n.handleEndpointList(m)
		case *endpointListQuery:
			n.handleEndpointListQuery(c)
		default:
			n.handleMessage(c, message)
		}
	}
}

// handleMessage passes a message to membership or replication. It locks mu.
func (n *Node) handleMessage(c *connection, message any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.table.RecordContact(now, c.name)
	switch m := message.(type) {
	case *replication.Offer:
		if n.isLoaded {
			n.send(now, n.replicas.HandleOffer(now, c.name, m))
		} else if len(n.earlyOffers) < maxEarlyOffers {
			n.earlyOffers = append(n.earlyOffers, earlyOffer{from: c.name, offer: m})
		}
	case *replication.Inventory:
		n.handleReplicationReply(now, c, m)
	case *replication.Ack:
		n.handleReplicationReply(now, c, m)
		n.acknowledgeCopiedBatch(c.name, m)
	case *membership.Update:
		n.updateIncarnation(c, m.Members)
		n.send(now, n.table.HandleMessage(now, c.name, m))
	default:
		n.send(now, n.table.HandleMessage(now, c.name, m))
	}
	n.applyChanges(now)
	if _, isUpdate := message.(*membership.Update); isUpdate {
		n.signalFirstUpdate()
	}
}

// handleReplicationReply passes an Inventory or an Ack to replication, unless it is outdated. mu must be held.
func (n *Node) handleReplicationReply(now time.Duration, c *connection, message any) {
	if n.isSuperseded(c) {
		return
	}
	if n.origin != nil {
		n.send(now, n.origin.HandleMessage(now, c.name, message))
	}
	n.replicas.HandleMessage(now, c.name, message)
}

// signalFirstUpdate unblocks Join. mu must be held.
func (n *Node) signalFirstUpdate() {
	select {
	case <-n.firstUpdate:
	default:
		close(n.firstUpdate)
	}
}

// pendingAck is a batch that is being written to disk.
type pendingAck struct {
	batch      *replication.Batch
	atUnixNano int64 // of its last chunk
	commit     *wal.Commit
	err        error // why it could not be queued for the disk
}

// handleBatch queues an admitted batch for the disk; acknowledgeBatches acknowledges it. It blocks, and so stops
// reading from the connection, while the disk queue is full or too many acknowledgements are pending. It returns an
// error if a batch is malformed or its records do not match its header; this closes the connection, and the sender
// re-sends the batch over the next one.
func (n *Node) handleBatch(c *connection, b *replication.Batch) error {
	chunk, records, err := wal.DecodeChunks(b.Frames)
	if err != nil {
		return err
	}
	if int64(chunk.Incarnation) != b.Incarnation || chunk.First != b.First || chunk.Count != b.Count || !streamNames.MatchString(b.Name) {
		return fmt.Errorf("batch header of stream %s does not match its records, or the name is invalid", b.Stream)
	}
	if !n.admitBatch(c, b, chunk.AtUnixNano) {
		return nil
	}
	ack := pendingAck{batch: b, atUnixNano: chunk.AtUnixNano}
	ack.commit, ack.err = n.store.Append(b.Stream, records)
	c.pendingAcks <- ack
	return nil
}

// admitBatch reports whether a batch is to be written, and replies to one that is not. Until the stored replicas are
// loaded it drops batches without a reply; senders re-send them later. It locks mu.
func (n *Node) admitBatch(c *connection, b *replication.Batch, atUnixNano int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.table.RecordContact(now, c.name)
	ok, out := n.replicas.AdmitBatch(c.name, b, atUnixNano, time.Now().UnixNano())
	if !n.isLoaded {
		return false
	}
	n.send(now, out)
	return ok
}

// acknowledgeBatches acknowledges batches in the order of their arrival, each when it is durable. It waits for the disk
// without a timeout.
func (n *Node) acknowledgeBatches(c *connection) {
	for pending := range c.pendingAcks {
		err := pending.err
		if err == nil {
			<-pending.commit.Done()
			err = pending.commit.Err()
		}
		b := pending.batch
		ack := &replication.Ack{Stream: b.Stream, First: b.First, Count: b.Count}
		if err != nil {
			ack.RejectReason = reasonDiskFailed
			n.log.Error().Err(err).Stringer("stream", b.Stream).Msg("replica not stored")
		} else {
			n.recordBatchStored(b, pending.atUnixNano)
		}
		c.queueMessage(ack)
	}
}

// recordBatchStored updates the replica table, and the origin if the batch restores its own records. It locks mu.
func (n *Node) recordBatchStored(b *replication.Batch, atUnixNano int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	end := b.First + uint64(b.Count)
	n.replicas.RecordsStored(b.Stream, b.First, end, int64(len(b.Frames)), atUnixNano)
	if n.origin != nil && b.Stream == n.origin.Stream() { // a holder sent back records that were damaged in the journal
		n.origin.RecordsStored(b.First, end)
	}
}
