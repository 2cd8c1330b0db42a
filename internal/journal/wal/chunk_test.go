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

// Numbered records on a disk that fails once, at each of its operations: numbers have no holes, chunks that were handed on
// are on disk as they were, and what was committed can be read.
func TestNumberedRecordsUnderFaults(t *testing.T) {
	for _, fault := range []memdisk.Fault{memdisk.None, memdisk.Short, memdisk.Full, memdisk.Lying} {
		for at := range 12 {
			t.Run(fmt.Sprintf("%d at %d", fault, at), func(t *testing.T) {
				d := memdisk.New()
				d.Meet = func(n int) memdisk.Fault {
					if n == at {
						return fault
					}
					return memdisk.None
				}
				var mu sync.Mutex
				handedOn, stored := map[uint64][]byte{}, map[uint64]bool{}
				next := uint64(1)
				options := Options{Dir: "j", FileSystem: d, Fsync: true, MaxSegmentBytes: 600, Incarnation: 7, RetryInterval: time.Millisecond,
					OnChunk: func(first uint64, n int, frames []byte, _ bool) {
						mu.Lock()
						defer mu.Unlock()
						if first != next {
							t.Errorf("%d behind %d", first, next)
						}
						next = first + uint64(n)
						handedOn[first] = frames
					},
					OnStored: func(first uint64, _ int) {
						mu.Lock()
						defer mu.Unlock()
						stored[first] = true
					}}
				l, err := Open(options)
				for err != nil {
					l, err = Open(options)
				}
				committed := map[uint64]bool{} // requests
				for number := uint64(1); number <= 10; number++ {
					commit, err := l.Append(true, intent.Record{Kind: intent.Intent, Incarnation: 7, RequestNumber: number, RequestID: fmt.Sprint(number), Server: "s"})
					if err != nil {
						time.Sleep(2 * time.Millisecond)
						continue
					}
					<-commit.Done()
					if commit.Err() == nil {
						committed[number] = true
					}
				}
				l.Close()
				read := map[uint64]bool{}
				segments, err := ListSegments(d, "j")
				if err != nil {
					t.Fatal(err)
				}
				for _, s := range segments {
					if _, err := ScanChunks(d, s, func(c Chunk) error {
						if !bytes.Equal(c.Frames, handedOn[c.First]) {
							t.Errorf("chunk %d is not on disk as it was handed on", c.First)
						}
						all, records, err := DecodeChunks(c.Frames)
						if err != nil || all.First != c.First || all.Count != c.Count || all.Incarnation != 7 {
							t.Errorf("%+v read as %+v, %v", c, all, err)
						}
						for _, r := range records {
							read[r.RequestNumber] = true
						}
						delete(stored, c.First)
						return nil
					}); err != nil {
						t.Fatal(err)
					}
				}
				for number := range committed {
					if !read[number] {
						t.Errorf("request %d was committed, and is not read", number)
					}
				}
				for first := range stored {
					t.Errorf("chunk %d was reported as stored, and is not read", first)
				}
				if len(committed) < 8 {
					t.Errorf("%d of 10 were committed", len(committed))
				}
			})
		}
	}
}

// Chunks that are cut, mixed or counted wrong are rejected.
func TestInvalidChunks(t *testing.T) {
	frame := func(r intent.Record) []byte {
		b, err := AppendFrame(nil, &r)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	header := func(incarnation uint64, from int64, n int) []byte {
		return frame(intent.Record{Kind: intent.ChunkHeader, Incarnation: incarnation, From: from, Count: n})
	}
	one := frame(intent.Record{Kind: intent.Intent, Incarnation: 1, RequestNumber: 1, RequestID: "x"})
	join := func(frames ...[]byte) []byte { return bytes.Join(frames, nil) }
	for name, c := range map[string]struct {
		frames []byte
		count  int // of records; 0: it is invalid
	}{
		"one":                 {join(header(1, 1, 1), one), 1},
		"two in sequence":     {join(header(1, 1, 1), one, header(1, 2, 2), one, one), 3},
		"nothing":             {nil, 0},
		"no header":           {one, 0},
		"too few":             {join(header(1, 1, 2), one), 0},
		"too many":            {join(header(1, 1, 1), one, one), 0},
		"a hole":              {join(header(1, 1, 1), one, header(1, 3, 1), one), 0},
		"of two incarnations": {join(header(1, 1, 1), one, header(2, 2, 1), one), 0},
		"a header within":     {join(header(1, 1, 2), one, header(1, 3, 1), one), 0},
		"cut off":             {join(header(1, 1, 1), one)[:40], 0},
		"from 0":              {join(header(1, 0, 1), one), 0},
	} {
		t.Run(name, func(t *testing.T) {
			chunk, _, err := DecodeChunks(c.frames)
			if (err == nil) != (c.count > 0) || err == nil && chunk.Count != c.count {
				t.Errorf("%d records, %v", chunk.Count, err)
			}
		})
	}
}
