package bindlog

import (
	"errors"
	"fmt"

	"fernvane/internal/bindings"
)

// Part is a run of numbered records as it stands in a segment.
type Part struct {
	Run   uint64 // whose stream it is of
	First uint64
	N     int
	At    int64  // Unix time in ns when it was written first
	Body  []byte // its frames, the number's own first
}

// ReadPart reads frames that were handed on, checking each sum. All must be of one run and as many as the first one says.
func ReadPart(body []byte) (p Part, records []bindings.Record, err error) {
	rest := body
	for len(rest) > 0 {
		var r bindings.Record
		n, ok := readFrame(rest, &r)
		if n == 0 || !ok {
			return p, nil, fmt.Errorf("frame %d of a part cannot be read", len(records))
		}
		if len(records) == 0 {
			if r.Kind != bindings.Numbered || r.From <= 0 || r.N <= 0 || r.N > PartMost {
				return p, nil, fmt.Errorf("a part that does not begin with its number")
			}
			p = Part{Run: r.Run, First: uint64(r.From), N: r.N, At: r.At, Body: body}
		} else if r.Kind == bindings.Numbered {
			return p, nil, fmt.Errorf("a second number within a part")
		}
		records = append(records, r)
		rest = rest[n:]
	}
	if len(records) != p.N+1 {
		return p, nil, fmt.Errorf("%d records in a part of %d", max(len(records)-1, 0), p.N)
	}
	return p, records, nil
}

// Parts reads the whole parts of one segment, in order; what is damaged or cut off is passed over. A part's body holds
// until the next one.
func Parts(files Files, s Segment, each func(Part) error) (Report, error) {
	var report Report
	var p Part
	got := -1 // records of the present part; -1 outside of one
	err := scan(files, s, &report, func(r *bindings.Record) (err error) {
		if r.Kind == bindings.Numbered {
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
func AppendFrame(b []byte, r *bindings.Record) ([]byte, error) { return appendFrame(b, r) }

// ReadFrames reads records one behind the other; there must be nothing else.
func ReadFrames(b []byte, each func(*bindings.Record) error) error {
	for len(b) > 0 {
		var r bindings.Record
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
