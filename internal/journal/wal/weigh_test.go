//go:build weigh

package wal_test

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"

	"fernvane/internal/journal/intent"
	. "fernvane/internal/journal/wal"
)

// store is a storage engine for records. put returns when the record is durable.
type store struct {
	put   func(n uint64, r intent.Record) error
	close func()
}

func openSegments(t testing.TB, dir string, fsync bool) store {
	l, err := Open(Options{Dir: dir, FileSystem: OSFileSystem{}, Fsync: fsync, MaxSegmentBytes: 16 << 20})
	if err != nil {
		t.Fatal(err)
	}
	return store{func(_ uint64, r intent.Record) error {
		commit, err := l.Append(true, r)
		if err == nil {
			<-commit.Done()
			err = commit.Err()
		}
		return err
	}, l.Close}
}

func openBolt(t testing.TB, dir string, fsync bool) store {
	db, err := bbolt.Open(filepath.Join(dir, "bolt"), 0o600, &bbolt.Options{NoSync: !fsync})
	if err != nil {
		t.Fatal(err)
	}
	db.MaxBatchDelay = time.Millisecond
	db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucket([]byte("b")); return err })
	return store{func(n uint64, r intent.Record) error {
		encoded, _ := cbor.Marshal(r)
		return db.Batch(func(tx *bbolt.Tx) error {
			return tx.Bucket([]byte("b")).Put(binary.BigEndian.AppendUint64(nil, n), encoded)
		})
	}, func() { db.Close() }}
}

type silentLogger struct{}

func (silentLogger) Infof(string, ...any)      {}
func (silentLogger) Errorf(string, ...any)     {}
func (silentLogger) Fatalf(f string, a ...any) { panic(fmt.Sprintf(f, a...)) }

func openPebble(t testing.TB, dir string, fsync bool) store {
	db, err := pebble.Open(filepath.Join(dir, "pebble"), &pebble.Options{Logger: silentLogger{}})
	if err != nil {
		t.Fatal(err)
	}
	writeOptions := pebble.NoSync
	if fsync {
		writeOptions = pebble.Sync
	}
	return store{func(n uint64, r intent.Record) error {
		encoded, _ := cbor.Marshal(r)
		return db.Set(binary.BigEndian.AppendUint64(nil, n), encoded, writeOptions)
	}, func() { db.Close() }}
}

// TestCompareStores measures three storage engines with 64 concurrent writers, and the time to reopen each.
func TestCompareStores(t *testing.T) {
	for _, fsync := range []bool{false, true} {
		for _, w := range []struct {
			name string
			open func(testing.TB, string, bool) store
		}{{"segments", openSegments}, {"bbolt", openBolt}, {"pebble", openPebble}} {
			dir := t.TempDir()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := w.open(t, dir, fsync)
			const writers = 64
			deadline := time.Now().Add(3 * time.Second)
			var all []time.Duration
			var mu sync.Mutex
			var wg sync.WaitGroup
			for i := range writers {
				wg.Go(func() {
					var durations []time.Duration
					for n := uint64(0); time.Now().Before(deadline); n++ {
						began := time.Now()
						r := intent.Record{Kind: intent.Intent, Incarnation: 1, RequestNumber: n, AtUnixNano: began.UnixNano(), RequestID: "0123456789abcdef", Tenant: "dairy", Type: "hire-book", Server: "server-17"}
						if err := s.put(uint64(i)<<32|n, r); err != nil {
							t.Error(err)
						}
						durations = append(durations, time.Since(began))
					}
					mu.Lock()
					all = append(all, durations...)
					mu.Unlock()
				})
			}
			wg.Wait()
			runtime.ReadMemStats(&after)
			s.close()
			size := int64(0)
			filepath.Walk(dir, func(_ string, i os.FileInfo, err error) error {
				if err == nil && !i.IsDir() {
					size += i.Size()
				}
				return nil
			})
			began := time.Now()
			if w.name == "segments" {
				Scan(OSFileSystem{}, dir, time.Time{}, func(*intent.Record) error { return nil }, nil)
			} else {
				w.open(t, dir, fsync).close()
			}
			slices.Sort(all)
			t.Logf("%-8s fsync=%-5v %7.0f records/s, p50 %v, p99 %v, %4d bytes per record, heap +%d MB, reopened in %v", w.name, fsync, float64(len(all))/3,
				all[len(all)/2].Round(time.Microsecond), all[len(all)*99/100].Round(time.Microsecond), size/int64(len(all)), (int64(after.HeapSys)-int64(before.HeapSys))>>20, time.Since(began).Round(time.Millisecond))
		}
	}
}
