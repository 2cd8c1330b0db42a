package wal

import (
	"errors"
	"fmt"

	"fernvane/internal/journal/intent"
)

// MaxChunkRecords is how many numbered records follow one header at most: about 250 kB, and up to 4 MB where each has
// maxRecordBytes.
const MaxChunkRecords = 1024

// Chunk is a run of numbered records as it is stored in a segment.
type Chunk struct {
	Incarnation uint64 // whose stream it is of
	First       uint64 // number of its first record; numbers start at 1
	Count       int
	AtUnixNano  int64  // when it was first written
	Frames      []byte // the header's frame and those of the records
}

// chunkOf is the chunk that a header begins.
func chunkOf(header *intent.Record, frames []byte) Chunk {
	return Chunk{
		Incarnation: header.Incarnation,
		First:       uint64(header.From),
		Count:       header.Count,
		AtUnixNano:  header.AtUnixNano,
		Frames:      frames,
	}
}

// end is the number after the last record.
func (c *Chunk) end() uint64 { return c.First + uint64(c.Count) }

// DecodeChunks reads chunks that another node sent, checking each checksum. All must be complete, of one incarnation, and
// each must follow on the one before. It returns them as one chunk, and all records with the headers among them.
func DecodeChunks(frames []byte) (all Chunk, records []intent.Record, err error) {
	left := 0 // records that the present chunk still lacks
	for b := frames; len(b) > 0; {
		var r intent.Record
		n, ok := decodeFrame(b, &r)
		switch {
		case n == 0 || !ok:
			return all, nil, fmt.Errorf("frame %d of a chunk cannot be read", len(records))
		case left > 0 && r.Kind == intent.ChunkHeader:
			return all, nil, errors.New("a second header within a chunk")
		case left > 0:
			left--
		default:
			if err := all.extend(&r, frames, len(records) == 0); err != nil {
				return all, nil, err
			}
			left = r.Count
		}
		records = append(records, r)
		b = b[n:]
	}
	if left > 0 || len(records) == 0 {
		return all, nil, fmt.Errorf("a chunk lacks %d records", left)
	}
	return all, records, nil
}

// extend takes in the header of the next chunk, which must follow on those before.
func (c *Chunk) extend(header *intent.Record, frames []byte, isFirst bool) error {
	switch {
	case header.Kind != intent.ChunkHeader || header.From <= 0 || header.Count <= 0 || header.Count > MaxChunkRecords:
		return errors.New("a chunk without a valid header")
	case isFirst:
		*c = chunkOf(header, frames)
	case header.Incarnation != c.Incarnation || uint64(header.From) != c.end():
		return fmt.Errorf("a chunk from %d behind one up to %d", header.From, c.end())
	default:
		c.Count += header.Count
		c.AtUnixNano = max(c.AtUnixNano, header.AtUnixNano)
	}
	return nil
}

// ScanChunks calls each for the complete chunks of one segment, in order; what is damaged or cut off is passed over. The
// chunk's Frames are valid until each returns.
func ScanChunks(files FileSystem, s Segment, each func(Chunk) error) (ScanReport, error) {
	var report ScanReport
	var c Chunk
	got := -1 // records of the present chunk; -1: outside of one
	err := scanSegment(files, s, &report, func(r *intent.Record) (err error) {
		switch {
		case r.Kind == intent.ChunkHeader:
			c = chunkOf(r, c.Frames[:0])
			got = 0
		case got < 0:
			return nil
		default:
			got++
		}
		if c.Frames, err = AppendFrame(c.Frames, r); err != nil {
			return err
		}
		if got == c.Count {
			got = -1
			return each(c)
		}
		return nil
	}, nil)
	return report, err
}
