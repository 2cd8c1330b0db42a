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

// retryInterval is the delay after a failed transaction.
const retryInterval = time.Second

// runWriter writes batches until the disk is closed. It is the body of the writer goroutine.
func (d *Disk) runWriter() {
	defer close(d.stopped)
	debug.SetPanicOnFault(true) // access to the mapping of a truncated file must not terminate the program
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

// sleep waits for a duration. It returns false immediately when the disk is closed.
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

// finish writes the pending changes and closes the file. It stops at the first error; the file is marked as clean only if no
// change is pending.
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

// writeBatch writes one batch. After an error it requeues the batch.
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
		d.requeueBatch(b)
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

// takeBatch collects the next batch. The vector and the origin are part of the batch with the last pending change.
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
	d.queue.markDrained(&b)
	if d.state.isChanged {
		b.vector, b.origin = d.state.vector, d.state.origin
		d.state.isChanged = false
	}
	return b, false
}

// commit writes a batch in one transaction. A panic, as bbolt raises on an invalid page, counts as damage.
func (d *Disk) commit(b batch) (err error) {
	defer func() {
		if p := recover(); p != nil {
			d.file = nil // not closed: the panic may have left its locks held
			err = fmt.Errorf("%w: %v", errDamaged, p)
		}
	}()
	d.file.db.MaxSize = int(d.maxBytes.Load())
	if err = d.file.write(b); err == nil {
		d.transactions.Add(1)
	}
	return err
}

// requeueBatch queues a failed batch again.
func (d *Disk) requeueBatch(b batch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.requeueBatch(&b)
	d.state.prunedChanged = d.state.prunedChanged || b.pruned != nil
	d.state.isChanged = true
}

// confirm clears the fault after a successful write and notifies the waiters of a batch.
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

// recordFault records the error of a write and notifies all waiters. OnFault is called for the first fault only.
func (d *Disk) recordFault(cause error) {
	d.mu.Lock()
	isFirst := d.fault == nil
	d.fault = cause
	d.queue.failAll(fmt.Errorf("entries not saved to disk: %w", cause))
	d.mu.Unlock()
	if isFirst {
		d.options.OnFault(fmt.Errorf("%s: %w", d.path, cause))
	}
}

// isRetryable reports whether an error may be temporary, such as a full disk.
func isRetryable(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG) || errors.Is(err, syscall.EIO) ||
		errors.Is(err, bbolterrors.ErrMaxSizeReached)
}
