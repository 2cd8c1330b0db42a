// Package readiness keeps which servers are ready and which are listed, with counts that are in step with each change,
// so that nothing has to walk all servers.
package readiness

import (
	"math/bits"
	"slices"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/indexset"
)

// wordBits is how many labels and placements there are: the bits of a word.
const wordBits = 64

// Table holds all servers by number. The zero value is an empty table.
type Table struct {
	ready, listed []bool
	labels        counted
	placements    counted // that servers meet
	readyCount    int
	listedCount   int
	unlisted      indexset.Set // ready and not listed

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
	columns.Put(server, 0, &t.labels.words, &t.placements.words)
}

// Len is how many servers the table has numbers for.
func (t *Table) Len() int { return len(t.ready) }

// Ready tells whether a server is ready.
func (t *Table) Ready(server int) bool { return t.ready[server] }

// Listed tells whether a server is listed.
func (t *Table) Listed(server int) bool { return t.listed[server] }

// Labels is a server's labels, one a bit.
func (t *Table) Labels(server int) uint64 { return t.labels.words[server] }

// Placements is which placements a server meets, one a bit.
func (t *Table) Placements(server int) uint64 { return t.placements.words[server] }

// ReadyCount is how many servers are ready.
func (t *Table) ReadyCount() int { return t.readyCount }

// ListedCount is how many servers are listed.
func (t *Table) ListedCount() int { return t.listedCount }

// ReadyUnlisted is the set of servers that are ready and not listed, for walks.
func (t *Table) ReadyUnlisted() *indexset.Set { return &t.unlisted }

// ReadyWithLabels is how many of some labels ready servers have: each counts once for each that it has.
func (t *Table) ReadyWithLabels(labels uint64) int { return t.labels.count(labels) }

// ReadyWithPlacements is the same of placements.
func (t *Table) ReadyWithPlacements(placements uint64) int { return t.placements.count(placements) }

// SetReady has a server be ready or not, and tells whether it was.
func (t *Table) SetReady(server int, ready bool) (was bool) {
	was = t.ready[server]
	if ready != was {
		t.readyCount += sign(ready)
		AddToBits(&t.labels.ready, t.labels.words[server], sign(ready))
		AddToBits(&t.placements.ready, t.placements.words[server], sign(ready))
	}
	t.ready[server] = ready
	t.unlisted.Put(server, ready && !t.listed[server])
	return was
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
	t.labels.set(server, labels, t.ready[server])
}

// SetPlacements has a server meet other placements.
func (t *Table) SetPlacements(server int, met uint64) {
	t.placements.set(server, met, t.ready[server])
}

// counted is a word for each server, with the number of ready servers by bit.
type counted struct {
	words []uint64
	ready [wordBits]int
}

func (c *counted) set(server int, word uint64, ready bool) {
	if ready {
		AddToBits(&c.ready, c.words[server], -1)
		AddToBits(&c.ready, word, 1)
	}
	c.words[server] = word
}

func (c *counted) count(word uint64) (count int) {
	for ; word != 0; word &= word - 1 {
		count += c.ready[bits.TrailingZeros64(word)]
	}
	return count
}

// AddToBits changes the counts of a word's bits.
func AddToBits(counts *[wordBits]int, word uint64, change int) {
	for ; word != 0; word &= word - 1 {
		counts[bits.TrailingZeros64(word)] += change
	}
}

func sign(up bool) int {
	if up {
		return 1
	}
	return -1
}

// BeginUpdate starts the next list: WasListed tells of the moment before it.
func (t *Table) BeginUpdate() { t.lists++ }

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
	c.labels.words, c.placements.words = slices.Clone(t.labels.words), slices.Clone(t.placements.words)
	c.heard = slices.Clone(t.heard)
	c.unlisted = t.unlisted.Clone()
	return c
}
