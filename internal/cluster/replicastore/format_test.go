package replicastore

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"fernvane/internal/cluster/replication"
	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
)

const (
	storedSegment = "00000000000000000001.bindings"
	storedRun     = 1_800_000_000_000_000_007
	storedAt      = 1_800_000_000_000_000_100
)

// storedStreams returns the records of the replicas under testdata, which commit 7af5c59 wrote: a node's stream in two
// chunks, and another node's reconciliation of it.
func storedStreams() map[replication.Stream][][]intent.Record {
	return map[replication.Stream][][]intent.Record{
		{Name: "n0", Incarnation: storedRun}: {
			{
				{Kind: intent.ChunkHeader, Incarnation: storedRun, AtUnixNano: storedAt, From: 1, Count: 2},
				{Kind: intent.Intent, Incarnation: storedRun, RequestNumber: 2, Attempt: 1, AtUnixNano: storedAt + 2, RequestID: "id-2", Tenant: "mill", Type: "hire-pay", Server: "s-17", RepeatOf: "id-0", IsRetry: true},
				{Kind: intent.AttemptEnded, Incarnation: storedRun, RequestNumber: 2, Attempt: 1, AtUnixNano: storedAt + 3, Server: "s-17", Outcome: "answered", Proof: intent.Ran},
			},
			{
				{Kind: intent.ChunkHeader, Incarnation: storedRun, AtUnixNano: storedAt + 9, From: 3, Count: 1},
				{Kind: intent.ClientNotified, Incarnation: storedRun, RequestNumber: 2, AtUnixNano: storedAt + 4, Outcome: "handled", Count: 2},
			},
		},
		{Name: "n0~n1", Incarnation: storedRun}: {
			{
				{Kind: intent.ChunkHeader, Incarnation: storedRun, AtUnixNano: storedAt + 20, From: 1, Count: 1},
				{Kind: intent.Reconciled, Incarnation: storedRun, RequestNumber: 5, Attempt: 3, AtUnixNano: storedAt + 19, Server: "s-18", Proof: intent.NeverRan},
			},
		},
	}
}

func TestStoredReplicasAreRead(t *testing.T) {
	s := Open("testdata", wal.OSFileSystem{}, 1<<20)
	defer s.Close()
	streams, err := s.Streams()
	if err != nil || !reflect.DeepEqual(streams, []replication.Stream{{Name: "n0", Incarnation: storedRun}, {Name: "n0~n1", Incarnation: storedRun}}) {
		t.Fatalf("Streams: got %v, error %v, want the two under testdata", streams, err)
	}
	for stream, want := range storedStreams() {
		t.Run(stream.String(), func(t *testing.T) {
			var got [][]intent.Record
			report, err := s.ReadStream(stream, func(chunk wal.Chunk) error {
				decoded, records, err := wal.DecodeChunks(chunk.Frames)
				if err != nil {
					return err
				}
				first := records[0]
				if decoded.Incarnation != chunk.Incarnation || chunk.Incarnation != storedRun || chunk.First != uint64(first.From) || chunk.Count != first.Count || chunk.AtUnixNano != first.AtUnixNano {
					t.Errorf("chunk %+v does not match the decoded chunk %+v", chunk, decoded)
				}
				got = append(got, records)
				return nil
			})
			if err != nil || len(report.Unreadable) > 0 || report.Segments != 1 {
				t.Fatalf("ReadStream: got report %+v, error %v, want one undamaged segment", report, err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got records\n%+v, want\n%+v", got, want)
			}
		})
	}
}

func TestReplicaBytes(t *testing.T) {
	dir := t.TempDir()
	s := Open(dir, wal.OSFileSystem{}, 1<<20)
	for stream, chunks := range storedStreams() {
		for _, records := range chunks {
			commit, err := s.Append(stream, records)
			if err != nil {
				t.Fatal(err)
			}
			if <-commit.Done(); commit.Err() != nil {
				t.Fatal(commit.Err())
			}
		}
	}
	s.Close()
	for _, folder := range []string{"n0@1800000000000000007", "n0~n1@1800000000000000007"} {
		want, err := os.ReadFile(filepath.Join("testdata", folder, storedSegment))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(filepath.Join(dir, folder, storedSegment)); err != nil || !bytes.Equal(got, want) {
			t.Errorf("segment in %s: got\n%x, want\n%x, error %v", folder, got, want, err)
		}
	}
}
