package shadow

import (
	"sync/atomic"

	"fernvane/internal/config/settings"
)

// Candidate holds settings that are evaluated, and what was counted of them.
type Candidate struct {
	settings atomic.Pointer[settings.Settings]
	compared atomic.Int64
	failed   atomic.Int64
	counts   [differenceCount]atomic.Int64
}

// Counts is what was counted since the last call of Candidate.TakeCounts.
type Counts struct {
	Compared     int  // evaluations
	HasFailed    bool // the decision module has panicked under candidate settings; none are evaluated any more
	ByDifference [differenceCount]int
}

// NewCandidate returns a Candidate with settings that must be compatible with the node's own.
func NewCandidate(s *settings.Settings) *Candidate {
	c := new(Candidate)
	c.SetSettings(s)
	return c
}

// SetSettings replaces the settings. It does not begin the evaluation again after a failure.
func (c *Candidate) SetSettings(s *settings.Settings) { c.settings.Store(s) }

// Settings returns the settings.
func (c *Candidate) Settings() *settings.Settings { return c.settings.Load() }

// TakeCounts returns the counts since the last call.
func (c *Candidate) TakeCounts() (counts Counts) {
	counts.Compared, counts.HasFailed = int(c.compared.Swap(0)), c.failed.Load() > 0
	for d := range c.counts {
		counts.ByDifference[d] = int(c.counts[d].Swap(0))
	}
	return counts
}

// Each calls f for each difference, also for those that did not occur.
func (c Counts) Each(f func(d Difference, n int)) {
	for d, n := range c.ByDifference {
		f(Difference(d), n)
	}
}
