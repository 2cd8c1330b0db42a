package load

import (
	"math"
	"time"
)

const (
	lateAfter    = 10 * time.Millisecond  // delay after which a request counts as started late
	maxLateShare = 0.01                   // share of late requests above which a run is invalid
	errorBin     = 100 * time.Millisecond // bin width of Lateness.MaxBinError
	minBinCount  = 100                    // requests; smaller bins are ignored, because a single request weighs too much in them
)

// Lateness describes how far the generator fell behind its schedule.
type Lateness struct {
	Max         time.Duration // largest delay of a request
	LateShare   float64       // share of the started requests that were late
	IsBehind    bool          // LateShare is so large that the run is invalid
	MaxBinError float64       // largest relative difference between started and scheduled requests in a bin
}

// lateness aggregates the delays with which requests started; 0 marks a request that was not started.
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

// maxBinError compares the start times of requests with the schedule, in bins with at least minBinCount requests.
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
