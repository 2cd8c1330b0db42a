package peer

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"fernvane/internal/cluster/replicastore"
	"fernvane/internal/cluster/replication"
	"fernvane/internal/journal/wal"
)

// readStream reads the chunks of a stream that this node stores: those in the replica store and, for an incarnation of
// this node, those in its own journal.
func (n *Node) readStream(s replication.Stream, each func(wal.Chunk) error) (report wal.ScanReport, err error) {
	n.mu.Lock()
	journal := n.journal
	n.mu.Unlock()
	if s.Name == n.name && journal != "" {
		report, err = replicastore.ReadDir(n.files, journal, uint64(s.Incarnation), each)
		if err != nil {
			return report, err
		}
	}
	stored, err := n.store.ReadStream(s, each)
	if errors.Is(err, os.ErrNotExist) {
		err = nil
	}
	report.Unreadable = append(report.Unreadable, stored.Unreadable...)
	report.Segments += stored.Segments
	report.Records += stored.Records
	report.Bytes += stored.Bytes
	return report, err
}

// loadReplicas waits for StartJournal and then loads the stored streams from disk. Until it has finished, the node
// replies to no offers and admits no batches.
func (n *Node) loadReplicas(ctx context.Context) {
	select {
	case <-n.journalConfigured:
	case <-ctx.Done():
		return
	}
	began := time.Now()
	streams, err := n.store.Streams()
	if err != nil {
		n.log.Error().Err(err).Msg("replica folder not read")
	}
	records := 0
	for _, s := range streams {
		records += n.loadStream(ctx, s)
	}
	n.loadOwnJournal(ctx)
	n.replyToEarlyOffers()
	n.log.Info().Int("streams", len(streams)).Int("records", records).Dur("took", time.Since(began)).Msg("replicas loaded")
}

// loadStream loads one stored stream and returns the number of its records.
func (n *Node) loadStream(ctx context.Context, s replication.Stream) (records int) {
	report, err := n.store.ReadStream(s, func(c wal.Chunk) error {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		n.recordChunkFound(s, c, int64(len(c.Frames)))
		return nil
	})
	for _, u := range report.Unreadable {
		n.log.Warn().Str("file", u.Path).Int64("offset", u.Offset).Int64("bytes", u.Bytes).Bool("torn", u.IsTorn).Msg("replica damaged")
	}
	if err != nil && ctx.Err() == nil {
		n.log.Error().Err(err).Stringer("stream", s).Msg("replica not read")
	}
	return report.Records
}

// loadOwnJournal loads the records that earlier incarnations of this node left in its journal. They do not count toward
// the bytes of the stored replicas. If reading fails, the records before the failure are loaded and nothing is logged:
// the proxy's scan at startup reports the error.
func (n *Node) loadOwnJournal(ctx context.Context) {
	n.mu.Lock()
	journal := n.journal
	running := n.table.Self().Incarnation
	n.mu.Unlock()
	if journal == "" {
		return
	}
	replicastore.ReadDir(n.files, journal, 0, func(c wal.Chunk) error {
		incarnation := int64(c.Incarnation)
		if incarnation >= running || ctx.Err() != nil {
			return ctx.Err()
		}
		n.recordChunkFound(replication.Stream{Name: n.name, Incarnation: incarnation}, c, 0)
		return nil
	})
}

// recordChunkFound adds a chunk that was found on disk to the replica table. It locks mu.
func (n *Node) recordChunkFound(s replication.Stream, c wal.Chunk, bytes int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replicas.RecordsStored(s, c.First, c.First+uint64(c.Count), bytes, c.AtUnixNano)
}

// replyToEarlyOffers marks the replicas as loaded and replies to the offers received before that. It locks mu.
func (n *Node) replyToEarlyOffers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isLoaded = true
	for _, e := range n.earlyOffers {
		now := n.now()
		n.send(now, n.replicas.HandleOffer(now, e.from, e.offer))
	}
	n.earlyOffers = nil
}

// verify re-reads all stored records. Damaged records are removed from the table, and the nodes that can send them
// again are notified.
func (n *Node) verify(ctx context.Context) (damage []string) {
	damage = n.verifyOwnJournal(ctx)
	n.mu.Lock()
	streams := n.replicas.Streams()
	n.mu.Unlock()
	for _, s := range streams {
		damage = append(damage, n.verifyStream(ctx, s)...)
	}
	return damage
}

func (n *Node) verifyStream(ctx context.Context, s replication.Stream) (damage []string) {
	n.mu.Lock()
	n.replicas.BeginVerification(s)
	n.mu.Unlock()
	found, report, err := n.findRecords(ctx, s)
	if err != nil {
		damage = append(damage, fmt.Sprintf("%s: %v", s, err))
	}
	for _, u := range report.Unreadable {
		damage = append(damage, u.String())
	}
	if err == nil {
		n.mu.Lock()
		n.send(n.now(), n.replicas.EndVerification(s, found))
		n.mu.Unlock()
	}
	return damage
}

// verifyOwnJournal re-reads the running incarnation's journal. Its holders send damaged records back, which are stored
// as a replica in addition to the journal. A torn end is not reported as damage, because its write may be in progress.
func (n *Node) verifyOwnJournal(ctx context.Context) (damage []string) {
	n.mu.Lock()
	origin := n.origin
	if origin == nil {
		n.mu.Unlock()
		return nil
	}
	s := origin.Stream()
	before := origin.StoredRanges()
	n.mu.Unlock()
	found, report, err := n.findRecords(ctx, s)
	if err != nil {
		return []string{fmt.Sprintf("%s: %v", s, err)}
	}
	for _, u := range report.Unreadable {
		if !u.IsTorn {
			damage = append(damage, u.String())
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if lost := before.Without(found); len(lost) > 0 {
		now := n.now()
		n.send(now, origin.RecordsLost(now, lost))
	}
	return damage
}

// findRecords reads a stream and returns its undamaged records.
func (n *Node) findRecords(ctx context.Context, s replication.Stream) (found replication.Ranges, report wal.ScanReport, err error) {
	report, err = n.readStream(s, func(c wal.Chunk) error {
		found = found.With(c.First, c.First+uint64(c.Count))
		return ctx.Err()
	})
	return found, report, err
}
