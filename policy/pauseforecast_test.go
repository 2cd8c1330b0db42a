package policy

import (
	"math"
	"testing"
	"time"
)

func TestPauseForecast(t *testing.T) {
	for name, c := range map[string]struct {
		onsets         []float64
		want, interval float64 // in seconds; 0: no forecast
	}{
		"one onset forecasts nothing":     {[]float64{3}, 0, 0},
		"two onsets forecast the next":    {[]float64{3, 5}, 7, 2},
		"evenly spaced onsets":            {[]float64{1, 4, 7, 10}, 13, 3},
		"only the last onsets count":      {[]float64{1, 2, 3, 13, 23, 33, 43}, 53, 10},
		"onsets at one time have no line": {[]float64{5, 5}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, nil)
			for _, at := range c.onsets {
				h.load.lastResponseAt[0] = 0
				sent := time.Duration(at * float64(time.Second))
				h.now = sent + 300*ms
				h.recordPauseSample(0, sent, false)
				h.recordPauseSample(0, sent, true)
				h.recordPauseSample(0, sent, true)
				h.pauses.lastSpike[0] = min(h.pauses.lastSpike[0], sent)
			}
			if got := h.pauses.next[0].Seconds(); math.Abs(got-c.want) > 0.01 {
				t.Errorf("forecast: got %.2f s, want %.2f s", got, c.want)
			}
			if got := h.pauses.interval[0].Seconds(); c.want > 0 && math.Abs(got-c.interval) > 0.01 {
				t.Errorf("interval: got %.2f s, want %.2f s", got, c.interval)
			}
		})
	}
}

func TestPauseDetection(t *testing.T) {
	for name, c := range map[string]struct {
		spikes []bool
		gap    time.Duration
		want   int
	}{
		"one spike is no pause":          {[]bool{true, false, true}, 500 * ms, 0},
		"two consecutive spikes are one": {[]bool{true, true}, 500 * ms, 1},
		"a long run is still one":        {[]bool{true, true, true, true}, 500 * ms, 1},
		"distant runs are two":           {[]bool{true, true, false, true, true}, 500 * ms, 2},
		"runs close together merge":      {[]bool{true, true, false, true, true}, 10 * ms, 1},
		"three runs, the last merges":    {[]bool{true, true, false, true, false, true, true}, 30 * ms, 2},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, nil)
			h.latency.smoothed.Set(0, 100*ms)
			for i, isSpike := range c.spikes {
				h.now = time.Second + time.Duration(i)*c.gap
				h.recordPauseSample(0, h.now, isSpike)
			}
			if h.pauses.count[0] != c.want {
				t.Errorf("pauses: got %d, want %d", h.pauses.count[0], c.want)
			}
		})
	}
}
