package intent

// Merger builds entries from the copies of records on several nodes. Duplicate records have no effect: a Merger ignores
// records of complete entries and Gap records that it already has.
type Merger struct {
	Assembler
	complete map[RequestKey]struct{} // requests whose entries are complete
	gaps     map[Record]bool         // Gap records added so far
}

// NewMerger returns a Merger without entries.
func NewMerger() *Merger {
	return &Merger{
		Assembler: *NewAssembler(),
		complete:  map[RequestKey]struct{}{},
		gaps:      map[Record]bool{},
	}
}

// Add adds a record. It returns the entry if the record completes it, and nil otherwise. Each entry is returned at most
// once.
func (m *Merger) Add(r *Record) *Entry {
	if r.Kind == Gap {
		if m.gaps[*r] {
			return nil
		}
		m.gaps[*r] = true
	}
	key := r.Key()
	if _, isComplete := m.complete[key]; isComplete && r.Kind != Gap {
		return nil
	}
	e := m.Assembler.Add(r)
	if e != nil {
		m.complete[key] = struct{}{}
	}
	return e
}
