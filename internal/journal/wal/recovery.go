package wal

import (
	"cmp"
	"time"

	"fernvane/internal/journal/intent"
)

// recoverFrom is called by the writer when a batch could not be written. It makes Append reject records, and returns when
// a new segment is writable or the Log is closed. Each attempt leaves a segment behind, which is empty if only the write
// failed. In a Log with OnChunk, each attempt also numbers a Gap record and passes it to OnChunk.
func (l *Log) recoverFrom(reason error, lost []queuedRecord) {
	l.mu.Lock()
	l.failure = reason
	l.addBatchToGap(lost)
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
		l.gap.records -= counted // more records may have been lost since the Gap record was made
		l.mu.Unlock()
		l.reportHealth(nil)
		return
	}
}

// failQueue fails the records that were queued before the failure was detected, and reports whether the Log is closed.
func (l *Log) failQueue(reason error) (isClosed bool) {
	l.mu.Lock()
	isClosed = l.isClosed
	queue := l.queue
	l.queue = nil
	l.addToGap(len(queue))
	l.mu.Unlock()
	finishCommits(queue, reason)
	return isClosed
}

// addBatchToGap counts the records of a batch that was not written. For a Gap record it adds that record's count. The
// caller holds mu.
func (l *Log) addBatchToGap(batch []queuedRecord) {
	for i := range batch {
		r := &batch[i].record
		if r.Kind != intent.Gap {
			l.addToGap(1)
			continue
		}
		l.addToGap(r.Count)
		l.gap.since = time.Unix(0, r.From)
	}
}

// writeGap writes a Gap record to the new segment and returns the number of lost records in it. A successful write also
// proves that the disk is writable. With OmitGaps nothing is written, so only the next batch shows whether the disk is
// writable.
func (l *Log) writeGap() (counted int, err error) {
	if l.options.OmitGaps {
		return 0, nil
	}
	l.mu.Lock()
	record := l.gapRecord()
	l.mu.Unlock()
	err = l.writeBatch([]queuedRecord{{record: record, commit: &Commit{}}}) // the commit makes writeBatch sync the record
	return record.Count, err
}

func (l *Log) reportHealth(failure error) {
	if l.options.OnHealthChange != nil {
		l.options.OnHealthChange(failure)
	}
}
