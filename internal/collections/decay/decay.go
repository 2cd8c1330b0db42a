// Package decay holds counts that fade, so that what lies further back counts for less. The caller owns them; nothing
// here has a lock.
package decay

// FailureRate is two counts, from which Rate works out the rate: how many attempts ended lately, and how many of them
// failed. Both fade.
type FailureRate struct {
	Failed     float64
	Total      float64
	LastSource int // what the last failure came from, as the owner numbers it; 0: none yet
}

// Rate returns the share that failed, as if prior more attempts had succeeded.
func (r *FailureRate) Rate(prior float64) float64 { return r.Failed / (r.Total + prior) }

// Observe counts the end of an attempt: failed is 1 for a failure, else 0. Earlier ends fade, so that Total never
// exceeds memory, a number of attempts.
func (r *FailureRate) Observe(failed, memory float64) {
	r.Failed, r.Total = r.Failed*(1-1/memory)+failed, r.Total*(1-1/memory)+1
}

// Decay keeps a share of both counts and clears a count that falls below the least.
func (r *FailureRate) Decay(kept, least float64) {
	r.Failed, r.Total = ZeroBelow(r.Failed*kept, least), ZeroBelow(r.Total*kept, least)
}

// ZeroBelow returns a value, or 0 if it is below the least.
func ZeroBelow(value, least float64) float64 {
	if value < least {
		return 0
	}
	return value
}
