package wal

import (
	"errors"
	"fmt"

	"fernvane/internal/journal/intent"
)

// Part is a run of numbered records as it stands in a segment.
type Part struct {
	Run   uint64 // whose stream it is of
	First uint64
	N     int
	At    int64  // Unix time in ns when it was written first
	Body  []byte // its frames, the number's own first
}

// ReadParts reads parts that were handed on, checking each sum. All must be of one run, each whole and one behind the
// other. The part that it returns is all of them; the records come with the numbers of their parts before them.
func ReadParts(body []byte) (all Part, records []intent.Record, err error) {
	rest, left := body, 0
	for len(rest) > 0 {
		var r intent.Record
		n, ok := readFrame(rest, &r)
		switch {
		case n == 0 || !ok:
			return all, nil, fmt.Errorf("frame %d of a part cannot be read", len(records))
		case left == 0 && (r.Kind != intent.Numbered || r.From <= 0 || r.N <= 0 || r.N > PartMost):
			return all, nil, errors.New("a part that does not begin with its number")
		case left > 0 && r.Kind == intent.Numbered:
			return all, nil, errors.New("a second number within a part")
		case left == 0 && len(records) == 0:
			all = Part{Run: r.Run, First: uint64(r.From), N: r.N, At: r.At, Body: body}
			left = r.N
		case left == 0 && (r.Run != all.Run || uint64(r.From) != all.First+uint64(all.N)):
			return all, nil, fmt.Errorf("a part of %d behind one up to %d", r.From, all.First+uint64(all.N))
		case left == 0:
			all.N, all.At = all.N+r.N, max(all.At, r.At)
			left = r.N
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

// Parts reads the whole parts of one segment, in order; what is damaged or cut off is passed over. A part's body holds
// until the next one.
func Parts(files Files, s Segment, each func(Part) error) (Report, error) {
	var report Report
	var p Part
	got := -1 // records of the present part; -1 outside of one
	err := scan(files, s, &report, func(r *intent.Record) (err error) {
		if r.Kind == intent.Numbered {
			p = Part{Run: r.Run, First: uint64(r.From), N: r.N, At: r.At, Body: p.Body[:0]}
			got = 0
		} else if got < 0 {
			return nil
		} else {
			got++
		}
		if p.Body, err = appendFrame(p.Body, r); err != nil {
			return err
		}
		if got == p.N {
			got = -1
			return each(p)
		}
		return nil
	}, func(int64) {})
	return report, err
}

// AppendFrame writes a record as it stands in a segment.
func AppendFrame(b []byte, r *intent.Record) ([]byte, error) { return appendFrame(b, r) }

// ReadFrames reads records one behind the other; there must be nothing else.
func ReadFrames(b []byte, each func(*intent.Record) error) error {
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
