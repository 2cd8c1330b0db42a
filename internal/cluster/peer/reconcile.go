package peer

import (
	"context"
	"errors"
	"os"
	"time"

	"fernvane/internal/cluster/replication"
	"fernvane/internal/journal/execution"
	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
)

const (
	reconcileSlack       = 5 * time.Second // an attempt that began within it before an execution record ends may still run
	minReconcileInterval = time.Second
	reconciledBytes      = 64 // approximate size of one record on disk
)

// reconcile resolves open entries in the journals of lost machines from the servers' execution records, if any are
// configured. The first of a stream's desired holders reconciles it, and the next one if the first is lost too. It
// returns when the context is canceled.
func (n *Node) reconcile(ctx context.Context) error {
	if len(n.cfg.ExecutionRecords) == 0 {
		return nil
	}
	ticker := time.NewTicker(max(n.cfg.ReconcileAfter.Std()/4, minReconcileInterval))
	defer ticker.Stop()
	reconciledCounts := map[replication.Stream]uint64{} // number of a stream's records when reconcileStream last left none undecided
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		executions := executionLoader{node: n}
		for _, s := range n.streamsToReconcile(reconciledCounts) {
			undecided, err := n.reconcileStream(s, &executions)
			if err != nil {
				n.log.Error().Err(err).Stringer("stream", s).Msg("journal not reconciled")
				continue
			}
			if undecided == 0 {
				n.mu.Lock()
				reconciledCounts[s] = n.replicas.Ranges(s).Count()
				n.mu.Unlock()
			}
		}
	}
}

// streamsToReconcile returns the streams that this node should reconcile and that have new records since they were last
// fully reconciled. It locks mu.
func (n *Node) streamsToReconcile(reconciledCounts map[replication.Stream]uint64) (streams []replication.Stream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isLoaded {
		return nil
	}
	for _, s := range n.replicas.Streams() {
		if n.replicas.ShouldReconcile(n.now(), s, n.cfg.ReconcileAfter.Std()) && reconciledCounts[s] != n.replicas.Ranges(s).Count() {
			streams = append(streams, s)
		}
	}
	return streams
}

// reconcileStream stores reconciliations of a stream's open entries from the execution records. It returns the number
// of open entries without any decided attempt. An entry with some decided attempts does not count, even if others are
// open.
func (n *Node) reconcileStream(s replication.Stream, executions *executionLoader) (undecided int, err error) {
	open, err := n.openEntries(s)
	if err != nil {
		return 0, err
	}
	if len(open) > 0 {
		executions.load()
	}
	var records []intent.Record
	for _, e := range open {
		reconciled := intent.Reconcile(e, executions.records, int64(reconcileSlack), time.Now().UnixNano())
		if len(reconciled) == 0 {
			undecided++
		}
		records = append(records, reconciled...)
	}
	if err := n.storeReconciled(s, records); err != nil {
		return 0, err
	}
	if len(records) > 0 {
		n.log.Info().Stringer("stream", s).Int("attempts", len(records)).Int("open", undecided).Msg("journal of lost machine reconciled")
	}
	return undecided, nil
}

// executionLoader loads the execution records when the first open entry requires them, once per round of reconcile. A
// source that is not readable to its end is logged and skipped.
type executionLoader struct {
	node    *Node
	records intent.ExecutionRecords
}

func (l *executionLoader) load() {
	if l.records != nil {
		return
	}
	l.records = intent.ExecutionRecords{}
	for _, source := range l.node.cfg.ExecutionRecords {
		if err := execution.Load(source, l.records); err != nil {
			l.node.log.Warn().Err(err).Str("source", source).Msg("execution record not read")
		}
	}
}

// openEntries returns the entries of a stream that may have run, according to all records of the stream and of its
// reconciliations that this node stores.
func (n *Node) openEntries(s replication.Stream) (open []*intent.Entry, err error) {
	merger := intent.NewMerger()
	for _, dir := range n.streamDirs(s) {
		report, err := wal.Scan(n.files, dir, time.Time{}, func(r *intent.Record) error {
			if int64(r.Incarnation) == s.Incarnation {
				merger.Add(r)
			}
			return nil
		}, nil)
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, err
		}
		merger.HasDamage = merger.HasDamage || report.CorruptCount() > 0
	}
	for _, e := range merger.Incomplete() {
		if e.State() == intent.PossiblySent {
			open = append(open, e)
		}
	}
	return open, nil
}

// streamDirs returns the folders that may contain records of a stream or of its reconciliations. It locks mu.
func (n *Node) streamDirs(s replication.Stream) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	dirs := []string{n.store.StreamDir(s)}
	for _, r := range n.replicas.ReconciliationStreams(s) {
		dirs = append(dirs, n.store.StreamDir(r))
	}
	if s.Name == n.name && n.journal != "" {
		dirs = append(dirs, n.journal)
	}
	return dirs
}

// storeReconciled stores records that reconcile a stream in a separate reconciliation stream, which is replicated like
// any other.
func (n *Node) storeReconciled(s replication.Stream, records []intent.Record) error {
	for len(records) > 0 {
		count := min(len(records), wal.MaxChunkRecords)
		if err := n.storeReconciledChunk(s, records[:count]); err != nil {
			return err
		}
		records = records[count:]
	}
	return nil
}

// storeReconciledChunk stores records as one chunk. A command can read them from disk shortly before Status lists them.
func (n *Node) storeReconciledChunk(s replication.Stream, records []intent.Record) error {
	n.mu.Lock()
	reconciliation := n.replicas.ReconciliationStream(s)
	first := uint64(1)
	if stored := n.replicas.Ranges(reconciliation); len(stored) > 0 {
		first = stored[len(stored)-1].To
	}
	n.mu.Unlock()
	now := time.Now().UnixNano()
	header := intent.Record{
		Kind:        intent.ChunkHeader,
		Incarnation: uint64(s.Incarnation),
		AtUnixNano:  now,
		From:        int64(first),
		Count:       len(records),
	}
	commit, err := n.store.Append(reconciliation, append([]intent.Record{header}, records...))
	if err != nil {
		return err
	}
	<-commit.Done()
	if err := commit.Err(); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replicas.RecordsStored(reconciliation, first, first+uint64(len(records)), int64(reconciledBytes*len(records)), now)
	return nil
}
