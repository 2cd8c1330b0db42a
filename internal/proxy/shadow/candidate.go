package shadow

import (
	"sync/atomic"

	"fernvane/internal/config/settings"
)

// Candidate contains candidate settings and the counts of their evaluation. It is safe for concurrent use.
type Candidate struct {
	settings atomic.Pointer[settings.Settings]
	compared atomic.Int64
	failed   atomic.Int64
	counts   [differenceCount]atomic.Int64
}

// Counts contains the counts since the previous call of Candidate.TakeCounts.
type Counts struct {
	Compared     int  // number of inputs evaluated under the candidate settings
	HasFailed    bool // the decision module panicked under candidate settings, which disables the evaluation
	ByDifference [differenceCount]int
}

// NewCandidate returns a Candidate with the settings s, which must be compatible with those of the node.
func NewCandidate(s *settings.Settings) *Candidate {
	c := new(Candidate)
	c.SetSettings(s)
	return c
}

// SetSettings replaces the candidate settings. It does not re-enable the evaluation after a panic.
func (c *Candidate) SetSettings(s *settings.Settings) { c.settings.Store(s) }

// Settings returns the current candidate settings.
func (c *Candidate) Settings() *settings.Settings { return c.settings.Load() }

// TakeCounts returns the counts since the previous call and resets them, except Counts.HasFailed.
func (c *Candidate) TakeCounts() (counts Counts) {
	counts.Compared, counts.HasFailed = int(c.compared.Swap(0)), c.failed.Load() > 0
	for d := range c.counts {
		counts.ByDifference[d] = int(c.counts[d].Swap(0))
	}
	return counts
}

// Each calls f with the count of every difference, including counts of 0.
func (c Counts) Each(f func(d Difference, n int)) {
	for d, n := range c.ByDifference {
		f(Difference(d), n)
	}
}
