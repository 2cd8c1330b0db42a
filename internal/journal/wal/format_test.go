package wal_test

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"fernvane/internal/journal/intent"
	. "fernvane/internal/journal/wal"
)

// storedSegment was written by an earlier build (7af5c59), to detect changes of the stored format.
const storedSegment = "00000000000000000001.bindings"

// storedRecords returns the records of storedSegment: one of each kind, with each field set in at least one of them.
func storedRecords() []intent.Record {
	const incarnation, at = 1_800_000_000_000_000_007, 1_800_000_000_000_000_100
	return []intent.Record{
		{Kind: intent.Unsent, Incarnation: incarnation, RequestNumber: 1, AtUnixNano: at, RequestID: "id-1", Tenant: "dairy", Type: "hire-book"},
		{Kind: intent.ClientNotified, Incarnation: incarnation, RequestNumber: 1, AtUnixNano: at + 1, RequestID: "id-1", Tenant: "dairy", Type: "hire-book", Outcome: "denied"},
		{Kind: intent.Intent, Incarnation: incarnation, RequestNumber: 2, Attempt: 1, AtUnixNano: at + 2, RequestID: "id-2", Tenant: "mill", Type: "hire-pay", Server: "s-17", RepeatOf: "id-0", IsRetry: true},
		{Kind: intent.AttemptEnded, Incarnation: incarnation, RequestNumber: 2, Attempt: 1, AtUnixNano: at + 3, Server: "s-17", Outcome: "answered", Proof: intent.Ran},
		{Kind: intent.Reconciled, Incarnation: incarnation, RequestNumber: 2, Attempt: 3, AtUnixNano: at + 4, Server: "s-18", Proof: intent.NeverRan},
		{Kind: intent.Gap, Incarnation: incarnation, AtUnixNano: at + 5, From: at - 50, Count: 12},
		{Kind: intent.ChunkHeader, Incarnation: incarnation, AtUnixNano: at + 6, From: 41, Count: 1},
		{Kind: intent.Intent, Incarnation: incarnation, RequestNumber: 70_000, Attempt: 63, AtUnixNano: at + 7, RequestID: "id-3", Tenant: "t", Type: "y", Server: "s", RepeatOf: "r", IsRetry: true, Outcome: "h", Proof: intent.NeverRan, From: -9, Count: 300},
	}
}

func TestReadStoredSegment(t *testing.T) {
	var got []intent.Record
	report, err := Scan(OSFileSystem{}, "testdata", time.Time{}, func(r *intent.Record) error {
		got = append(got, *r)
		return nil
	}, nil)
	if err != nil || report.Segments != 1 || len(report.Unreadable) > 0 {
		t.Fatalf("scan: got report %+v, error %v, want one undamaged segment", report, err)
	}
	if want := storedRecords(); !reflect.DeepEqual(got, want) {
		t.Errorf("got records\n%+v, want\n%+v", got, want)
	}
}

func TestSegmentBytes(t *testing.T) {
	want, err := os.ReadFile(filepath.Join("testdata", storedSegment))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	l, err := Open(Options{Dir: dir, FileSystem: OSFileSystem{}, MaxSegmentBytes: 1 << 20, Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := l.Append(false, storedRecords()...); err != nil {
		t.Fatal(err)
	}
	l.Close()
	got, err := os.ReadFile(filepath.Join(dir, storedSegment))
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("got segment\n%x, want\n%x; error %v", got, want, err)
	}
}

// Numbered records are written after the header of their chunk. The header's time is the only part that depends on the
// clock.
func TestNumberedSegmentBytes(t *testing.T) {
	const incarnation = 1_800_000_000_000_000_007
	dir := t.TempDir()
	var passedOn []byte
	l, err := Open(Options{Dir: dir, FileSystem: OSFileSystem{}, MaxSegmentBytes: 1 << 20, Incarnation: incarnation,
		OnChunk:  func(_ uint64, _ int, frames []byte, _ bool) { passedOn = append(passedOn, frames...) },
		OnStored: func(uint64, int) {}})
	if err != nil {
		t.Fatal(err)
	}
	records := storedRecords()[:5]
	commit, err := l.Append(true, records...)
	if err != nil {
		t.Fatal(err)
	}
	if <-commit.Done(); commit.Err() != nil || commit.SequenceNumber() != 5 {
		t.Errorf("got sequence number %d and error %v, want 5 and no error", commit.SequenceNumber(), commit.Err())
	}
	l.Close()
	got, err := os.ReadFile(filepath.Join(dir, storedSegment))
	if err != nil {
		t.Fatal(err)
	}
	chunk, _, err := DecodeChunks(got)
	if err != nil || chunk.Incarnation != incarnation || chunk.First != 1 || chunk.Count != 5 || chunk.AtUnixNano == 0 {
		t.Fatalf("decode chunks: got %+v, error %v", chunk, err)
	}
	var want []byte
	for _, r := range append([]intent.Record{{Kind: intent.ChunkHeader, Incarnation: incarnation, AtUnixNano: chunk.AtUnixNano, From: 1, Count: 5}}, records...) {
		if want, err = AppendFrame(want, &r); err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(got, want) || !bytes.Equal(passedOn, want) {
		t.Errorf("got segment\n%x, OnChunk frames\n%x, want\n%x", got, passedOn, want)
	}
}

// The stored numbers of kinds and proofs, and the printed names of states, must not change.
func TestStoredNumbers(t *testing.T) {
	for i, k := range []intent.Kind{intent.Unsent, intent.Intent, intent.AttemptEnded, intent.ClientNotified, intent.Reconciled, intent.Gap, intent.ChunkHeader} {
		if int(k) != i+1 {
			t.Errorf("kind: want stored number %d, got %d", i+1, k)
		}
	}
	for i, p := range []intent.Proof{intent.PossiblyRan, intent.Ran, intent.NeverRan} {
		if int(p) != i {
			t.Errorf("proof: want stored number %d, got %d", i, p)
		}
	}
	for name, s := range map[string]intent.State{"not-sent": intent.NotSent, "possibly-sent": intent.PossiblySent, "ran": intent.HasRun, "not-known": intent.Unknown} {
		if s.String() != name {
			t.Errorf("state: want name %q, got %q", name, s)
		}
	}
	if MaxChunkRecords != 1024 || DurabilityMachines != "machines" {
		t.Errorf("got MaxChunkRecords %d and durability %q, want 1024 and \"machines\"", MaxChunkRecords, DurabilityMachines)
	}
}
