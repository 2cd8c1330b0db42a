// Package memdisk is a stand-in for the disk of a journal. Disk stores files in memory and injects faults: short writes,
// errors, crashes of the machine that lose unsynced data, and flipped bits. SlowFiles delays or fails writes to the real file
// system. Tests of the journal and the testbed use it.
package memdisk

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"fernvane/internal/journal/wal"
)

// Fault is the fault of one operation on the disk: a write, sync, rename or creation.
type Fault uint8

// Faults of operations. Short and WrittenButFailed differ from Full only for writes: each fault of another operation is an error
// without effect.
const (
	None             Fault = iota // no fault
	Short                         // half of the data is written, and the count says so
	Full                          // nothing is written, and an error is returned
	WrittenButFailed              // the data is written, and an error is returned
	MachineCrash                  // the machine crashes: this and all later operations fail until Crash
)

// ErrDisk is the error of a failed operation.
var ErrDisk = errors.New("no space left on device")

// Disk is a wal.FileSystem in memory. It is safe for concurrent use.
type Disk struct {
	mu         sync.Mutex
	files      map[string]*file
	operations int // writes, syncs, renames and creations so far
	isCrashed  bool
	// FaultOf returns the fault of the n-th operation, from 1. It is called under the disk's lock.
	FaultOf func(n int) Fault
}

// file is a file with the state that survives a crash.
type file struct {
	disk         *Disk
	content      []byte
	synced       int
	isNameSynced bool   // its present name is synced
	syncedName   string // its synced name, if it was renamed since
}

// New returns an empty disk without faults.
func New() *Disk {
	return &Disk{files: map[string]*file{}, FaultOf: func(int) Fault { return None }}
}

// Operations returns the number of writes, syncs, renames and creations so far.
func (d *Disk) Operations() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operations
}

// SetFull makes all later operations fail with Full, or succeed again. It replaces FaultOf.
func (d *Disk) SetFull(isFull bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.FaultOf = func(int) Fault {
		if isFull {
			return Full
		}
		return None
	}
}

// nextFault counts an operation and returns its fault.
func (d *Disk) nextFault() Fault {
	d.operations++
	fault := d.FaultOf(d.operations)
	d.isCrashed = d.isCrashed || fault == MachineCrash
	if d.isCrashed {
		return MachineCrash
	}
	return fault
}

// Create creates a file.
func (d *Disk) Create(path string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[path] != nil {
		return nil, os.ErrExist
	}
	if d.nextFault() != None {
		return nil, ErrDisk
	}
	f := &file{disk: d}
	d.files[path] = f
	return f, nil
}

// Open returns a reader of the present content of a file.
func (d *Disk) Open(path string) (io.ReadCloser, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[path]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(slices.Clone(f.content))), nil
}

// List returns the files whose path begins with a folder's.
func (d *Disk) List(dir string) (all []wal.FileInfo, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for path, f := range d.files {
		if strings.HasPrefix(path, dir) {
			all = append(all, wal.FileInfo{Name: filepath.Base(path), Size: int64(len(f.content)), ModTime: time.Now()})
		}
	}
	return all, nil
}

// Remove removes a file.
func (d *Disk) Remove(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.files, path)
	return nil
}

// Rename renames a file. The new name is synced by SyncDir; until then a crash restores the old name if that was synced.
func (d *Disk) Rename(path, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[path]
	if f == nil {
		return os.ErrNotExist
	}
	if d.nextFault() != None {
		return ErrDisk
	}
	if f.isNameSynced {
		f.syncedName, f.isNameSynced = path, false
	}
	delete(d.files, path)
	d.files[to] = f
	return nil
}

// SyncDir syncs the names of all files.
func (d *Disk) SyncDir(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.nextFault() != None {
		return ErrDisk
	}
	for _, f := range d.files {
		f.isNameSynced, f.syncedName = true, ""
	}
	return nil
}

// Write appends to the file.
func (f *file) Write(b []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	switch f.disk.nextFault() {
	case Short:
		f.content = append(f.content, b[:len(b)/2]...)
		return len(b) / 2, ErrDisk
	case WrittenButFailed:
		f.content = append(f.content, b...)
		return 0, ErrDisk
	case Full, MachineCrash:
		return 0, ErrDisk
	}
	f.content = append(f.content, b...)
	return len(b), nil
}

// Sync syncs the file's content.
func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.nextFault() != None {
		return ErrDisk
	}
	f.synced = len(f.content)
	return nil
}

// Close does nothing.
func (f *file) Close() error { return nil }

// Crash crashes and restarts the machine: a random part of unsynced content is lost, and files whose name was never synced
// are lost altogether.
func (d *Disk) Crash(random *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isCrashed = false
	for path, f := range d.files {
		if !f.isNameSynced {
			delete(d.files, path)
			if f.syncedName == "" {
				continue
			}
			d.files[f.syncedName], f.isNameSynced, f.syncedName = f, true, ""
		}
		f.content = f.content[:f.synced+random.IntN(len(f.content)-f.synced+1)]
		f.synced = len(f.content)
	}
}

// Flip flips n random bits of the files' contents.
func (d *Disk) Flip(random *rand.Rand, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []*file
	for _, f := range d.files {
		if len(f.content) > 0 {
			all = append(all, f)
		}
	}
	slices.SortFunc(all, func(a, b *file) int { return len(a.content) - len(b.content) })
	for range n {
		if len(all) > 0 {
			f := all[random.IntN(len(all))]
			f.content[random.IntN(len(f.content))] ^= 1 << random.IntN(8)
		}
	}
}

// SlowFiles is the real file system with slow or failing writes.
type SlowFiles struct {
	wal.OSFileSystem
	WriteDelay func() time.Duration // delay of a write; called before each
	Full       func() bool          // whether writes fail; called before each
}

// Create creates a file with slow writes.
func (s SlowFiles) Create(path string) (wal.File, error) {
	if s.Full() {
		return nil, ErrDisk
	}
	f, err := s.OSFileSystem.Create(path)
	return slowFile{f, s}, err
}

// slowFile is a file with slow writes.
type slowFile struct {
	wal.File
	files SlowFiles
}

// Write writes after the delay, or fails.
func (s slowFile) Write(b []byte) (int, error) {
	if s.files.Full() {
		return 0, ErrDisk
	}
	time.Sleep(s.files.WriteDelay())
	return s.File.Write(b)
}
