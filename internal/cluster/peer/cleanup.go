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

// cleanUp closes and removes stored replicas that are no longer needed, until the context ends.
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

// findExpired returns the streams that are removed, which no longer count, and of the others the first record that is
// still needed where that is not the stream's first. A stream with entries that are not reconciled is kept beyond its
// time.
func (n *Node) findExpired() (expired []replication.Stream, firstRecords map[replication.Stream]uint64) {
	n.mu.Lock()
	expired = n.replicas.ExpiredStreams(time.Now().UnixNano())
	n.mu.Unlock()
	// The lock is free while entries are read: records that are stored in an expired stream meanwhile go with it.
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

// expireOwnRecords notes which records of the running journal were removed because they were too old.
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

// firstChunk returns the first chunk of a segment, which has the incarnation of all its chunks.
func (n *Node) firstChunk(s wal.Segment) (first wal.Chunk, ok bool) {
	errFound := errors.New("the first chunk is found")
	_, err := wal.ScanChunks(n.files, s, func(c wal.Chunk) error {
		first = c
		return errFound
	})
	return first, errors.Is(err, errFound)
}
