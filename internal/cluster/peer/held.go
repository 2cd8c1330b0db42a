package peer

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"fernvane/internal/cluster/membership"
	"fernvane/internal/cluster/replicastore"
	"fernvane/internal/cluster/replication"
	"fernvane/internal/journal/wal"
)

const (
	onWayMost = 8 // parts of one copying that are sent and not answered
	ackWait   = 2 * time.Second
	copyBytes = 64 << 10 // that go together: 300 bindings, so that those on their way fit the holder's queue
)

var errLost = errors.New("the node is gone, or has all")

// read reads the parts of a stream that stand here: those held, and for an earlier life of this node its own journal.
func (p *Node) read(s replication.Stream, each func(wal.Chunk) error) (report wal.ScanReport, err error) {
	p.mu.Lock()
	journal := p.journal
	p.mu.Unlock()
	if s.Name == p.name && journal != "" {
		report, err = replicastore.ReadDir(p.files, journal, uint64(s.Incarnation), each)
		if err != nil {
			return report, err
		}
	}
	held, err := p.store.ReadStream(s, each)
	if errors.Is(err, os.ErrNotExist) {
		err = nil
	}
	report.Unreadable = append(report.Unreadable, held.Unreadable...)
	report.Segments, report.Records, report.Bytes = report.Segments+held.Segments, report.Records+held.Records, report.Bytes+held.Bytes
	return report, err
}

// scan finds out what is held on disk. Until then no offer is answered.
func (p *Node) scan(ctx context.Context) {
	select {
	case <-p.begun:
	case <-ctx.Done():
		return
	}
	began := time.Now()
	streams, err := p.store.Streams()
	if err != nil {
		p.log.Error().Err(err).Msg("what is held cannot be read")
	}
	records := 0
	for _, s := range streams {
		report, err := p.store.ReadStream(s, func(part wal.Chunk) error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.keeper.RecordsStored(s, part.First, part.First+uint64(part.Count), int64(len(part.Frames)), part.AtUnixNano)
			return nil
		})
		records += report.Records
		for _, f := range report.Unreadable {
			p.log.Warn().Str("file", f.Path).Int64("offset", f.Offset).Int64("bytes", f.Bytes).Bool("torn", f.IsTorn).Msg("replica damaged")
		}
		if err != nil && ctx.Err() == nil {
			p.log.Error().Err(err).Stringer("stream", s).Msg("replica not read")
		}
	}
	p.mu.Lock()
	journal, up := p.journal, p.table.Self().Incarnation
	p.mu.Unlock()
	if journal != "" {
		own := map[int64]bool{}
		replicastore.ReadDir(p.files, journal, 0, func(part wal.Chunk) error {
			if int64(part.Incarnation) >= up || ctx.Err() != nil {
				return ctx.Err()
			}
			own[int64(part.Incarnation)] = true
			p.mu.Lock()
			defer p.mu.Unlock()
			p.keeper.RecordsStored(replication.Stream{Name: p.name, Incarnation: int64(part.Incarnation)}, part.First, part.First+uint64(part.Count), 0, part.AtUnixNano)
			return nil
		})
	}
	p.mu.Lock()
	p.ready = true
	for _, e := range p.early {
		p.send(p.now(), p.keeper.HandleOffer(p.now(), e.from, e.offer))
	}
	p.early = nil
	p.mu.Unlock()
	p.log.Info().Int("streams", len(streams)).Int("records", records).Dur("took", time.Since(began)).Msg("what is held is read")
}

// own reads the running life's journal again. What is damaged of it comes back from its holders, beside it.
func (p *Node) own(ctx context.Context) (faults []string) {
	p.mu.Lock()
	o := p.origin
	if o == nil {
		p.mu.Unlock()
		return nil
	}
	s, had := o.Stream(), o.StoredRanges()
	p.mu.Unlock()
	var found replication.Ranges
	report, err := p.read(s, func(part wal.Chunk) error {
		found = found.With(part.First, part.First+uint64(part.Count))
		return ctx.Err()
	})
	if err != nil {
		return []string{fmt.Sprintf("%s: %v", s, err)}
	}
	for _, f := range report.Unreadable {
		if !f.IsTorn { // its end may be under way
			faults = append(faults, f.String())
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if lost := had.Without(found); len(lost) > 0 {
		p.send(p.now(), o.RecordsLost(p.now(), lost))
	}
	return faults
}

// verify reads all that is held again. What is damaged no longer counts, and who would copy it anew is told.
func (p *Node) verify(ctx context.Context) (faults []string) {
	faults = p.own(ctx)
	p.mu.Lock()
	streams := p.keeper.Streams()
	p.mu.Unlock()
	for _, s := range streams {
		p.mu.Lock()
		p.keeper.BeginVerification(s)
		p.mu.Unlock()
		var found replication.Ranges
		report, err := p.read(s, func(part wal.Chunk) error {
			found = found.With(part.First, part.First+uint64(part.Count))
			return ctx.Err()
		})
		if err != nil {
			faults = append(faults, fmt.Sprintf("%s: %v", s, err))
		}
		for _, f := range report.Unreadable {
			faults = append(faults, f.String())
		}
		p.mu.Lock()
		if err == nil {
			p.send(p.now(), p.keeper.EndVerification(s, found))
		}
		p.mu.Unlock()
	}
	return faults
}

// copies starts what is to be copied to others now, each beside the serving.
func (p *Node) copies(ctx context.Context, g *errgroup.Group, now time.Duration) {
	var jobs []replication.CopyJob
	if p.ready {
		jobs = p.keeper.CopyJobs(now)
	}
	if p.origin != nil {
		for _, name := range p.origin.WantedConnections() {
			if len(p.origin.MissingAt(name)) > 0 {
				jobs = append(jobs, replication.CopyJob{Stream: p.origin.Stream(), To: name})
			}
		}
	}
	for _, j := range jobs {
		if p.jobs[j] != nil || len(p.links[j.To]) == 0 {
			continue
		}
		onWay := make(chan struct{}, onWayMost)
		p.jobs[j] = onWay
		g.Go(func() error {
			began := time.Now()
			n, err := p.copy(ctx, j, onWay)
			p.mu.Lock()
			delete(p.jobs, j)
			p.mu.Unlock()
			if n > 0 && ctx.Err() == nil {
				p.log.Info().Err(err).Stringer("stream", j.Stream).Str("to", j.To).Int("records", n).Dur("took", time.Since(began)).Msg("replica copied")
			}
			return nil
		})
	}
}

// lacks is what a job's receiver does not have.
func (p *Node) lacks(j replication.CopyJob) replication.Ranges {
	if p.origin != nil && j.Stream == p.origin.Stream() {
		return p.origin.MissingAt(j.To)
	}
	return p.keeper.MissingAt(j.Stream, j.To)
}

// copying is one stream on its way from this node's disk to another node.
type copying struct {
	p       *Node
	job     replication.CopyJob
	live    bool               // it is this life's own stream
	onWay   chan struct{}      // holds one for each batch that is not acknowledged
	batch   *replication.Batch // parts one behind the other go together
	records int                // sent so far
}

// copy sends from disk what a node lacks of a stream, at the rate that all copying of this node keeps to.
func (p *Node) copy(ctx context.Context, j replication.CopyJob, onWay chan struct{}) (records int, err error) {
	c := &copying{p: p, job: j, onWay: onWay}
	p.mu.Lock()
	c.live = p.origin != nil && j.Stream == p.origin.Stream()
	p.mu.Unlock()
	_, err = p.read(j.Stream, func(part wal.Chunk) error { return c.add(ctx, part) })
	if err == nil {
		err = c.flush(ctx)
	}
	for by := time.Now().Add(ackWait); len(onWay) > 0 && time.Now().Before(by) && ctx.Err() == nil; {
		time.Sleep(tickEvery)
	}
	if errors.Is(err, errLost) {
		err = nil
	}
	return c.records, err
}

// add takes a part into the batch, if the other node lacks it, after sending the batch where the part doesn't fit it.
func (c *copying) add(ctx context.Context, part wal.Chunk) error {
	c.p.mu.Lock()
	lacks, there := c.p.lacks(c.job), len(c.p.links[c.job.To]) > 0
	c.p.mu.Unlock()
	if len(lacks) == 0 || !there {
		return errLost
	}
	end := part.First + uint64(part.Count)
	if (replication.Ranges{{From: part.First, To: end}}).Without(lacks).Contains(part.First, end) { // it has that one
		return nil
	}
	if b := c.batch; b != nil && (b.First+uint64(b.Count) != part.First || len(b.Frames)+len(part.Frames) > copyBytes) {
		if err := c.flush(ctx); err != nil {
			return err
		}
	}
	if c.batch == nil {
		c.batch = &replication.Batch{Stream: c.job.Stream, First: part.First, FromOrigin: c.live}
	}
	c.batch.Count, c.batch.Frames = c.batch.Count+part.Count, append(c.batch.Frames, part.Frames...)
	return nil
}

// flush sends the batch, once the rate allows it and enough of those before are acknowledged.
func (c *copying) flush(ctx context.Context) error {
	b := c.batch
	if b == nil {
		return nil
	}
	if err := c.p.limit.WaitN(ctx, len(b.Frames)); err != nil {
		return err
	}
	wait := time.NewTimer(ackWait)
	defer wait.Stop()
	select {
	case c.onWay <- struct{}{}:
	case <-wait.C:
		return errLost
	case <-ctx.Done():
		return ctx.Err()
	}
	c.records += b.Count
	c.p.mu.Lock()
	c.p.send(c.p.now(), []membership.Outgoing{{To: c.job.To, Message: b}})
	c.p.mu.Unlock()
	c.batch = nil
	return nil
}

// tidy closes and removes what is no longer needed.
func (p *Node) tidy(ctx context.Context) error {
	tick := time.NewTicker(tidyEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		p.store.CloseIdle()
		p.mu.Lock()
		old := p.keeper.ExpiredStreams(time.Now().UnixNano())
		p.mu.Unlock()
		old = slices.DeleteFunc(old, func(s replication.Stream) bool { // what is open is kept beyond its time, until it is settled
			open, err := p.open(s)
			return err != nil || len(open) > 0
		})
		p.mu.Lock()
		for _, s := range old {
			p.keeper.StreamRemoved(s)
		}
		floors := map[replication.Stream]uint64{}
		for _, s := range p.keeper.Streams() {
			if f := p.keeper.FirstRecord(s); f > 1 {
				floors[s] = f
			}
		}
		if p.origin != nil && p.journal != "" {
			delete(floors, p.origin.Stream())
		}
		p.mu.Unlock()
		for _, s := range old {
			if err := p.store.Remove(s); err != nil {
				p.log.Error().Err(err).Stringer("stream", s).Msg("replica not removed")
			}
		}
		for s, from := range floors {
			if err := p.store.TrimBefore(s, from); err != nil && !errors.Is(err, os.ErrNotExist) {
				p.log.Error().Err(err).Stringer("stream", s).Msg("replica not trimmed")
			}
		}
		p.forget()
	}
}

// forget notes what of the running journal has become too old here.
func (p *Node) forget() {
	p.mu.Lock()
	o, dir := p.origin, p.journal
	p.mu.Unlock()
	if o == nil {
		return
	}
	segments, err := wal.ListSegments(p.files, dir)
	if err != nil || len(segments) == 0 {
		return
	}
	errFirst := errors.New("the first is found") // of each segment: it is one life's
	for _, s := range segments {
		first := wal.Chunk{}
		_, err := wal.ScanChunks(p.files, s, func(part wal.Chunk) error {
			first = part
			return errFirst
		})
		if errors.Is(err, errFirst) && int64(first.Incarnation) == o.Stream().Incarnation {
			p.mu.Lock()
			o.RecordsExpired(first.First)
			p.mu.Unlock()
			return
		}
	}
}
