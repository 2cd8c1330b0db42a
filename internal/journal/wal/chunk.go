package wal

import (
	"errors"
	"fmt"

	"fernvane/internal/journal/intent"
)

// MaxChunkRecords is the maximum number of records in a chunk: typically about 250 kB, and at most 4 MB if each record has
// maxRecordBytes.
const MaxChunkRecords = 1024

// Chunk is a sequence of consecutively numbered records as stored in a segment.
type Chunk struct {
	Incarnation uint64 // of the process whose stream contains the records
	First       uint64 // sequence number of the first record; numbers start at 1
	Count       int
	AtUnixNano  int64  // when the chunk was first written
	Frames      []byte // the frames of the header and the records
}

// newChunk returns the chunk that starts with a header.
func newChunk(header *intent.Record, frames []byte) Chunk {
	return Chunk{
		Incarnation: header.Incarnation,
		First:       uint64(header.From),
		Count:       header.Count,
		AtUnixNano:  header.AtUnixNano,
		Frames:      frames,
	}
}

// end returns the sequence number after the last record.
func (c *Chunk) end() uint64 { return c.First + uint64(c.Count) }

// DecodeChunks decodes chunks that another node sent, and verifies each checksum. The chunks must be complete and
// consecutive, and belong to one incarnation. It returns them merged into one chunk, and all records including the headers.
func DecodeChunks(frames []byte) (merged Chunk, records []intent.Record, err error) {
	remaining := 0 // records of the current chunk that are not decoded yet
	for b := frames; len(b) > 0; {
		var r intent.Record
		n, ok := decodeFrame(b, &r)
		switch {
		case n == 0 || !ok:
			return merged, nil, fmt.Errorf("decode chunk: frame %d invalid or truncated", len(records))
		case remaining > 0 && r.Kind == intent.ChunkHeader:
			return merged, nil, errors.New("decode chunk: next header found before the chunk's last record")
		case remaining > 0:
			remaining--
		default:
			if err := merged.extend(&r, frames, len(records) == 0); err != nil {
				return merged, nil, err
			}
			remaining = r.Count
		}
		records = append(records, r)
		b = b[n:]
	}
	if remaining > 0 || len(records) == 0 {
		return merged, nil, fmt.Errorf("decode chunk: data empty or truncated, %d records missing", remaining)
	}
	return merged, records, nil
}

// extend adds the header of the next chunk, which must continue the sequence numbers of the chunks before it.
func (c *Chunk) extend(header *intent.Record, frames []byte, isFirst bool) error {
	switch {
	case header.Kind != intent.ChunkHeader || header.From <= 0 || header.Count <= 0 || header.Count > MaxChunkRecords:
		return errors.New("decode chunk: header missing or invalid")
	case isFirst:
		*c = newChunk(header, frames)
	case header.Incarnation != c.Incarnation || uint64(header.From) != c.end():
		return fmt.Errorf("decode chunk: got first record %d, want record %d of the same incarnation", header.From, c.end())
	default:
		c.Count += header.Count
		c.AtUnixNano = max(c.AtUnixNano, header.AtUnixNano)
	}
	return nil
}

// ScanChunks calls each for the complete chunks of one segment, in order. It skips damaged and truncated chunks: those with
// fewer readable records than their header states. The chunk's Frames are valid until each returns.
func ScanChunks(files FileSystem, s Segment, each func(Chunk) error) (ScanReport, error) {
	var report ScanReport
	var c Chunk
	decoded := -1 // records of the current chunk; -1: no chunk has started
	err := scanSegment(files, s, &report, func(r *intent.Record) (err error) {
		switch {
		case r.Kind == intent.ChunkHeader:
			c = newChunk(r, c.Frames[:0])
			decoded = 0
		case decoded < 0:
			return nil
		default:
			decoded++
		}
		if c.Frames, err = AppendFrame(c.Frames, r); err != nil {
			return err
		}
		if decoded == c.Count {
			decoded = -1
			return each(c)
		}
		return nil
	}, nil)
	return report, err
}
