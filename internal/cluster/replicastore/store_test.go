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

// More comes at once than a slow disk takes: Append blocks, everything is stored in the end, and no gap is recorded.
func TestSlowDisk(t *testing.T) {
	dir := t.TempDir()
	slow := memdisk.SlowFiles{Takes: func() time.Duration { return 30 * time.Millisecond }, Full: func() bool { return false }}
	s := Open(dir, slow, 1<<20)
	stream := replication.Stream{Name: "n0", Incarnation: 7}
	next := uint64(1)
	var commits []*wal.Commit
	for range 40 {
		records := []intent.Record{{Kind: intent.ChunkHeader, Incarnation: 7, From: int64(next), Count: 999}}
		for range 999 {
			records = append(records, intent.Record{Kind: intent.Intent, Incarnation: 7, RequestNumber: next, RequestID: "x", Server: "s"})
			next++
		}
		commit, err := s.Append(stream, records)
		if err != nil {
			t.Fatal(err)
		}
		commits = append(commits, commit)
	}
	for _, commit := range commits {
		if <-commit.Done(); commit.Err() != nil {
			t.Fatal(commit.Err())
		}
	}
	s.Close()
	if _, err := s.Append(stream, nil); !errors.Is(err, wal.ErrClosed) {
		t.Errorf("after Close: %v", err)
	}
	var found replication.Ranges
	if _, err := s.ReadStream(stream, func(c wal.Chunk) error {
		found = found.With(c.First, c.First+uint64(c.Count))
		return nil
	}); err != nil || !found.Contains(1, next) {
		t.Errorf("%v of %d records are stored, %v", found, next-1, err)
	}
	gaps := 0
	wal.Scan(wal.OSFileSystem{}, s.StreamDir(stream), time.Time{}, func(r *intent.Record) error {
		if r.Kind == intent.Gap {
			gaps++
		}
		return nil
	}, nil)
	if streams, err := s.Streams(); gaps > 0 || err != nil || len(streams) != 1 || streams[0] != stream {
		t.Errorf("%d gaps, streams %v, %v", gaps, streams, err)
	}
	if err := s.TrimBefore(stream, next); err != nil {
		t.Fatal(err)
	}
	if segments, _ := wal.ListSegments(slow, s.StreamDir(stream)); len(segments) != 1 {
		t.Errorf("%d segments are left of records that are not needed", len(segments))
	}
	if err := s.Remove(stream); err != nil {
		t.Fatal(err)
	}
	if streams, _ := s.Streams(); len(streams) != 0 {
		t.Errorf("streams %v are left", streams)
	}
}
