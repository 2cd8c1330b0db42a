package policy

import (
	"math"
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/policy/internal/leastsquares"
)

const (
	forecastThreshold = 5 * time.Second // from the paper cited in the package comment
	maxThresholdShare = 0.25            // of the fitted interval, so that a server gets requests half the time
	maxOnsets         = 4               // in a fit; more would span a longer time than most faults last
	spikeFactor       = 4.0             // times the smoothed latency; above the tail of normal latencies
	minSpikesInPause  = 2               // consecutive latency spikes that count as a pause
)

// pauseForecast detects garbage collection pauses by their latency spikes. It forecasts the next pause of each server
// with a line fitted to the onsets of the most recent ones.
type pauseForecast struct {
	consecutiveSpikes []int
	count             []int                // pauses since the start
	runStart          []time.Duration      // onset of the consecutive spikes
	lastSpike         []time.Duration      // end of the last spike that belongs to a pause
	onsets            [][maxOnsets]float64 // of the last pauses in seconds, oldest first; the first min(count, maxOnsets) are set
	next              []time.Duration      // forecast onset; 0: none
	interval          []time.Duration      // between pauses, from the fitted line
}

func (f *pauseForecast) addServer(s int) {
	columns.Put(s, 0, &f.consecutiveSpikes, &f.count)
	columns.Put(s, 0, &f.runStart, &f.lastSpike, &f.next, &f.interval)
	columns.Put(s, [maxOnsets]float64{}, &f.onsets)
}

func (f *pauseForecast) clone() pauseForecast {
	c := *f
	columns.Clone(&c.consecutiveSpikes, &c.count)
	columns.Clone(&c.runStart, &c.lastSpike, &c.next, &c.interval)
	c.onsets = slices.Clone(f.onsets)
	return c
}

// recordSpike records a latency spike that began at onset. Consecutive spikes form one pause; a run of spikes that
// begins within merge of the last spike of a pause belongs to that pause.
func (f *pauseForecast) recordSpike(s int, onset, now, merge time.Duration) {
	if f.consecutiveSpikes[s] == 0 {
		f.runStart[s] = onset
	}
	f.consecutiveSpikes[s]++
	isSamePause := f.count[s] > 0 && f.runStart[s]-f.lastSpike[s] < merge
	if f.consecutiveSpikes[s] == minSpikesInPause && !isSamePause {
		f.addOnset(s, f.runStart[s].Seconds())
		f.fit(s)
	}
	if f.consecutiveSpikes[s] >= minSpikesInPause {
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

// fit computes the least-squares line of pause count over onset time and forecasts the next pause where the line
// reaches the next count. A line that does not rise yields no forecast.
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

// isNear reports whether the forecast pause of a server lies within the threshold of now, or is overdue by less than
// that.
func (f *pauseForecast) isNear(s int, now time.Duration) bool {
	threshold := min(forecastThreshold, time.Duration(maxThresholdShare*float64(f.interval[s])))
	ahead := f.next[s] - now
	return f.next[s] != 0 && ahead <= threshold && ahead > -threshold
}

// recordPauseSample records whether an attempt showed a latency spike. A pause cannot have begun before the server's
// last response, so the onset is at that response or when the attempt was sent, whichever is later.
func (p *Policy) recordPauseSample(s int, sentAt time.Duration, isSpike bool) {
	if !isSpike {
		p.pauses.consecutiveSpikes[s] = 0
		return
	}
	p.pauses.recordSpike(s, max(sentAt, p.load.lastResponseAt[s]), p.now, p.latency.smoothed.At(s))
}
