package wal_test

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"testing"
	"time"

	"fernvane/internal/journal/intent"
	. "fernvane/internal/journal/wal"
	"fernvane/internal/testbed/standin/memdisk"
)

// Flips bits at random places: the damaged ranges are reported, all other records are read, and no entry claims more than
// is true.
func TestFlippedBits(t *testing.T) {
	for seed := range uint64(400) {
		d := memdisk.New()
		l := openLog(t, d, 900)
		requests := runScript(l, 24)
		l.Close()
		undamaged, _ := checkClaims(t, d, requests, "undamaged")
		random := rand.New(rand.NewPCG(seed, 5))
		flips := 1 + random.IntN(4)
		d.Flip(random, flips)
		r, _ := checkClaims(t, d, requests, fmt.Sprint("seed ", seed))
		if len(r.Unreadable) == 0 {
			t.Fatalf("seed %d: got no unreadable range, want at least one", seed)
		}
		if lost := undamaged.Records - r.Records; lost > 2*flips { // a damaged length may also cost the next record
			t.Fatalf("seed %d: %d flipped bits, got %d lost records, want at most two per bit", seed, flips, lost)
		}
	}
}

// retainingFileSystem removes the first segment after the segments were listed, like the retention of a running node.
type retainingFileSystem struct {
	FileSystem
	dir string
}

func (f retainingFileSystem) List(dir string) ([]FileInfo, error) {
	files, err := f.FileSystem.List(dir)
	if err == nil && len(files) > 0 {
		err = f.FileSystem.Remove(filepath.Join(f.dir, files[0].Name))
	}
	return files, err
}

// Guards against commands that fail on the journal of a running node because its retention removes a segment that they have listed.
func TestScanSkipsRemovedSegments(t *testing.T) {
	dir := t.TempDir()
	l, err := Open(Options{Dir: dir, FileSystem: OSFileSystem{}, MaxSegmentBytes: 900, Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	runScript(l, 24)
	l.Close()
	count := func(files FileSystem) ScanReport {
		t.Helper()
		report, err := Scan(files, dir, time.Time{}, func(*intent.Record) error { return nil }, nil)
		if err != nil {
			t.Fatalf("scan: %v", err)
		}
		return report
	}
	before := count(OSFileSystem{})
	after := count(retainingFileSystem{OSFileSystem{}, dir})
	if before.Segments < 3 || after.Records == 0 || after.Records >= before.Records || len(after.Unreadable) > 0 {
		t.Errorf("got %+v after the removal of one segment, before %+v", after, before)
	}
}

// Measures the recovery of a million entries: reads all segments and assembles the entries.
func BenchmarkRecover(b *testing.B) {
	dir := b.TempDir()
	appendEntries(b, dir, 1_000_000)
	b.ResetTimer()
	for b.Loop() {
		assembler, n := intent.NewAssembler(), 0
		r, err := Scan(OSFileSystem{}, dir, time.Time{}, func(r *intent.Record) error {
			if assembler.Add(r) != nil {
				n++
			}
			return nil
		}, nil)
		if err != nil || n != 1_000_000 {
			b.Fatal(n, err)
		}
		b.ReportMetric(float64(r.Bytes)/1e6, "MB")
	}
}
