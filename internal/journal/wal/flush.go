package wal

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"time"

	"fernvane/internal/journal/intent"
)

// part is a run of numbered records that are handed on as one.
type part struct {
	first uint64
	n     int
	from  int // in the frames, in bytes
	to    int // behind the last, likewise
}

// write takes what has been queued, all at once, and makes it last; so one sync serves all that came during the last one.
func (l *Log) write() {
	defer close(l.done)
	for range l.more {
		l.flush()
	}
	l.flush()
	if l.file != nil {
		l.file.Close()
	}
}

func (l *Log) flush() {
	l.mu.Lock()
	batch := l.queue
	l.queue = nil
	if l.lost > 0 && len(batch) > 0 {
		gap := pending{record: intent.Record{Kind: intent.Gap, Incarnation: l.o.Incarnation, AtUnixNano: time.Now().UnixNano(), From: l.lostAt.UnixNano(), Count: l.lost}}
		batch = append([]pending{gap}, batch...)
		l.lost = 0
	}
	l.busy = time.Now()
	l.mu.Unlock()
	err := l.batch(batch)
	if err != nil { // a segment that has failed once is not trusted again: its end may be anywhere
		if l.file != nil {
			l.file.Close()
			l.file = nil
		}
		if err = l.next(); err == nil {
			err = l.batch(batch)
		}
	}
	l.mu.Lock()
	l.wrote = time.Now()
	l.took, l.busy = l.wrote.Sub(l.busy), time.Time{}
	l.mu.Unlock()
	for _, p := range batch {
		if p.wait != nil {
			p.wait.err = err
			close(p.wait.done)
		}
	}
	if err != nil {
		l.fail(err, len(batch))
	}
}

// fail has the journal refuse what comes, until a new segment can be made.
func (l *Log) fail(err error, lost int) {
	l.mu.Lock()
	l.failing = err
	l.lose(lost)
	l.mu.Unlock()
	l.note(err)
	for {
		time.Sleep(cmp.Or(l.o.RetryInterval, againEvery))
		l.mu.Lock()
		closed := l.closed
		waiting := l.queue // that came before the fault was known
		l.queue = nil
		l.lose(len(waiting))
		l.mu.Unlock()
		for _, p := range waiting {
			if p.wait != nil {
				p.wait.err = err
				close(p.wait.done)
			}
		}
		if l.file != nil {
			l.file.Close()
			l.file = nil
		}
		if closed {
			return
		}
		if l.next() != nil {
			continue
		}
		l.mu.Lock()
		gap := intent.Record{Kind: intent.Gap, Incarnation: l.o.Incarnation, AtUnixNano: time.Now().UnixNano(), From: l.lostAt.UnixNano(), Count: l.lost}
		l.mu.Unlock()
		again := []pending{{record: gap, wait: &Commit{}}}
		if l.o.OmitGaps || l.batch(again) == nil {
			l.mu.Lock()
			l.failing, l.lost = nil, 0
			l.mu.Unlock()
			l.note(nil)
			return
		}
	}
}

func (l *Log) note(err error) {
	if l.o.OnHealthChange != nil {
		l.o.OnHealthChange(err)
	}
}

// batch writes records and, where someone waits for one, makes them last.
func (l *Log) batch(batch []pending) (err error) {
	if len(batch) == 0 {
		return nil
	}
	if l.file == nil {
		return os.ErrClosed
	}
	waited := false
	for i := range batch {
		waited = waited || batch[i].wait != nil
	}
	if err := l.frame(batch); err != nil {
		return err
	}
	if l.size > 0 && l.size+int64(len(l.frames)) > l.o.MaxSegmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	n, err := l.file.Write(l.frames)
	l.size += int64(n)
	if err != nil {
		return err
	}
	if n < len(l.frames) {
		return fmt.Errorf("%d of %d bytes were written", n, len(l.frames))
	}
	if waited && l.o.Fsync {
		if err := l.file.Sync(); err != nil {
			return err
		}
	}
	for _, p := range l.parts {
		l.o.OnStored(p.first, p.n)
	}
	return nil
}

// frame puts a batch into frames. Numbered records get their numbers once and are handed on with them; what is written
// anew after a fault keeps them.
func (l *Log) frame(batch []pending) (err error) {
	l.frames, l.parts = l.frames[:0], l.parts[:0]
	if l.o.OnChunk == nil {
		for i := range batch {
			if l.frames, err = appendFrame(l.frames, &batch[i].record); err != nil {
				return err
			}
		}
		return nil
	}
	for len(batch) > 0 {
		these := batch[:min(len(batch), MaxChunkRecords)]
		batch = batch[len(these):]
		fresh := these[0].seq == 0
		if fresh {
			these[0].at = time.Now().UnixNano()
		}
		waited := false
		for i := range these {
			waited = waited || these[i].wait != nil
			if fresh {
				l.seq++
				these[i].seq = l.seq
			}
			if w := these[i].wait; w != nil {
				w.seq = these[i].seq
			}
		}
		p := part{first: these[0].seq, n: len(these), from: len(l.frames)}
		mark := intent.Record{Kind: intent.ChunkHeader, Incarnation: l.o.Incarnation, AtUnixNano: these[0].at, From: int64(p.first), Count: p.n}
		if l.frames, err = appendFrame(l.frames, &mark); err != nil {
			return err
		}
		for i := range these {
			if l.frames, err = appendFrame(l.frames, &these[i].record); err != nil {
				return err
			}
		}
		p.to = len(l.frames)
		l.parts = append(l.parts, p)
		if fresh {
			l.o.OnChunk(p.first, p.n, bytes.Clone(l.frames[p.from:p.to]), waited)
		}
	}
	return nil
}
