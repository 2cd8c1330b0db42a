package wal_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fernvane/internal/journal/intent"
	. "fernvane/internal/journal/wal"
	"fernvane/internal/testbed/standin/memdisk"
)

// Bits flip anywhere: what is hit is reported, all else is read, and nothing more is claimed.
func TestFlippedBits(t *testing.T) {
	for seed := range uint64(400) {
		d := memdisk.New()
		l := open(t, d, 900)
		tr := script(l, 24)
		l.Close()
		undamaged, _ := checkClaims(t, d, tr, "undamaged")
		chance := rand.New(rand.NewPCG(seed, 5))
		flips := 1 + chance.IntN(4)
		d.Flip(chance, flips)
		r, _ := checkClaims(t, d, tr, fmt.Sprint("seed ", seed))
		if len(r.Unreadable) == 0 {
			t.Fatalf("seed %d: nothing was found", seed)
		}
		if lost := undamaged.Records - r.Records; lost > 2*flips { // a length that was hit may take the next one with it
			t.Fatalf("seed %d: %d flipped bits cost %d records", seed, flips, lost)
		}
	}
}

// Recovery of a million entries: all segments are read, and entries assembled.
func BenchmarkRecover(b *testing.B) {
	dir := b.TempDir()
	fill(b, dir, 1_000_000)
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
