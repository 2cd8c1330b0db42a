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

// store is one way to keep records: put returns when the record lasts.
type store struct {
	put   func(n uint64, r intent.Record) error
	close func()
}

func ours(t testing.TB, dir string, machine bool) store {
	l, err := Open(Options{Dir: dir, FileSystem: OSFileSystem{}, Fsync: machine, MaxSegmentBytes: 16 << 20})
	if err != nil {
		t.Fatal(err)
	}
	return store{func(_ uint64, r intent.Record) error {
		w, err := l.Append(true, r)
		if err == nil {
			<-w.Done()
			err = w.Err()
		}
		return err
	}, l.Close}
}

func bolt(t testing.TB, dir string, machine bool) store {
	db, err := bbolt.Open(filepath.Join(dir, "bolt"), 0o600, &bbolt.Options{NoSync: !machine})
	if err != nil {
		t.Fatal(err)
	}
	db.MaxBatchDelay = time.Millisecond
	db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucket([]byte("b")); return err })
	return store{func(n uint64, r intent.Record) error {
		text, _ := cbor.Marshal(r)
		return db.Batch(func(tx *bbolt.Tx) error {
			return tx.Bucket([]byte("b")).Put(binary.BigEndian.AppendUint64(nil, n), text)
		})
	}, func() { db.Close() }}
}

type quiet struct{}

func (quiet) Infof(string, ...any)      {}
func (quiet) Errorf(string, ...any)     {}
func (quiet) Fatalf(f string, a ...any) { panic(fmt.Sprintf(f, a...)) }

func pebbled(t testing.TB, dir string, machine bool) store {
	db, err := pebble.Open(filepath.Join(dir, "pebble"), &pebble.Options{Logger: quiet{}})
	if err != nil {
		t.Fatal(err)
	}
	how := pebble.NoSync
	if machine {
		how = pebble.Sync
	}
	return store{func(n uint64, r intent.Record) error {
		text, _ := cbor.Marshal(r)
		return db.Set(binary.BigEndian.AppendUint64(nil, n), text, how)
	}, func() { db.Close() }}
}

// TestCompareStores measures three ways to keep records under 64 writers at a time, and how each is opened again.
func TestCompareStores(t *testing.T) {
	for _, machine := range []bool{false, true} {
		for _, w := range []struct {
			name string
			open func(testing.TB, string, bool) store
		}{{"segments", ours}, {"bbolt", bolt}, {"pebble", pebbled}} {
			dir := t.TempDir()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := w.open(t, dir, machine)
			const writers = 64
			until := time.Now().Add(3 * time.Second)
			var all []time.Duration
			var mu sync.Mutex
			var wg sync.WaitGroup
			for i := range writers {
				wg.Go(func() {
					var mine []time.Duration
					for n := uint64(0); time.Now().Before(until); n++ {
						began := time.Now()
						r := intent.Record{Kind: intent.Intent, Incarnation: 1, RequestNumber: n, AtUnixNano: began.UnixNano(), RequestID: "0123456789abcdef", Tenant: "dairy", Type: "hire-book", Server: "server-17"}
						if err := s.put(uint64(i)<<32|n, r); err != nil {
							t.Error(err)
						}
						mine = append(mine, time.Since(began))
					}
					mu.Lock()
					all = append(all, mine...)
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
				w.open(t, dir, machine).close()
			}
			slices.Sort(all)
			t.Logf("%-8s machine=%-5v %7.0f a second, p50 %v, p99 %v, %4d bytes each, heap +%d MB, again in %v", w.name, machine, float64(len(all))/3,
				all[len(all)/2].Round(time.Microsecond), all[len(all)*99/100].Round(time.Microsecond), size/int64(len(all)), (int64(after.HeapSys)-int64(before.HeapSys))>>20, time.Since(began).Round(time.Millisecond))
		}
	}
}
