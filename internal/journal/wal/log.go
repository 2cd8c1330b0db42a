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
	// slowWriteWindow is how long StalledFor includes the duration of the last write after its end.
	slowWriteWindow = time.Second
)

// Errors of Log.Append.
var (
	// ErrQueueFull means that maxQueuedRecords would be exceeded. The caller may retry after a short wait.
	ErrQueueFull = errors.New("journal write queue full")
	// ErrDiskFailing means that writes have failed and that no segment is writable yet. Append returns it together with the
	// cause in one error that wraps both.
	ErrDiskFailing = errors.New("journal not writable")
	// ErrClosed means that the Log has been closed.
	ErrClosed = errors.New("journal closed")
)

// Options configures a Log.
type Options struct {
	Dir             string // must exist
	FileSystem      FileSystem
	Fsync           bool // records survive a crash of the machine, not only of the process
	MaxSegmentBytes int64
	RetentionAge    time.Duration // older segments are removed; 0: no limit
	RetentionBytes  int64         // total size of all segments; 0: no limit
	Incarnation     uint64        // of the process; stored in Gap records and chunk headers
	RetryInterval   time.Duration // between recovery attempts after a write failure; 0: defaultRetryInterval
	// OmitGaps disables Gap records, for a caller that retries rejected records.
	OmitGaps bool
	// OnChunk, if set, enables numbering of records. The writer calls it with the frames of each chunk before it writes
	// them to the segment; isAwaited reports whether a Commit waits for a record of the chunk. OnChunk must not block.
	OnChunk func(first uint64, count int, frames []byte, isAwaited bool)
	// OnStored is called by the writer after the records of a chunk are written. With Fsync they are also synced if a
	// Commit waits for a record of the same batch. It is required with OnChunk, and must not block.
	OnStored func(first uint64, count int)
	// OnHealthChange, if set, is called with the reason when writes begin to fail, and with nil when they succeed again.
	OnHealthChange func(error)
}

// Log appends records to a journal. Its methods are safe for concurrent use.
type Log struct {
	options Options
	wake    chan struct{} // signals the writer that the queue is not empty; closed by Close
	done    chan struct{} // closed when the writer has terminated

	mu       sync.Mutex // not held during file operations
	queue    []queuedRecord
	failure  error // why records are rejected; nil: the journal is writable
	isClosed bool
	write    writeTimes
	gap      gap

	// The fields below are used only by the writer goroutine.
	segment struct {
		file   File // nil after a failure
		bytes  int64
		number uint64
	}
	frames   []byte         // encoded frames of the current batch
	chunks   []writtenChunk // chunks of the current batch; empty if records are not numbered
	sequence uint64         // of the last numbered record
}

// writeTimes contains the times of the current and the last write.
type writeTimes struct {
	began time.Time     // of the current write; zero: no write is in progress
	ended time.Time     // of the last write
	took  time.Duration // of the last write
}

// gap counts records that were not stored since the last Gap record.
type gap struct {
	records int
	since   time.Time // when the first of them was lost
}

// queuedRecord is a record in the write queue.
type queuedRecord struct {
	record     intent.Record
	commit     *Commit // nil: no caller waits for the record
	sequence   uint64  // 0: not numbered yet
	atUnixNano int64   // in the first record of a chunk: the time of the chunk's first write
}

// Open starts a Log with a new segment after the existing ones. It does not change existing segments, so other processes
// may read the directory at the same time. Other processes may also write segments of their own, but RetentionAge and
// RetentionBytes remove old segments of all processes.
func Open(o Options) (*Log, error) {
	l := &Log{options: o, wake: make(chan struct{}, 1), done: make(chan struct{})}
	if err := l.createSegment(); err != nil {
		return nil, err
	}
	go l.run()
	return l, nil
}

// Append queues records in order. With wait it returns a Commit for the last record; without wait the Commit is nil, and
// the records may be lost when the process crashes. The error is ErrInvalidRecord, ErrQueueFull, ErrDiskFailing or
// ErrClosed; on an error none of the records is stored and, unless Options.OmitGaps is set, the next Gap record counts
// them.
func (l *Log) Append(wait bool, records ...intent.Record) (*Commit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.rejectionReason(records); err != nil {
		l.addToGap(len(records))
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

// rejectionReason returns why records cannot be queued now, or nil if they can. The caller holds mu.
func (l *Log) rejectionReason(records []intent.Record) error {
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

// StalledFor returns the longer of two durations: that of the write in progress, and that of the last write if it ended
// within slowWriteWindow, because a disk that was slow recently may still be slow. Earlier writes are not included.
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

// Failure returns why records are rejected now, or nil if the journal is writable.
func (l *Log) Failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure
}

// CountMissed counts a request that was served before its record was durable, although Append had accepted that record.
// The next Gap record includes it.
func (l *Log) CountMissed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addToGap(1)
}

// addToGap counts records for the next Gap record. The caller holds mu.
func (l *Log) addToGap(records int) {
	if l.options.OmitGaps {
		return
	}
	if l.gap.records == 0 {
		l.gap.since = time.Now()
	}
	l.gap.records += records
}

// gapRecord returns a Gap record with the number of records that were not stored. The caller holds mu.
func (l *Log) gapRecord() intent.Record {
	return intent.Record{
		Kind:        intent.Gap,
		Incarnation: l.options.Incarnation,
		AtUnixNano:  time.Now().UnixNano(),
		From:        l.gap.since.UnixNano(),
		Count:       l.gap.records,
	}
}

// Close writes the queued records and terminates the writer. Further calls have no effect.
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
