// Package tenants keeps figures of those tenants only that had traffic lately, however many there are.
package tenants

import (
	"slices"

	"fernvane/internal/collections/decay"
)

// Unknown stands for all tenants without a number.
const Unknown = -1

// Table holds arrival rates and records of attempts by tenant. The zero value is an empty table.
type Table struct {
	place   []int32 // in active, and one, by tenant; 0: not there
	active  []entry
	total   float64 // of the rates
	unknown decay.FailureRate
	visits  int
}

type entry struct {
	tenant int
	rate   float64 // arrivals a second
	ends   decay.FailureRate
}

// Len is how many tenants the table has figures of.
func (t *Table) Len() int { return len(t.active) }

// Visits is how many entries Fade has come to so far: what it has cost, for tests that count.
func (t *Table) Visits() int { return t.visits }

// TotalRate is the sum of all rates.
func (t *Table) TotalRate() float64 { return t.total }

// ArrivalRate is a tenant's arrivals a second.
func (t *Table) ArrivalRate(tenant int) float64 {
	if tenant >= len(t.place) || t.place[tenant] == 0 {
		return 0
	}
	return t.active[t.place[tenant]-1].rate
}

// RecordArrival adds to a tenant's rate and returns it.
func (t *Table) RecordArrival(tenant int, rate float64) float64 {
	e := t.of(tenant)
	e.rate += rate
	t.total += rate
	return e.rate
}

// FailureRate is how a tenant's attempts ended, to be written to; it holds until the next call.
func (t *Table) FailureRate(tenant int) *decay.FailureRate {
	if tenant == Unknown {
		return &t.unknown
	}
	return &t.of(tenant).ends
}

// of finds the entry of a tenant, or makes one; it holds until the next call.
func (t *Table) of(tenant int) *entry {
	if missing := tenant + 1 - len(t.place); missing > 0 {
		t.place = append(t.place, make([]int32, missing)...)
	}
	if t.place[tenant] == 0 {
		t.active = append(t.active, entry{tenant: tenant})
		t.place[tenant] = int32(len(t.active))
	}
	return &t.active[t.place[tenant]-1]
}

// Decay keeps a share of the rates and one of the records, nothing of what falls below its least, and drops tenants of
// whom nothing is left.
func (t *Table) Decay(rates, leastRate, records, leastRecord float64) {
	t.unknown.Decay(records, leastRecord)
	t.total = 0
	for i := len(t.active) - 1; i >= 0; i-- {
		t.visits++
		e := &t.active[i]
		e.rate = decay.ZeroBelow(e.rate*rates, leastRate)
		e.ends.Decay(records, leastRecord)
		t.total += e.rate
		if e.rate == 0 && e.ends.Total == 0 {
			t.remove(i)
		}
	}
}

func (t *Table) remove(i int) {
	last := len(t.active) - 1
	t.place[t.active[i].tenant] = 0
	if i < last {
		t.active[i] = t.active[last]
		t.place[t.active[i].tenant] = int32(i + 1)
	}
	t.active = t.active[:last]
}

// Clone shares no memory with the table.
func (t *Table) Clone() Table {
	c := *t
	c.place = slices.Clone(t.place)
	c.active = slices.Clone(t.active)
	return c
}
