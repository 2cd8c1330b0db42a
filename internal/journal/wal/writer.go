package wal

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"fernvane/internal/journal/intent"
)

// writtenChunk identifies a chunk of the batch that is being written.
type writtenChunk struct {
	first uint64 // sequence number of the first record
	count int
}

// run is the writer goroutine. It writes all queued records as one batch, so that one sync makes all records durable that
// were appended during the previous sync (group commit).
func (l *Log) run() {
	defer close(l.done)
	for range l.wake {
		l.flush()
	}
	l.flush()
	l.closeSegment()
}

// flush writes the queue. When the write fails, it creates a new segment and retries once. A segment with a failed write
// is not reused, because an unknown part of the batch may be at its end.
func (l *Log) flush() {
	batch := l.takeBatch()
	err := l.writeBatch(batch)
	if err != nil {
		l.closeSegment()
		if err = l.createSegment(); err == nil {
			err = l.writeBatch(batch)
		}
	}
	l.mu.Lock()
	l.write.ended = time.Now()
	l.write.took = l.write.ended.Sub(l.write.began)
	l.write.began = time.Time{}
	l.mu.Unlock()
	finishCommits(batch, err)
	if err != nil {
		l.recoverFrom(err, batch)
	}
}

// takeBatch removes all records from the queue and returns them, after a Gap record if records were lost before them. It
// resets the gap count: if the batch cannot be written, addBatchToGap adds the count of its Gap record again.
func (l *Log) takeBatch() []queuedRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.queue
	l.queue = nil
	if l.gap.records > 0 && len(batch) > 0 {
		batch = append([]queuedRecord{{record: l.gapRecord()}}, batch...)
		l.gap.records = 0
	}
	l.write.began = time.Now()
	return batch
}

// finishCommits reports the result of the batch to the callers that wait for it.
func finishCommits(batch []queuedRecord, err error) {
	for _, q := range batch {
		if q.commit != nil {
			q.commit.finish(err)
		}
	}
}

func isAwaited(batch []queuedRecord) bool {
	for i := range batch {
		if batch[i].commit != nil {
			return true
		}
	}
	return false
}

func (l *Log) closeSegment() {
	if l.segment.file != nil {
		l.segment.file.Close()
		l.segment.file = nil
	}
}

// writeBatch writes records. With Options.Fsync it syncs the segment if a caller waits for one of the records.
func (l *Log) writeBatch(batch []queuedRecord) error {
	if len(batch) == 0 {
		return nil
	}
	if l.segment.file == nil {
		return os.ErrClosed
	}
	if err := l.encode(batch); err != nil {
		return err
	}
	if l.segment.bytes > 0 && l.segment.bytes+int64(len(l.frames)) > l.options.MaxSegmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	n, err := l.segment.file.Write(l.frames)
	l.segment.bytes += int64(n)
	if err != nil {
		return err
	}
	if n < len(l.frames) {
		return fmt.Errorf("write segment: wrote %d of %d bytes", n, len(l.frames))
	}
	if l.options.Fsync && isAwaited(batch) {
		if err := l.segment.file.Sync(); err != nil {
			return err
		}
	}
	for _, c := range l.chunks {
		l.options.OnStored(c.first, c.count)
	}
	return nil
}

// encode encodes a batch into l.frames, grouped into chunks if records are numbered.
func (l *Log) encode(batch []queuedRecord) error {
	l.frames = l.frames[:0]
	l.chunks = l.chunks[:0]
	if l.options.OnChunk == nil {
		return l.appendFrames(batch)
	}
	for len(batch) > 0 {
		n := min(len(batch), MaxChunkRecords)
		if err := l.encodeChunk(batch[:n]); err != nil {
			return err
		}
		batch = batch[n:]
	}
	return nil
}

// encodeChunk encodes records as one chunk and passes it to OnChunk. Sequence numbers are assigned once: a chunk that is
// rewritten after a failure has the same numbers and time, and is not passed to OnChunk again.
func (l *Log) encodeChunk(records []queuedRecord) error {
	isNew := records[0].sequence == 0
	if isNew {
		records[0].atUnixNano = time.Now().UnixNano()
		for i := range records {
			l.sequence++
			records[i].sequence = l.sequence
		}
	}
	for i := range records {
		if c := records[i].commit; c != nil {
			c.sequence = records[i].sequence
		}
	}
	chunk := writtenChunk{first: records[0].sequence, count: len(records)}
	header := intent.Record{
		Kind:        intent.ChunkHeader,
		Incarnation: l.options.Incarnation,
		AtUnixNano:  records[0].atUnixNano,
		From:        int64(chunk.first),
		Count:       chunk.count,
	}
	start := len(l.frames)
	var err error
	if l.frames, err = AppendFrame(l.frames, &header); err != nil {
		return err
	}
	if err := l.appendFrames(records); err != nil {
		return err
	}
	l.chunks = append(l.chunks, chunk)
	if isNew {
		l.options.OnChunk(chunk.first, chunk.count, bytes.Clone(l.frames[start:]), isAwaited(records))
	}
	return nil
}

func (l *Log) appendFrames(records []queuedRecord) (err error) {
	for i := range records {
		if l.frames, err = AppendFrame(l.frames, &records[i].record); err != nil {
			return err
		}
	}
	return nil
}
