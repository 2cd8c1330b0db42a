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

// Appends numbered records to a disk that fails once, at each of its operations in turn. Sequence numbers must have no
// gaps, chunks passed to OnChunk must be stored unchanged, and committed records must be readable.
func TestNumberedRecordsUnderFaults(t *testing.T) {
	for _, fault := range []memdisk.Fault{memdisk.None, memdisk.Short, memdisk.Full, memdisk.WrittenButFailed} {
		for at := range 12 {
			t.Run(fmt.Sprintf("%d at %d", fault, at), func(t *testing.T) {
				disk := memdisk.New()
				disk.FaultOf = func(n int) memdisk.Fault {
					if n == at {
						return fault
					}
					return memdisk.None
				}
				var mu sync.Mutex
				passedOn, stored := map[uint64][]byte{}, map[uint64]bool{}
				next := uint64(1)
				options := Options{Dir: "j", FileSystem: disk, Fsync: true, MaxSegmentBytes: 600, Incarnation: 7, RetryInterval: time.Millisecond,
					OnChunk: func(first uint64, n int, frames []byte, _ bool) {
						mu.Lock()
						defer mu.Unlock()
						if first != next {
							t.Errorf("OnChunk: got first record %d, want %d", first, next)
						}
						next = first + uint64(n)
						passedOn[first] = frames
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
				committed := map[uint64]bool{} // by request number
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
				segments, err := ListSegments(disk, "j")
				if err != nil {
					t.Fatal(err)
				}
				for _, s := range segments {
					if _, err := ScanChunks(disk, s, func(c Chunk) error {
						if !bytes.Equal(c.Frames, passedOn[c.First]) {
							t.Errorf("chunk %d: stored frames differ from those passed to OnChunk", c.First)
						}
						decoded, records, err := DecodeChunks(c.Frames)
						if err != nil || decoded.First != c.First || decoded.Count != c.Count || decoded.Incarnation != 7 {
							t.Errorf("chunk %+v decoded as %+v, error %v", c, decoded, err)
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
						t.Errorf("request %d was committed but not found by the scan", number)
					}
				}
				for first := range stored {
					t.Errorf("chunk %d was reported to OnStored but not found by the scan", first)
				}
				if len(committed) < 8 {
					t.Errorf("got %d of 10 requests committed, want at least 8", len(committed))
				}
			})
		}
	}
}

// DecodeChunks rejects chunks that are truncated, not consecutive, of several incarnations, or have a wrong record count.
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
	record := frame(intent.Record{Kind: intent.Intent, Incarnation: 1, RequestNumber: 1, RequestID: "x"})
	join := func(frames ...[]byte) []byte { return bytes.Join(frames, nil) }
	for name, c := range map[string]struct {
		frames []byte
		count  int // number of records; 0: invalid
	}{
		"one":                 {join(header(1, 1, 1), record), 1},
		"two in sequence":     {join(header(1, 1, 1), record, header(1, 2, 2), record, record), 3},
		"nothing":             {nil, 0},
		"no header":           {record, 0},
		"too few":             {join(header(1, 1, 2), record), 0},
		"too many":            {join(header(1, 1, 1), record, record), 0},
		"a sequence gap":      {join(header(1, 1, 1), record, header(1, 3, 1), record), 0},
		"of two incarnations": {join(header(1, 1, 1), record, header(2, 2, 1), record), 0},
		"a header within":     {join(header(1, 1, 2), record, header(1, 3, 1), record), 0},
		"cut off":             {join(header(1, 1, 1), record)[:40], 0},
		"from 0":              {join(header(1, 0, 1), record), 0},
	} {
		t.Run(name, func(t *testing.T) {
			chunk, _, err := DecodeChunks(c.frames)
			if (err == nil) != (c.count > 0) || err == nil && chunk.Count != c.count {
				t.Errorf("got %d records, error %v", chunk.Count, err)
			}
		})
	}
}
