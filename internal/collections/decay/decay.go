// Package decay provides counts that decay over time, so that older events count less. The caller owns them and
// synchronizes access.
package decay

// FailureRate holds two decaying counts from which Rate computes a failure rate: recently ended attempts, and failed
// attempts among them.
type FailureRate struct {
	Failed     float64
	Total      float64
	LastSource int // source of the last failure, numbered by the owner; 0: none yet
}

// Rate returns the failed share, as if prior additional attempts had succeeded.
func (r *FailureRate) Rate(prior float64) float64 { return r.Failed / (r.Total + prior) }

// Observe counts the end of an attempt: failed is 1 for a failure, else 0. Earlier attempts decay, so that Total
// never exceeds memory, a number of attempts.
func (r *FailureRate) Observe(failed, memory float64) {
	r.Failed, r.Total = r.Failed*(1-1/memory)+failed, r.Total*(1-1/memory)+1
}

// Decay multiplies both counts by factor and clears a count that falls below minCount.
func (r *FailureRate) Decay(factor, minCount float64) {
	r.Failed, r.Total = ZeroBelow(r.Failed*factor, minCount), ZeroBelow(r.Total*factor, minCount)
}

// ZeroBelow returns value, or 0 if it is below minimum.
func ZeroBelow(value, minimum float64) float64 {
	if value < minimum {
		return 0
	}
	return value
}
