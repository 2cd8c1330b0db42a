// Package readiness holds which servers are ready and which are listed, with incrementally updated counts, so that no
// attempt or tick has to walk all servers. It makes no decisions. The policy owns the table, which has no lock.
package readiness

import (
	"slices"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/indexset"
)

// Table holds all servers by index. The zero value is an empty table.
type Table struct {
	ready         []bool
	listed        []bool
	labels        bitCounts
	placements    bitCounts
	readyCount    int
	listedCount   int
	readyUnlisted indexset.Set

	updates    int    // begun since the start
	wasListed  []bool // by server: listed before the update in recordedAt
	recordedAt []int  // by server: the update in which wasListed was recorded
}

// Add initializes a server that is neither ready nor listed and has no labels. The index may have belonged to another
// server.
func (t *Table) Add(server int) {
	wasListed := t.WasListed(server)
	if server < t.Len() {
		t.SetReady(server, false)
		t.SetListed(server, false)
	}
	columns.Put(server, false, &t.ready, &t.listed)
	columns.Put(server, wasListed, &t.wasListed)
	columns.Put(server, t.updates, &t.recordedAt)
	columns.Put(server, 0, &t.labels.words, &t.placements.words)
}

// Len returns the number of servers in the table.
func (t *Table) Len() int { return len(t.ready) }

// Ready reports whether a server is ready: it may get new requests.
func (t *Table) Ready(server int) bool { return t.ready[server] }

// Listed reports whether a server is listed.
func (t *Table) Listed(server int) bool { return t.listed[server] }

// Labels returns a server's labels as a bit set.
func (t *Table) Labels(server int) uint64 { return t.labels.words[server] }

// Placements returns the placements that a server matches as a bit set.
func (t *Table) Placements(server int) uint64 { return t.placements.words[server] }

// ReadyCount returns the number of ready servers.
func (t *Table) ReadyCount() int { return t.readyCount }

// ListedCount returns the number of listed servers.
func (t *Table) ListedCount() int { return t.listedCount }

// ReadyUnlisted returns the servers that are ready and not listed.
func (t *Table) ReadyUnlisted() *indexset.Set { return &t.readyUnlisted }

// ReadyWithLabels returns the sum, over the given labels, of the number of ready servers with the label.
func (t *Table) ReadyWithLabels(labels uint64) int { return t.labels.count(labels) }

// ReadyWithPlacements returns the sum, over the given placements, of the number of ready servers that match the
// placement.
func (t *Table) ReadyWithPlacements(placements uint64) int { return t.placements.count(placements) }

// SetReady sets whether a server is ready and returns the previous value.
func (t *Table) SetReady(server int, ready bool) (previous bool) {
	previous = t.ready[server]
	if ready != previous {
		t.readyCount += sign(ready)
		AddToBits(&t.labels.ready, t.labels.words[server], sign(ready))
		AddToBits(&t.placements.ready, t.placements.words[server], sign(ready))
	}
	t.ready[server] = ready
	t.readyUnlisted.Put(server, ready && !t.listed[server])
	return previous
}

// SetListed sets whether a server is listed.
func (t *Table) SetListed(server int, listed bool) {
	if listed != t.listed[server] {
		t.listedCount += sign(listed)
	}
	t.listed[server] = listed
	t.readyUnlisted.Put(server, t.ready[server] && !listed)
}

// SetLabels replaces a server's labels.
func (t *Table) SetLabels(server int, labels uint64) {
	t.labels.set(server, labels, t.ready[server])
}

// SetPlacements replaces the placements that a server matches.
func (t *Table) SetPlacements(server int, placements uint64) {
	t.placements.set(server, placements, t.ready[server])
}

// BeginUpdate starts an update: from now on, WasListed refers to the present state.
func (t *Table) BeginUpdate() { t.updates++ }

// UnlistAll marks every server as unlisted.
func (t *Table) UnlistAll() {
	for server := range t.listed {
		t.WasListed(server)
		t.SetListed(server, false)
	}
}

// WasListed reports whether a server was listed before the most recent BeginUpdate. It must be called before the
// update lists or unlists the server for the first time, other than by Add or UnlistAll.
func (t *Table) WasListed(server int) bool {
	if server >= len(t.listed) {
		return false
	}
	if t.recordedAt[server] != t.updates {
		t.recordedAt[server], t.wasListed[server] = t.updates, t.listed[server]
	}
	return t.wasListed[server]
}

// Clone returns a copy that shares no memory with the table.
func (t *Table) Clone() Table {
	c := *t
	columns.Clone(&c.ready, &c.listed, &c.wasListed)
	columns.Clone(&c.labels.words, &c.placements.words)
	c.recordedAt = slices.Clone(t.recordedAt)
	c.readyUnlisted = t.readyUnlisted.Clone()
	return c
}

func sign(isUp bool) int {
	if isUp {
		return 1
	}
	return -1
}
