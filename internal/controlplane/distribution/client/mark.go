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

const markFile = "held.json"

// mark says what the entries on disk are of: their vector holds for these services, and the node was current then.
type mark struct {
	Services []string
	Current  time.Time
}

// restore takes in what the disk held. Services for which its vector does not hold are sent whole; what is held of them
// serves until then.
func (c *Client) restore(loaded disk.Loaded) {
	services := c.config.scope()
	c.store.Restore(loaded.Entries, loaded.Vector, loaded.Pruned)
	var dropped []distribution.Key
	for _, e := range c.store.SetScope(services) {
		dropped = append(dropped, e.Key)
	}
	c.disk.Save(nil, dropped, nil)
	m, err := readMark(c.config.Directory)
	if err != nil && !os.IsNotExist(err) {
		c.log.Error().Err(err).Msg("distribution: what the disk's entries are of is not known: all are told anew")
	}
	c.mark.Current = m.Current
	if len(loaded.Entries) > 0 || len(loaded.Vector) > 0 {
		c.store.MarkUnsynced(slices.DeleteFunc(services, func(name string) bool { return slices.Contains(m.Services, name) }))
	}
	c.mark.Services = c.markable()
	c.keepMark() // ahead of whatever raises the vector
}

// markable are the services for which the vector holds.
func (c *Client) markable() []string {
	missing := c.store.UnsyncedServices()
	return slices.DeleteFunc(c.config.scope(), func(name string) bool { return slices.Contains(missing, name) })
}

// lookAtMark notes now and then for which services the disk holds, and when the node was current. A service counts as on
// disk if nothing of it waited at two looks: what the first of them found to be taken is written by the second.
func (c *Client) lookAtMark() {
	if time.Since(c.marked) < markEvery {
		return
	}
	c.marked = time.Now()
	if c.disk.PendingCount() > 0 || c.disk.Fault() != nil || c.pending.open {
		c.onDisk = nil
		return
	}
	c.mu.Lock()
	held := c.markable()
	c.mark.Services = slices.DeleteFunc(slices.Clone(held), func(name string) bool {
		return !slices.Contains(c.onDisk, name) && !slices.Contains(c.mark.Services, name)
	})
	c.noteCurrent()
	c.mu.Unlock()
	c.onDisk = held
	c.keepMark()
}

// noteCurrent is for who holds the lock.
func (c *Client) noteCurrent() {
	if c.subscriber.State() == distribution.StateCurrent {
		c.mark.Current = time.Now()
	}
}

// closeMark notes the same at the end, when all is on disk.
func (c *Client) closeMark() {
	c.mu.Lock()
	c.mark.Services = c.markable()
	c.noteCurrent()
	c.mu.Unlock()
	c.keepMark()
}

// keepMark writes the mark where it has changed.
func (c *Client) keepMark() {
	c.mu.Lock()
	next := mark{Services: slices.Clone(c.mark.Services), Current: c.mark.Current}
	c.mu.Unlock()
	if slices.Equal(next.Services, c.wroteMark.Services) && next.Current.Equal(c.wroteMark.Current) {
		return
	}
	if err := writeMark(c.config.Directory, next); err != nil {
		c.log.Error().Err(err).Msg("distribution: mark not kept")
		return
	}
	c.wroteMark = next
}

func readMark(directory string) (m mark, err error) {
	text, err := os.ReadFile(filepath.Join(directory, markFile))
	if err != nil {
		return m, err
	}
	if err := json.Unmarshal(text, &m); err != nil {
		return mark{}, err
	}
	return m, nil
}

// writeMark replaces the mark by one that is whole.
func writeMark(directory string, m mark) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	path := filepath.Join(directory, markFile)
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
