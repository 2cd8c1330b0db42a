package policy

import (
	"slices"
	"time"

	"fernvane/internal/collections/columns"
)

const (
	latencySmoothing      = 0.1  // weight of one answer in a server's figures
	typeLatencySmoothing  = 0.02 // weight of one answer in a traffic type's latency
	initialLatencyDivisor = 4    // of the latency objective: what a new type is taken to need
	minLatencySamples     = 20.0 // answers until unloaded and typical latency differ

	// unloadedLatencyMemory is the time in which 1-1/e of a lasting rise in latency comes to count as unloaded. It is meant
	// to be longer than an overload.
	unloadedLatencyMemory = 30 * time.Second
)

// latency is how long answers take.
type latency struct {
	smoothed columns.Durations // by server
	slowness []float64         // by server: latency over what is typical of the traffic type, smoothed

	typical    []time.Duration // by traffic type
	unloaded   []time.Duration // by traffic type: the lowest lately
	answers    []float64       // by traffic type, since the start
	hasAnswers bool            // of any type
}

// record takes in the latency of an answer.
func (l *latency) record(s, trafficType int, elapsed time.Duration) {
	typical := &l.typical[trafficType]
	l.smoothed.Set(s, l.smoothed.At(s)+time.Duration(latencySmoothing*float64(elapsed-l.smoothed.At(s))))
	l.answers[trafficType]++
	l.hasAnswers = true
	*typical += time.Duration(max(typeLatencySmoothing, 1/l.answers[trafficType]) * float64(elapsed-*typical))
	if l.unloaded[trafficType] > *typical || l.answers[trafficType] < minLatencySamples {
		l.unloaded[trafficType] = *typical
	}
}

// recordSlowness takes in how slow a server was, over what is typical.
func (l *latency) recordSlowness(s int, sample float64) {
	l.slowness[s] += latencySmoothing * (sample - l.slowness[s])
}

// addServer starts a server at the mean latency of the others, or of the traffic types if it is the first.
func (l *latency) addServer(s int) {
	mean := l.smoothed.Sum() / time.Duration(max(l.smoothed.Len(), 1))
	if l.smoothed.Len() == 0 {
		for _, typical := range l.typical {
			mean += typical / time.Duration(len(l.typical))
		}
	}
	l.smoothed.Set(s, mean)
	columns.Put(s, 1.0, &l.slowness)
}

// addType starts a traffic type, with the figures of another one if from is not below 0.
func (l *latency) addType(trafficType, from int, objective time.Duration) {
	typical, unloaded, answers := objective/initialLatencyDivisor, objective/initialLatencyDivisor, 0.0
	if from >= 0 {
		typical, unloaded, answers = l.typical[from], l.unloaded[from], l.answers[from]
	}
	columns.Put(trafficType, typical, &l.typical)
	columns.Put(trafficType, unloaded, &l.unloaded)
	columns.Put(trafficType, answers, &l.answers)
}

// ageUnloaded moves a type's unloaded latency toward the typical one, by a share of the difference, and returns the step.
func (l *latency) ageUnloaded(trafficType int, share float64) time.Duration {
	step := time.Duration(share * float64(l.typical[trafficType]-l.unloaded[trafficType]))
	l.unloaded[trafficType] += step
	return step
}

func (l *latency) clone() latency {
	c := *l
	c.smoothed = l.smoothed.Clone()
	c.slowness = slices.Clone(l.slowness)
	columns.Clone(&c.typical, &c.unloaded)
	c.answers = slices.Clone(l.answers)
	return c
}
