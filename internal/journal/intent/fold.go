package intent

import (
	"cmp"
	"slices"
)

// Fold puts records together to entries. It keeps only those that may still change.
type Fold struct {
	open map[[2]uint64]*Entry
	Gaps []Record
	// Damaged is set where records could not be read: an entry without its end may have had more hops than are known.
	Damaged bool
}

// NewFold begins with none.
func NewFold() *Fold { return &Fold{open: map[[2]uint64]*Entry{}} }

// Add takes in a record and returns the entry that is whole with it, if any.
func (f *Fold) Add(r *Record) *Entry {
	switch {
	case r.Kind == 0 || r.Kind >= Numbered:
		return nil
	case r.Kind == Gap:
		f.Gaps = append(f.Gaps, *r)
		return nil
	}
	key := [2]uint64{r.Run, r.Op}
	e := f.open[key]
	if e == nil {
		e = &Entry{Run: r.Run, Op: r.Op}
		f.open[key] = e
	}
	e.add(r)
	if e.Done() {
		delete(f.open, key)
		return e
	}
	return nil
}

// Union puts together what several places hold of the same operations: what comes again changes nothing.
type Union struct {
	Fold
	done map[[2]uint64]struct{}
	gaps map[Record]bool
}

// NewUnion begins with none.
func NewUnion() *Union {
	return &Union{Fold: *NewFold(), done: map[[2]uint64]struct{}{}, gaps: map[Record]bool{}}
}

// Add takes in a record and returns the entry that is whole with it, if any; each comes once.
func (u *Union) Add(r *Record) *Entry {
	if r.Kind == Gap {
		if u.gaps[*r] {
			return nil
		}
		u.gaps[*r] = true
	}
	key := [2]uint64{r.Run, r.Op}
	if _, done := u.done[key]; done && r.Kind != Gap {
		return nil
	}
	e := u.Fold.Add(r)
	if e != nil {
		u.done[key] = struct{}{}
	}
	return e
}

// Rest are the entries that are not whole, by their time.
func (f *Fold) Rest() []*Entry {
	rest := make([]*Entry, 0, len(f.open))
	for _, e := range f.open {
		e.Doubt = f.Damaged && e.Told == ""
		rest = append(rest, e)
	}
	slices.SortFunc(rest, func(a, b *Entry) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Op, b.Op)) })
	return rest
}

// Dockets are what one server says that it has run, of all that it took between two moments.
type Dockets struct {
	Server string
	From   int64 // Unix time in ns
	To     int64 // likewise
	IDs    map[string]bool
}

// Reconcile settles hops of an entry that may have run, by the dockets of their servers; records to add come back. A hop
// that began within slack of an end of the dockets' time is settled only if it is in them.
func Reconcile(e *Entry, dockets map[string]*Dockets, slack, now int64) (settled []Record) {
	for i, h := range e.Hops {
		d := dockets[h.Server]
		if h.Proof() != Possibly || d == nil {
			continue
		}
		r := Record{Kind: Settled, Run: e.Run, Op: e.Op, Hop: i, At: now, Server: h.Server}
		switch {
		case d.IDs[e.ID]:
			r.Proof = Ran
		case h.At >= d.From && h.At+slack <= d.To:
			r.Proof = Never
		default:
			continue
		}
		settled = append(settled, r)
	}
	return settled
}
