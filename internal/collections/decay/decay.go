// Package decay keeps counts that fade: what lies further back counts for less.
package decay

// Record is how many attempts ended lately, and how many of them failed.
type Record struct {
	Failed, All float64
	Last        int // what the last failure came from, as the user of the record numbers it; 0: none yet
}

// Rate is the share that failed, as if so many more had ended without failure.
func (r *Record) Rate(prior float64) float64 { return r.Failed / (r.All + prior) }

// Add counts one end. The memory is how many ends count at most.
func (r *Record) Add(failed, memory float64) {
	r.Failed, r.All = r.Failed*(1-1/memory)+failed, r.All*(1-1/memory)+1
}

// Fade keeps a share of both counts, and none of a count that falls below the least.
func (r *Record) Fade(kept, least float64) {
	r.Failed, r.All = Floor(r.Failed*kept, least), Floor(r.All*kept, least)
}

// Floor is a figure, or zero where it is below the least.
func Floor(figure, least float64) float64 {
	if figure < least {
		return 0
	}
	return figure
}
