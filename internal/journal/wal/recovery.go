package wal

import (
	"cmp"
	"time"

	"fernvane/internal/journal/intent"
)

// recoverFrom is called by the writer when a batch could not be written. It has Append refuse records, and returns when a
// new segment takes them again or the Log is closed. Each try leaves a segment, empty where only the write failed; in a
// Log with OnChunk each also numbers and hands on a Gap record.
func (l *Log) recoverFrom(reason error, lost []queuedRecord) {
	l.mu.Lock()
	l.failure = reason
	l.countLostBatch(lost)
	l.mu.Unlock()
	l.reportHealth(reason)
	for {
		time.Sleep(cmp.Or(l.options.RetryInterval, defaultRetryInterval))
		isClosed := l.failQueue(reason)
		l.closeSegment()
		if isClosed {
			return
		}
		if l.createSegment() != nil {
			continue
		}
		counted, err := l.writeGap()
		if err != nil {
			continue
		}
		l.mu.Lock()
		l.failure = nil
		l.gap.records -= counted // others may have been lost since
		l.mu.Unlock()
		l.reportHealth(nil)
		return
	}
}

// failQueue fails the records that were queued before the failure was known, and reports whether the Log is closed.
func (l *Log) failQueue(reason error) (isClosed bool) {
	l.mu.Lock()
	isClosed = l.isClosed
	queue := l.queue
	l.queue = nil
	l.countLost(len(queue))
	l.mu.Unlock()
	finish(queue, reason)
	return isClosed
}

// countLostBatch counts a batch that was not written, and for a Gap record in it those that it counted. mu is held.
func (l *Log) countLostBatch(batch []queuedRecord) {
	for i := range batch {
		r := &batch[i].record
		if r.Kind != intent.Gap {
			l.countLost(1)
			continue
		}
		l.countLost(r.Count)
		l.gap.since = time.Unix(0, r.From)
	}
}

// writeGap writes how many records were lost into the new segment, and returns that number. It also shows that the disk takes
// records. With OmitGaps it writes nothing: only the next batch shows whether the disk takes records.
func (l *Log) writeGap() (counted int, err error) {
	if l.options.OmitGaps {
		return 0, nil
	}
	l.mu.Lock()
	record := l.gapRecord()
	l.mu.Unlock()
	err = l.writeBatch([]queuedRecord{{record: record, commit: &Commit{}}}) // with a commit, so that it is synced
	return record.Count, err
}

func (l *Log) reportHealth(failure error) {
	if l.options.OnHealthChange != nil {
		l.options.OnHealthChange(failure)
	}
}
