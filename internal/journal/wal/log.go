package wal

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"fernvane/internal/journal/intent"
)

const (
	queueMost  = 8192                   // records that wait to be written
	againEvery = 500 * time.Millisecond // between two tries to go on after a fault
	lately     = time.Second            // in which a slow write tells of the next one
	numberTry  = 100                    // numbers taken by other processes before it is a fault
	// PartMost is how many numbered records are handed on as one: 250 kB.
	MaxChunkRecords = 1024
)

// Why a record is not kept.
var (
	ErrQueueFull   = errors.New("too many records wait for the disk")
	ErrDiskFailing = errors.New("the disk takes no records")
	ErrClosed      = errors.New("the journal is closed")
)

// Options of a journal that is written.
type Options struct {
	Dir             string
	FileSystem      FileSystem
	Fsync           bool // a record lasts past the machine's death (fsync), not only past the process's
	MaxSegmentBytes int64
	RetentionAge    time.Duration
	RetentionBytes  int64
	Incarnation     uint64
	RetryInterval   time.Duration // between two tries to go on after a fault; 0: half a second
	// NoGaps leaves out what was not kept: whoever brought it is told, and brings it again.
	OmitGaps bool
	// Copy has records numbered and handed on, in frames as they are written, before they are; Stored then tells that they
	// last. What nobody waits for may be handed on a little later. Without it records have no numbers. Both are called by the journal's writer and must wait for nothing.
	OnChunk  func(first uint64, n int, frames []byte, waited bool)
	OnStored func(first uint64, n int)
	// Note is told when the journal begins to fail, and with nil when it goes on.
	OnHealthChange func(error)
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
	record intent.Record
	wait   *Commit
	seq    uint64 // 0: it has no number yet
	at     int64  // when its part was written first, Unix time in ns; of the first of a part
}

// Commit is for a record to last.
type Commit struct {
	done chan struct{}
	err  error
	seq  uint64
}

// SequenceNumber is the record's own in the stream, once Done is closed; 0 where records have none.
func (w *Commit) SequenceNumber() uint64 { return w.seq }

// Done is closed when the record lasts, or never will.
func (w *Commit) Done() <-chan struct{} { return w.done }

// Err tells which, once Done is closed.
func (w *Commit) Err() error { return w.err }

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
func (l *Log) Append(wait bool, records ...intent.Record) (*Commit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var err error
	switch {
	case l.closed:
		err = ErrClosed
	case l.failing != nil:
		err = fmt.Errorf("%w: %w", ErrDiskFailing, l.failing)
	case len(l.queue)+len(records) > queueMost:
		err = ErrQueueFull
	}
	if err != nil {
		l.lose(len(records))
		return nil, err
	}
	var w *Commit
	if wait {
		w = &Commit{done: make(chan struct{})}
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

// StalledFor tells for how long the write that is under way has been so, or how long the last one took, if that was lately:
// a disk that was slow a moment ago is not trusted with the next ones all at once.
func (l *Log) StalledFor() time.Duration {
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

// Failure is why nothing is kept now, nil where it is.
func (l *Log) Failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failing
}

// CountMissed counts an operation that went on without the journal; a Gap tells of it when the disk takes records again.
func (l *Log) CountMissed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose(1)
}

func (l *Log) lose(n int) {
	if l.o.OmitGaps {
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
