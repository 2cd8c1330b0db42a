package incarnation

import (
	"slices"
	"time"
)

const (
	// tombstoneRetention is how long a server that has gone is remembered. A planner that was away for longer starts anew.
	tombstoneRetention = 10 * time.Minute
	// maxEntries limits a table, whatever a peer sends. Entries of further servers are ignored: they are neither returned as
	// changed nor logged. A list snapshot has a limit of its own.
	maxEntries = 8192
)

// Table holds the entries of all servers that one process knows.
type Table struct {
	entries   map[string]Entry
	goneSince map[string]time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]Entry{}, goneSince: map[string]time.Duration{}}
}

// Get returns the entry of a server.
func (t *Table) Get(id string) (entry Entry, ok bool) {
	entry, ok = t.entries[id]
	return entry, ok
}

// Len returns the number of entries, including those of servers that have gone.
func (t *Table) Len() int { return len(t.entries) }

// Join takes over entries that another process holds, and returns those that were greater than the table's own, in the
// order given.
func (t *Table) Join(now time.Duration, entries []Entry) (changed []Entry) {
	for _, entry := range entries {
		own, isKnown := t.entries[entry.ID]
		isFull := !isKnown && len(t.entries) >= maxEntries
		if isFull || isKnown && Compare(own, entry) >= 0 {
			continue
		}
		t.entries[entry.ID] = entry
		if entry.Condition != Gone {
			delete(t.goneSince, entry.ID)
		} else if _, ok := t.goneSince[entry.ID]; !ok {
			t.goneSince[entry.ID] = now
		}
		changed = append(changed, entry)
	}
	return changed
}

// ApplyDiscovery takes over entries that discovery announces, with revisions of discovery, and returns those that changed
// the table. Within one start, discovery can reinstate a server that was draining or gone only at a later revision than
// that of its entry; this begins a new generation. Older announcements, as from a replica of discovery that lags, change
// nothing. Servers that a full list does not name have gone, if the list is not older than their entries.
func (t *Table) ApplyDiscovery(now time.Duration, list []Entry, isFullList bool) (changed []Entry) {
	revision := uint64(0)
	isNamed := make(map[string]bool, len(list))
	var announced []Entry
	for _, entry := range list {
		isNamed[entry.ID], revision = true, max(revision, entry.Revision)
		if entry, ok := t.withinIncarnation(entry); ok {
			announced = append(announced, entry)
		}
	}
	if isFullList {
		announced = t.appendUnnamed(announced, isNamed, revision)
	}
	return t.Join(now, announced)
}

// withinIncarnation completes an announced entry that names no later start than the table's entry: it is about the same
// incarnation, or reinstates the server. ok is false if the announcement is too old to do so.
func (t *Table) withinIncarnation(announced Entry) (entry Entry, ok bool) {
	own, isKnown := t.entries[announced.ID]
	if !isKnown || announced.StartedUnixMS > own.StartedUnixMS {
		return announced, true
	}
	announced.StartedUnixMS, announced.Generation = own.StartedUnixMS, own.Generation
	if announced.Condition < own.Condition {
		if announced.Revision <= own.Revision {
			return announced, false
		}
		announced.Generation++
	}
	return announced, true
}

// appendUnnamed appends, as gone, the servers that a full list of that revision does not name.
func (t *Table) appendUnnamed(announced []Entry, isNamed map[string]bool, revision uint64) []Entry {
	for _, id := range t.sortedIDs() {
		entry := t.entries[id]
		if !isNamed[id] && entry.Condition != Gone && entry.Revision <= revision {
			entry.Condition, entry.Revision = Gone, revision
			announced = append(announced, entry)
		}
	}
	return announced
}

// NewerThan returns at most limit entries in which the table is ahead of what another process holds.
func (t *Table) NewerThan(other map[string]Entry, limit int) (newer []Entry) {
	for _, id := range t.sortedIDs() {
		own := t.entries[id]
		theirs, isKnown := other[id]
		if isKnown && Compare(own, theirs) <= 0 || !isKnown && own.Condition == Gone {
			continue
		}
		newer = append(newer, own)
		if len(newer) == limit {
			break
		}
	}
	return newer
}

// All returns the entries in the order of their IDs.
func (t *Table) All() []Entry {
	all := make([]Entry, 0, len(t.entries))
	for _, id := range t.sortedIDs() {
		all = append(all, t.entries[id])
	}
	return all
}

// ExpireTombstones removes servers that have been gone for longer than tombstoneRetention.
func (t *Table) ExpireTombstones(now time.Duration) {
	for id, since := range t.goneSince {
		if now-since > tombstoneRetention {
			delete(t.goneSince, id)
			delete(t.entries, id)
		}
	}
}

func (t *Table) sortedIDs() []string {
	ids := make([]string, 0, len(t.entries))
	for id := range t.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
