package disk

import (
	"errors"
	"fmt"
	"runtime/debug"
	"syscall"
	"time"

	bbolterrors "go.etcd.io/bbolt/errors"

	"fernvane/internal/controlplane/distribution"
)

// retryInterval is the time after a transaction that failed.
const retryInterval = time.Second

// runWriter is the writing goroutine, until the disk is closed.
func (d *Disk) runWriter() {
	defer close(d.stopped)
	debug.SetPanicOnFault(true) // a file that is cut short beneath its mapping must not end the program
	for isOpen := true; isOpen; {
		select {
		case <-d.stop:
			isOpen = false
		case <-d.wake:
			interval := d.options.WriteInterval
			if d.writeBatch() != nil {
				interval = retryInterval
			}
			isOpen = d.sleep(interval)
		}
	}
	d.finish()
}

// sleep returns false if the disk is closed meanwhile.
func (d *Disk) sleep(duration time.Duration) bool {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-d.stop:
		return false
	case <-t.C:
		return true
	}
}

// finish writes everything that waits and closes the file. After the first error it gives up; the file is marked as clean only
// if nothing waits any more.
func (d *Disk) finish() {
	for d.PendingCount() > 0 {
		if d.writeBatch() != nil {
			break
		}
	}
	if d.file != nil && d.PendingCount() == 0 {
		d.isClean = d.commit(batch{isClean: true, vector: d.lastVector()}) == nil
	}
	d.mu.Lock()
	d.queue.failAll(ErrClosed)
	d.mu.Unlock()
	if d.file != nil {
		d.file.close()
	}
}

func (d *Disk) lastVector() distribution.Vector {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.vector
}

// writeBatch writes one batch. After an error everything in it waits again.
func (d *Disk) writeBatch() error {
	if err := d.reopen(); err != nil {
		d.recordFault(err)
		d.signal()
		return err
	}
	b, hasMore := d.takeBatch()
	if b.isEmpty() {
		return nil
	}
	err := d.commit(b)
	if errors.Is(err, errDamaged) {
		err = d.replaceFile(err)
	}
	if err != nil {
		d.giveBack(b)
		d.recordFault(err)
		d.signal()
		return err
	}
	d.confirm(b)
	if hasMore {
		d.signal()
	}
	return nil
}

// takeBatch collects the next batch. The vector and the origin go with the last of what waits.
func (d *Disk) takeBatch() (b batch, hasMore bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.take(&b)
	if d.state.prunedChanged {
		b.pruned, d.state.prunedChanged = d.state.pruned, false
	}
	if len(d.queue.pending) > 0 {
		return b, true
	}
	d.queue.takeLast(&b)
	if d.state.isChanged {
		b.vector, b.origin = d.state.vector, d.state.origin
		d.state.isChanged = false
	}
	return b, false
}

// commit writes a batch in one transaction. A panic within the file's own structure counts as damage.
func (d *Disk) commit(b batch) (err error) {
	defer func() {
		if p := recover(); p != nil {
			d.file = nil // not closed: its locks may be held for good
			err = fmt.Errorf("%w: %v", errDamaged, p)
		}
	}()
	d.file.db.MaxSize = int(d.maxBytes.Load())
	if err = d.file.write(b); err == nil {
		d.transactions.Add(1)
	}
	return err
}

// giveBack has a batch that failed wait again.
func (d *Disk) giveBack(b batch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.giveBack(&b)
	d.state.prunedChanged = d.state.prunedChanged || b.pruned != nil
	d.state.isChanged = true
}

// confirm notifies those that wait for a batch that it is in the file.
func (d *Disk) confirm(b batch) {
	d.mu.Lock()
	d.queue.confirm(b.through)
	isRecovered := d.fault != nil
	d.fault = nil
	d.mu.Unlock()
	if isRecovered {
		d.options.OnFault(nil)
	}
}

// recordFault notes why the file cannot be written, and notifies everyone who waits. OnFault is called for the first fault only.
func (d *Disk) recordFault(why error) {
	d.mu.Lock()
	isFirst := d.fault == nil
	d.fault = why
	d.queue.failAll(fmt.Errorf("not on the disk: %w", why))
	d.mu.Unlock()
	if isFirst {
		d.options.OnFault(fmt.Errorf("%s: %w", d.path, why))
	}
}

// isRetryable reports whether an error may pass by itself.
func isRetryable(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG) || errors.Is(err, syscall.EIO) ||
		errors.Is(err, bbolterrors.ErrMaxSizeReached)
}
