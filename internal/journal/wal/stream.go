package wal

import (
	"errors"
	"fmt"

	"fernvane/internal/journal/intent"
)

// Chunk is a run of numbered records as it stands in a segment.
type Chunk struct {
	Incarnation uint64 // whose stream it is of
	First       uint64
	Count       int
	AtUnixNano  int64  // Unix time in ns when it was written first
	Frames      []byte // its frames, the number's own first
}

// DecodeChunks reads parts that were handed on, checking each sum. All must be of one run, each whole and one behind the
// other. The part that it returns is all of them; the records come with the numbers of their parts before them.
func DecodeChunks(body []byte) (all Chunk, records []intent.Record, err error) {
	rest, left := body, 0
	for len(rest) > 0 {
		var r intent.Record
		n, ok := readFrame(rest, &r)
		switch {
		case n == 0 || !ok:
			return all, nil, fmt.Errorf("frame %d of a part cannot be read", len(records))
		case left == 0 && (r.Kind != intent.ChunkHeader || r.From <= 0 || r.Count <= 0 || r.Count > MaxChunkRecords):
			return all, nil, errors.New("a part that does not begin with its number")
		case left > 0 && r.Kind == intent.ChunkHeader:
			return all, nil, errors.New("a second number within a part")
		case left == 0 && len(records) == 0:
			all = Chunk{Incarnation: r.Incarnation, First: uint64(r.From), Count: r.Count, AtUnixNano: r.AtUnixNano, Frames: body}
			left = r.Count
		case left == 0 && (r.Incarnation != all.Incarnation || uint64(r.From) != all.First+uint64(all.Count)):
			return all, nil, fmt.Errorf("a part of %d behind one up to %d", r.From, all.First+uint64(all.Count))
		case left == 0:
			all.Count, all.AtUnixNano = all.Count+r.Count, max(all.AtUnixNano, r.AtUnixNano)
			left = r.Count
		default:
			left--
		}
		records = append(records, r)
		rest = rest[n:]
	}
	if left > 0 || len(records) == 0 {
		return all, nil, fmt.Errorf("%d records too few in a part", left)
	}
	return all, records, nil
}

// ScanChunks reads the whole parts of one segment, in order; what is damaged or cut off is passed over. A part's body holds
// until the next one.
func ScanChunks(files FileSystem, s Segment, each func(Chunk) error) (ScanReport, error) {
	var report ScanReport
	var p Chunk
	got := -1 // records of the present part; -1 outside of one
	err := scan(files, s, &report, func(r *intent.Record) (err error) {
		if r.Kind == intent.ChunkHeader {
			p = Chunk{Incarnation: r.Incarnation, First: uint64(r.From), Count: r.Count, AtUnixNano: r.AtUnixNano, Frames: p.Frames[:0]}
			got = 0
		} else if got < 0 {
			return nil
		} else {
			got++
		}
		if p.Frames, err = appendFrame(p.Frames, r); err != nil {
			return err
		}
		if got == p.Count {
			got = -1
			return each(p)
		}
		return nil
	}, func(int64) {})
	return report, err
}

// AppendFrame writes a record as it stands in a segment.
func AppendFrame(b []byte, r *intent.Record) ([]byte, error) { return appendFrame(b, r) }

// DecodeFrames reads records one behind the other; there must be nothing else.
func DecodeFrames(b []byte, each func(*intent.Record) error) error {
	for len(b) > 0 {
		var r intent.Record
		n, ok := readFrame(b, &r)
		if n == 0 || !ok {
			return errors.New("a record cannot be read")
		}
		if err := each(&r); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
