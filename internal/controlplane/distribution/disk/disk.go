// Package disk keeps the entries of a distribution.Store, its vector and the origin of its latest run in one file, so
// that what a process holds is there at its next start. Packages client and control open one Disk each and save to it what their stores take in.
//
// One goroutine writes, in transactions of a bounded rate, so that no caller waits for the disk except in Close. A file that is
// damaged is renamed, a file that cannot be written is tried again, and in both cases the process goes on from memory.
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

// defaultWriteInterval is the least time between two transactions, each of which waits for the disk twice.
const defaultWriteInterval = 100 * time.Millisecond

// Why a file cannot be opened, or something not be saved.
var (
	ErrNewerFormat = errors.New("written by a newer version of this program")
	ErrInUse       = errors.New("another process has it open")
	ErrClosed      = errors.New("the disk is closed")
)

// Options of a file. Callbacks run on the writing goroutine, or on Open's; those that are nil are not called.
type Options struct {
	// WriteInterval is the least time between two transactions; 100 ms if it is 0.
	WriteInterval time.Duration
	// MaxBytes is the largest size of the file; 0 for any.
	MaxBytes int
	// OnFault is called once when the file can no longer be written, and with nil when it can be again.
	OnFault func(error)
	// OnQuarantine is called when a damaged file has been renamed, with its new path and the damage.
	OnQuarantine func(path string, why error)
	// Snapshot returns everything that the file should hold, for a new file in place of one found to be damaged in use.
	Snapshot func() ([]distribution.Entry, distribution.Vector)
}

// Loaded is what a file held.
type Loaded struct {
	// Origin is that of the run that wrote the file; empty for a new file. The next run takes another.
	Origin distribution.Origin
	// IsClean reports that the last process to write the file ended with everything in it.
	IsClean bool
	Entries []distribution.Entry
	Vector  distribution.Vector
	Pruned  distribution.Vector
}

// Disk is an open file. Its methods may be called from any goroutine, and only Close waits for the disk.
type Disk struct {
	path         string
	options      Options
	maxBytes     atomic.Int64  // of the file; 0 for any
	transactions atomic.Uint64 // written so far

	wake    chan struct{}
	stop    chan struct{}
	stopped chan struct{}

	// Of the writing goroutine, until stopped is closed.
	file    *file // nil while there is none
	isClean bool  // everything was written before the file was closed

	mu        sync.Mutex // never held over the disk
	queue     queue
	state     ownerState
	isClosing bool
	fault     error // why the file cannot be written at present
}

// ownerState is what the file holds beside entries, and which of it is to be written.
type ownerState struct {
	vector        distribution.Vector
	origin        distribution.Origin
	pruned        distribution.Vector
	isChanged     bool // vector or origin
	prunedChanged bool
}

// Open reads a file, or creates one. An error is one that the process must not go on from, such as ErrNewerFormat, ErrInUse or
// a directory that does not exist. A damaged file is renamed and counts as empty. If a file cannot be written for want of space,
// the Disk goes on trying.
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

// SetOrigin has the file keep another origin, under which its owner writes from now on.
func (d *Disk) SetOrigin(origin distribution.Origin) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.origin, d.state.isChanged = origin, true
	d.signal()
}

// Save has entries written, others removed, and the vector written after all of them. A vector that is nil stays as it is. Of
// what has not been written yet, only the last change of each key is.
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

// Prune has pruned deletions removed. The vector of what may be pruned is written ahead of that.
func (d *Disk) Prune(removed []distribution.Key, pruned distribution.Vector) {
	d.mu.Lock()
	d.state.pruned, d.state.prunedChanged = pruned.Clone(), true
	d.mu.Unlock()
	d.Save(nil, removed, nil)
}

// SaveDurably has entries written ahead of all that Save was given. The channel receives nil when they are in the file, or why
// they are not; they are tried again all the same.
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

// signal wakes the writer.
func (d *Disk) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// PendingCount returns how many entries wait to be written.
func (d *Disk) PendingCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.queue.pending)
}

// Fault returns why the file cannot be written at present; nil if it can.
func (d *Disk) Fault() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fault
}

// Close writes what waits until the context ends, and ends the writer. The file counts as clean only if everything was written;
// else Close returns an error.
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
