package wal_test

import (
	"sync/atomic"
	"testing"
	"time"

	"fernvane/internal/journal/intent"
	. "fernvane/internal/journal/wal"
	"fernvane/internal/testbed/standin/memdisk"
)

// missed returns how many records the gaps of a journal count.
func missed(t *testing.T, d FileSystem) (count int) {
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

// Guards against records that were counted as missed being forgotten, when the Gap record that counts them is not written, or others are
// missed while it is: a journal that forgets them claims to be complete.
func TestNoMissedRecordIsForgotten(t *testing.T) {
	const before = 5
	var l *Log
	var isFull, missesMore atomic.Bool
	var during atomic.Int32
	d := memdisk.New()
	d.Meet = func(int) memdisk.Fault {
		if isFull.Load() {
			return memdisk.Full
		}
		if missesMore.Load() { // at each operation, the write of the gap among them
			l.CountMissed()
			during.Add(1)
		}
		return memdisk.None
	}
	health := make(chan error, 9)
	l, err := Open(Options{Dir: "j", FileSystem: d, Fsync: true, MaxSegmentBytes: 1 << 20, RetryInterval: time.Millisecond, OnHealthChange: func(err error) { health <- err }})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for range before {
		l.CountMissed()
	}
	isFull.Store(true)
	commit, err := l.Append(true, intent.Record{Kind: intent.Intent, RequestNumber: 1})
	if err != nil {
		t.Fatal(err)
	}
	if <-commit.Done(); commit.Err() == nil || <-health == nil {
		t.Fatal("written to a full disk")
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
	if got, want := missed(t, d), before+1+int(during.Load()); got != want {
		t.Errorf("gaps count %d, %d were missed", got, want)
	}
}
