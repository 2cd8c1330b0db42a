// Package readiness holds which servers are ready and which are listed, with counts that are kept in step, so that no
// attempt or tick has to walk all servers. It decides nothing. Its owner is the policy; it has no lock.
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

	updates   int    // begun so far
	wasListed []bool // by server: before the update in seenAt
	seenAt    []int  // by server: the update for which wasListed was taken
}

// Add starts a server that is neither ready nor listed and has no labels. Its index may have been another's.
func (t *Table) Add(server int) {
	wasListed := t.WasListed(server)
	if server < t.Len() {
		t.SetReady(server, false)
		t.SetListed(server, false)
	}
	columns.Put(server, false, &t.ready, &t.listed)
	columns.Put(server, wasListed, &t.wasListed)
	columns.Put(server, t.updates, &t.seenAt)
	columns.Put(server, 0, &t.labels.words, &t.placements.words)
}

// Len returns how many servers the table has.
func (t *Table) Len() int { return len(t.ready) }

// Ready reports whether a server is ready: it may get new requests.
func (t *Table) Ready(server int) bool { return t.ready[server] }

// Listed reports whether a server is listed.
func (t *Table) Listed(server int) bool { return t.listed[server] }

// Labels returns a server's labels, one a bit.
func (t *Table) Labels(server int) uint64 { return t.labels.words[server] }

// Placements returns the placements that a server matches, one a bit.
func (t *Table) Placements(server int) uint64 { return t.placements.words[server] }

// ReadyCount returns how many servers are ready.
func (t *Table) ReadyCount() int { return t.readyCount }

// ListedCount returns how many servers are listed.
func (t *Table) ListedCount() int { return t.listedCount }

// ReadyUnlisted returns the servers that are ready and not listed.
func (t *Table) ReadyUnlisted() *indexset.Set { return &t.readyUnlisted }

// ReadyWithLabels returns how many of some labels ready servers have. A server counts once for each that it has.
func (t *Table) ReadyWithLabels(labels uint64) int { return t.labels.count(labels) }

// ReadyWithPlacements returns how many of some placements ready servers match. A server counts once for each.
func (t *Table) ReadyWithPlacements(placements uint64) int { return t.placements.count(placements) }

// SetReady sets whether a server is ready and returns whether it was.
func (t *Table) SetReady(server int, ready bool) (was bool) {
	was = t.ready[server]
	if ready != was {
		t.readyCount += sign(ready)
		AddToBits(&t.labels.ready, t.labels.words[server], sign(ready))
		AddToBits(&t.placements.ready, t.placements.words[server], sign(ready))
	}
	t.ready[server] = ready
	t.readyUnlisted.Put(server, ready && !t.listed[server])
	return was
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

// BeginUpdate marks the state that WasListed reports from now on.
func (t *Table) BeginUpdate() { t.updates++ }

// UnlistAll marks every server unlisted.
func (t *Table) UnlistAll() {
	for server := range t.listed {
		t.WasListed(server)
		t.SetListed(server, false)
	}
}

// WasListed reports whether a server was listed before the update begun last. It must be called before the update lists
// or unlists the server for the first time, other than by Add or UnlistAll.
func (t *Table) WasListed(server int) bool {
	if server >= len(t.listed) {
		return false
	}
	if t.seenAt[server] != t.updates {
		t.seenAt[server], t.wasListed[server] = t.updates, t.listed[server]
	}
	return t.wasListed[server]
}

// Clone returns a copy that shares no memory with the table.
func (t *Table) Clone() Table {
	c := *t
	columns.Clone(&c.ready, &c.listed, &c.wasListed)
	columns.Clone(&c.labels.words, &c.placements.words)
	c.seenAt = slices.Clone(t.seenAt)
	c.readyUnlisted = t.readyUnlisted.Clone()
	return c
}

func sign(isUp bool) int {
	if isUp {
		return 1
	}
	return -1
}
