package client

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"time"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/disk"
)

const (
	syncMarkFile = "held.json"      // the name that deployed nodes have on disk
	markInterval = 10 * time.Second // between two updates of the file
)

// syncMark says for which services the vector on disk holds, and when the node was current last. It is the content of
// syncMarkFile.
type syncMark struct {
	Services []string  `json:"Services"`
	Current  time.Time `json:"Current"`
}

// markState is how far the mark is on disk. It belongs to Run's goroutine.
type markState struct {
	lastRefresh    time.Time
	saved          syncMark
	syncedServices []string // services that the vector covered at the last refresh, when nothing waited to be written
}

// restore takes in what the disk held. Services that its vector does not cover get a full sync; what is held of them is in
// effect until then.
func (c *Client) restore(loaded disk.Loaded) {
	services := c.config.scope()
	c.store.Restore(loaded.Entries, loaded.Vector, loaded.Pruned)
	c.disk.Save(nil, keysOf(c.store.SetScope(services)), nil)
	saved, err := readSyncMark(c.config.Directory)
	if err != nil && !os.IsNotExist(err) {
		c.log.Error().Err(err).Msg("distribution: sync mark unreadable, all services are received again")
	}
	c.syncMark.Current = saved.Current
	if len(loaded.Entries) > 0 || len(loaded.Vector) > 0 {
		c.store.MarkUnsynced(slices.DeleteFunc(services, func(name string) bool { return slices.Contains(saved.Services, name) }))
	}
	c.syncMark.Services = c.syncedServices()
	c.saveMark() // ahead of whatever raises the vector
}

// syncedServices returns the services that the vector covers.
func (c *Client) syncedServices() []string {
	unsynced := c.store.UnsyncedServices()
	return slices.DeleteFunc(c.config.scope(), func(name string) bool { return slices.Contains(unsynced, name) })
}

// refreshMark updates the mark every markInterval. A service counts as saved if nothing waited to be written at two refreshes:
// what waited in the writer at the first is in the file at the second.
func (c *Client) refreshMark() {
	if time.Since(c.markState.lastRefresh) < markInterval {
		return
	}
	c.markState.lastRefresh = time.Now()
	if c.disk.PendingCount() > 0 || c.disk.Fault() != nil || c.pending.isIncomplete {
		c.markState.syncedServices = nil
		return
	}
	c.mu.Lock()
	synced := c.syncedServices()
	c.syncMark.Services = slices.DeleteFunc(slices.Clone(synced), func(name string) bool {
		return !slices.Contains(c.markState.syncedServices, name) && !slices.Contains(c.syncMark.Services, name)
	})
	c.markCurrent()
	c.mu.Unlock()
	c.markState.syncedServices = synced
	c.saveMark()
}

// saveFinalMark updates the mark after the disk has been closed with everything in it.
func (c *Client) saveFinalMark() {
	c.mu.Lock()
	c.syncMark.Services = c.syncedServices()
	c.markCurrent()
	c.mu.Unlock()
	c.saveMark()
}

// markCurrent notes the time if the node is current. c.mu is held.
func (c *Client) markCurrent() {
	if c.subscriber.State() == distribution.StateCurrent {
		c.syncMark.Current = time.Now()
	}
}

// saveMark writes the mark if it has changed.
func (c *Client) saveMark() {
	c.mu.Lock()
	next := syncMark{Services: slices.Clone(c.syncMark.Services), Current: c.syncMark.Current}
	c.mu.Unlock()
	saved := &c.markState.saved
	if slices.Equal(next.Services, saved.Services) && next.Current.Equal(saved.Current) {
		return
	}
	if err := writeSyncMark(c.config.Directory, next); err != nil {
		c.log.Error().Err(err).Msg("distribution: sync mark not saved")
		return
	}
	*saved = next
}

func readSyncMark(directory string) (m syncMark, err error) {
	text, err := os.ReadFile(filepath.Join(directory, syncMarkFile))
	if err != nil {
		return m, err
	}
	if err := json.Unmarshal(text, &m); err != nil {
		return syncMark{}, err
	}
	return m, nil
}

// writeSyncMark replaces the file as a whole.
func writeSyncMark(directory string, m syncMark) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	path := filepath.Join(directory, syncMarkFile)
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
