package failures

import (
	"slices"
	"testing"
	"time"
)

func newTable(servers int) *Table {
	var t Table
	for server := range servers {
		t.Add(server)
	}
	return &t
}

func TestEntries(t *testing.T) {
	const kind = 2
	failed := func(table *Table) {
		e := table.GetOrCreate(1, kind)
		e.Consecutive, e.LastAt, e.EjectedUntil = 3, time.Second, time.Minute
		table.SetEjectedUntil(1, AllTypes, time.Hour)
	}
	for name, c := range map[string]struct {
		change   func(*Table)
		want     Entry
		until    time.Duration // for all types
		inWalks  bool
		otherLen int // entries of the server in all
	}{
		"as written":            {func(*Table) {}, Entry{kind, 3, time.Second, time.Minute}, time.Hour, true, 1},
		"succeeded":             {func(t *Table) { t.RecordSuccess(1, kind) }, Entry{kind, 0, time.Second, 0}, time.Hour, true, 1},
		"another succeeded":     {func(t *Table) { t.RecordSuccess(1, 0) }, Entry{kind, 3, time.Second, time.Minute}, time.Hour, true, 1},
		"moment cleared":        {func(t *Table) { t.ClearEjection(1) }, Entry{kind, 3, time.Second, time.Minute}, 0, true, 1},
		"all cleared":           {func(t *Table) { t.Reset(1) }, Entry{kind, 0, time.Second, time.Minute}, 0, true, 1},
		"moment of the type":    {func(t *Table) { t.SetEjectedUntil(1, kind, 5) }, Entry{kind, 3, time.Second, 5}, time.Hour, true, 1},
		"moment of another":     {func(t *Table) { t.SetEjectedUntil(1, 0, 5) }, Entry{kind, 3, time.Second, time.Minute}, time.Hour, true, 2},
		"deleted":               {func(t *Table) { t.DeleteFunc(1, func(e Entry) bool { return e.TrafficType == kind }) }, Entry{TrafficType: kind}, time.Hour, true, 0},
		"others deleted":        {func(t *Table) { t.DeleteFunc(1, func(e Entry) bool { return e.TrafficType != kind }) }, Entry{kind, 3, time.Second, time.Minute}, time.Hour, true, 1},
		"released":              {func(t *Table) { t.Deactivate(1) }, Entry{TrafficType: kind}, time.Hour, false, 0},
		"the number another's":  {func(t *Table) { t.Add(1) }, Entry{TrafficType: kind}, 0, false, 0},
		"another server's gone": {func(t *Table) { t.Add(0) }, Entry{kind, 3, time.Second, time.Minute}, time.Hour, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(3)
			failed(table)
			copied := table.Clone()
			c.change(table)
			if got := table.Get(1, kind); got != c.want || table.EjectedUntil(1, kind) != c.want.EjectedUntil {
				t.Errorf("%v, want %v", got, c.want)
			}
			if got := table.EjectedUntil(1, AllTypes); got != c.until {
				t.Errorf("for all types until %v, want %v", got, c.until)
			}
			if table.Active().Has(1) != c.inWalks || table.EntryCount(1) != c.otherLen || table.EntryCount(0) != 0 || table.EntryCount(2) != 0 {
				t.Errorf("active %v, %d entries", slices.Collect(table.Active().All()), table.EntryCount(1))
			}
			if got := copied.Get(1, kind); got.Consecutive != 3 || got.EjectedUntil != time.Minute || copied.EjectedUntil(1, AllTypes) != time.Hour || !copied.Active().Has(1) {
				t.Errorf("a clone changes with the table: %v", got)
			}
		})
	}
}

// A moment for all types alone has walks come to the server.
func TestUntilForAllTypesIsActive(t *testing.T) {
	table := newTable(2)
	if table.SetEjectedUntil(1, AllTypes, time.Second); !table.Active().Has(1) || table.Active().Len() != 1 || table.EntryCount(1) != 0 {
		t.Errorf("active %v", slices.Collect(table.Active().All()))
	}
}

// To look at a server leaves nothing behind.
func TestGetMakesNoEntry(t *testing.T) {
	table := newTable(2)
	if got := table.Get(1, 4); got != (Entry{TrafficType: 4}) || table.EjectedUntil(1, 4) != 0 || table.EntryCount(1) != 0 || table.Active().Len() != 0 {
		t.Errorf("%v, %d entries", got, table.EntryCount(1))
	}
}
