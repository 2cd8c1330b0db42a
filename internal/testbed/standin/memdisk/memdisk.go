// Package memdisk is a disk in memory beneath a journal. It fails as it is told: short writes, errors, a death of the
// machine that loses what was not synced, bits that flip.
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

// Fault of one operation on the disk.
type Fault uint8

// Faults that a disk can have.
const (
	None  Fault = iota // no fault
	Short              // half of a write is done, and reported so
	Full               // an error, and nothing is written
	Lying              // a write is done, and an error is reported
	Dead               // the machine fails here: nothing more is done
)

// ErrDisk is what a failing disk says.
var ErrDisk = errors.New("no space left on device")

// Disk is a wal.FileSystem in memory.
type Disk struct {
	mu         sync.Mutex
	files      map[string]*file
	operations int // writes, syncs and creations so far
	dead       bool
	// Meet tells what the n-th of them meets.
	Meet func(n int) Fault
}

type file struct {
	disk   *Disk
	text   []byte
	synced int
	entry  bool   // the folder's own entry lasts
	was    string // the name that lasts, of one that has got another since
}

// New is an empty disk without trouble.
func New() *Disk {
	return &Disk{files: map[string]*file{}, Meet: func(int) Fault { return None }}
}

// Operations counts writes, syncs and creations.
func (d *Disk) Operations() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operations
}

// Fill has the disk take nothing from now on, or again.
func (d *Disk) Fill(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Meet = func(int) Fault {
		if full {
			return Full
		}
		return None
	}
}

func (d *Disk) meet() Fault {
	d.operations++
	t := d.Meet(d.operations)
	if d.dead = d.dead || t == Dead; d.dead {
		return Dead
	}
	return t
}

// Create makes a file.
func (d *Disk) Create(path string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[path] != nil {
		return nil, os.ErrExist
	}
	if d.meet() != None {
		return nil, ErrDisk
	}
	f := &file{disk: d}
	d.files[path] = f
	return f, nil
}

// Open reads a file as it is now.
func (d *Disk) Open(path string) (io.ReadCloser, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[path]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(slices.Clone(f.text))), nil
}

// List tells of all files.
func (d *Disk) List(dir string) (all []wal.FileInfo, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for path, f := range d.files {
		if strings.HasPrefix(path, dir) {
			all = append(all, wal.FileInfo{Name: filepath.Base(path), Size: int64(len(f.text)), ModTime: time.Now()})
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

// Rename gives a file another name, which lasts with the folder's next sync; until then the one before may come back.
func (d *Disk) Rename(path, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[path]
	if f == nil {
		return os.ErrNotExist
	}
	if d.meet() != None {
		return ErrDisk
	}
	if f.entry {
		f.was, f.entry = path, false
	}
	delete(d.files, path)
	d.files[to] = f
	return nil
}

// SyncDir makes the entries last.
func (d *Disk) SyncDir(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.meet() != None {
		return ErrDisk
	}
	for _, f := range d.files {
		f.entry, f.was = true, ""
	}
	return nil
}

func (f *file) Write(b []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	switch f.disk.meet() {
	case Short:
		f.text = append(f.text, b[:len(b)/2]...)
		return len(b) / 2, ErrDisk
	case Lying:
		f.text = append(f.text, b...)
		return 0, ErrDisk
	case Full, Dead:
		return 0, ErrDisk
	}
	f.text = append(f.text, b...)
	return len(b), nil
}

func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.meet() != None {
		return ErrDisk
	}
	f.synced = len(f.text)
	return nil
}

func (f *file) Close() error { return nil }

// Crash is the machine's death and return: of what was not synced a part is lost by chance, and files whose entry did
// not last altogether.
func (d *Disk) Crash(chance *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dead = false
	for path, f := range d.files {
		if !f.entry {
			if delete(d.files, path); f.was == "" {
				continue
			}
			d.files[f.was], f.entry, f.was = f, true, ""
		}
		f.text = f.text[:f.synced+chance.IntN(len(f.text)-f.synced+1)]
		f.synced = len(f.text)
	}
}

// Flip turns bits over, by chance.
func (d *Disk) Flip(chance *rand.Rand, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []*file
	for _, f := range d.files {
		if len(f.text) > 0 {
			all = append(all, f)
		}
	}
	slices.SortFunc(all, func(a, b *file) int { return len(a.text) - len(b.text) })
	for range n {
		if len(all) > 0 {
			f := all[chance.IntN(len(all))]
			f.text[chance.IntN(len(f.text))] ^= 1 << chance.IntN(8)
		}
	}
}

// SlowFiles is the system's disk, on which each write takes as long as told when it begins, or fails.
type SlowFiles struct {
	wal.OSFileSystem
	Takes func() time.Duration
	Full  func() bool
}

// Create makes a file that is slow.
func (s SlowFiles) Create(path string) (wal.File, error) {
	if s.Full() {
		return nil, ErrDisk
	}
	f, err := s.OSFileSystem.Create(path)
	return slow{f, s}, err
}

type slow struct {
	wal.File
	of SlowFiles
}

func (s slow) Write(b []byte) (int, error) {
	if s.of.Full() {
		return 0, ErrDisk
	}
	time.Sleep(s.of.Takes())
	return s.File.Write(b)
}
