package disk

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	bbolterrors "go.etcd.io/bbolt/errors"

	"fernvane/internal/controlplane/distribution"
)

// batch is what one transaction writes.
type batch struct {
	keys    []distribution.Key
	changes []change
	through uint64              // of the urgent changes, those that are in the file with this batch
	vector  distribution.Vector // nil while entries that it covers wait
	pruned  distribution.Vector // nil: as it was
	origin  distribution.Origin // empty: as it was
	clean   bool
}

// write is the writer, until the disk is closed.
func (d *Disk) write() {
	defer close(d.stopped)
	debug.SetPanicOnFault(true) // a file cut short beneath its mapping is a fault of the file, not of the program
	for closing := false; !closing; {
		select {
		case <-d.wake:
		case <-d.stop:
			closing = true
			continue
		}
		pause := d.options.WriteInterval
		if d.step() != nil {
			pause = retryEvery
		}
		if !d.sleep(pause) {
			closing = true
		}
	}
	d.finish()
}

// finish writes all that waits, marks the file as whole and closes it.
func (d *Disk) finish() {
	for d.PendingCount() > 0 {
		if d.step() != nil {
			break
		}
	}
	if d.file != nil && d.PendingCount() == 0 {
		b := batch{clean: true, vector: d.lastVector()}
		d.clean = d.commit(b) == nil
	}
	d.mu.Lock()
	for _, w := range d.waiting {
		w.done <- ErrClosed
	}
	d.waiting = nil
	d.mu.Unlock()
	if d.file != nil {
		d.file.close()
	}
}

func (d *Disk) lastVector() distribution.Vector {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.vector
}

// sleep is false if the disk is closed before the time is over.
func (d *Disk) sleep(pause time.Duration) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-d.stop:
		return false
	case <-t.C:
		return true
	}
}

// step writes one batch. After an error everything waits again.
func (d *Disk) step() error {
	if err := d.reopen(); err != nil {
		d.failed(err)
		d.signal()
		return err
	}
	b, more := d.take()
	if len(b.keys) == 0 && b.vector == nil && b.pruned == nil && b.origin == "" {
		return nil
	}
	err := d.commit(b)
	if errors.Is(err, errSpoilt) {
		err = d.replace(err)
	}
	if err != nil {
		d.giveBack(b)
		d.failed(err)
		d.signal()
		return err
	}
	d.written(b)
	if more {
		d.signal()
	}
	return nil
}

// commit is one transaction; what goes wrong within the file's own structure counts as damage.
func (d *Disk) commit(b batch) (err error) {
	defer func() {
		if p := recover(); p != nil {
			d.file = nil // its locks may be held for good: it is left alone
			err = fmt.Errorf("%w: %v", errSpoilt, p)
		}
	}()
	d.file.db.MaxSize = int(d.limit.Load())
	if err = d.file.write(b); err == nil {
		d.transactions.Add(1)
	}
	return err
}

// take collects the next batch.
func (d *Disk) take() (b batch, more bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	size := 0
	room := func() bool { return len(b.keys) < batchEntries && size < batchBytes }
	from := func(queue []distribution.Key) []distribution.Key {
		for len(queue) > 0 && room() {
			k := queue[0]
			queue = queue[1:]
			if c, ok := d.pending[k]; ok {
				delete(d.pending, k)
				b.keys, b.changes = append(b.keys, k), append(b.changes, c)
				size += len(k.Service) + len(k.Name) + len(c.entry.Value)
			}
		}
		return queue
	}
	d.urgent = from(d.urgent)
	d.taken = d.kept - uint64(len(d.urgent))
	b.through = d.taken
	d.queue = from(d.queue)
	if d.prune {
		b.pruned, d.prune = d.pruned, false
	}
	if more = len(d.pending) > 0; more {
		return b, more
	}
	d.urgent, d.queue = nil, nil
	d.taken, b.through = d.kept, d.kept
	if d.changed {
		b.vector, b.origin = d.vector, d.origin
		d.changed = false
	}
	return b, more
}

// giveBack has a batch wait again, but for what has been changed since, and tells those who wait for it.
func (d *Disk) giveBack(b batch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, k := range b.keys {
		if _, newer := d.pending[k]; !newer {
			d.pending[k] = b.changes[i]
		}
	}
	d.prune = d.prune || b.pruned != nil
	d.queue = slices.Collect(maps.Keys(d.pending))
	d.changed = true
}

// written tells those whose changes are in the file.
func (d *Disk) written(b batch) {
	d.mu.Lock()
	waiting := d.waiting[:0]
	for _, w := range d.waiting {
		if w.through <= b.through {
			w.done <- nil
		} else {
			waiting = append(waiting, w)
		}
	}
	d.waiting = waiting
	mended := d.fault != nil
	d.fault = nil
	d.mu.Unlock()
	if mended {
		d.options.OnFault(nil)
	}
}

// failed notes why the file cannot be written and tells it once, and everyone who waits.
func (d *Disk) failed(why error) {
	d.mu.Lock()
	first := d.fault == nil
	d.fault = why
	for _, w := range d.waiting {
		w.done <- fmt.Errorf("not on the disk: %w", why)
	}
	d.waiting = nil
	d.urgent, d.taken = nil, d.kept // nobody waits for them any more
	d.queue = slices.Collect(maps.Keys(d.pending))
	d.mu.Unlock()
	if first {
		d.options.OnFault(fmt.Errorf("%s: %w", d.path, why))
	}
}

// reopen makes a file where there was none to be had before.
func (d *Disk) reopen() error {
	if d.file != nil {
		return nil
	}
	f, _, err := openFile(d.path, int(d.limit.Load()))
	if errors.Is(err, errSpoilt) { // as when there was room for half of a new file
		if err = d.setAside(err); err == nil {
			f, _, err = openFile(d.path, int(d.limit.Load()))
		}
	}
	if err == nil {
		d.file = f
	}
	return err
}

// replace sets a file aside that is found to be damaged in use, and begins another with everything in it.
func (d *Disk) replace(why error) error {
	if err := d.setAside(why); err != nil {
		return err
	}
	if err := d.reopen(); err != nil {
		return err
	}
	if d.options.Snapshot != nil {
		d.fill(d.options.Snapshot())
	}
	return why
}

// fill has all that its owner holds written to a new file, but for what is newer.
func (d *Disk) fill(entries []distribution.Entry, vector distribution.Vector) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		if _, newer := d.pending[e.Key]; !newer {
			d.put(e.Key, change{entry: e})
		}
	}
	if d.vector == nil {
		d.vector = vector
	}
	d.changed, d.prune = true, len(d.pruned) > 0
}

// setAside gives a damaged file another name, which tells when it was.
func (d *Disk) setAside(why error) error {
	to := fmt.Sprintf("%s.damaged-%s", d.path, time.Now().UTC().Format("20060102T150405.000"))
	if err := os.Rename(d.path, to); err != nil {
		return err
	}
	d.options.OnQuarantine(to, why)
	return nil
}

// full tells of errors that may pass by themselves.
func full(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG) || errors.Is(err, syscall.EIO) ||
		errors.Is(err, bbolterrors.ErrMaxSizeReached)
}
