package disk

import (
	"errors"
	"fmt"
	"os"
	"time"

	"fernvane/internal/controlplane/distribution"
)

// quarantine renames a damaged file to a name that tells when it was found.
func (d *Disk) quarantine(why error) error {
	to := fmt.Sprintf("%s.damaged-%s", d.path, time.Now().UTC().Format("20060102T150405.000"))
	if err := os.Rename(d.path, to); err != nil {
		return err
	}
	d.options.OnQuarantine(to, why)
	return nil
}

// reopen opens or creates the file if that failed before. What a file holds by then is not loaded. One that is damaged, as when
// there was space for half of a new file, is renamed.
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

// replaceFile renames a file that was found to be damaged in use, and starts another with everything that its owner holds. It
// returns an error in any case, so that the batch that failed waits again.
func (d *Disk) replaceFile(why error) error {
	if err := d.quarantine(why); err != nil {
		return err
	}
	if err := d.reopen(); err != nil {
		return err
	}
	if d.options.Snapshot != nil {
		d.refill(d.options.Snapshot())
	}
	return why
}

// refill has everything that the owner holds written to a new file, except where a newer change waits.
func (d *Disk) refill(entries []distribution.Entry, vector distribution.Vector) {
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
