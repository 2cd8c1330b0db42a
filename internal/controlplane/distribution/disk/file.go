package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"fernvane/internal/controlplane/distribution"
)

const (
	formatVersion = 1
	lockTimeout   = time.Second // allows a previous process to terminate
	growthBytes   = 1 << 20     // allocation step of the file
	fileMode      = os.FileMode(0o600)
)

// Names of the file's two buckets, and the keys of the state bucket.
var (
	entriesBucket = []byte("entries")
	stateBucket   = []byte("state")
	formatKey     = []byte("format")
	originKey     = []byte("origin")
	vectorKey     = []byte("vector")
	prunedKey     = []byte("pruned")
	totalsKey     = []byte("totals")
	cleanKey      = []byte("clean") // present only while no process has the file open
)

// file is an open bbolt database.
type file struct {
	db     *bbolt.DB
	totals totals
}

// openFile opens a file and loads its content. The error wraps errDamaged if the file is damaged. A panic, as bbolt raises on
// an invalid page, counts as damage.
func openFile(path string, maxBytes int) (f *file, loaded Loaded, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			f, loaded, err = nil, Loaded{}, fmt.Errorf("%w: %v", errDamaged, p)
		}
	}()
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, MaxSize: maxBytes, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, Loaded{}, classifyOpenError(err)
	}
	db.AllocSize = growthBytes
	f = &file{db: db}
	if err = f.load(&loaded); err != nil {
		db.Close()
		return nil, Loaded{}, err
	}
	return f, loaded, nil
}

// classifyOpenError distinguishes a damaged file from a locked or inaccessible one.
func classifyOpenError(err error) error {
	var pathError *fs.PathError
	var errno syscall.Errno
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return ErrInUse
	case errors.As(err, &pathError), errors.As(err, &errno), isRetryable(err):
		return err
	}
	return fmt.Errorf("%w: %v", errDamaged, err)
}

func (f *file) close() { f.db.Close() }

// load reads the file and removes its clean mark.
func (f *file) load(loaded *Loaded) error {
	isNew := false
	err := f.db.View(func(tx *bbolt.Tx) error {
		if st, err := os.Stat(f.db.Path()); err != nil || st.Size() < tx.Size() {
			return fmt.Errorf("%w: truncated: file smaller than its database", errDamaged)
		}
		state, entries := tx.Bucket(stateBucket), tx.Bucket(entriesBucket)
		if state == nil && entries == nil {
			isNew = true
			return nil
		}
		if state == nil || entries == nil {
			return errDamaged
		}
		return f.read(state, entries, loaded)
	})
	if err != nil {
		return err
	}
	if isNew {
		return f.db.Update(f.create)
	}
	err = f.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(stateBucket).Delete(cleanKey) })
	if err != nil { // the clean mark is still in the file, but after this run the file must not count as clean
		loaded.IsClean = false
	}
	return nil
}

// create creates the buckets and the initial state of a new file.
func (f *file) create(tx *bbolt.Tx) error {
	if _, err := tx.CreateBucket(entriesBucket); err != nil {
		return err
	}
	state, err := tx.CreateBucket(stateBucket)
	if err != nil {
		return err
	}
	if err := state.Put(formatKey, prependChecksum(formatKey, binary.BigEndian.AppendUint16(nil, formatVersion))); err != nil {
		return err
	}
	if err := putState(state, vectorKey, distribution.Vector{}); err != nil {
		return err
	}
	return putState(state, totalsKey, totals{})
}

// read checks the format version and loads the state and all entries.
func (f *file) read(state, entries *bbolt.Bucket, loaded *Loaded) error {
	if err := checkFormat(state); err != nil {
		return err
	}
	var expected totals
	if err := getState(state, totalsKey, &expected); err != nil {
		return err
	}
	if err := getState(state, vectorKey, &loaded.Vector); err != nil {
		return err
	}
	if err := getOptionalState(state, prunedKey, &loaded.Pruned); err != nil {
		return err
	}
	if err := getOptionalState(state, originKey, &loaded.Origin); err != nil {
		return err
	}
	loaded.IsClean = state.Get(cleanKey) != nil
	return f.readEntries(entries, expected, loaded)
}

func checkFormat(state *bbolt.Bucket) error {
	version, err := verifyChecksum(formatKey, state.Get(formatKey))
	if err != nil || len(version) != 2 {
		return fmt.Errorf("%w: format version missing or invalid", errDamaged)
	}
	if n := binary.BigEndian.Uint16(version); n > formatVersion {
		return fmt.Errorf("%w: format %d, newest supported format %d", ErrNewerFormat, n, formatVersion)
	}
	return nil
}

// preallocatedEntries limits the allocation made from the entry count that a file claims.
const preallocatedEntries = 1 << 16

func (f *file) readEntries(entries *bbolt.Bucket, expected totals, loaded *Loaded) error {
	loaded.Entries = make([]distribution.Entry, 0, min(expected.Count, preallocatedEntries))
	err := entries.ForEach(func(key, checksummed []byte) error {
		e, err := decodeEntry(key, checksummed)
		if err != nil {
			return fmt.Errorf("%w: entry %.80q invalid", errDamaged, key)
		}
		f.totals.add(checksummed)
		loaded.Entries = append(loaded.Entries, e)
		return nil
	})
	if err != nil {
		return err
	}
	if f.totals != expected {
		return fmt.Errorf("%w: totals of entries differ: got %d entries, want %d", errDamaged, f.totals.Count, expected.Count)
	}
	return nil
}

// write writes a batch atomically, in one transaction.
func (f *file) write(b batch) error {
	next := f.totals
	err := f.db.Update(func(tx *bbolt.Tx) error {
		entries, state := tx.Bucket(entriesBucket), tx.Bucket(stateBucket)
		for i, k := range b.keys {
			if err := writeChange(entries, k, b.changes[i], &next); err != nil {
				return err
			}
		}
		return writeState(state, b, next)
	})
	if err == nil {
		f.totals = next
	}
	return err
}

func writeChange(entries *bbolt.Bucket, k distribution.Key, c change, next *totals) error {
	key := appendKey(nil, k)
	next.remove(entries.Get(key))
	if c.isRemoval {
		return entries.Delete(key)
	}
	checksummed, err := encodeEntry(key, c.entry)
	if err != nil {
		return err
	}
	next.add(checksummed)
	return entries.Put(key, checksummed)
}

func writeState(state *bbolt.Bucket, b batch, next totals) error {
	if err := putState(state, totalsKey, next); err != nil {
		return err
	}
	if b.vector != nil {
		if err := putState(state, vectorKey, b.vector); err != nil {
			return err
		}
	}
	if b.pruned != nil {
		if err := putState(state, prunedKey, b.pruned); err != nil {
			return err
		}
	}
	if b.origin != "" {
		if err := putState(state, originKey, b.origin); err != nil {
			return err
		}
	}
	if b.isClean {
		return state.Put(cleanKey, []byte{1})
	}
	return nil
}

// putState writes a value with its checksum to the state bucket.
func putState(state *bbolt.Bucket, key []byte, value any) error {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	return state.Put(key, prependChecksum(key, encoded))
}

// getState reads a value of the state bucket and verifies its checksum. The error wraps errDamaged.
func getState(state *bbolt.Bucket, key []byte, into any) error {
	encoded, err := verifyChecksum(key, state.Get(key))
	if err == nil {
		err = cbor.Unmarshal(encoded, into)
	}
	if err != nil {
		return fmt.Errorf("%w: state %s invalid", errDamaged, key)
	}
	return nil
}

// getOptionalState is like getState, but leaves into unchanged if the value is missing.
func getOptionalState(state *bbolt.Bucket, key []byte, into any) error {
	if state.Get(key) == nil {
		return nil
	}
	return getState(state, key, into)
}
