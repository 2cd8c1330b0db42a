package decay

import (
	"slices"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/indexset"
)

// Table holds records by number, and fades those only that something is left of. The zero value is an empty table.
type Table struct {
	records []Record
	active  indexset.Set
}

// Reset starts an empty record.
func (t *Table) Reset(i int) {
	columns.Put(i, Record{}, &t.records)
	t.active.Remove(i)
}

// At is a record.
func (t *Table) At(i int) *Record { return &t.records[i] }

// Active is the set of records that fade.
func (t *Table) Active() *indexset.Set { return &t.active }

// Add counts one end in a record.
func (t *Table) Add(i int, failed, memory float64) {
	t.records[i].Add(failed, memory)
	t.active.Add(i)
}

// Fade fades all records.
func (t *Table) Fade(kept, least float64) {
	for i := range t.active.All() {
		t.records[i].Fade(kept, least)
		if t.records[i].All == 0 {
			t.active.Remove(i)
		}
	}
}

// Clone shares no memory with the table.
func (t *Table) Clone() Table {
	return Table{records: slices.Clone(t.records), active: t.active.Clone()}
}
