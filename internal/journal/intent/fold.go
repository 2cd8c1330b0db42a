package intent

import (
	"cmp"
	"slices"
)

// Assembler puts records together to entries. It keeps only those that may still change.
type Assembler struct {
	open map[[2]uint64]*Entry
	Gaps []Record
	// Damaged is set where records could not be read: an entry without its end may have had more hops than are known.
	HasDamage bool
}

// NewAssembler begins with none.
func NewAssembler() *Assembler { return &Assembler{open: map[[2]uint64]*Entry{}} }

// Add takes in a record and returns the entry that is whole with it, if any.
func (f *Assembler) Add(r *Record) *Entry {
	switch {
	case r.Kind == 0 || r.Kind >= ChunkHeader:
		return nil
	case r.Kind == Gap:
		f.Gaps = append(f.Gaps, *r)
		return nil
	}
	key := [2]uint64{r.Incarnation, r.RequestNumber}
	e := f.open[key]
	if e == nil {
		e = &Entry{Incarnation: r.Incarnation, RequestNumber: r.RequestNumber}
		f.open[key] = e
	}
	e.add(r)
	if e.IsComplete() {
		delete(f.open, key)
		return e
	}
	return nil
}

// Merger puts together what several places hold of the same operations: what comes again changes nothing.
type Merger struct {
	Assembler
	done map[[2]uint64]struct{}
	gaps map[Record]bool
}

// NewMerger begins with none.
func NewMerger() *Merger {
	return &Merger{Assembler: *NewAssembler(), done: map[[2]uint64]struct{}{}, gaps: map[Record]bool{}}
}

// Add takes in a record and returns the entry that is whole with it, if any; each comes once.
func (u *Merger) Add(r *Record) *Entry {
	if r.Kind == Gap {
		if u.gaps[*r] {
			return nil
		}
		u.gaps[*r] = true
	}
	key := [2]uint64{r.Incarnation, r.RequestNumber}
	if _, done := u.done[key]; done && r.Kind != Gap {
		return nil
	}
	e := u.Assembler.Add(r)
	if e != nil {
		u.done[key] = struct{}{}
	}
	return e
}

// Incomplete are the entries that are not whole, by their time.
func (f *Assembler) Incomplete() []*Entry {
	rest := make([]*Entry, 0, len(f.open))
	for _, e := range f.open {
		e.MayLackRecords = f.HasDamage && e.ClientOutcome == ""
		rest = append(rest, e)
	}
	slices.SortFunc(rest, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(a.AtUnixNano, b.AtUnixNano), cmp.Compare(a.RequestNumber, b.RequestNumber))
	})
	return rest
}

// ExecutionRecord are what one server says that it has run, of all that it took between two moments.
type ExecutionRecord struct {
	Server       string
	FromUnixNano int64 // Unix time in ns
	ToUnixNano   int64 // likewise
	RequestIDs   map[string]bool
}

// Reconcile settles hops of an entry that may have run, by the dockets of their servers; records to add come back. A hop
// that began within slack of an end of the dockets' time is settled only if it is in them.
func Reconcile(e *Entry, dockets map[string]*ExecutionRecord, slack, now int64) (settled []Record) {
	for i, h := range e.Attempts {
		d := dockets[h.Server]
		if h.Proof() != PossiblyRan || d == nil {
			continue
		}
		r := Record{Kind: Reconciled, Incarnation: e.Incarnation, RequestNumber: e.RequestNumber, Attempt: i, AtUnixNano: now, Server: h.Server}
		switch {
		case d.RequestIDs[e.RequestID]:
			r.Proof = Ran
		case h.AtUnixNano >= d.FromUnixNano && h.AtUnixNano+slack <= d.ToUnixNano:
			r.Proof = NeverRan
		default:
			continue
		}
		settled = append(settled, r)
	}
	return settled
}
