package disk

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"go.uber.org/goleak"

	"fernvane/internal/controlplane/distribution"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = 20 * time.Second

func entry(n int) distribution.Entry {
	return distribution.Entry{Key: distribution.Key{Service: fmt.Sprint("service-", n%7), Kind: distribution.Kind(n % 4), Name: fmt.Sprint("name-", n)},
		Clock: uint64(n), Origin: "a/1", Sequence: uint64(n), Deleted: n%5 == 0, Value: []byte(strings.Repeat("v", n%50))}
}

func entries(from, to int) (all []distribution.Entry) {
	for n := from; n <= to; n++ {
		all = append(all, entry(n))
	}
	return all
}

// callbacks records the calls of a disk.
type callbacks struct {
	mu          sync.Mutex
	faults      []error
	quarantined []string
}

func (t *callbacks) options() Options {
	return Options{WriteInterval: time.Millisecond,
		OnFault: func(err error) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.faults = append(t.faults, err)
		},
		OnQuarantine: func(path string, _ error) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.quarantined = append(t.quarantined, path)
		}}
}

func (t *callbacks) counts() (faults, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.faults), len(t.quarantined)
}

func open(t *testing.T, path string, o Options) (*Disk, Loaded) {
	t.Helper()
	d, loaded, err := Open(path, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { end(t, d) })
	return d, loaded
}

func end(t *testing.T, d *Disk) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return d.Close(ctx)
}

func wait(t *testing.T, what string, done func() bool) {
	t.Helper()
	for by := time.Now().Add(patience); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatal("never: ", what)
		}
	}
}

func same(t *testing.T, got, want []distribution.Entry) {
	t.Helper()
	order := func(a, b distribution.Entry) int { return strings.Compare(fmt.Sprint(a.Key), fmt.Sprint(b.Key)) }
	got, want = slices.Clone(got), slices.Clone(want)
	slices.SortFunc(got, order)
	slices.SortFunc(want, order)
	if len(got) != len(want) {
		t.Fatalf("%d entries, not %d", len(got), len(want))
	}
	for i := range got {
		if !reflect.DeepEqual(got[i].Key, want[i].Key) || got[i].Clock != want[i].Clock || got[i].Origin != want[i].Origin ||
			got[i].Sequence != want[i].Sequence || got[i].Deleted != want[i].Deleted || string(got[i].Value) != string(want[i].Value) {
			t.Fatalf("%+v, not %+v", got[i], want[i])
		}
	}
}

// kept writes a file and closes it cleanly.
func kept(t *testing.T, path string, all []distribution.Entry, v distribution.Vector) {
	t.Helper()
	d, _ := open(t, path, Options{WriteInterval: time.Millisecond})
	d.SetOrigin("a/1")
	d.Save(all, nil, v)
	if err := end(t, d); err != nil {
		t.Fatal(err)
	}
}

// What was saved is there at the next start: the latest of each key, without what was removed, with the vector.
func TestSavedEntriesAreLoaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entries.db")
	d, loaded := open(t, path, Options{WriteInterval: time.Millisecond})
	if loaded.Origin != "" || loaded.IsClean || len(loaded.Entries) > 0 {
		t.Errorf("a new file holds %+v", loaded)
	}
	d.SetOrigin("a/1")
	d.Save(entries(1, 5000), nil, distribution.Vector{"a/1": 5000})
	changed := entry(17)
	changed.Clock, changed.Value = 99_999, []byte("changed")
	d.Save([]distribution.Entry{changed}, []distribution.Key{entry(18).Key}, nil)
	d.Prune([]distribution.Key{entry(25).Key}, distribution.Vector{"a/1": 25})
	if err := end(t, d); err != nil {
		t.Fatal(err)
	}
	d, loaded = open(t, path, Options{})
	want := entries(1, 5000)
	want[16] = changed
	want = slices.Delete(want, 24, 25)
	want = slices.Delete(want, 17, 18)
	same(t, loaded.Entries, want)
	if loaded.Origin != "a/1" || !loaded.IsClean || loaded.Vector["a/1"] != 5000 || loaded.Pruned["a/1"] != 25 {
		t.Errorf("origin %q, clean %t, vector %v, pruned %v", loaded.Origin, loaded.IsClean, loaded.Vector, loaded.Pruned)
	}
	if err := <-d.SaveDurably([]distribution.Entry{changed}, nil); err != nil {
		t.Error(err)
	}
	if err := end(t, d); err != nil {
		t.Error(err)
	}
	if err := <-d.SaveDurably([]distribution.Entry{changed}, nil); !errors.Is(err, ErrClosed) {
		t.Errorf("kept after the end: %v", err)
	}
}

// A process that is killed leaves a file that is not clean, also before it has written anything.
func TestKilledProcessLeavesUncleanFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entries.db")
	kept(t, path, entries(1, 10), distribution.Vector{"a/1": 10})
	open(t, path, Options{})
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	copied := filepath.Join(t.TempDir(), "copied.db")
	if err := os.WriteFile(copied, text, 0o600); err != nil {
		t.Fatal(err)
	}
	_, loaded := open(t, copied, Options{})
	same(t, loaded.Entries, entries(1, 10))
	if loaded.IsClean || loaded.Origin != "a/1" {
		t.Errorf("clean %t, origin %q", loaded.IsClean, loaded.Origin)
	}
}

// A durable save is written ahead of a long queue, and confirmed once it is in the file.
func TestDurableSaveGoesFirst(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entries.db")
	d, _ := open(t, path, Options{WriteInterval: time.Hour})
	d.Save(entries(1, 1), nil, nil)
	wait(t, "the first batch", func() bool { return d.PendingCount() == 0 })
	d.Save(entries(2, 3*maxBatchEntries), nil, distribution.Vector{"a/1": 3 * maxBatchEntries})
	urgent := entry(100_000)
	d.SaveDurably([]distribution.Entry{urgent}, nil)
	b, more := d.takeBatch()
	if b.keys[0] != urgent.Key || !more || b.vector != nil || b.through != 1 {
		t.Errorf("first %v, more %t, vector %v, through %d", b.keys[0], more, b.vector, b.through)
	}
	d.requeueBatch(b)
}

// A vector is never in the file without the entries that it covers, wherever the writing ends.
func TestVectorIsWrittenLast(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entries.db")
	kept(t, path, entries(1, 10), distribution.Vector{"a/1": 10})
	var calls callbacks
	o := calls.options()
	o.MaxBytes = 1 << 20
	d, _ := open(t, path, o)
	d.Save(entries(11, 30_000), nil, distribution.Vector{"a/1": 30_000})
	wait(t, "a full disk", func() bool { return d.Fault() != nil })
	if err := end(t, d); err == nil {
		t.Error("the end is well on a full disk")
	}
	_, loaded := open(t, path, Options{})
	if n := len(loaded.Entries); n <= 10 || n >= 30_000 || loaded.Vector["a/1"] != 10 || loaded.IsClean {
		t.Errorf("%d entries, vector %v, clean %t", n, loaded.Vector, loaded.IsClean)
	}
}

// A full disk is reported once, durable saves fail by it, and everything is written when there is space again.
func TestDiskFullInUse(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entries.db")
	var calls callbacks
	o := calls.options()
	o.MaxBytes = 128 << 10
	d, _ := open(t, path, o)
	d.Save(entries(1, 5000), nil, distribution.Vector{"a/1": 5000})
	wait(t, "a fault", func() bool { return d.Fault() != nil })
	if err := <-d.SaveDurably(entries(5001, 5001), nil); err == nil {
		t.Error("kept on a full disk")
	}
	if faults, quarantined := calls.counts(); faults != 1 || quarantined != 0 {
		t.Errorf("%d faults are callbacks, %d files set quarantined", faults, quarantined)
	}
	d.maxBytes.Store(0)
	wait(t, "all written", func() bool { return d.PendingCount() == 0 && d.Fault() == nil })
	if faults, _ := calls.counts(); faults != 2 || calls.faults[1] != nil {
		t.Errorf("callbacks: %v", calls.faults)
	}
	if err := end(t, d); err != nil {
		t.Fatal(err)
	}
	_, loaded := open(t, path, Options{})
	same(t, loaded.Entries, entries(1, 5001))
	if loaded.Vector["a/1"] != 5000 || !loaded.IsClean {
		t.Errorf("vector %v, clean %t", loaded.Vector, loaded.IsClean)
	}
}

// No disk at all at the start: the process has everything in memory, and on the disk as soon as there is room.
func TestDiskFullAtOpen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entries.db")
	var calls callbacks
	o := calls.options()
	o.MaxBytes = 4096
	d, _ := open(t, path, o)
	d.SetOrigin("a/1")
	d.Save(entries(1, 10), nil, distribution.Vector{"a/1": 10})
	wait(t, "a fault", func() bool { return d.Fault() != nil })
	d.maxBytes.Store(0)
	wait(t, "all written", func() bool { return d.PendingCount() == 0 && d.Fault() == nil })
	end(t, d)
	_, loaded := open(t, path, Options{})
	same(t, loaded.Entries, entries(1, 10))
	if loaded.Origin != "a/1" || loaded.Vector["a/1"] != 10 {
		t.Errorf("origin %q, vector %v", loaded.Origin, loaded.Vector)
	}
}

// Damage of every kind quarantines the file with one callback, and the next start is one on an empty disk.
func TestDamagedAtOpen(t *testing.T) {
	whole := filepath.Join(t.TempDir(), "whole.db")
	kept(t, whole, entries(1, 300), distribution.Vector{"a/1": 300})
	text, err := os.ReadFile(whole)
	if err != nil {
		t.Fatal(err)
	}
	used := 0 // bytes of the file
	edited := func(edit func(*bbolt.Tx) error) []byte {
		path := filepath.Join(t.TempDir(), "edited.db")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		db, err := bbolt.Open(path, 0o600, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer db.Close()
		if err := db.Update(edit); err != nil {
			t.Fatal(err)
		}
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	edited(func(tx *bbolt.Tx) error { used = int(tx.Size()); return nil })
	first := appendKey(nil, entry(7).Key)
	for name, spoil := range map[string]func([]byte) []byte{
		"its last page": func(b []byte) []byte { return b[:used-4096] },
		"an entry gone": func([]byte) []byte {
			return edited(func(tx *bbolt.Tx) error { return tx.Bucket(entriesBucket).Delete(first) })
		},
		"an old entry": func([]byte) []byte {
			old := entry(7)
			old.Clock--
			checksummed, err := encodeEntry(first, old)
			if err != nil {
				t.Fatal(err)
			}
			return edited(func(tx *bbolt.Tx) error { return tx.Bucket(entriesBucket).Put(first, checksummed) })
		},
		"half a page":      func(b []byte) []byte { return b[:2000] },
		"three pages":      func(b []byte) []byte { return b[:3*4096] },
		"another text":     func(b []byte) []byte { return []byte(strings.Repeat("no such thing\n", 2000)) },
		"nothing but zero": func(b []byte) []byte { return make([]byte, len(b)) },
		"a value":          func(b []byte) []byte { return []byte(strings.ReplaceAll(string(b), "vvvvvvvvvv", "vvvvvwvvvv")) },
		"a name":           func(b []byte) []byte { return []byte(strings.ReplaceAll(string(b), "name-299", "name-298")) },
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "entries.db")
			if err := os.WriteFile(path, spoil(slices.Clone(text)), 0o600); err != nil {
				t.Fatal(err)
			}
			var calls callbacks
			d, loaded := open(t, path, calls.options())
			if len(loaded.Entries) > 0 || loaded.Origin != "" || loaded.Vector["a/1"] > 0 {
				t.Errorf("%d entries of a damaged file", len(loaded.Entries))
			}
			if _, quarantined := calls.counts(); quarantined != 1 {
				t.Fatalf("%d files set quarantined", quarantined)
			}
			if st, err := os.Stat(calls.quarantined[0]); err != nil || st.Size() == 0 {
				t.Errorf("the damaged file: %v", err)
			}
			d.Save(entries(1, 3), nil, nil)
			if err := end(t, d); err != nil {
				t.Error(err)
			}
			_, loaded = open(t, path, Options{})
			same(t, loaded.Entries, entries(1, 3))
		})
	}
}

// Wherever bits flip, what is read is all that was written, or the file is quarantined, or it is as before the last
// transactions, as after a crash amid them: then it is not clean and its vector covers nothing that it lacks.
func TestFlippedBits(t *testing.T) {
	whole := filepath.Join(t.TempDir(), "whole.db")
	kept(t, whole, entries(1, 300), distribution.Vector{"a/1": 300})
	text, err := os.ReadFile(whole)
	if err != nil {
		t.Fatal(err)
	}
	quarantined := 0
	for seed := range uint64(200) {
		chance := rand.New(rand.NewPCG(seed, 1))
		spoilt := slices.Clone(text)
		for range 1 + chance.IntN(40) {
			spoilt[chance.IntN(len(spoilt))] ^= 1 << chance.IntN(8)
		}
		path := filepath.Join(t.TempDir(), fmt.Sprint(seed, ".db"))
		if err := os.WriteFile(path, spoilt, 0o600); err != nil {
			t.Fatal(err)
		}
		var calls callbacks
		d, loaded, err := Open(path, calls.options())
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if _, n := calls.counts(); n > 0 {
			quarantined++
		} else if len(loaded.Entries) > 0 || loaded.IsClean || loaded.Vector["a/1"] > 0 {
			same(t, loaded.Entries, entries(1, 300))
		}
		d.Save(entries(301, 400), nil, nil)
		if err := end(t, d); errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("seed %d: no end", seed)
		}
	}
	if quarantined < 100 {
		t.Errorf("only %d of 200 spoilt files were set quarantined", quarantined)
	}
}

// A file that is found to be damaged while it is in use is replaced by one with everything in it.
func TestDamagedInUse(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entries.db")
	kept(t, path, entries(1, 5000), distribution.Vector{"a/1": 5000})
	var calls callbacks
	o := calls.options()
	o.Snapshot = func() ([]distribution.Entry, distribution.Vector) {
		return entries(1, 5001), distribution.Vector{"a/1": 5001}
	}
	d, _ := open(t, path, o)
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	st, err := f.Stat()
	if err != nil {
		t.Fatal(err)
	}
	noise := make([]byte, st.Size()-2*4096) // the two pages of the root stay
	for i := range noise {
		noise[i] = byte(i*31 + i>>8)
	}
	if _, err := f.WriteAt(noise, 2*4096); err != nil {
		t.Fatal(err)
	}
	f.Close()
	d.Save(entries(5001, 5001), nil, distribution.Vector{"a/1": 5001})
	wait(t, "a new file", func() bool { _, n := calls.counts(); return n == 1 })
	wait(t, "all written", func() bool { return d.PendingCount() == 0 && d.Fault() == nil })
	if err := end(t, d); err != nil {
		t.Fatal(err)
	}
	_, loaded := open(t, path, Options{})
	same(t, loaded.Entries, entries(1, 5001))
	if loaded.Origin != "a/1" || loaded.Vector["a/1"] != 5001 {
		t.Errorf("origin %q, vector %v", loaded.Origin, loaded.Vector)
	}
}

// Files that are not to be gone on from: each has one error and stays as it is.
func TestUnopenableFiles(t *testing.T) {
	dir := t.TempDir()
	newer, busy := filepath.Join(dir, "newer.db"), filepath.Join(dir, "busy.db")
	kept(t, newer, entries(1, 3), nil)
	db, err := bbolt.Open(newer, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(stateBucket).Put(formatKey, prependChecksum(formatKey, []byte{0, formatVersion + 1}))
	}); err != nil {
		t.Fatal(err)
	}
	db.Close()
	open(t, busy, Options{})
	for name, c := range map[string]struct {
		path string
		want error
	}{
		"newer":     {newer, ErrNewerFormat},
		"in use":    {busy, ErrInUse},
		"no folder": {filepath.Join(dir, "nowhere", "entries.db"), os.ErrNotExist},
		"a folder":  {dir, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d, _, err := Open(c.path, Options{})
			if err == nil {
				end(t, d)
				t.Fatal("it is taken")
			}
			if c.want != nil && !errors.Is(err, c.want) || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), c.path) {
				t.Error(err)
			}
			if _, err := os.Stat(c.path); c.want != os.ErrNotExist && err != nil {
				t.Errorf("it is no longer there: %v", err)
			}
		})
	}
}

// However often something is saved, transactions keep their interval.
func TestBoundedRate(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entries.db")
	const every = 20 * time.Millisecond
	d, _ := open(t, path, Options{WriteInterval: every})
	began := time.Now()
	for n := 1; n <= 300; n++ {
		d.Save(entries(n, n), nil, nil)
		time.Sleep(time.Millisecond)
	}
	batches := int(d.transactions.Load())
	if most := int(time.Since(began)/every) + 2; batches > most || batches == 0 {
		t.Errorf("%d transactions, %d at most", batches, most)
	}
}
