package wal_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"fernvane/internal/journal/intent"
	. "fernvane/internal/journal/wal"
	"fernvane/internal/testbed/standin/memdisk"
)

// A stream's records under a disk that fails once at each of its operations: numbers have no holes, what was handed on is
// what stands on disk, whenever it was written, and what was said to last can be read.
func TestNumbersUnderFaults(t *testing.T) {
	for _, trouble := range []memdisk.Fault{memdisk.None, memdisk.Short, memdisk.Full, memdisk.Lying} {
		for at := range 12 {
			t.Run(fmt.Sprintf("%d at %d", trouble, at), func(t *testing.T) {
				d := memdisk.New()
				d.Meet = func(n int) memdisk.Fault {
					if n == at {
						return trouble
					}
					return memdisk.None
				}
				var mu sync.Mutex
				handed, stored := map[uint64][]byte{}, map[uint64]bool{}
				next := uint64(1)
				o := Options{Dir: "j", FileSystem: d, Fsync: true, MaxSegmentBytes: 600, Incarnation: 7, RetryInterval: time.Millisecond,
					OnChunk: func(first uint64, n int, frames []byte, _ bool) {
						mu.Lock()
						defer mu.Unlock()
						if first != next {
							t.Errorf("%d behind %d", first, next)
						}
						next = first + uint64(n)
						handed[first] = frames
					},
					OnStored: func(first uint64, _ int) {
						mu.Lock()
						defer mu.Unlock()
						stored[first] = true
					}}
				l, err := Open(o)
				for err != nil {
					l, err = Open(o)
				}
				lasts := map[uint64]bool{} // operations
				for op := uint64(1); op <= 10; op++ {
					w, err := l.Append(true, intent.Record{Kind: intent.Intent, Incarnation: 7, RequestNumber: op, RequestID: fmt.Sprint(op), Server: "s"})
					if err != nil {
						time.Sleep(2 * time.Millisecond)
						continue
					}
					<-w.Done()
					if w.Err() == nil {
						lasts[op] = true
					}
				}
				l.Close()
				read := map[uint64]bool{}
				segments, err := ListSegments(d, "j")
				if err != nil {
					t.Fatal(err)
				}
				for _, s := range segments {
					if _, err := ScanChunks(d, s, func(p Chunk) error {
						if !bytes.Equal(p.Frames, handed[p.First]) {
							t.Errorf("part %d stands as another than was handed on", p.First)
						}
						all, records, err := DecodeChunks(p.Frames)
						if err != nil || all.First != p.First || all.Count != p.Count || all.Incarnation != 7 {
							t.Errorf("%+v read as %+v, %v", p, all, err)
						}
						for _, r := range records {
							read[r.RequestNumber] = true
						}
						delete(stored, p.First)
						return nil
					}); err != nil {
						t.Fatal(err)
					}
				}
				for op := range lasts {
					if !read[op] {
						t.Errorf("operation %d was said to last", op)
					}
				}
				for first := range stored {
					t.Errorf("part %d was said to be stored", first)
				}
				if len(lasts) < 8 {
					t.Errorf("%d of 10 were kept", len(lasts))
				}
			})
		}
	}
}

// Parts that are cut, mixed or counted wrong are none.
func TestBadParts(t *testing.T) {
	frame := func(r intent.Record) []byte {
		b, err := AppendFrame(nil, &r)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	mark := func(run uint64, from int64, n int) []byte {
		return frame(intent.Record{Kind: intent.ChunkHeader, Incarnation: run, From: from, Count: n})
	}
	one := frame(intent.Record{Kind: intent.Intent, Incarnation: 1, RequestNumber: 1, RequestID: "x"})
	join := func(parts ...[]byte) []byte { return bytes.Join(parts, nil) }
	for name, c := range map[string]struct {
		body []byte
		n    int // records; 0: it is none
	}{
		"one":                       {join(mark(1, 1, 1), one), 1},
		"two, one behind the other": {join(mark(1, 1, 1), one, mark(1, 2, 2), one, one), 3},
		"nothing":                   {nil, 0},
		"no number":                 {one, 0},
		"too few":                   {join(mark(1, 1, 2), one), 0},
		"too many":                  {join(mark(1, 1, 1), one, one), 0},
		"a hole":                    {join(mark(1, 1, 1), one, mark(1, 3, 1), one), 0},
		"of two lives":              {join(mark(1, 1, 1), one, mark(2, 2, 1), one), 0},
		"a number within":           {join(mark(1, 1, 2), one, mark(1, 3, 1), one), 0},
		"cut off":                   {join(mark(1, 1, 1), one)[:40], 0},
		"from 0":                    {join(mark(1, 0, 1), one), 0},
	} {
		t.Run(name, func(t *testing.T) {
			p, _, err := DecodeChunks(c.body)
			if (err == nil) != (c.n > 0) || err == nil && p.Count != c.n {
				t.Errorf("%d records, %v", p.Count, err)
			}
		})
	}
}
