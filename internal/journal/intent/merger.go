package intent

// Merger builds entries from the records that several nodes hold of the same requests: a record that comes again changes
// nothing.
type Merger struct {
	Assembler
	complete map[RequestKey]struct{}
	gaps     map[Record]bool
}

// NewMerger returns a Merger without entries.
func NewMerger() *Merger {
	return &Merger{
		Assembler: *NewAssembler(),
		complete:  map[RequestKey]struct{}{},
		gaps:      map[Record]bool{},
	}
}

// Add takes in a record and returns the entry that is complete with it, nil for none; each entry is returned once.
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
