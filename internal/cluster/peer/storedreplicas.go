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

// readStream reads the chunks of a stream that are here: those stored for others, and for an incarnation of this node
// those in its own journal.
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

// loadReplicas finds out what is on disk once it is known which folder the journal is in. Until it is done no offer is
// answered and no batch is taken.
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
	n.answerEarlyOffers()
	n.log.Info().Int("streams", len(streams)).Int("records", records).Dur("took", time.Since(began)).Msg("replicas loaded")
}

// loadStream returns how many records of a stream are stored.
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

// loadOwnJournal notes what earlier incarnations of this node have left in its journal. The journal's bytes do not count
// as those of replicas. A journal that cannot be read to its end is noted up to there, without a log line: the scan that
// the proxy makes at its start reports it.
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

// noteChunkFound locks mu.
func (n *Node) recordChunkFound(s replication.Stream, c wal.Chunk, bytes int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replicas.RecordsStored(s, c.First, c.First+uint64(c.Count), bytes, c.AtUnixNano)
}

// answerEarlyOffers locks mu.
func (n *Node) answerEarlyOffers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isLoaded = true
	for _, e := range n.earlyOffers {
		now := n.now()
		n.send(now, n.replicas.HandleOffer(now, e.from, e.offer))
	}
	n.earlyOffers = nil
}

// verify reads all that is stored again. What is damaged no longer counts, and the nodes that copy it again are notified.
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

// verifyOwnJournal reads the running incarnation's journal again. What is damaged comes back from its holders, and is
// stored beside it. A torn end is no damage: its write may be under way.
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

// findRecords reads a stream and returns which records are undamaged.
func (n *Node) findRecords(ctx context.Context, s replication.Stream) (found replication.Ranges, report wal.ScanReport, err error) {
	report, err = n.readStream(s, func(c wal.Chunk) error {
		found = found.With(c.First, c.First+uint64(c.Count))
		return ctx.Err()
	})
	return found, report, err
}
