package policy

import (
	"math"
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/policy/internal/leastsquares"
)

const (
	forecastThreshold = 5 * time.Second // the paper's
	maxThresholdShare = 0.25            // of the fitted interval, so that a server gets requests half the time
	maxOnsets         = 4               // in a fit; more would span a longer time than most faults last
	spikeFactor       = 4.0             // times the smoothed latency; above the tail of usual work
	minSpikesInPause  = 2               // latency spikes in a row that count as a pause
)

// pauseForecast detects garbage collection pauses by their latency spikes and forecasts the next one of each server by
// a line fitted to the onsets of the last ones.
type pauseForecast struct {
	spikesInRow []int
	count       []int           // pauses so far
	runStart    []time.Duration // onset of the spikes in a row
	lastSpike   []time.Duration // end of the last spike that belongs to a pause
	onsets      [][maxOnsets]float64
	next        []time.Duration // forecast onset; 0: none
	interval    []time.Duration // between pauses, by the fitted line
}

func (f *pauseForecast) addServer(s int) {
	columns.Put(s, 0, &f.spikesInRow, &f.count)
	columns.Put(s, 0, &f.runStart, &f.lastSpike, &f.next, &f.interval)
	columns.Put(s, [maxOnsets]float64{}, &f.onsets)
}

func (f *pauseForecast) clone() pauseForecast {
	c := *f
	columns.Clone(&c.spikesInRow, &c.count)
	columns.Clone(&c.runStart, &c.lastSpike, &c.next, &c.interval)
	c.onsets = slices.Clone(f.onsets)
	return c
}

// recordSpike takes in a spike that began at onset. Spikes in a row are one pause; a run that begins within merge of
// the last spike of a pause belongs to that pause.
func (f *pauseForecast) recordSpike(s int, onset, now, merge time.Duration) {
	if f.spikesInRow[s] == 0 {
		f.runStart[s] = onset
	}
	f.spikesInRow[s]++
	isSamePause := f.count[s] > 0 && f.runStart[s]-f.lastSpike[s] < merge
	if f.spikesInRow[s] == minSpikesInPause && !isSamePause {
		f.addOnset(s, f.runStart[s].Seconds())
		f.fit(s)
	}
	if f.spikesInRow[s] >= minSpikesInPause {
		f.lastSpike[s] = now
	}
}

func (f *pauseForecast) addOnset(s int, seconds float64) {
	n := min(f.count[s], maxOnsets)
	if n == maxOnsets {
		copy(f.onsets[s][:], f.onsets[s][1:])
		n--
	}
	f.onsets[s][n] = seconds
	f.count[s]++
}

// fit draws the least-squares line of pause count over onset time and forecasts the next pause where the line meets
// the next count. A line that does not rise forecasts nothing.
func (f *pauseForecast) fit(s int) {
	f.next[s] = 0
	n := min(f.count[s], maxOnsets)
	line := leastsquares.Fit(f.onsets[s][:n])
	if line.Run <= 0 || line.Rise <= 0 {
		return
	}
	at, interval := line.XAt(float64(n)), line.Run/line.Rise
	if at > 0 && at < math.MaxInt32 && interval < math.MaxInt32 {
		f.next[s] = time.Duration(at * float64(time.Second))
		f.interval[s] = time.Duration(interval * float64(time.Second))
	}
}

// isNear reports whether the forecast pause of a server lies within the threshold of now, or is overdue by less.
func (f *pauseForecast) isNear(s int, now time.Duration) bool {
	threshold := min(forecastThreshold, time.Duration(maxThresholdShare*float64(f.interval[s])))
	ahead := f.next[s] - now
	return f.next[s] != 0 && ahead <= threshold && ahead > -threshold
}

// recordPauseSample takes in whether an attempt showed a latency spike. A server that answered while the attempt was
// in flight was not paused before that answer.
func (p *Policy) recordPauseSample(s int, sentAt time.Duration, isSpike bool) {
	if !isSpike {
		p.pauses.spikesInRow[s] = 0
		return
	}
	p.pauses.recordSpike(s, max(sentAt, p.load.lastAnswerAt[s]), p.now, p.latency.smoothed.At(s))
}
