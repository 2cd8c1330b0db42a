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

// storedSegment is a file written by the build of 7af5c59, before the journal's types were renamed.
const storedSegment = "00000000000000000001.bindings"

// storedRecords are the records of that file: one of each kind, with each field set in at least one of them.
func storedRecords() []intent.Record {
	const run, at = 1_800_000_000_000_000_007, 1_800_000_000_000_000_100
	return []intent.Record{
		{Kind: intent.Unsent, Incarnation: run, RequestNumber: 1, AtUnixNano: at, RequestID: "id-1", Tenant: "dairy", Type: "hire-book"},
		{Kind: intent.ClientNotified, Incarnation: run, RequestNumber: 1, AtUnixNano: at + 1, RequestID: "id-1", Tenant: "dairy", Type: "hire-book", Outcome: "denied"},
		{Kind: intent.Intent, Incarnation: run, RequestNumber: 2, Attempt: 1, AtUnixNano: at + 2, RequestID: "id-2", Tenant: "mill", Type: "hire-pay", Server: "s-17", RepeatOf: "id-0", IsRetry: true},
		{Kind: intent.AttemptEnded, Incarnation: run, RequestNumber: 2, Attempt: 1, AtUnixNano: at + 3, Server: "s-17", Outcome: "answered", Proof: intent.Ran},
		{Kind: intent.Reconciled, Incarnation: run, RequestNumber: 2, Attempt: 3, AtUnixNano: at + 4, Server: "s-18", Proof: intent.NeverRan},
		{Kind: intent.Gap, Incarnation: run, AtUnixNano: at + 5, From: at - 50, Count: 12},
		{Kind: intent.ChunkHeader, Incarnation: run, AtUnixNano: at + 6, From: 41, Count: 1},
		{Kind: intent.Intent, Incarnation: run, RequestNumber: 70_000, Attempt: 63, AtUnixNano: at + 7, RequestID: "id-3", Tenant: "t", Type: "y", Server: "s", RepeatOf: "r", IsRetry: true, Outcome: "h", Proof: intent.NeverRan, From: -9, Count: 300},
	}
}

func TestStoredSegmentIsRead(t *testing.T) {
	var got []intent.Record
	report, err := Scan(OSFileSystem{}, "testdata", time.Time{}, func(r *intent.Record) error {
		got = append(got, *r)
		return nil
	}, nil)
	if err != nil || report.Segments != 1 || len(report.Unreadable) > 0 {
		t.Fatalf("%+v, %v", report, err)
	}
	if want := storedRecords(); !reflect.DeepEqual(got, want) {
		t.Errorf("read as\n%+v, not\n%+v", got, want)
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
		t.Errorf("written as\n%x, not\n%x; %v", got, want, err)
	}
}

// Numbered records are written behind the header of their chunk, whose time is the only part that the clock decides.
func TestNumberedSegmentBytes(t *testing.T) {
	const run = 1_800_000_000_000_000_007
	dir := t.TempDir()
	var copied []byte
	l, err := Open(Options{Dir: dir, FileSystem: OSFileSystem{}, MaxSegmentBytes: 1 << 20, Incarnation: run,
		OnChunk:  func(_ uint64, _ int, frames []byte, _ bool) { copied = append(copied, frames...) },
		OnStored: func(uint64, int) {}})
	if err != nil {
		t.Fatal(err)
	}
	records := storedRecords()[:5]
	w, err := l.Append(true, records...)
	if err != nil {
		t.Fatal(err)
	}
	if <-w.Done(); w.Err() != nil || w.SequenceNumber() != 5 {
		t.Errorf("number %d, %v", w.SequenceNumber(), w.Err())
	}
	l.Close()
	got, err := os.ReadFile(filepath.Join(dir, storedSegment))
	if err != nil {
		t.Fatal(err)
	}
	all, _, err := DecodeChunks(got)
	if err != nil || all.Incarnation != run || all.First != 1 || all.Count != 5 || all.AtUnixNano == 0 {
		t.Fatalf("%+v, %v", all, err)
	}
	var want []byte
	for _, r := range append([]intent.Record{{Kind: intent.ChunkHeader, Incarnation: run, AtUnixNano: all.AtUnixNano, From: 1, Count: 5}}, records...) {
		if want, err = AppendFrame(want, &r); err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(got, want) || !bytes.Equal(copied, want) {
		t.Errorf("written as\n%x, copied as\n%x, not\n%x", got, copied, want)
	}
}

// Kinds and proofs are stored as numbers; states are printed by name.
func TestStoredNumbers(t *testing.T) {
	for i, k := range []intent.Kind{intent.Unsent, intent.Intent, intent.AttemptEnded, intent.ClientNotified, intent.Reconciled, intent.Gap, intent.ChunkHeader} {
		if int(k) != i+1 {
			t.Errorf("kind %d is stored as %d", i+1, k)
		}
	}
	for i, p := range []intent.Proof{intent.PossiblyRan, intent.Ran, intent.NeverRan} {
		if int(p) != i {
			t.Errorf("proof %d is stored as %d", i, p)
		}
	}
	for name, s := range map[string]intent.State{"not-sent": intent.NotSent, "possibly-sent": intent.PossiblySent, "ran": intent.HasRun, "not-known": intent.Unknown} {
		if s.String() != name {
			t.Errorf("%q is printed as %q", name, s)
		}
	}
	if MaxChunkRecords != 1024 || PromiseMachines != "machines" {
		t.Errorf("chunks of %d, promise %q", MaxChunkRecords, PromiseMachines)
	}
}
