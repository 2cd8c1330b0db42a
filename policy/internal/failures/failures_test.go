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
	const trafficType = 2
	recordFailures := func(table *Table) {
		e := table.GetOrCreate(1, trafficType)
		e.Consecutive, e.LastAt, e.EjectedUntil = 3, time.Second, time.Minute
		table.SetEjectedUntil(1, AllTypes, time.Hour)
	}
	for name, c := range map[string]struct {
		change   func(*Table)
		want     Entry
		until    time.Duration // end of the ejection for all types
		isActive bool
		entries  int // of the server
	}{
		"as written":                    {func(*Table) {}, Entry{trafficType, 3, time.Second, time.Minute}, time.Hour, true, 1},
		"success":                       {func(t *Table) { t.RecordSuccess(1, trafficType) }, Entry{trafficType, 0, time.Second, 0}, time.Hour, true, 1},
		"success of another type":       {func(t *Table) { t.RecordSuccess(1, 0) }, Entry{trafficType, 3, time.Second, time.Minute}, time.Hour, true, 1},
		"ejection cleared":              {func(t *Table) { t.ClearEjection(1) }, Entry{trafficType, 3, time.Second, time.Minute}, 0, true, 1},
		"reset":                         {func(t *Table) { t.Reset(1) }, Entry{trafficType, 0, time.Second, time.Minute}, 0, true, 1},
		"ejected for the type":          {func(t *Table) { t.SetEjectedUntil(1, trafficType, 5) }, Entry{trafficType, 3, time.Second, 5}, time.Hour, true, 1},
		"ejected for another type":      {func(t *Table) { t.SetEjectedUntil(1, 0, 5) }, Entry{trafficType, 3, time.Second, time.Minute}, time.Hour, true, 2},
		"deleted":                       {func(t *Table) { t.DeleteFunc(1, func(e Entry) bool { return e.TrafficType == trafficType }) }, Entry{TrafficType: trafficType}, time.Hour, true, 0},
		"other type deleted":            {func(t *Table) { t.DeleteFunc(1, func(e Entry) bool { return e.TrafficType != trafficType }) }, Entry{trafficType, 3, time.Second, time.Minute}, time.Hour, true, 1},
		"deactivated":                   {func(t *Table) { t.Deactivate(1) }, Entry{TrafficType: trafficType}, time.Hour, false, 0},
		"index reused":                  {func(t *Table) { t.Add(1) }, Entry{TrafficType: trafficType}, 0, false, 0},
		"another server's index reused": {func(t *Table) { t.Add(0) }, Entry{trafficType, 3, time.Second, time.Minute}, time.Hour, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(3)
			recordFailures(table)
			copied := table.Clone()
			c.change(table)
			if got := table.Get(1, trafficType); got != c.want || table.EjectedUntil(1, trafficType) != c.want.EjectedUntil {
				t.Errorf("entry: got %v, want %v", got, c.want)
			}
			if got := table.EjectedUntil(1, AllTypes); got != c.until {
				t.Errorf("end of ejection for all types: got %v, want %v", got, c.until)
			}
			if table.Active().Has(1) != c.isActive || table.EntryCount(1) != c.entries || table.EntryCount(0) != 0 || table.EntryCount(2) != 0 {
				t.Errorf("got active servers %v and %d entries of server 1", slices.Collect(table.Active().All()), table.EntryCount(1))
			}
			if got := copied.Get(1, trafficType); got.Consecutive != 3 || got.EjectedUntil != time.Minute || copied.EjectedUntil(1, AllTypes) != time.Hour || !copied.Active().Has(1) {
				t.Errorf("clone changed with the table: got entry %v", got)
			}
		})
	}
}

// TestEjectionForAllTypesIsActive checks that a server that is ejected for all types is in Active without an entry.
func TestEjectionForAllTypesIsActive(t *testing.T) {
	table := newTable(2)
	if table.SetEjectedUntil(1, AllTypes, time.Second); !table.Active().Has(1) || table.Active().Len() != 1 || table.EntryCount(1) != 0 {
		t.Errorf("got active servers %v, want [1] without entries", slices.Collect(table.Active().All()))
	}
}

// TestGetMakesNoEntry checks that reads create no entry.
func TestGetMakesNoEntry(t *testing.T) {
	table := newTable(2)
	if got := table.Get(1, 4); got != (Entry{TrafficType: 4}) || table.EjectedUntil(1, 4) != 0 || table.EntryCount(1) != 0 || table.Active().Len() != 0 {
		t.Errorf("got entry %v and %d entries of server 1, want an empty entry and 0", got, table.EntryCount(1))
	}
}
