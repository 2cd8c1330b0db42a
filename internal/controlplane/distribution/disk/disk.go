// Package disk persists the entries of a distribution.Store, its vector and the origin of the store's latest run in one
// bbolt file, so that a process loads them at its next start. Packages client and control each open one Disk and save to it
// the changes that their stores accept.
//
// A single goroutine writes transactions at a bounded rate, so that no caller waits for the disk except in Close. A damaged
// file is renamed, a failed write is retried, and in both cases the process continues from memory.
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

// defaultWriteInterval is the minimum time between two transactions. Each transaction syncs the file twice.
const defaultWriteInterval = 100 * time.Millisecond

// Errors of Open and SaveDurably.
var (
	ErrNewerFormat = errors.New("file written by a newer version of this program")
	ErrInUse       = errors.New("file locked by another process")
	ErrClosed      = errors.New("disk closed")
)

// Options configure a Disk. Callbacks run on the writer goroutine, or on the goroutine that calls Open. Nil callbacks are
// skipped.
type Options struct {
	// WriteInterval is the minimum time between two transactions; 0 selects 100 ms.
	WriteInterval time.Duration
	// MaxBytes is the maximum size of the file; 0 means no limit.
	MaxBytes int
	// OnFault is called with the error of the first failed write, and with nil after the next successful one.
	OnFault func(error)
	// OnQuarantine is called after a damaged file was renamed, with its new path and the cause.
	OnQuarantine func(path string, cause error)
	// Snapshot returns the complete content for the new file that replaces one found to be damaged while in use.
	Snapshot func() ([]distribution.Entry, distribution.Vector)
}

// Loaded is the content of a file when it was opened.
type Loaded struct {
	// Origin is the origin of the run that wrote the file; empty for a new file. The next run uses a different one.
	Origin distribution.Origin
	// IsClean reports whether the last process to write the file saved everything before it closed the file.
	IsClean bool
	Entries []distribution.Entry
	Vector  distribution.Vector
	Pruned  distribution.Vector
}

// Disk is an open file. Its methods are safe for concurrent use, and only Close waits for the disk.
type Disk struct {
	path         string
	options      Options
	maxBytes     atomic.Int64  // maximum file size; 0 means no limit
	transactions atomic.Uint64 // committed since Open

	wake    chan struct{}
	stop    chan struct{}
	stopped chan struct{}

	// Owned by the writer goroutine until stopped is closed.
	file    *file // nil while no file is open
	isClean bool  // all changes were written before the file was closed

	mu        sync.Mutex // not held during disk I/O
	queue     queue
	state     metadata
	isClosing bool
	fault     error // error that currently prevents writes; nil if the file is writable
}

// metadata is the content of the file apart from entries, with flags for the parts to be written.
type metadata struct {
	vector        distribution.Vector
	origin        distribution.Origin
	pruned        distribution.Vector
	isChanged     bool // vector or origin changed since they were last written
	prunedChanged bool
}

// Open reads a file or creates one. It returns an error only for faults that the process must not ignore, such as
// ErrNewerFormat, ErrInUse or a missing directory. A damaged file is renamed and treated as empty. If the disk is full or
// reports an I/O error, Open succeeds without content, and the writer tries again to open the file.
func Open(path string, options Options) (*Disk, Loaded, error) {
	d := &Disk{
		path:    path,
		options: options.withDefaults(),
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
		queue:   queue{pending: map[distribution.Key]change{}},
	}
	d.maxBytes.Store(int64(options.MaxBytes))
	f, loaded, err := openFile(path, options.MaxBytes)
	if errors.Is(err, errDamaged) {
		if err := d.quarantine(err); err != nil {
			return nil, Loaded{}, err
		}
		f, loaded, err = openFile(path, options.MaxBytes)
	}
	switch {
	case err == nil:
		d.file = f
	case isRetryable(err):
		d.recordFault(err)
	default:
		return nil, Loaded{}, fmt.Errorf("%s: %w", path, err)
	}
	d.state.origin, d.state.pruned = loaded.Origin, loaded.Pruned
	go d.runWriter()
	return d, loaded, nil
}

func (o Options) withDefaults() Options {
	if o.WriteInterval <= 0 {
		o.WriteInterval = defaultWriteInterval
	}
	if o.OnFault == nil {
		o.OnFault = func(error) {}
	}
	if o.OnQuarantine == nil {
		o.OnQuarantine = func(string, error) {}
	}
	return o
}

// SetOrigin schedules a write of the origin that the owner uses from now on.
func (d *Disk) SetOrigin(origin distribution.Origin) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.origin, d.state.isChanged = origin, true
	d.signal()
}

// Save schedules writes of entries, removals of keys, and a write of the vector after all of them. A nil vector leaves the
// stored vector unchanged. Only the latest pending change of each key is written.
func (d *Disk) Save(entries []distribution.Entry, removed []distribution.Key, vector distribution.Vector) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		d.queue.put(e.Key, change{entry: e})
	}
	for _, k := range removed {
		d.queue.put(k, change{isRemoval: true})
	}
	d.setVector(vector)
	d.signal()
}

// Prune schedules the removal of pruned deletions. The pruned vector is written before them.
func (d *Disk) Prune(removed []distribution.Key, pruned distribution.Vector) {
	d.mu.Lock()
	d.state.pruned, d.state.prunedChanged = pruned.Clone(), true
	d.mu.Unlock()
	d.Save(nil, removed, nil)
}

// SaveDurably schedules writes of entries ahead of all changes passed to Save. The channel receives nil once the entries are
// in the file, or the error of a failed write. Failed writes are retried in either case.
func (d *Disk) SaveDurably(entries []distribution.Entry, vector distribution.Vector) <-chan error {
	done := make(chan error, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.isClosing:
		done <- ErrClosed
		return done
	case len(entries) == 0:
		done <- nil
		return done
	}
	d.queue.putUrgent(entries, done)
	d.setVector(vector)
	d.signal()
	return done
}

func (d *Disk) setVector(vector distribution.Vector) {
	if vector != nil {
		d.state.vector, d.state.isChanged = vector.Clone(), true
	}
}

// signal wakes the writer goroutine.
func (d *Disk) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// PendingCount returns the number of entries that are not yet written.
func (d *Disk) PendingCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.queue.pending)
}

// Fault returns the error that currently prevents writes; nil if the file is writable.
func (d *Disk) Fault() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fault
}

// Close writes the pending changes and stops the writer, and waits for both until the context is done. The file is marked as
// clean only if all changes were written; otherwise Close returns an error.
func (d *Disk) Close(ctx context.Context) error {
	d.mu.Lock()
	isFirst := !d.isClosing
	d.isClosing = true
	d.mu.Unlock()
	if isFirst {
		close(d.stop)
	}
	select {
	case <-d.stopped:
		if !d.isClean {
			return errors.Join(errors.New("unsaved entries at close"), d.Fault())
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
