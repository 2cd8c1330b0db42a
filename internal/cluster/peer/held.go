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
func (p *Peers) read(s replication.Stream, each func(wal.Part) error) (report wal.Report, err error) {
	p.mu.Lock()
	journal := p.journal
	p.mu.Unlock()
	if s.Name == p.name && journal != "" {
		report, err = replicastore.ReadDir(p.files, journal, uint64(s.Up), each)
		if err != nil {
			return report, err
		}
	}
	held, err := p.store.Read(s, each)
	if errors.Is(err, os.ErrNotExist) {
		err = nil
	}
	report.Faults = append(report.Faults, held.Faults...)
	report.Segments, report.Records, report.Bytes = report.Segments+held.Segments, report.Records+held.Records, report.Bytes+held.Bytes
	return report, err
}

// scan finds out what is held on disk. Until then no offer is answered.
func (p *Peers) scan(ctx context.Context) {
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
		report, err := p.store.Read(s, func(part wal.Part) error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.keeper.Found(s, part.First, part.First+uint64(part.N), int64(len(part.Body)), part.At)
			return nil
		})
		records += report.Records
		for _, f := range report.Faults {
			p.log.Warn().Str("file", f.Path).Int64("offset", f.Offset).Int64("bytes", f.Bytes).Bool("torn", f.Torn).Msg("replica damaged")
		}
		if err != nil && ctx.Err() == nil {
			p.log.Error().Err(err).Stringer("stream", s).Msg("replica not read")
		}
	}
	p.mu.Lock()
	journal, up := p.journal, p.table.Self().Up
	p.mu.Unlock()
	if journal != "" {
		own := map[int64]bool{}
		replicastore.ReadDir(p.files, journal, 0, func(part wal.Part) error {
			if int64(part.Run) >= up || ctx.Err() != nil {
				return ctx.Err()
			}
			own[int64(part.Run)] = true
			p.mu.Lock()
			defer p.mu.Unlock()
			p.keeper.Found(replication.Stream{Name: p.name, Up: int64(part.Run)}, part.First, part.First+uint64(part.N), 0, part.At)
			return nil
		})
	}
	p.mu.Lock()
	p.ready = true
	for _, e := range p.early {
		p.send(p.now(), p.keeper.Offered(p.now(), e.from, e.offer))
	}
	p.early = nil
	p.mu.Unlock()
	p.log.Info().Int("streams", len(streams)).Int("records", records).Dur("took", time.Since(began)).Msg("what is held is read")
}

// own reads the running life's journal again. What is damaged of it comes back from its holders, beside it.
func (p *Peers) own(ctx context.Context) (faults []string) {
	p.mu.Lock()
	o := p.origin
	if o == nil {
		p.mu.Unlock()
		return nil
	}
	s, had := o.Stream(), o.Ranges()
	p.mu.Unlock()
	var found replication.Ranges
	report, err := p.read(s, func(part wal.Part) error {
		found = found.With(part.First, part.First+uint64(part.N))
		return ctx.Err()
	})
	if err != nil {
		return []string{fmt.Sprintf("%s: %v", s, err)}
	}
	for _, f := range report.Faults {
		if !f.Torn { // its end may be under way
			faults = append(faults, f.String())
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if lost := had.Without(found); len(lost) > 0 {
		p.send(p.now(), o.Lost(p.now(), lost))
	}
	return faults
}

// verify reads all that is held again. What is damaged no longer counts, and who would copy it anew is told.
func (p *Peers) verify(ctx context.Context) (faults []string) {
	faults = p.own(ctx)
	p.mu.Lock()
	streams := p.keeper.Streams()
	p.mu.Unlock()
	for _, s := range streams {
		p.mu.Lock()
		p.keeper.Read(s)
		p.mu.Unlock()
		var found replication.Ranges
		report, err := p.read(s, func(part wal.Part) error {
			found = found.With(part.First, part.First+uint64(part.N))
			return ctx.Err()
		})
		if err != nil {
			faults = append(faults, fmt.Sprintf("%s: %v", s, err))
		}
		for _, f := range report.Faults {
			faults = append(faults, f.String())
		}
		p.mu.Lock()
		if err == nil {
			p.send(p.now(), p.keeper.Reread(s, found))
		}
		p.mu.Unlock()
	}
	return faults
}

// copies starts what is to be copied to others now, each beside the serving.
func (p *Peers) copies(ctx context.Context, g *errgroup.Group, now time.Duration) {
	var jobs []replication.Job
	if p.ready {
		jobs = p.keeper.Jobs(now)
	}
	if p.origin != nil {
		for _, name := range p.origin.Wanted() {
			if len(p.origin.Lacks(name)) > 0 {
				jobs = append(jobs, replication.Job{Stream: p.origin.Stream(), To: name})
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
func (p *Peers) lacks(j replication.Job) replication.Ranges {
	if p.origin != nil && j.Stream == p.origin.Stream() {
		return p.origin.Lacks(j.To)
	}
	return p.keeper.Lacks(j.Stream, j.To)
}

// copying is one stream on its way from this node's disk to another node.
type copying struct {
	p       *Peers
	job     replication.Job
	live    bool               // it is this life's own stream
	onWay   chan struct{}      // holds one for each batch that is not acknowledged
	batch   *replication.Batch // parts one behind the other go together
	records int                // sent so far
}

// copy sends from disk what a node lacks of a stream, at the rate that all copying of this node keeps to.
func (p *Peers) copy(ctx context.Context, j replication.Job, onWay chan struct{}) (records int, err error) {
	c := &copying{p: p, job: j, onWay: onWay}
	p.mu.Lock()
	c.live = p.origin != nil && j.Stream == p.origin.Stream()
	p.mu.Unlock()
	_, err = p.read(j.Stream, func(part wal.Part) error { return c.add(ctx, part) })
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
func (c *copying) add(ctx context.Context, part wal.Part) error {
	c.p.mu.Lock()
	lacks, there := c.p.lacks(c.job), len(c.p.links[c.job.To]) > 0
	c.p.mu.Unlock()
	if len(lacks) == 0 || !there {
		return errLost
	}
	end := part.First + uint64(part.N)
	if (replication.Ranges{{From: part.First, To: end}}).Without(lacks).Has(part.First, end) { // it has that one
		return nil
	}
	if b := c.batch; b != nil && (b.First+uint64(b.N) != part.First || len(b.Body)+len(part.Body) > copyBytes) {
		if err := c.flush(ctx); err != nil {
			return err
		}
	}
	if c.batch == nil {
		c.batch = &replication.Batch{Stream: c.job.Stream, First: part.First, Origin: c.live}
	}
	c.batch.N, c.batch.Body = c.batch.N+part.N, append(c.batch.Body, part.Body...)
	return nil
}

// flush sends the batch, once the rate allows it and enough of those before are acknowledged.
func (c *copying) flush(ctx context.Context) error {
	b := c.batch
	if b == nil {
		return nil
	}
	if err := c.p.limit.WaitN(ctx, len(b.Body)); err != nil {
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
	c.records += b.N
	c.p.mu.Lock()
	c.p.send(c.p.now(), []membership.Out{{To: c.job.To, What: b}})
	c.p.mu.Unlock()
	c.batch = nil
	return nil
}

// tidy closes and removes what is no longer needed.
func (p *Peers) tidy(ctx context.Context) error {
	tick := time.NewTicker(tidyEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		p.store.Idle()
		p.mu.Lock()
		old := p.keeper.Old(time.Now().UnixNano())
		p.mu.Unlock()
		old = slices.DeleteFunc(old, func(s replication.Stream) bool { // what is open is kept beyond its time, until it is settled
			open, err := p.open(s)
			return err != nil || len(open) > 0
		})
		p.mu.Lock()
		for _, s := range old {
			p.keeper.Gone(s)
		}
		floors := map[replication.Stream]uint64{}
		for _, s := range p.keeper.Streams() {
			if f := p.keeper.Floor(s); f > 1 {
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
			if err := p.store.Trim(s, from); err != nil && !errors.Is(err, os.ErrNotExist) {
				p.log.Error().Err(err).Stringer("stream", s).Msg("replica not trimmed")
			}
		}
		p.forget()
	}
}

// forget notes what of the running journal has become too old here.
func (p *Peers) forget() {
	p.mu.Lock()
	o, dir := p.origin, p.journal
	p.mu.Unlock()
	if o == nil {
		return
	}
	segments, err := wal.Segments(p.files, dir)
	if err != nil || len(segments) == 0 {
		return
	}
	errFirst := errors.New("the first is found") // of each segment: it is one life's
	for _, s := range segments {
		first := wal.Part{}
		_, err := wal.Parts(p.files, s, func(part wal.Part) error {
			first = part
			return errFirst
		})
		if errors.Is(err, errFirst) && int64(first.Run) == o.Stream().Up {
			p.mu.Lock()
			o.Forgot(first.First)
			p.mu.Unlock()
			return
		}
	}
}
