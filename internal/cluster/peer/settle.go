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

const settleSlack = 5 * time.Second // a hop that began so shortly before a list of dockets ends may still run

// settles has entries of machines that are gone settled by the servers' dockets, where the file names any: each stream by
// the one node that stands first of its holders, and by the next if that one dies.
func (p *Node) settles(ctx context.Context) error {
	if len(p.cfg.ExecutionRecords) == 0 {
		return nil
	}
	tick := time.NewTicker(max(p.cfg.ReconcileAfter.Std()/4, time.Second))
	defer tick.Stop()
	done := map[replication.Stream]uint64{} // with so many records nothing was left open
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		p.mu.Lock()
		var mine []replication.Stream
		for _, s := range p.keeper.Streams() {
			if p.ready && p.keeper.ShouldReconcile(p.now(), s, p.cfg.ReconcileAfter.Std()) && done[s] != p.keeper.Ranges(s).Count() {
				mine = append(mine, s)
			}
		}
		p.mu.Unlock()
		var all map[string]*intent.ExecutionRecord // read when the first entry is open
		for _, s := range mine {
			open, err := p.open(s)
			if err != nil {
				p.log.Error().Err(err).Stringer("stream", s).Msg("not settled")
				continue
			}
			if len(open) > 0 && all == nil {
				all = map[string]*intent.ExecutionRecord{}
				for _, from := range p.cfg.ExecutionRecords {
					if err := execution.Load(from, all); err != nil {
						p.log.Warn().Err(err).Str("from", from).Msg("dockets not read")
					}
				}
			}
			var records []intent.Record
			left := 0
			for _, e := range open {
				found := intent.Reconcile(e, all, int64(settleSlack), time.Now().UnixNano())
				if records = append(records, found...); len(found) == 0 {
					left++
				}
			}
			if err := p.settled(s, records); err != nil {
				p.log.Error().Err(err).Stringer("stream", s).Msg("not settled")
				continue
			}
			if len(records) > 0 {
				p.log.Info().Stringer("stream", s).Int("hops", len(records)).Int("open", left).Msg("entries of a machine that is gone are settled")
			}
			if left == 0 {
				p.mu.Lock()
				done[s] = p.keeper.Ranges(s).Count()
				p.mu.Unlock()
			}
		}
	}
}

// open are the entries of a stream that may have run, by all that this node has of it and of who settled it before.
func (p *Node) open(s replication.Stream) (open []*intent.Entry, err error) {
	p.mu.Lock()
	dirs := []string{p.store.StreamDir(s)}
	for _, x := range p.keeper.ReconciliationStreams(s) {
		dirs = append(dirs, p.store.StreamDir(x))
	}
	if s.Name == p.name && p.journal != "" {
		dirs = append(dirs, p.journal)
	}
	p.mu.Unlock()
	union := intent.NewMerger()
	for _, dir := range dirs {
		r, err := wal.Scan(p.files, dir, time.Time{}, func(r *intent.Record) error {
			if int64(r.Incarnation) == s.Incarnation {
				union.Add(r)
			}
			return nil
		}, nil)
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, err
		}
		union.HasDamage = union.HasDamage || r.CorruptCount() > 0
	}
	for _, e := range union.Incomplete() {
		if e.State() == intent.PossiblySent {
			open = append(open, e)
		}
	}
	return open, nil
}

// settled keeps what settles entries of a stream, in a stream of its own beside it, which is copied like any other.
func (p *Node) settled(s replication.Stream, records []intent.Record) error {
	for len(records) > 0 {
		part := records[:min(len(records), wal.MaxChunkRecords)]
		records = records[len(part):]
		p.mu.Lock()
		mine := p.keeper.ReconciliationStream(s)
		first := uint64(1)
		if have := p.keeper.Ranges(mine); len(have) > 0 {
			first = have[len(have)-1].To
		}
		p.mu.Unlock()
		now := time.Now().UnixNano()
		mark := intent.Record{Kind: intent.ChunkHeader, Incarnation: uint64(s.Incarnation), AtUnixNano: now, From: int64(first), Count: len(part)}
		w, err := p.store.Append(mine, append([]intent.Record{mark}, part...))
		if err != nil {
			return err
		}
		if <-w.Done(); w.Err() != nil {
			return w.Err()
		}
		p.mu.Lock()
		p.keeper.RecordsStored(mine, first, first+uint64(len(part)), int64(64*len(part)), now)
		p.mu.Unlock()
	}
	return nil
}
