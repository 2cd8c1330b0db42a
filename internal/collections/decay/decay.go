// Package decay keeps counts that fade: what lies further back counts for less.
package decay

// FailureRate is how many attempts ended lately, and how many of them failed.
type FailureRate struct {
	Failed, Total float64
	LastSource    int // what the last failure came from, as the user of the record numbers it; 0: none yet
}

// Rate is the share that failed, as if so many more had ended without failure.
func (r *FailureRate) Rate(prior float64) float64 { return r.Failed / (r.Total + prior) }

// Observe counts one end. The memory is how many ends count at most.
func (r *FailureRate) Observe(failed, memory float64) {
	r.Failed, r.Total = r.Failed*(1-1/memory)+failed, r.Total*(1-1/memory)+1
}

// Decay keeps a share of both counts, and none of a count that falls below the least.
func (r *FailureRate) Decay(kept, least float64) {
	r.Failed, r.Total = ZeroBelow(r.Failed*kept, least), ZeroBelow(r.Total*kept, least)
}

// ZeroBelow is a figure, or zero where it is below the least.
func ZeroBelow(figure, least float64) float64 {
	if figure < least {
		return 0
	}
	return figure
}
