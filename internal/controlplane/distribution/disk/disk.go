// Package disk keeps entries and their vector in one file, so that what a process holds is good at its next start. One
// goroutine writes, at a bounded rate and away from whoever has something saved. A file that is damaged is set aside, one
// that cannot be written is tried again, and in both cases the process goes on from memory.
package disk

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"fernvane/internal/controlplane/distribution"
)

const (
	defaultEvery = 100 * time.Millisecond // between two transactions, each of which waits for the disk twice
	retryEvery   = time.Second            // after a transaction that failed
	batchEntries = 2048                   // in a transaction, so that none holds the disk for long
	batchBytes   = 1 << 20
)

// ErrNewerFormat says that a file is of a format that this version of the program does not know.
var ErrNewerFormat = errors.New("it was written by a newer version of this program")

// ErrInUse says that another process has the file open.
var ErrInUse = errors.New("another process has it open")

// ErrClosed is told of what was saved too late.
var ErrClosed = errors.New("the disk is closed")

// Options of a file.
type Options struct {
	// Every is the least time between two transactions; 100 ms where it is 0.
	WriteInterval time.Duration
	// MostBytes is the largest size of the file; 0 for any.
	MaxBytes int
	// Fault is told once when the file can no longer be written, and again with nil when it can.
	OnFault func(error)
	// SetAside is told where a damaged file has gone, and why.
	OnQuarantine func(path string, why error)
	// Whole gives everything that the file should hold, for a new file in place of one found to be damaged in use.
	Snapshot func() ([]distribution.Entry, distribution.Vector)
}

// Loaded is what a file held.
type Loaded struct {
	// Origin is the name under which the file's owner wrote; empty for a new file.
	Origin distribution.Origin
	// Clean says that the last process to write it had all it knew in it when it ended.
	IsClean bool
	Entries []distribution.Entry
	Vector  distribution.Vector
	Pruned  distribution.Vector
}

// Disk is an open file. Its methods may be called from any goroutine and none of them waits for the disk but Close.
type Disk struct {
	path    string
	options Options
	wake    chan struct{}
	stop    chan struct{}
	stopped chan struct{}
	file    *file // of the writer alone; nil while there is none
	clean   bool  // of the writer, until it has stopped

	mu      sync.Mutex // never held over the disk
	pending map[distribution.Key]change
	urgent  []distribution.Key // ahead of queue
	queue   []distribution.Key
	vector  distribution.Vector
	pruned  distribution.Vector
	prune   bool // pruned is to be written
	origin  distribution.Origin
	changed bool   // the vector or the origin is to be written
	kept    uint64 // urgent changes so far
	taken   uint64 // of them, those that no longer wait in urgent
	waiting []waiter
	closing bool
	fault   error

	limit        atomic.Int64 // bytes of the file; 0 for any
	transactions atomic.Uint64
}

// change is what an entry is to become.
type change struct {
	entry   distribution.Entry
	removed bool
}

// waiter is told when all urgent changes up to its own are in the file.
type waiter struct {
	through uint64 // of the changes counted by kept
	done    chan<- error
}

// Open reads a file, or makes one. An error is one that the process should not go on from: a newer format, another
// process's file or a folder that is not there. A damaged file is set aside and counts as empty; on a file that cannot be
// written the Disk goes on trying.
func Open(path string, o Options) (*Disk, Loaded, error) {
	if o.WriteInterval <= 0 {
		o.WriteInterval = defaultEvery
	}
	if o.OnFault == nil {
		o.OnFault = func(error) {}
	}
	if o.OnQuarantine == nil {
		o.OnQuarantine = func(string, error) {}
	}
	d := &Disk{path: path, options: o, wake: make(chan struct{}, 1), stop: make(chan struct{}), stopped: make(chan struct{}),
		pending: map[distribution.Key]change{}}
	d.limit.Store(int64(o.MaxBytes))
	f, loaded, err := openFile(path, o.MaxBytes)
	if errors.Is(err, errSpoilt) {
		if err := d.setAside(err); err != nil {
			return nil, Loaded{}, err
		}
		f, loaded, err = openFile(path, o.MaxBytes)
	}
	switch {
	case err == nil:
		d.file = f
	case full(err):
		d.failed(err)
	default:
		return nil, Loaded{}, fmt.Errorf("%s: %w", path, err)
	}
	d.origin, d.pruned = loaded.Origin, loaded.Pruned
	go d.write()
	return d, loaded, nil
}

// SetOrigin has the file keep another name, under which its owner writes from now on.
func (d *Disk) SetOrigin(origin distribution.Origin) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.origin, d.changed = origin, true
	d.signal()
}

// Save has entries written, others removed and the vector written after all of them. A vector that is nil stays as it is.
// What has not been written yet is kept once for each key.
func (d *Disk) Save(entries []distribution.Entry, removed []distribution.Key, vector distribution.Vector) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		d.put(e.Key, change{entry: e})
	}
	for _, k := range removed {
		d.put(k, change{removed: true})
	}
	d.saveVector(vector)
	d.signal()
}

// Prune has deletions that are forgotten removed. The vector of what may be forgotten is written ahead of that.
func (d *Disk) Prune(removed []distribution.Key, pruned distribution.Vector) {
	d.mu.Lock()
	d.pruned, d.prune = pruned.Clone(), true
	d.mu.Unlock()
	d.Save(nil, removed, nil)
}

func (d *Disk) put(k distribution.Key, c change) {
	if _, queued := d.pending[k]; !queued {
		d.queue = append(d.queue, k)
	}
	d.pending[k] = c
}

// SaveDurably has entries written ahead of all that Save has been told, and tells when they last or why they do not. What
// failed is tried again all the same.
func (d *Disk) SaveDurably(entries []distribution.Entry, vector distribution.Vector) <-chan error {
	done := make(chan error, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.closing:
		done <- ErrClosed
		return done
	case len(entries) == 0:
		done <- nil
		return done
	}
	for _, e := range entries {
		d.urgent = append(d.urgent, e.Key)
		d.pending[e.Key] = change{entry: e}
	}
	d.saveVector(vector)
	d.kept += uint64(len(entries))
	d.waiting = append(d.waiting, waiter{d.kept, done})
	d.signal()
	return done
}

func (d *Disk) saveVector(vector distribution.Vector) {
	if vector != nil {
		d.vector, d.changed = vector.Clone(), true
	}
}

func (d *Disk) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// PendingCount counts what waits to be written.
func (d *Disk) PendingCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.pending)
}

// TransactionCount counts those that were written.
func (d *Disk) TransactionCount() uint64 { return d.transactions.Load() }

// Fault is why the file cannot be written at present, nil if it can.
func (d *Disk) Fault() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fault
}

// Close writes what waits until the context ends, and ends the writer. The file counts as clean only if all was written.
func (d *Disk) Close(ctx context.Context) error {
	d.mu.Lock()
	first := !d.closing
	d.closing = true
	d.mu.Unlock()
	if first {
		close(d.stop)
	}
	select {
	case <-d.stopped:
		if !d.clean {
			return errors.Join(errors.New("not all of it is on the disk"), d.Fault())
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
