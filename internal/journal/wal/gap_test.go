package wal_test

import (
	"sync/atomic"
	"testing"
	"time"

	"fernvane/internal/journal/intent"
	. "fernvane/internal/journal/wal"
	"fernvane/internal/testbed/standin/memdisk"
)

// countedInGaps returns the sum of the counts of all Gap records of a journal.
func countedInGaps(t *testing.T, d FileSystem) (count int) {
	t.Helper()
	if _, err := Scan(d, "j", time.Time{}, func(r *intent.Record) error {
		if r.Kind == intent.Gap {
			count += r.Count
		}
		return nil
	}, nil); err != nil {
		t.Fatal(err)
	}
	return count
}

// Guards against losing the count of missed records when the write of their Gap record fails, or when more records are
// missed during that write: the journal would then appear complete.
func TestGapsCountAllMissedRecords(t *testing.T) {
	const missedBefore = 5
	var l *Log
	var isFull, missesMore atomic.Bool
	var missedDuringWrite atomic.Int32
	d := memdisk.New()
	d.FaultOf = func(int) memdisk.Fault {
		if isFull.Load() {
			return memdisk.Full
		}
		if missesMore.Load() { // at each operation, including the write of the Gap record
			l.CountMissed()
			missedDuringWrite.Add(1)
		}
		return memdisk.None
	}
	health := make(chan error, 9)
	l, err := Open(Options{Dir: "j", FileSystem: d, Fsync: true, MaxSegmentBytes: 1 << 20, RetryInterval: time.Millisecond, OnHealthChange: func(err error) { health <- err }})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for range missedBefore {
		l.CountMissed()
	}
	isFull.Store(true)
	commit, err := l.Append(true, intent.Record{Kind: intent.Intent, RequestNumber: 1})
	if err != nil {
		t.Fatal(err)
	}
	if <-commit.Done(); commit.Err() == nil || <-health == nil {
		t.Fatal("append to a full disk: got no error, want one")
	}
	missesMore.Store(true)
	isFull.Store(false)
	if err := <-health; err != nil {
		t.Fatal(err)
	}
	missesMore.Store(false)
	last, err := l.Append(true, intent.Record{Kind: intent.Intent, RequestNumber: 2})
	if err != nil {
		t.Fatal(err)
	}
	if <-last.Done(); last.Err() != nil {
		t.Fatal(last.Err())
	}
	if got, want := countedInGaps(t, d), missedBefore+1+int(missedDuringWrite.Load()); got != want {
		t.Errorf("got %d records counted in gaps, want %d", got, want)
	}
}
