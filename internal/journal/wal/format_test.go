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
		{Kind: intent.Unsent, Run: run, Op: 1, At: at, ID: "id-1", Tenant: "dairy", Type: "hire-book"},
		{Kind: intent.Told, Run: run, Op: 1, At: at + 1, ID: "id-1", Tenant: "dairy", Type: "hire-book", How: "denied"},
		{Kind: intent.Intent, Run: run, Op: 2, Hop: 1, At: at + 2, ID: "id-2", Tenant: "mill", Type: "hire-pay", Server: "s-17", Repeats: "id-0", Retry: true},
		{Kind: intent.Ended, Run: run, Op: 2, Hop: 1, At: at + 3, Server: "s-17", How: "answered", Proof: intent.Ran},
		{Kind: intent.Settled, Run: run, Op: 2, Hop: 3, At: at + 4, Server: "s-18", Proof: intent.Never},
		{Kind: intent.Gap, Run: run, At: at + 5, From: at - 50, N: 12},
		{Kind: intent.Numbered, Run: run, At: at + 6, From: 41, N: 1},
		{Kind: intent.Intent, Run: run, Op: 70_000, Hop: 63, At: at + 7, ID: "id-3", Tenant: "t", Type: "y", Server: "s", Repeats: "r", Retry: true, How: "h", Proof: intent.Never, From: -9, N: 300},
	}
}

func TestStoredSegmentIsRead(t *testing.T) {
	var got []intent.Record
	report, err := Scan(OS{}, "testdata", time.Time{}, func(r *intent.Record) error {
		got = append(got, *r)
		return nil
	}, nil)
	if err != nil || report.Segments != 1 || len(report.Faults) > 0 {
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
	l, err := Open(Options{Dir: dir, Files: OS{}, SegmentBytes: 1 << 20, Run: 1})
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
	l, err := Open(Options{Dir: dir, Files: OS{}, SegmentBytes: 1 << 20, Run: run,
		Copy:   func(_ uint64, _ int, frames []byte, _ bool) { copied = append(copied, frames...) },
		Stored: func(uint64, int) {}})
	if err != nil {
		t.Fatal(err)
	}
	records := storedRecords()[:5]
	w, err := l.Append(true, records...)
	if err != nil {
		t.Fatal(err)
	}
	if <-w.Done(); w.Err() != nil || w.Number() != 5 {
		t.Errorf("number %d, %v", w.Number(), w.Err())
	}
	l.Close()
	got, err := os.ReadFile(filepath.Join(dir, storedSegment))
	if err != nil {
		t.Fatal(err)
	}
	all, _, err := ReadParts(got)
	if err != nil || all.Run != run || all.First != 1 || all.N != 5 || all.At == 0 {
		t.Fatalf("%+v, %v", all, err)
	}
	var want []byte
	for _, r := range append([]intent.Record{{Kind: intent.Numbered, Run: run, At: all.At, From: 1, N: 5}}, records...) {
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
	for i, k := range []intent.Kind{intent.Unsent, intent.Intent, intent.Ended, intent.Told, intent.Settled, intent.Gap, intent.Numbered} {
		if int(k) != i+1 {
			t.Errorf("kind %d is stored as %d", i+1, k)
		}
	}
	for i, p := range []intent.Proof{intent.Possibly, intent.Ran, intent.Never} {
		if int(p) != i {
			t.Errorf("proof %d is stored as %d", i, p)
		}
	}
	for name, s := range map[string]intent.State{"not-sent": intent.NotSent, "possibly-sent": intent.PossiblySent, "ran": intent.HasRun, "not-known": intent.NotKnown} {
		if s.String() != name {
			t.Errorf("%q is printed as %q", name, s)
		}
	}
	if PartMost != 1024 || Machines != "machines" {
		t.Errorf("chunks of %d, promise %q", PartMost, Machines)
	}
}
