package load

import (
	"math"
	"time"
)

const (
	lateAfter    = 10 * time.Millisecond  // a request that starts later than this is late by the generator's fault
	maxLateShare = 0.01                   // of the requests; with more the run does not count
	errorBin     = 100 * time.Millisecond // width of the bins of Lateness.MaxBinError
	minBinCount  = 100                    // requests; in a smaller bin a single one weighs too much
)

// Lateness is how far the generator fell behind its schedule.
type Lateness struct {
	Max         time.Duration
	LateShare   float64 // share of the started requests that were late
	IsBehind    bool    // LateShare is too large for the run to count
	MaxBinError float64 // largest relative error of the requests started in a bin against the schedule
}

// lateness sums up by how much each request started late; 0 stands for one that was never started.
func lateness(requests []Request, lateBy []time.Duration, shift time.Duration) Lateness {
	var l Lateness
	late := 0
	started := 0
	for _, d := range lateBy {
		if d > 0 {
			started++
		}
		if d > lateAfter {
			late++
		}
		l.Max = max(l.Max, d)
	}
	l.LateShare = float64(late) / float64(max(started, 1))
	l.IsBehind = l.LateShare > maxLateShare
	l.MaxBinError = maxBinError(requests, lateBy, shift)
	return l
}

// maxBinError compares when requests started with the schedule, in bins with enough requests.
func maxBinError(requests []Request, lateBy []time.Duration, shift time.Duration) (worst float64) {
	started := make([]Request, 0, len(requests))
	planned := make([]Request, len(requests))
	for i, r := range requests {
		planned[i].At = r.At - shift
		if lateBy[i] > 0 {
			started = append(started, Request{At: r.At - shift + lateBy[i]})
		}
	}
	counts := CountPerBin(started, errorBin)
	for i, want := range CountPerBin(planned, errorBin) {
		got := 0
		if i < len(counts) {
			got = counts[i]
		}
		if want >= minBinCount {
			worst = max(worst, math.Abs(float64(got-want))/float64(want))
		}
	}
	return worst
}
