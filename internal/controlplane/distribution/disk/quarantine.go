package disk

import (
	"errors"
	"fmt"
	"os"
	"time"

	"fernvane/internal/controlplane/distribution"
)

// quarantine renames a damaged file, with the current time in its new name.
func (d *Disk) quarantine(cause error) error {
	newPath := fmt.Sprintf("%s.damaged-%s", d.path, time.Now().UTC().Format("20060102T150405.000"))
	if err := os.Rename(d.path, newPath); err != nil {
		return err
	}
	d.options.OnQuarantine(newPath, cause)
	return nil
}

// reopen opens or creates the file if no file is open. Existing content is not loaded. A damaged file is renamed; a disk that
// fills up while a file is created leaves such a file.
func (d *Disk) reopen() error {
	if d.file != nil {
		return nil
	}
	f, _, err := openFile(d.path, int(d.maxBytes.Load()))
	if errors.Is(err, errDamaged) {
		if err = d.quarantine(err); err == nil {
			f, _, err = openFile(d.path, int(d.maxBytes.Load()))
		}
	}
	if err == nil {
		d.file = f
	}
	return err
}

// replaceFile renames a file that was found to be damaged while in use, creates a new one and schedules a write of the owner's
// snapshot. It always returns an error, so that the caller requeues the failed batch.
func (d *Disk) replaceFile(cause error) error {
	if err := d.quarantine(cause); err != nil {
		return err
	}
	if err := d.reopen(); err != nil {
		return err
	}
	if d.options.Snapshot != nil {
		d.rewriteAll(d.options.Snapshot())
	}
	return cause
}

// rewriteAll schedules writes of the owner's complete content to a new file, except for keys with a newer pending change.
func (d *Disk) rewriteAll(entries []distribution.Entry, vector distribution.Vector) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		if _, hasNewer := d.queue.pending[e.Key]; !hasNewer {
			d.queue.put(e.Key, change{entry: e})
		}
	}
	if d.state.vector == nil {
		d.state.vector = vector
	}
	d.state.isChanged = true
	d.state.prunedChanged = len(d.state.pruned) > 0
}
