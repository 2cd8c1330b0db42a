package peer

import (
	"context"
	"errors"
	"os"
	"slices"
	"time"

	"fernvane/internal/cluster/replication"
	"fernvane/internal/journal/wal"
)

const cleanupInterval = time.Minute

// cleanUp periodically closes idle streams and removes expired records, until the context is canceled.
func (n *Node) cleanUp(ctx context.Context) error {
	ticker := time.NewTicker(cleanupInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		n.store.CloseIdle()
		expired, firstRecords := n.findExpired()
		for _, s := range expired {
			if err := n.store.Remove(s); err != nil {
				n.log.Error().Err(err).Stringer("stream", s).Msg("replica not removed")
			}
		}
		for s, first := range firstRecords {
			if err := n.store.TrimBefore(s, first); err != nil && !errors.Is(err, os.ErrNotExist) {
				n.log.Error().Err(err).Stringer("stream", s).Msg("replica not trimmed")
			}
		}
		n.expireOwnRecords()
	}
}

// findExpired removes expired streams from the replica table and returns them. For each remaining stream that was
// trimmed it returns the first record that is still needed. A stream with unreconciled entries is retained beyond the
// retention.
func (n *Node) findExpired() (expired []replication.Stream, firstRecords map[replication.Stream]uint64) {
	n.mu.Lock()
	expired = n.replicas.ExpiredStreams(time.Now().UnixNano())
	n.mu.Unlock()
	// The lock is not held while entries are read. Records that are stored in an expired stream meanwhile are removed
	// with it.
	expired = slices.DeleteFunc(expired, func(s replication.Stream) bool {
		open, err := n.openEntries(s)
		return err != nil || len(open) > 0
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range expired {
		n.replicas.StreamRemoved(s)
	}
	firstRecords = map[replication.Stream]uint64{}
	for _, s := range n.replicas.Streams() {
		if first := n.replicas.FirstRecord(s); first > 1 {
			firstRecords[s] = first
		}
	}
	if n.origin != nil && n.journal != "" {
		delete(firstRecords, n.origin.Stream())
	}
	return expired, firstRecords
}

// expireOwnRecords informs the origin which records of the running journal were removed after the retention.
func (n *Node) expireOwnRecords() {
	n.mu.Lock()
	origin := n.origin
	journal := n.journal
	n.mu.Unlock()
	if origin == nil {
		return
	}
	segments, err := wal.ListSegments(n.files, journal)
	if err != nil {
		return
	}
	for _, s := range segments {
		chunk, ok := n.firstChunk(s)
		if ok && int64(chunk.Incarnation) == origin.Stream().Incarnation {
			n.mu.Lock()
			origin.RecordsExpired(chunk.First)
			n.mu.Unlock()
			return
		}
	}
}

// firstChunk returns the first chunk of a segment. All chunks of a segment have the same incarnation.
func (n *Node) firstChunk(s wal.Segment) (first wal.Chunk, ok bool) {
	errFound := errors.New("first chunk found")
	_, err := wal.ScanChunks(n.files, s, func(c wal.Chunk) error {
		first = c
		return errFound
	})
	return first, errors.Is(err, errFound)
}
