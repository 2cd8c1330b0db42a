package intent

import (
	"cmp"
	"slices"
)

// Assembler builds entries from the records of one journal. It stores only entries that are not complete.
type Assembler struct {
	incomplete map[RequestKey]*Entry
	// Gaps are the Gap records that were added.
	Gaps []Record
	// HasDamage is set by the caller, before it calls Incomplete, if records could not be decoded: an entry without a
	// ClientNotified record may then lack attempts.
	HasDamage bool
}

// NewAssembler returns an Assembler without entries.
func NewAssembler() *Assembler { return &Assembler{incomplete: map[RequestKey]*Entry{}} }

// Add adds a record. It returns the entry if the record completes it, and nil otherwise. Chunk headers and records of
// unknown kinds are ignored.
func (a *Assembler) Add(r *Record) *Entry {
	switch {
	case r.Kind == 0 || r.Kind >= ChunkHeader:
		return nil
	case r.Kind == Gap:
		a.Gaps = append(a.Gaps, *r)
		return nil
	}
	key := r.Key()
	e := a.incomplete[key]
	if e == nil {
		e = &Entry{Incarnation: r.Incarnation, RequestNumber: r.RequestNumber}
		a.incomplete[key] = e
	}
	e.add(r)
	if e.IsComplete() {
		delete(a.incomplete, key)
		return e
	}
	return nil
}

// Incomplete returns the entries that are not complete, ordered by time. It must be called after all records are added.
func (a *Assembler) Incomplete() []*Entry {
	entries := make([]*Entry, 0, len(a.incomplete))
	for _, e := range a.incomplete {
		e.MayLackRecords = a.HasDamage && e.ClientOutcome == ""
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(x, y *Entry) int {
		return cmp.Or(cmp.Compare(x.AtUnixNano, y.AtUnixNano), cmp.Compare(x.RequestNumber, y.RequestNumber))
	})
	return entries
}
