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
	syncMarkFile = "held.json"      // fixed: deployed nodes have a file of this name
	markInterval = 10 * time.Second // minimum time between two updates of the file
)

// syncMark is the content of syncMarkFile: the services that the vector on disk covers, and the last time at which the node was
// current.
type syncMark struct {
	Services []string  `json:"Services"`
	Current  time.Time `json:"Current"`
}

// markState tracks the saved mark. Run's goroutine owns it.
type markState struct {
	lastRefresh    time.Time
	saved          syncMark
	syncedServices []string // services that the vector covered at the last refresh; nil if writes were pending then
}

// restore initializes the store from the content of the disk. Services that the stored vector does not cover get a full sync;
// their stored entries stay in effect until then.
func (c *Client) restore(loaded disk.Loaded) {
	services := c.config.scope()
	c.store.Restore(loaded.Entries, loaded.Vector, loaded.Pruned)
	c.disk.Save(nil, keysOf(c.store.SetScope(services)), nil)
	saved, err := readSyncMark(c.config.Directory)
	if err != nil && !os.IsNotExist(err) {
		c.log.Error().Err(err).Msg("distribution: sync mark unreadable, full sync of all services")
	}
	c.syncMark.Current = saved.Current
	if len(loaded.Entries) > 0 || len(loaded.Vector) > 0 {
		c.store.MarkUnsynced(slices.DeleteFunc(services, func(name string) bool { return slices.Contains(saved.Services, name) }))
	}
	c.syncMark.Services = c.syncedServices()
	c.saveMark() // before the vector on disk can advance
}

// syncedServices returns the services that the vector covers.
func (c *Client) syncedServices() []string {
	unsynced := c.store.UnsyncedServices()
	return slices.DeleteFunc(c.config.scope(), func(name string) bool { return slices.Contains(unsynced, name) })
}

// refreshMark updates the mark every markInterval. A service counts as saved if it was synced and no writes were pending at two
// consecutive refreshes: a batch that the disk's writer had taken from the queue at the first refresh is in the file at the
// second.
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

// saveFinalMark updates the mark after the disk was closed without unsaved entries.
func (c *Client) saveFinalMark() {
	c.mu.Lock()
	c.syncMark.Services = c.syncedServices()
	c.markCurrent()
	c.mu.Unlock()
	c.saveMark()
}

// markCurrent records the current time if the node is current. The caller holds c.mu.
func (c *Client) markCurrent() {
	if c.subscriber.State() == distribution.StateCurrent {
		c.syncMark.Current = time.Now()
	}
}

// saveMark writes the mark if it differs from the saved one.
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
	content, err := os.ReadFile(filepath.Join(directory, syncMarkFile))
	if err != nil {
		return m, err
	}
	if err := json.Unmarshal(content, &m); err != nil {
		return syncMark{}, err
	}
	return m, nil
}

// writeSyncMark replaces the file atomically.
func writeSyncMark(directory string, m syncMark) error {
	content, err := json.Marshal(m)
	if err != nil {
		return err
	}
	path := filepath.Join(directory, syncMarkFile)
	if err := os.WriteFile(path+".new", content, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
