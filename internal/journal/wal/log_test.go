package wal_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fernvane/internal/journal/intent"
	. "fernvane/internal/journal/wal"
	"fernvane/internal/testbed/standin/memdisk"
)

// Injects each fault at each write, sync and creation of a scripted run, for one operation, for several or for all later
// ones, and crashes the machine at the end. Committed intents must be readable, and no entry may claim more than is true.
func TestEachOperationFails(t *testing.T) {
	plain := memdisk.New()
	l := openLog(t, plain, 600)
	runScript(l, 24)
	l.Close()
	if plain.Operations() < 40 {
		t.Fatalf("script: got %d disk operations, want at least 40", plain.Operations())
	}
	cases := 0
	for n := 1; n <= plain.Operations(); n++ {
		for _, fault := range []memdisk.Fault{memdisk.Short, memdisk.Full, memdisk.WrittenButFailed, memdisk.MachineCrash} {
			for _, duration := range []int{1, 3, 1 << 30} {
				cases++
				what := fmt.Sprintf("fault %d at %d for %d", fault, n, duration)
				d := memdisk.New()
				d.FaultOf = func(operation int) memdisk.Fault {
					if operation >= n && operation < n+duration {
						return fault
					}
					return memdisk.None
				}
				l := openLog(t, d, 600)
				requests := runScript(l, 24)
				if l != nil {
					l.Close()
				}
				d.Crash(rand.New(rand.NewPCG(uint64(n), uint64(fault))))
				report, all := checkClaims(t, d, requests, what)
				for number := range requests.sent {
					if all[number] == nil {
						t.Fatalf("%s: intent of request %d was committed but not found by the scan", what, number)
					}
				}
				if report.CorruptCount() > 0 && fault != memdisk.Short {
					t.Fatalf("%s: got unreadable ranges %v, want none but torn ends", what, report.Unreadable)
				}
				d.FaultOf = func(int) memdisk.Fault { return memdisk.None }
				if second := openLog(t, d, 600); second == nil { // the journal must be writable again
					t.Fatalf("%s: reopen journal on a disk without faults: got an error, want none", what)
				} else {
					second.Close()
				}
			}
		}
	}
	t.Logf("%d cases", cases)
}

// Compares the journal with a list in memory: after any sequence of appends, rotations and reopenings, all records are read
// back in order.
func TestReadBackMatchesAppended(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := memdisk.New()
		var want []string
		for incarnation := range rapid.IntRange(1, 4).Draw(t, "incarnations") {
			l, err := Open(Options{Dir: "j", FileSystem: d, Fsync: rapid.Bool().Draw(t, "fsync"), MaxSegmentBytes: int64(rapid.IntRange(60, 900).Draw(t, "segment")), Incarnation: uint64(incarnation)})
			if err != nil {
				t.Fatal(err)
			}
			for number := range rapid.IntRange(0, 20).Draw(t, "requests") {
				id := rapid.StringN(0, 20, 40).Draw(t, "id")
				commit, err := l.Append(true, intent.Record{Kind: intent.Intent, Incarnation: uint64(incarnation), RequestNumber: uint64(number), RequestID: id})
				if err != nil {
					t.Fatal(err)
				}
				want = append(want, fmt.Sprint(incarnation, number, id))
				if rapid.Bool().Draw(t, "awaited") {
					<-commit.Done()
				}
			}
			l.Close()
		}
		var got []string
		if _, err := Scan(d, "j", time.Time{}, func(r *intent.Record) error {
			got = append(got, fmt.Sprint(r.Incarnation, r.RequestNumber, r.RequestID))
			return nil
		}, nil); err != nil || strings.Join(got, "|") != strings.Join(want, "|") {
			t.Fatalf("scan: error %v, got records %q, want %q", err, got, want)
		}
	})
}

// While the disk is full, records are rejected immediately; a Gap record counts them afterwards.
func TestGapAfterFailure(t *testing.T) {
	d := memdisk.New()
	health := make(chan error, 9)
	l, err := Open(Options{Dir: "j", FileSystem: d, MaxSegmentBytes: 1 << 20, RetryInterval: time.Millisecond, OnHealthChange: func(err error) { health <- err }})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d.SetFull(true)
	commit, err := l.Append(true, intent.Record{Kind: intent.Intent, RequestNumber: 1})
	if err != nil {
		t.Fatal(err)
	}
	if <-commit.Done(); !errors.Is(commit.Err(), memdisk.ErrDisk) || <-health == nil {
		t.Errorf("append to a full disk: got error %v, want memdisk.ErrDisk", commit.Err())
	}
	if _, err := l.Append(true, intent.Record{Kind: intent.Intent, RequestNumber: 2}); !errors.Is(err, ErrDiskFailing) || l.Failure() == nil {
		t.Errorf("append while failing: got error %v, want ErrDiskFailing", err)
	}
	d.SetFull(false)
	if err := <-health; err != nil || l.Failure() != nil {
		t.Errorf("after recovery: got health %v, failure %v, want none", err, l.Failure())
	}
	gap := 0
	Scan(d, "j", time.Time{}, func(r *intent.Record) error {
		if r.Kind == intent.Gap {
			gap += r.Count
		}
		return nil
	}, nil)
	if gap != 2 {
		t.Errorf("got %d records counted in gaps, want 2", gap)
	}
}

// Covers rotation, retention, a torn end and a concurrent reader on the operating system's file system.
func TestOnSystemDisk(t *testing.T) {
	dir := t.TempDir()
	l, err := Open(Options{Dir: dir, FileSystem: OSFileSystem{}, MaxSegmentBytes: 4 << 10, RetentionBytes: 16 << 10})
	if err != nil {
		t.Fatal(err)
	}
	for number := range uint64(2000) {
		commit, err := l.Append(true, intent.Record{Kind: intent.Intent, RequestNumber: number, RequestID: "0123456789abcdef", Server: "server"})
		if err != nil {
			t.Fatal(err)
		}
		<-commit.Done()
		if number == 1000 { // scan while the journal is open for writing
			if r, err := Scan(OSFileSystem{}, dir, time.Time{}, func(*intent.Record) error { return nil }, nil); err != nil || len(r.Unreadable) > 0 || r.Records == 0 {
				t.Errorf("scan while writing: got report %+v, error %v, want records without unreadable ranges", r, err)
			}
		}
	}
	l.Close()
	segments, err := ListSegments(OSFileSystem{}, dir)
	if err != nil || len(segments) < 3 || len(segments) > 6 {
		t.Fatalf("got %d segments, error %v, want 3 to 6 segments", len(segments), err)
	}
	last := segments[len(segments)-1]
	text, _ := os.ReadFile(last.Path)
	os.WriteFile(last.Path, text[:len(text)-5], 0o600)
	os.WriteFile(filepath.Join(dir, "notes.txt"), []byte("no segment"), 0o600)
	newest := uint64(0)
	r, err := Scan(OSFileSystem{}, dir, time.Time{}, func(r *intent.Record) error { newest = r.RequestNumber; return nil }, nil)
	if err != nil || newest != 1998 || len(r.Unreadable) != 1 || !r.Unreadable[0].IsTorn {
		t.Errorf("got newest request %d, unreadable ranges %v, error %v, want request 1998 and one torn end", newest, r.Unreadable, err)
	}
}
