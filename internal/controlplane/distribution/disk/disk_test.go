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

const testTimeout = 20 * time.Second

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

// callbacks records a disk's calls of OnFault and OnQuarantine.
type callbacks struct {
	mu          sync.Mutex
	faults      []error
	quarantined []string
}

func (c *callbacks) options() Options {
	return Options{WriteInterval: time.Millisecond,
		OnFault: func(err error) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.faults = append(c.faults, err)
		},
		OnQuarantine: func(path string, _ error) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.quarantined = append(c.quarantined, path)
		}}
}

func (c *callbacks) counts() (faults, quarantined int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.faults), len(c.quarantined)
}

func openDisk(t *testing.T, path string, o Options) (*Disk, Loaded) {
	t.Helper()
	d, loaded, err := Open(path, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeDisk(t, d) })
	return d, loaded
}

func closeDisk(t *testing.T, d *Disk) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return d.Close(ctx)
}

func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for ", what)
		}
	}
}

func requireEntries(t *testing.T, got, want []distribution.Entry) {
	t.Helper()
	order := func(a, b distribution.Entry) int { return strings.Compare(fmt.Sprint(a.Key), fmt.Sprint(b.Key)) }
	got, want = slices.Clone(got), slices.Clone(want)
	slices.SortFunc(got, order)
	slices.SortFunc(want, order)
	if len(got) != len(want) {
		t.Fatalf("got %d entries, want %d", len(got), len(want))
	}
	for i := range got {
		if !reflect.DeepEqual(got[i].Key, want[i].Key) || got[i].Clock != want[i].Clock || got[i].Origin != want[i].Origin ||
			got[i].Sequence != want[i].Sequence || got[i].Deleted != want[i].Deleted || string(got[i].Value) != string(want[i].Value) {
			t.Fatalf("got entry %+v, want %+v", got[i], want[i])
		}
	}
}

// writeCleanFile writes a file and closes it cleanly.
func writeCleanFile(t *testing.T, path string, all []distribution.Entry, v distribution.Vector) {
	t.Helper()
	d, _ := openDisk(t, path, Options{WriteInterval: time.Millisecond})
	d.SetOrigin("a/1")
	d.Save(all, nil, v)
	if err := closeDisk(t, d); err != nil {
		t.Fatal(err)
	}
}

// TestSavedEntriesAreLoaded checks that the next start loads the latest version of each key, without removed keys, and the vector.
func TestSavedEntriesAreLoaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entries.db")
	d, loaded := openDisk(t, path, Options{WriteInterval: time.Millisecond})
	if loaded.Origin != "" || loaded.IsClean || len(loaded.Entries) > 0 {
		t.Errorf("new file: got content %+v, want none", loaded)
	}
	d.SetOrigin("a/1")
	d.Save(entries(1, 5000), nil, distribution.Vector{"a/1": 5000})
	changed := entry(17)
	changed.Clock, changed.Value = 99_999, []byte("changed")
	d.Save([]distribution.Entry{changed}, []distribution.Key{entry(18).Key}, nil)
	d.Prune([]distribution.Key{entry(25).Key}, distribution.Vector{"a/1": 25})
	if err := closeDisk(t, d); err != nil {
		t.Fatal(err)
	}
	d, loaded = openDisk(t, path, Options{})
	want := entries(1, 5000)
	want[16] = changed
	want = slices.Delete(want, 24, 25)
	want = slices.Delete(want, 17, 18)
	requireEntries(t, loaded.Entries, want)
	if loaded.Origin != "a/1" || !loaded.IsClean || loaded.Vector["a/1"] != 5000 || loaded.Pruned["a/1"] != 25 {
		t.Errorf("got origin %q, clean %t, vector %v, pruned %v, want a clean file of origin a/1, vector 5000, pruned 25", loaded.Origin, loaded.IsClean, loaded.Vector, loaded.Pruned)
	}
	if err := <-d.SaveDurably([]distribution.Entry{changed}, nil); err != nil {
		t.Error(err)
	}
	if err := closeDisk(t, d); err != nil {
		t.Error(err)
	}
	if err := <-d.SaveDurably([]distribution.Entry{changed}, nil); !errors.Is(err, ErrClosed) {
		t.Errorf("durable save after close: got error %v, want ErrClosed", err)
	}
}

// TestKilledProcessLeavesUncleanFile checks that a process killed before its first write leaves a file without a clean mark. The
// copy of the open file represents the file of the killed process.
func TestKilledProcessLeavesUncleanFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entries.db")
	writeCleanFile(t, path, entries(1, 10), distribution.Vector{"a/1": 10})
	openDisk(t, path, Options{})
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	copied := filepath.Join(t.TempDir(), "copied.db")
	if err := os.WriteFile(copied, text, 0o600); err != nil {
		t.Fatal(err)
	}
	_, loaded := openDisk(t, copied, Options{})
	requireEntries(t, loaded.Entries, entries(1, 10))
	if loaded.IsClean || loaded.Origin != "a/1" {
		t.Errorf("got clean %t, origin %q, want an unclean file of origin a/1", loaded.IsClean, loaded.Origin)
	}
}

// TestDurableSaveGoesFirst checks that a durable save precedes a long queue of pending changes.
func TestDurableSaveGoesFirst(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entries.db")
	d, _ := openDisk(t, path, Options{WriteInterval: time.Hour})
	d.Save(entries(1, 1), nil, nil)
	waitUntil(t, "the first batch", func() bool { return d.PendingCount() == 0 })
	d.Save(entries(2, 3*maxBatchEntries), nil, distribution.Vector{"a/1": 3 * maxBatchEntries})
	urgent := entry(100_000)
	d.SaveDurably([]distribution.Entry{urgent}, nil)
	b, more := d.takeBatch()
	if b.keys[0] != urgent.Key || !more || b.vector != nil || b.through != 1 {
		t.Errorf("got first key %v, more %t, vector %v, through %d, want the urgent key, more, no vector, through 1", b.keys[0], more, b.vector, b.through)
	}
	d.requeueBatch(b)
}

// TestVectorIsWrittenLast checks that a full disk that stops the writes midway never leaves a vector in the file without the
// entries that it covers.
func TestVectorIsWrittenLast(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entries.db")
	writeCleanFile(t, path, entries(1, 10), distribution.Vector{"a/1": 10})
	var calls callbacks
	o := calls.options()
	o.MaxBytes = 1 << 20
	d, _ := openDisk(t, path, o)
	d.Save(entries(11, 30_000), nil, distribution.Vector{"a/1": 30_000})
	waitUntil(t, "a full disk", func() bool { return d.Fault() != nil })
	if err := closeDisk(t, d); err == nil {
		t.Error("close on a full disk: got no error")
	}
	_, loaded := openDisk(t, path, Options{})
	if n := len(loaded.Entries); n <= 10 || n >= 30_000 || loaded.Vector["a/1"] != 10 || loaded.IsClean {
		t.Errorf("got %d entries, vector %v, clean %t, want 11 to 29,999 entries, vector 10, an unclean file", n, loaded.Vector, loaded.IsClean)
	}
}

// TestDiskFullInUse checks that a full disk is reported once, fails durable saves, and that all changes are written once there
// is space.
func TestDiskFullInUse(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entries.db")
	var calls callbacks
	o := calls.options()
	o.MaxBytes = 128 << 10
	d, _ := openDisk(t, path, o)
	d.Save(entries(1, 5000), nil, distribution.Vector{"a/1": 5000})
	waitUntil(t, "a fault", func() bool { return d.Fault() != nil })
	if err := <-d.SaveDurably(entries(5001, 5001), nil); err == nil {
		t.Error("durable save on a full disk: got no error")
	}
	if faults, quarantined := calls.counts(); faults != 1 || quarantined != 0 {
		t.Errorf("got %d calls of OnFault, %d of OnQuarantine, want 1, 0", faults, quarantined)
	}
	d.maxBytes.Store(0)
	waitUntil(t, "all written", func() bool { return d.PendingCount() == 0 && d.Fault() == nil })
	if faults, _ := calls.counts(); faults != 2 || calls.faults[1] != nil {
		t.Errorf("calls of OnFault: got %v, want an error, then nil", calls.faults)
	}
	if err := closeDisk(t, d); err != nil {
		t.Fatal(err)
	}
	_, loaded := openDisk(t, path, Options{})
	requireEntries(t, loaded.Entries, entries(1, 5001))
	if loaded.Vector["a/1"] != 5000 || !loaded.IsClean {
		t.Errorf("got vector %v, clean %t, want vector 5000, a clean file", loaded.Vector, loaded.IsClean)
	}
}

// TestDiskFullAtOpen checks that a process that cannot create its file continues from memory and writes everything as soon as
// there is space.
func TestDiskFullAtOpen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entries.db")
	var calls callbacks
	o := calls.options()
	o.MaxBytes = 4096
	d, _ := openDisk(t, path, o)
	d.SetOrigin("a/1")
	d.Save(entries(1, 10), nil, distribution.Vector{"a/1": 10})
	waitUntil(t, "a fault", func() bool { return d.Fault() != nil })
	d.maxBytes.Store(0)
	waitUntil(t, "all written", func() bool { return d.PendingCount() == 0 && d.Fault() == nil })
	closeDisk(t, d)
	_, loaded := openDisk(t, path, Options{})
	requireEntries(t, loaded.Entries, entries(1, 10))
	if loaded.Origin != "a/1" || loaded.Vector["a/1"] != 10 {
		t.Errorf("got origin %q, vector %v, want a/1 and 10", loaded.Origin, loaded.Vector)
	}
}

// TestDamagedAtOpen checks that each kind of damage quarantines the file with one callback, and that the disk starts empty.
func TestDamagedAtOpen(t *testing.T) {
	original := filepath.Join(t.TempDir(), "original.db")
	writeCleanFile(t, original, entries(1, 300), distribution.Vector{"a/1": 300})
	text, err := os.ReadFile(original)
	if err != nil {
		t.Fatal(err)
	}
	used := 0 // bytes of the database in the file
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
	for name, damage := range map[string]func([]byte) []byte{
		"no last page": func(b []byte) []byte { return b[:used-4096] },
		"a missing entry": func([]byte) []byte {
			return edited(func(tx *bbolt.Tx) error { return tx.Bucket(entriesBucket).Delete(first) })
		},
		"an outdated entry": func([]byte) []byte {
			old := entry(7)
			old.Clock--
			checksummed, err := encodeEntry(first, old)
			if err != nil {
				t.Fatal(err)
			}
			return edited(func(tx *bbolt.Tx) error { return tx.Bucket(entriesBucket).Put(first, checksummed) })
		},
		"only half a page": func(b []byte) []byte { return b[:2000] },
		"only three pages": func(b []byte) []byte { return b[:3*4096] },
		"arbitrary text":   func(b []byte) []byte { return []byte(strings.Repeat("no such thing\n", 2000)) },
		"only zero bytes":  func(b []byte) []byte { return make([]byte, len(b)) },
		"a changed value":  func(b []byte) []byte { return []byte(strings.ReplaceAll(string(b), "vvvvvvvvvv", "vvvvvwvvvv")) },
		"a changed name":   func(b []byte) []byte { return []byte(strings.ReplaceAll(string(b), "name-299", "name-298")) },
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "entries.db")
			if err := os.WriteFile(path, damage(slices.Clone(text)), 0o600); err != nil {
				t.Fatal(err)
			}
			var calls callbacks
			d, loaded := openDisk(t, path, calls.options())
			if len(loaded.Entries) > 0 || loaded.Origin != "" || loaded.Vector["a/1"] > 0 {
				t.Errorf("damaged file: got %d entries, want none", len(loaded.Entries))
			}
			if _, quarantined := calls.counts(); quarantined != 1 {
				t.Fatalf("got %d quarantined files, want 1", quarantined)
			}
			if st, err := os.Stat(calls.quarantined[0]); err != nil || st.Size() == 0 {
				t.Errorf("quarantined file missing or empty: %v", err)
			}
			d.Save(entries(1, 3), nil, nil)
			if err := closeDisk(t, d); err != nil {
				t.Error(err)
			}
			_, loaded = openDisk(t, path, Options{})
			requireEntries(t, loaded.Entries, entries(1, 3))
		})
	}
}

// TestFlippedBits checks the outcome of random bit flips: the file loads completely, or it is quarantined, or its content is that
// before the last transactions, as after a crash during them. In the last case it is not clean and its vector covers no missing
// entry.
func TestFlippedBits(t *testing.T) {
	original := filepath.Join(t.TempDir(), "original.db")
	writeCleanFile(t, original, entries(1, 300), distribution.Vector{"a/1": 300})
	text, err := os.ReadFile(original)
	if err != nil {
		t.Fatal(err)
	}
	quarantined := 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		corrupted := slices.Clone(text)
		for range 1 + random.IntN(40) {
			corrupted[random.IntN(len(corrupted))] ^= 1 << random.IntN(8)
		}
		path := filepath.Join(t.TempDir(), fmt.Sprint(seed, ".db"))
		if err := os.WriteFile(path, corrupted, 0o600); err != nil {
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
			requireEntries(t, loaded.Entries, entries(1, 300))
		}
		d.Save(entries(301, 400), nil, nil)
		if err := closeDisk(t, d); errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("seed %d: close timed out", seed)
		}
	}
	if quarantined < 100 {
		t.Errorf("got %d quarantined of 200 corrupted files, want at least 100", quarantined)
	}
}

// TestDamagedInUse checks that a file found to be damaged while in use is replaced by a new file with the complete content.
func TestDamagedInUse(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entries.db")
	writeCleanFile(t, path, entries(1, 5000), distribution.Vector{"a/1": 5000})
	var calls callbacks
	o := calls.options()
	o.Snapshot = func() ([]distribution.Entry, distribution.Vector) {
		return entries(1, 5001), distribution.Vector{"a/1": 5001}
	}
	d, _ := openDisk(t, path, o)
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	st, err := f.Stat()
	if err != nil {
		t.Fatal(err)
	}
	noise := make([]byte, st.Size()-2*4096) // the two meta pages stay intact
	for i := range noise {
		noise[i] = byte(i*31 + i>>8)
	}
	if _, err := f.WriteAt(noise, 2*4096); err != nil {
		t.Fatal(err)
	}
	f.Close()
	d.Save(entries(5001, 5001), nil, distribution.Vector{"a/1": 5001})
	waitUntil(t, "a new file", func() bool { _, n := calls.counts(); return n == 1 })
	waitUntil(t, "all written", func() bool { return d.PendingCount() == 0 && d.Fault() == nil })
	if err := closeDisk(t, d); err != nil {
		t.Fatal(err)
	}
	_, loaded := openDisk(t, path, Options{})
	requireEntries(t, loaded.Entries, entries(1, 5001))
	if loaded.Origin != "a/1" || loaded.Vector["a/1"] != 5001 {
		t.Errorf("got origin %q, vector %v, want a/1 and 5001", loaded.Origin, loaded.Vector)
	}
}

// TestUnopenableFiles checks that Open fails for files that it must not replace, with a one-line error, and leaves them in place.
func TestUnopenableFiles(t *testing.T) {
	dir := t.TempDir()
	newer, busy := filepath.Join(dir, "newer.db"), filepath.Join(dir, "busy.db")
	writeCleanFile(t, newer, entries(1, 3), nil)
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
	openDisk(t, busy, Options{})
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
				closeDisk(t, d)
				t.Fatal("got no error")
			}
			if c.want != nil && !errors.Is(err, c.want) || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), c.path) {
				t.Error(err)
			}
			if _, err := os.Stat(c.path); c.want != os.ErrNotExist && err != nil {
				t.Errorf("file removed or renamed: %v", err)
			}
		})
	}
}

// TestBoundedRate checks that the rate of transactions stays bounded, however often Save is called.
func TestBoundedRate(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entries.db")
	const interval = 20 * time.Millisecond
	d, _ := openDisk(t, path, Options{WriteInterval: interval})
	startedAt := time.Now()
	for n := 1; n <= 300; n++ {
		d.Save(entries(n, n), nil, nil)
		time.Sleep(time.Millisecond)
	}
	batches := int(d.transactions.Load())
	if maximum := int(time.Since(startedAt)/interval) + 2; batches > maximum || batches == 0 {
		t.Errorf("got %d transactions, want 1 to %d", batches, maximum)
	}
}
