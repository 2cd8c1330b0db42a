package wal

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"fernvane/internal/journal/intent"
)

// writtenChunk is a chunk of the batch that is being written.
type writtenChunk struct {
	first uint64
	count int
}

// run is the writer goroutine. It takes all that is queued at once, so one sync serves all records that came during the
// last one.
func (l *Log) run() {
	defer close(l.done)
	for range l.wake {
		l.flush()
	}
	l.flush()
	l.closeSegment()
}

// flush writes the queue. When writing fails it begins a new segment and tries once more: the end of a segment that has
// failed may be anywhere, so it is not written again.
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
	finish(batch, err)
	if err != nil {
		l.recoverFrom(err, batch)
	}
}

// takeBatch takes the queue, after a Gap record where records were lost before it. The count begins again at 0: if the batch
// is not written, countLostBatch adds what the Gap record counted.
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

// finish ends the commits of the batch.
func finish(batch []queuedRecord, err error) {
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

// writeBatch writes records and, with Options.Fsync and where someone waits for one, syncs them.
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
		return fmt.Errorf("%d of %d bytes were written", n, len(l.frames))
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

// encode puts a batch into frames, in chunks where records are numbered.
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

// encodeChunk puts records into a chunk and hands it on. Records get their numbers once: a chunk that is written again
// after a failure keeps its numbers and its time, and is not handed on again.
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
