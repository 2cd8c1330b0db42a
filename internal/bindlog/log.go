package bindlog

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"fernvane/internal/bindings"
)

const (
	queueMost  = 8192                   // records that wait to be written
	againEvery = 500 * time.Millisecond // between two tries to go on after a fault
	lately     = time.Second            // in which a slow write tells of the next one
	numberTry  = 100                    // numbers taken by other processes before it is a fault
	// PartMost is how many numbered records are handed on as one: 250 kB.
	PartMost = 1024
)

// Why a record is not kept.
var (
	ErrFull    = errors.New("too many records wait for the disk")
	ErrFailing = errors.New("the disk takes no records")
	ErrClosed  = errors.New("the journal is closed")
)

// Options of a journal that is written.
type Options struct {
	Dir          string
	Files        Files
	Machine      bool // a record lasts past the machine's death (fsync), not only past the process's
	SegmentBytes int64
	KeepFor      time.Duration
	KeepBytes    int64
	Run          uint64
	Again        time.Duration // between two tries to go on after a fault; 0: half a second
	// NoGaps leaves out what was not kept: whoever brought it is told, and brings it again.
	NoGaps bool
	// Copy has records numbered and handed on, in frames as they are written, before they are; Stored then tells that they
	// last. What nobody waits for may be handed on a little later. Without it records have no numbers. Both are called by the journal's writer and must wait for nothing.
	Copy   func(first uint64, n int, frames []byte, waited bool)
	Stored func(first uint64, n int)
	// Note is told when the journal begins to fail, and with nil when it goes on.
	Note func(error)
}

// Log is a journal that is written. Appending waits for no disk.
type Log struct {
	o Options

	mu      sync.Mutex
	queue   []pending
	more    chan struct{}
	failing error
	closed  bool
	busy    time.Time // since when a write has been under way; zero: none
	wrote   time.Time // when the last one was over
	took    time.Duration
	lost    int // records that were not kept
	lostAt  time.Time
	done    chan struct{}

	// The writer's own.
	file   File
	size   int64
	number uint64
	frames []byte
	seq    uint64 // of the last record of the stream
	parts  []part // of the batch, where records are numbered
}

type pending struct {
	record bindings.Record
	wait   *Wait
	seq    uint64 // 0: it has no number yet
	at     int64  // when its part was written first, Unix time in ns; of the first of a part
}

// part is a run of numbered records that are handed on as one.
type part struct {
	first    uint64
	n        int
	from, to int // in the frames
}

// Wait is for a record to last.
type Wait struct {
	done chan struct{}
	err  error
	seq  uint64
}

// Number is the record's own in the stream, once Done is closed; 0 where records have none.
func (w *Wait) Number() uint64 { return w.seq }

// Done is closed when the record lasts, or never will.
func (w *Wait) Done() <-chan struct{} { return w.done }

// Err tells which, once Done is closed.
func (w *Wait) Err() error { return w.err }

// Open starts a segment of its own behind those that are there; nothing that is there is touched, so others may read or
// even write beside it.
func Open(o Options) (*Log, error) {
	l := &Log{o: o, more: make(chan struct{}, 1), done: make(chan struct{})}
	if err := l.next(); err != nil {
		return nil, err
	}
	go l.write()
	return l, nil
}

// Append queues records, in order. With wait, the last of them can be waited for; without, nobody minds if they are lost
// with the process.
func (l *Log) Append(wait bool, records ...bindings.Record) (*Wait, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var err error
	switch {
	case l.closed:
		err = ErrClosed
	case l.failing != nil:
		err = fmt.Errorf("%w: %w", ErrFailing, l.failing)
	case len(l.queue)+len(records) > queueMost:
		err = ErrFull
	}
	if err != nil {
		l.lose(len(records))
		return nil, err
	}
	var w *Wait
	if wait {
		w = &Wait{done: make(chan struct{})}
	}
	for i, r := range records {
		p := pending{record: r}
		if i == len(records)-1 {
			p.wait = w
		}
		l.queue = append(l.queue, p)
	}
	select {
	case l.more <- struct{}{}:
	default:
	}
	return w, nil
}

// Stalled tells for how long the write that is under way has been so, or how long the last one took, if that was lately:
// a disk that was slow a moment ago is not trusted with the next ones all at once.
func (l *Log) Stalled() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	took := time.Duration(0)
	if time.Since(l.wrote) < lately {
		took = l.took
	}
	if l.busy.IsZero() {
		return took
	}
	return max(took, time.Since(l.busy))
}

// Failing is why nothing is kept now, nil where it is.
func (l *Log) Failing() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failing
}

// Missed counts an operation that went on without the journal; a Gap tells of it when the disk takes records again.
func (l *Log) Missed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose(1)
}

func (l *Log) lose(n int) {
	if l.o.NoGaps {
		return
	}
	if l.lost == 0 {
		l.lostAt = time.Now()
	}
	l.lost += n
}

// Close writes what is queued and ends.
func (l *Log) Close() {
	l.mu.Lock()
	already := l.closed
	l.closed = true
	l.mu.Unlock()
	if !already {
		close(l.more)
	}
	<-l.done
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
		gap := pending{record: bindings.Record{Kind: bindings.Gap, Run: l.o.Run, At: time.Now().UnixNano(), From: l.lostAt.UnixNano(), N: l.lost}}
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
		time.Sleep(cmp.Or(l.o.Again, againEvery))
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
		gap := bindings.Record{Kind: bindings.Gap, Run: l.o.Run, At: time.Now().UnixNano(), From: l.lostAt.UnixNano(), N: l.lost}
		l.mu.Unlock()
		again := []pending{{record: gap, wait: &Wait{}}}
		if l.o.NoGaps || l.batch(again) == nil {
			l.mu.Lock()
			l.failing, l.lost = nil, 0
			l.mu.Unlock()
			l.note(nil)
			return
		}
	}
}

func (l *Log) note(err error) {
	if l.o.Note != nil {
		l.o.Note(err)
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
	if l.size > 0 && l.size+int64(len(l.frames)) > l.o.SegmentBytes {
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
	if waited && l.o.Machine {
		if err := l.file.Sync(); err != nil {
			return err
		}
	}
	for _, p := range l.parts {
		l.o.Stored(p.first, p.n)
	}
	return nil
}

// frame puts a batch into frames. Numbered records get their numbers once and are handed on with them; what is written
// anew after a fault keeps them.
func (l *Log) frame(batch []pending) (err error) {
	l.frames, l.parts = l.frames[:0], l.parts[:0]
	if l.o.Copy == nil {
		for i := range batch {
			if l.frames, err = appendFrame(l.frames, &batch[i].record); err != nil {
				return err
			}
		}
		return nil
	}
	for len(batch) > 0 {
		these := batch[:min(len(batch), PartMost)]
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
		mark := bindings.Record{Kind: bindings.Numbered, Run: l.o.Run, At: these[0].at, From: int64(p.first), N: p.n}
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
			l.o.Copy(p.first, p.n, bytes.Clone(l.frames[p.from:p.to]), waited)
		}
	}
	return nil
}

func (l *Log) rotate() error {
	if l.o.Machine {
		if err := l.file.Sync(); err != nil {
			return err
		}
	}
	err := l.file.Close()
	if l.file = nil; err != nil {
		return err
	}
	if err := l.next(); err != nil {
		return err
	}
	l.retain()
	return nil
}

// next makes a segment with the next free number.
func (l *Log) next() error {
	segments, err := Segments(l.o.Files, l.o.Dir)
	if err != nil {
		return err
	}
	if n := len(segments); n > 0 {
		l.number = max(l.number, segments[n-1].Number)
	}
	for range numberTry {
		l.number++
		f, err := l.o.Files.Create(filepath.Join(l.o.Dir, name(l.number)))
		if errors.Is(err, os.ErrExist) {
			continue // another process's
		}
		if err != nil {
			return err
		}
		if l.o.Machine {
			if err := l.o.Files.SyncDir(l.o.Dir); err != nil {
				f.Close()
				return err
			}
		}
		l.file, l.size = f, 0
		return nil
	}
	return fmt.Errorf("%s: no number is free", l.o.Dir)
}

// retain removes segments that are too old or too many, the oldest first, never the one that is written.
func (l *Log) retain() {
	segments, err := Segments(l.o.Files, l.o.Dir)
	if err != nil {
		return
	}
	all := int64(0)
	for _, s := range segments {
		all += s.Size
	}
	for _, s := range segments {
		tooOld := l.o.KeepFor > 0 && time.Since(s.Changed) > l.o.KeepFor
		if s.Number >= l.number || !tooOld && (l.o.KeepBytes <= 0 || all <= l.o.KeepBytes) {
			return
		}
		if l.o.Files.Remove(s.Path) != nil {
			return
		}
		all -= s.Size
	}
}
