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

// Records are appended faster than a slow disk writes them: Append blocks, all records are stored, and no gap is
// recorded.
func TestSlowDisk(t *testing.T) {
	dir := t.TempDir()
	slow := memdisk.SlowFiles{WriteDelay: func() time.Duration { return 30 * time.Millisecond }, Full: func() bool { return false }}
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
		t.Errorf("Append after Close: got error %v, want wal.ErrClosed", err)
	}
	var found replication.Ranges
	if _, err := s.ReadStream(stream, func(c wal.Chunk) error {
		found = found.With(c.First, c.First+uint64(c.Count))
		return nil
	}); err != nil || !found.Contains(1, next) {
		t.Errorf("got stored records %v, want all %d, error %v", found, next-1, err)
	}
	gaps := 0
	wal.Scan(wal.OSFileSystem{}, s.StreamDir(stream), time.Time{}, func(r *intent.Record) error {
		if r.Kind == intent.Gap {
			gaps++
		}
		return nil
	}, nil)
	if streams, err := s.Streams(); gaps > 0 || err != nil || len(streams) != 1 || streams[0] != stream {
		t.Errorf("got %d gaps, want 0; got streams %v, error %v, want one stream", gaps, streams, err)
	}
	if err := s.TrimBefore(stream, next); err != nil {
		t.Fatal(err)
	}
	if segments, _ := wal.ListSegments(slow, s.StreamDir(stream)); len(segments) != 1 {
		t.Errorf("got %d segments after TrimBefore, want 1", len(segments))
	}
	if err := s.Remove(stream); err != nil {
		t.Fatal(err)
	}
	if streams, _ := s.Streams(); len(streams) != 0 {
		t.Errorf("got streams %v after Remove, want none", streams)
	}
}
