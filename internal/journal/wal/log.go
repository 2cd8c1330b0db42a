package wal

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"fernvane/internal/journal/intent"
)

const (
	maxQueuedRecords     = 8192
	defaultRetryInterval = 500 * time.Millisecond
	// slowWriteWindow is how long the last write counts in StalledFor after its end.
	slowWriteWindow = time.Second
)

// Why a record is not stored.
var (
	// ErrQueueFull says that too many records wait to be written. The caller may append again a little later.
	ErrQueueFull = errors.New("too many records wait for the disk")
	// ErrDiskFailing says that writes have failed, and that no segment takes records yet. It wraps the reason.
	ErrDiskFailing = errors.New("the disk takes no records")
	// ErrClosed says that the Log was closed.
	ErrClosed = errors.New("the journal is closed")
)

// Options of a Log.
type Options struct {
	Dir             string // a folder that is there
	FileSystem      FileSystem
	Fsync           bool // a record survives a crash of the machine, not only of the process
	MaxSegmentBytes int64
	RetentionAge    time.Duration // older segments are removed; 0: none are
	RetentionBytes  int64         // of all segments; 0: no bound
	Incarnation     uint64        // of the process, named by Gap records and chunk headers
	RetryInterval   time.Duration // between two attempts to write again after a failure; 0: half a second
	// OmitGaps leaves out Gap records, for a caller that appends again what was refused.
	OmitGaps bool
	// OnChunk, if set, has records numbered. It is called with each chunk's frames before they are written here, and with
	// whether anyone waits for a record in it. It is called by the writer and must not block.
	OnChunk func(first uint64, count int, frames []byte, isAwaited bool)
	// OnStored is called by the writer when the records of a chunk are written, and with Fsync synced if someone waits for
	// a record of their batch. It must be set with OnChunk, and must not block.
	OnStored func(first uint64, count int)
	// OnHealthChange, if set, is called with the reason when writes begin to fail, and with nil when they succeed again.
	OnHealthChange func(error)
}

// Log is a journal that is written. Its methods may be called by any goroutine.
type Log struct {
	options Options
	wake    chan struct{} // has the writer look at the queue; closed by Close
	done    chan struct{} // closed when the writer has ended

	mu       sync.Mutex // never held over a file
	queue    []queuedRecord
	failure  error // why no records are taken; nil: they are
	isClosed bool
	write    writeTimes
	gap      gap

	// The fields below belong to the writer goroutine.
	segment struct {
		file   File // nil after a failure
		bytes  int64
		number uint64
	}
	frames   []byte         // of the present batch
	chunks   []writtenChunk // of the present batch, where records are numbered
	sequence uint64         // of the last numbered record
}

// writeTimes are those of the present and the last write.
type writeTimes struct {
	began time.Time // of the write that is under way; zero: there is none
	ended time.Time // of the last one
	took  time.Duration
}

// gap counts records that were not stored since the last Gap record.
type gap struct {
	records int
	since   time.Time
}

// queuedRecord waits to be written.
type queuedRecord struct {
	record     intent.Record
	commit     *Commit // nil: nobody waits for it
	sequence   uint64  // 0: it has no number yet
	atUnixNano int64   // of the first of a chunk: when it was written first
}

// Open starts a new segment after the existing ones. It changes none of those, so other processes may read the folder
// meanwhile. They may also write segments of their own, but RetentionAge and RetentionBytes remove older segments whoever
// writes them.
func Open(o Options) (*Log, error) {
	l := &Log{options: o, wake: make(chan struct{}, 1), done: make(chan struct{})}
	if err := l.createSegment(); err != nil {
		return nil, err
	}
	go l.run()
	return l, nil
}

// Append queues records, in order. With wait it returns a Commit for the last of them; without, they may be lost
// with the process. The error is ErrUnreadable, ErrQueueFull, ErrDiskFailing or ErrClosed; then none of the records is
// stored.
func (l *Log) Append(wait bool, records ...intent.Record) (*Commit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.refusal(records); err != nil {
		l.countLost(len(records))
		return nil, err
	}
	var commit *Commit
	if wait {
		commit = &Commit{done: make(chan struct{})}
	}
	for i, r := range records {
		q := queuedRecord{record: r}
		if i == len(records)-1 {
			q.commit = commit
		}
		l.queue = append(l.queue, q)
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return commit, nil
}

// refusal is why records cannot be queued now, nil if they can. mu is held.
func (l *Log) refusal(records []intent.Record) error {
	for i := range records {
		if err := CheckRecord(&records[i]); err != nil {
			return err
		}
	}
	switch {
	case l.isClosed:
		return ErrClosed
	case l.failure != nil:
		return fmt.Errorf("%w: %w", ErrDiskFailing, l.failure)
	case len(l.queue)+len(records) > maxQueuedRecords:
		return ErrQueueFull
	}
	return nil
}

// StalledFor is how long the write that is under way has taken, or how long the last one took, if that ended within the
// last second: a disk that was slow a moment ago may be slow again. Only the last write counts, however long those before
// it took.
func (l *Log) StalledFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	took := time.Duration(0)
	if time.Since(l.write.ended) < slowWriteWindow {
		took = l.write.took
	}
	if l.write.began.IsZero() {
		return took
	}
	return max(took, time.Since(l.write.began))
}

// Failure is why no records are taken now, nil where they are.
func (l *Log) Failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure
}

// CountMissed counts a request that was served before its record was durable, though Append took that record. A Gap
// record counts it when the disk takes records again.
func (l *Log) CountMissed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countLost(1)
}

// countLost counts records for the next Gap record. mu is held.
func (l *Log) countLost(records int) {
	if l.options.OmitGaps {
		return
	}
	if l.gap.records == 0 {
		l.gap.since = time.Now()
	}
	l.gap.records += records
}

// gapRecord counts the records that were not stored. mu is held.
func (l *Log) gapRecord() intent.Record {
	return intent.Record{
		Kind:        intent.Gap,
		Incarnation: l.options.Incarnation,
		AtUnixNano:  time.Now().UnixNano(),
		From:        l.gap.since.UnixNano(),
		Count:       l.gap.records,
	}
}

// Close writes what is queued and ends the writer. It may be called again.
func (l *Log) Close() {
	l.mu.Lock()
	wasClosed := l.isClosed
	l.isClosed = true
	l.mu.Unlock()
	if !wasClosed {
		close(l.wake)
	}
	<-l.done
}
