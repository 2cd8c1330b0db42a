// Package membership keeps which servers are ready and which are listed, with counts that are in step with each change,
// so that nothing has to walk all servers.
package membership

import (
	"math/bits"
	"slices"

	"fernvane/internal/activeset"
	"fernvane/internal/columns"
)

// labelCount is how many labels there are: the bits of a word.
const labelCount = 64

// Table holds all servers by number. The zero value is an empty table.
type Table struct {
	ready, listed []bool
	labels        []uint64
	readyCount    int
	listedCount   int
	labelled      [labelCount]int // ready servers by label
	unlisted      activeset.Set   // ready and not listed

	lists  int    // begun so far
	before []bool // whether a server was listed before the list numbered in heard
	heard  []int
}

// Add starts a server that is neither ready nor listed and has no label, also under the number of an earlier one.
func (t *Table) Add(server int) {
	before := t.WasListed(server)
	if server < t.Len() {
		t.SetReady(server, false)
		t.SetListed(server, false)
	}
	columns.Put(server, false, &t.ready, &t.listed)
	columns.Put(server, before, &t.before)
	columns.Put(server, t.lists, &t.heard)
	columns.Put(server, 0, &t.labels)
}

// Len is how many servers the table has numbers for.
func (t *Table) Len() int { return len(t.ready) }

// Ready tells whether a server is ready.
func (t *Table) Ready(server int) bool { return t.ready[server] }

// Listed tells whether a server is listed.
func (t *Table) Listed(server int) bool { return t.listed[server] }

// Labels is a server's labels, one a bit.
func (t *Table) Labels(server int) uint64 { return t.labels[server] }

// ReadyCount is how many servers are ready.
func (t *Table) ReadyCount() int { return t.readyCount }

// ListedCount is how many servers are listed.
func (t *Table) ListedCount() int { return t.listedCount }

// Unlisted is the set of servers that are ready and not listed, for walks.
func (t *Table) Unlisted() *activeset.Set { return &t.unlisted }

// LabelCount is how many of some labels ready servers have: each counts once for each that it has.
func (t *Table) LabelCount(labels uint64) (count int) {
	for l := labels; l != 0; l &= l - 1 {
		count += t.labelled[bits.TrailingZeros64(l)]
	}
	return count
}

// SetReady has a server be ready or not.
func (t *Table) SetReady(server int, ready bool) {
	if ready != t.ready[server] {
		t.readyCount += sign(ready)
		t.countLabels(server, sign(ready))
	}
	t.ready[server] = ready
	t.unlisted.Put(server, ready && !t.listed[server])
}

// SetListed has a server be listed or not.
func (t *Table) SetListed(server int, listed bool) {
	if listed != t.listed[server] {
		t.listedCount += sign(listed)
	}
	t.listed[server] = listed
	t.unlisted.Put(server, t.ready[server] && !listed)
}

// SetLabels gives a server other labels.
func (t *Table) SetLabels(server int, labels uint64) {
	if t.labels[server] == labels {
		return
	}
	if t.ready[server] {
		t.countLabels(server, -1)
	}
	if t.labels[server] = labels; t.ready[server] {
		t.countLabels(server, 1)
	}
}

func (t *Table) countLabels(server, by int) {
	for l := t.labels[server]; l != 0; l &= l - 1 {
		t.labelled[bits.TrailingZeros64(l)] += by
	}
}

func sign(up bool) int {
	if up {
		return 1
	}
	return -1
}

// BeginList starts the next list: WasListed tells of the moment before it.
func (t *Table) BeginList() { t.lists++ }

// UnlistAll has no server be listed.
func (t *Table) UnlistAll() {
	for server := range t.listed {
		t.WasListed(server)
		t.SetListed(server, false)
	}
}

// WasListed tells whether a server was listed before the list that was begun last. It has to be asked before the
// server is listed or not by that list.
func (t *Table) WasListed(server int) bool {
	if server >= len(t.listed) {
		return false
	}
	if t.heard[server] != t.lists {
		t.heard[server], t.before[server] = t.lists, t.listed[server]
	}
	return t.before[server]
}

// Clone shares no memory with the table.
func (t *Table) Clone() Table {
	c := *t
	columns.Clone(&c.ready, &c.listed, &c.before)
	c.labels = slices.Clone(t.labels)
	c.heard = slices.Clone(t.heard)
	c.unlisted = t.unlisted.Clone()
	return c
}
