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
	format    = 1           // of what is written
	lockMost  = time.Second // for another process that is just ending
	growBytes = 1 << 20     // by which the file grows
	fileMode  = os.FileMode(0o600)
)

// The file's two tables and the names in the second.
var (
	entriesTable = []byte("entries")
	stateTable   = []byte("state")
	formatName   = []byte("format")
	originName   = []byte("origin")
	vectorName   = []byte("vector")
	prunedName   = []byte("pruned")
	totalsName   = []byte("totals")
	cleanName    = []byte("clean") // there only while no process has the file open
)

// file is an open one.
type file struct {
	db     *bbolt.DB
	totals totals
}

// openFile opens a file and reads all of it. Where it is damaged the error is errSpoilt.
func openFile(path string, most int) (f *file, loaded Loaded, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			f, loaded, err = nil, Loaded{}, fmt.Errorf("%w: %v", errSpoilt, p)
		}
	}()
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockMost, MaxSize: most, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, Loaded{}, opening(err)
	}
	db.AllocSize = growBytes
	f = &file{db: db}
	if err = f.begin(&loaded); err != nil {
		db.Close()
		return nil, Loaded{}, err
	}
	return f, loaded, nil
}

// opening sorts the reasons for which a file does not open.
func opening(err error) error {
	var path *fs.PathError
	var number syscall.Errno
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return ErrInUse
	case errors.As(err, &path), errors.As(err, &number), full(err):
		return err
	}
	return fmt.Errorf("%w: %v", errSpoilt, err)
}

func (f *file) close() { f.db.Close() }

// begin reads the file and marks it as open.
func (f *file) begin(loaded *Loaded) error {
	fresh := false
	err := f.db.View(func(tx *bbolt.Tx) error {
		if st, err := os.Stat(f.db.Path()); err != nil || st.Size() < tx.Size() {
			return fmt.Errorf("%w: it is cut short", errSpoilt)
		}
		state, entries := tx.Bucket(stateTable), tx.Bucket(entriesTable)
		if state == nil && entries == nil {
			fresh = true
			return nil
		}
		if state == nil || entries == nil {
			return errSpoilt
		}
		return f.read(state, entries, loaded)
	})
	if err != nil {
		return err
	}
	if fresh {
		return f.db.Update(f.create)
	}
	err = f.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(stateTable).Delete(cleanName) })
	if err != nil { // it can be read all the same, but must not look whole after what this process does
		loaded.IsClean = false
	}
	return nil
}

func (f *file) create(tx *bbolt.Tx) error {
	if _, err := tx.CreateBucket(entriesTable); err != nil {
		return err
	}
	state, err := tx.CreateBucket(stateTable)
	if err != nil {
		return err
	}
	if err := state.Put(formatName, seal(formatName, binary.BigEndian.AppendUint16(nil, format))); err != nil {
		return err
	}
	if err := put(state, vectorName, distribution.Vector{}); err != nil {
		return err
	}
	return put(state, totalsName, totals{})
}

// read takes everything out of a file, after its format.
func (f *file) read(state, entries *bbolt.Bucket, loaded *Loaded) error {
	number, err := unseal(formatName, state.Get(formatName))
	if err != nil || len(number) != 2 {
		return fmt.Errorf("%w: its format cannot be read", errSpoilt)
	}
	if n := binary.BigEndian.Uint16(number); n > format {
		return fmt.Errorf("%w: format %d, %d is known here", ErrNewerFormat, n, format)
	}
	var expected totals
	if err := get(state, totalsName, &expected); err != nil {
		return err
	}
	if err := get(state, vectorName, &loaded.Vector); err != nil {
		return err
	}
	if state.Get(prunedName) != nil {
		if err := get(state, prunedName, &loaded.Pruned); err != nil {
			return err
		}
	}
	if state.Get(originName) != nil {
		if err := get(state, originName, &loaded.Origin); err != nil {
			return err
		}
	}
	loaded.IsClean = state.Get(cleanName) != nil
	loaded.Entries = make([]distribution.Entry, 0, min(expected.Count, 1<<16))
	err = entries.ForEach(func(name, sealed []byte) error {
		e, err := decode(name, sealed)
		if err != nil {
			return fmt.Errorf("%w: the entry %.80q", errSpoilt, name)
		}
		f.totals.add(sealed)
		loaded.Entries = append(loaded.Entries, e)
		return nil
	})
	if err == nil && (f.totals.Count != expected.Count || f.totals.Sum != expected.Sum) {
		err = fmt.Errorf("%w: %d entries of %d", errSpoilt, f.totals.Count, expected.Count)
	}
	return err
}

// write is a transaction: all of a batch, or nothing of it.
func (f *file) write(b batch) error {
	next := f.totals
	err := f.db.Update(func(tx *bbolt.Tx) error {
		entries, state := tx.Bucket(entriesTable), tx.Bucket(stateTable)
		var name []byte
		for i, k := range b.keys {
			name = appendKey(nil, k)
			next.remove(entries.Get(name))
			if b.changes[i].removed {
				if err := entries.Delete(name); err != nil {
					return err
				}
				continue
			}
			sealed, err := encode(name, b.changes[i].entry)
			if err != nil {
				return err
			}
			next.add(sealed)
			if err := entries.Put(name, sealed); err != nil {
				return err
			}
		}
		return f.writeState(state, b, next)
	})
	if err == nil {
		f.totals = next
	}
	return err
}

func (f *file) writeState(state *bbolt.Bucket, b batch, next totals) error {
	if err := put(state, totalsName, next); err != nil {
		return err
	}
	if b.vector != nil {
		if err := put(state, vectorName, b.vector); err != nil {
			return err
		}
	}
	if b.pruned != nil {
		if err := put(state, prunedName, b.pruned); err != nil {
			return err
		}
	}
	if b.origin != "" {
		if err := put(state, originName, b.origin); err != nil {
			return err
		}
	}
	if b.clean {
		return state.Put(cleanName, []byte{1})
	}
	return nil
}

func put(table *bbolt.Bucket, name []byte, what any) error {
	text, err := cbor.Marshal(what)
	if err != nil {
		return err
	}
	return table.Put(name, seal(name, text))
}

func get(table *bbolt.Bucket, name []byte, into any) error {
	text, err := unseal(name, table.Get(name))
	if err == nil {
		err = cbor.Unmarshal(text, into)
	}
	if err != nil {
		return fmt.Errorf("%w: its %s", errSpoilt, name)
	}
	return nil
}
