package replicastore

import (
	"errors"
	"testing"
	"time"

	"fernvane/internal/cluster/replication"
	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
	"fernvane/internal/testbed/standin/memdisk"
)

// More comes at once than waits for a slow disk: it waits with it, all stands in the end, and nothing speaks of a gap. (In
// the lab a queue that was full was told as one: 3 million words in 553 cycles, all of which stood at other holders.)
func TestMoreThanTheDiskTakes(t *testing.T) {
	dir := t.TempDir()
	slow := memdisk.SlowFiles{Takes: func() time.Duration { return 30 * time.Millisecond }, Full: func() bool { return false }}
	s := Open(dir, slow, 1<<20)
	of := replication.Stream{Name: "n0", Incarnation: 7}
	next := uint64(1)
	var waits []*wal.Commit
	for range 40 {
		part := []intent.Record{{Kind: intent.ChunkHeader, Incarnation: 7, From: int64(next), Count: 999}}
		for range 999 {
			part = append(part, intent.Record{Kind: intent.Intent, Incarnation: 7, RequestNumber: next, RequestID: "x", Server: "s"})
			next++
		}
		w, err := s.Append(of, part)
		if err != nil {
			t.Fatal(err)
		}
		waits = append(waits, w)
	}
	for _, w := range waits {
		if <-w.Done(); w.Err() != nil {
			t.Fatal(w.Err())
		}
	}
	s.Close()
	if _, err := s.Append(of, nil); !errors.Is(err, wal.ErrClosed) {
		t.Errorf("after the end: %v", err)
	}
	var found replication.Ranges
	if _, err := s.ReadStream(of, func(p wal.Chunk) error {
		found = found.With(p.First, p.First+uint64(p.Count))
		return nil
	}); err != nil || !found.Contains(1, next) {
		t.Errorf("%v of %d stand, %v", found, next-1, err)
	}
	gaps := 0
	wal.Scan(wal.OSFileSystem{}, s.StreamDir(of), time.Time{}, func(r *intent.Record) error {
		if r.Kind == intent.Gap {
			gaps++
		}
		return nil
	}, nil)
	if streams, err := s.Streams(); gaps > 0 || err != nil || len(streams) != 1 || streams[0] != of {
		t.Errorf("%d gaps, streams %v, %v", gaps, streams, err)
	}
	if err := s.TrimBefore(of, next); err != nil {
		t.Fatal(err)
	}
	if segments, _ := wal.ListSegments(slow, s.StreamDir(of)); len(segments) != 1 {
		t.Errorf("%d segments are left of what is no longer needed", len(segments))
	}
	if err := s.Remove(of); err != nil {
		t.Fatal(err)
	}
	if streams, _ := s.Streams(); len(streams) != 0 {
		t.Errorf("%v is left", streams)
	}
}
