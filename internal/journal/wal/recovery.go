package wal

import (
	"cmp"
	"time"
)

// recoverFrom is called by the writer when a batch could not be written. It has Append refuse records, and returns when a
// new segment takes them again or the Log is closed. Each try leaves a segment, empty where only the write failed; in a
// Log with OnChunk each also numbers and hands on a Gap record.
func (l *Log) recoverFrom(reason error, lostRecords int) {
	l.mu.Lock()
	l.failure = reason
	l.countLost(lostRecords)
	l.mu.Unlock()
	l.reportHealth(reason)
	for {
		time.Sleep(cmp.Or(l.options.RetryInterval, defaultRetryInterval))
		isClosed := l.failQueue(reason)
		l.closeSegment()
		if isClosed {
			return
		}
		if l.createSegment() != nil || l.writeGap() != nil {
			continue
		}
		l.mu.Lock()
		l.failure = nil
		l.gap.records = 0
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

// writeGap counts the lost records in the new segment, which also shows that the disk takes records. With OmitGaps it
// writes nothing: only the next batch shows whether the disk takes records.
func (l *Log) writeGap() error {
	if l.options.OmitGaps {
		return nil
	}
	l.mu.Lock()
	record := l.gapRecord()
	l.mu.Unlock()
	return l.writeBatch([]queuedRecord{{record: record, commit: &Commit{}}}) // with a commit, so that it is synced
}

func (l *Log) reportHealth(failure error) {
	if l.options.OnHealthChange != nil {
		l.options.OnHealthChange(failure)
	}
}
