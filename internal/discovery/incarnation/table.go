package incarnation

import (
	"slices"
	"time"
)

const (
	// tombstoneRetention is how long the entry of a gone server is stored. After that the table would accept an earlier entry
	// of the server again. A planner that was disconnected for longer is therefore expected to restart, with an empty table.
	tombstoneRetention = 10 * time.Minute
	// maxEntries limits the size of a table, regardless of what peers send. Entries of further servers are ignored: they are
	// neither returned as changed nor logged. List snapshots have a separate limit.
	maxEntries = 8192
)

// Table contains the entries of all servers known to one process.
type Table struct {
	entries   map[string]Entry
	goneSince map[string]time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]Entry{}, goneSince: map[string]time.Duration{}}
}

// Get returns the entry of a server; ok is false if the server is unknown.
func (t *Table) Get(id string) (entry Entry, ok bool) {
	entry, ok = t.entries[id]
	return entry, ok
}

// Len returns the number of entries, including tombstones of gone servers.
func (t *Table) Len() int { return len(t.entries) }

// Join merges entries received from another process and returns, in the given order, those that were greater than the
// entries of the table.
func (t *Table) Join(now time.Duration, entries []Entry) (changed []Entry) {
	for _, entry := range entries {
		current, isKnown := t.entries[entry.ID]
		isFull := !isKnown && len(t.entries) >= maxEntries
		if isFull || isKnown && Compare(current, entry) >= 0 {
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

// ApplyDiscovery applies entries announced by discovery, with its revisions, and returns the entries that changed the
// table. Within one start, discovery can reinstate a draining or gone server only at a later revision than that of the
// server's entry; this begins a new generation. Older announcements, for example from a lagging replica of discovery, have
// no effect. Servers that a full list omits become Gone, unless the list is older than their entries. The revision of a list
// is the highest of its entries', so an empty full list has the revision 0 and removes no server with a later revision.
func (t *Table) ApplyDiscovery(now time.Duration, list []Entry, isFullList bool) (changed []Entry) {
	revision := uint64(0)
	isListed := make(map[string]bool, len(list))
	var announced []Entry
	for _, entry := range list {
		isListed[entry.ID], revision = true, max(revision, entry.Revision)
		if entry, ok := t.assignIncarnation(entry); ok {
			announced = append(announced, entry)
		}
	}
	if isFullList {
		announced = t.appendOmitted(announced, isListed, revision)
	}
	return t.Join(now, announced)
}

// RemoveUnlisted marks servers as Gone that a full list and the changes up to the given revision of discovery do not contain, and
// returns those that it has marked. A server whose entry is from a later revision is left as it is.
func (t *Table) RemoveUnlisted(now time.Duration, ids []string, revision uint64) (changed []Entry) {
	var gone []Entry
	for _, id := range ids {
		if entry, ok := t.entries[id]; ok {
			gone = appendGone(gone, entry, revision)
		}
	}
	return t.Join(now, gone)
}

// appendGone appends the entry of a server as Gone, unless the server is gone already or its entry is from a later revision.
func appendGone(gone []Entry, entry Entry, revision uint64) []Entry {
	if entry.Condition == Gone || entry.Revision > revision {
		return gone
	}
	entry.Condition, entry.Revision = Gone, revision
	return append(gone, entry)
}

// assignIncarnation assigns an announced entry to an incarnation. If its start is not later than that of the table's entry,
// the announcement concerns the same incarnation or reinstates the server in a new generation. ok is false if the
// announcement is too old to reinstate the server.
func (t *Table) assignIncarnation(announced Entry) (entry Entry, ok bool) {
	current, isKnown := t.entries[announced.ID]
	if !isKnown || announced.StartedUnixMS > current.StartedUnixMS {
		return announced, true
	}
	announced.StartedUnixMS, announced.Generation = current.StartedUnixMS, current.Generation
	if announced.Condition < current.Condition {
		if announced.Revision <= current.Revision {
			return announced, false
		}
		announced.Generation++
	}
	return announced, true
}

// appendOmitted appends a Gone entry for each server that a full list of the given revision omits.
func (t *Table) appendOmitted(announced []Entry, isListed map[string]bool, revision uint64) []Entry {
	for _, id := range t.sortedIDs() {
		if !isListed[id] {
			announced = appendGone(announced, t.entries[id], revision)
		}
	}
	return announced
}

// NewerThan returns at most limit entries of the table that are greater than those of another process. Gone entries that the
// other process lacks are omitted.
func (t *Table) NewerThan(other map[string]Entry, limit int) (newer []Entry) {
	for _, id := range t.sortedIDs() {
		entry := t.entries[id]
		otherEntry, isKnown := other[id]
		if isKnown && Compare(entry, otherEntry) <= 0 || !isKnown && entry.Condition == Gone {
			continue
		}
		newer = append(newer, entry)
		if len(newer) == limit {
			break
		}
	}
	return newer
}

// All returns the entries sorted by ID.
func (t *Table) All() []Entry {
	all := make([]Entry, 0, len(t.entries))
	for _, id := range t.sortedIDs() {
		all = append(all, t.entries[id])
	}
	return all
}

// ExpireTombstones removes the entries of servers that have been gone for longer than tombstoneRetention.
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
