package policy

import (
	"slices"
	"time"

	"fernvane/internal/collections/columns"
)

const (
	latencySmoothing      = 0.1  // weight of one response in a server's latency and slowness
	typeLatencySmoothing  = 0.02 // weight of one response in a traffic type's latency
	initialLatencyDivisor = 4    // of the latency objective: assumed latency of a new type
	minLatencySamples     = 20.0 // responses until unloaded and typical latency are tracked separately

	// unloadedLatencyMemory is the time constant with which a lasting rise in latency becomes part of the unloaded
	// latency: after it, 1-1/e of the rise is included. It must be longer than an overload.
	unloadedLatencyMemory = 30 * time.Second
)

// latency holds the latencies of responses.
type latency struct {
	smoothed columns.Durations // by server
	slowness []float64         // by server: latency relative to the typical one of the traffic type, smoothed

	typical        []time.Duration // by traffic type
	unloaded       []time.Duration // by traffic type: the lowest recently
	responseCounts []float64       // by traffic type: responses since the start
	hasResponses   bool            // any type has a response
}

// record updates latencies from a response.
func (l *latency) record(s, trafficType int, elapsed time.Duration) {
	typical := &l.typical[trafficType]
	l.smoothed.Set(s, l.smoothed.At(s)+time.Duration(latencySmoothing*float64(elapsed-l.smoothed.At(s))))
	l.responseCounts[trafficType]++
	l.hasResponses = true
	*typical += time.Duration(max(typeLatencySmoothing, 1/l.responseCounts[trafficType]) * float64(elapsed-*typical))
	if l.unloaded[trafficType] > *typical || l.responseCounts[trafficType] < minLatencySamples {
		l.unloaded[trafficType] = *typical
	}
}

// recordSlowness updates a server's slowness, the ratio of its latency to the typical one.
func (l *latency) recordSlowness(s int, sample float64) {
	l.slowness[s] += latencySmoothing * (sample - l.slowness[s])
}

// addServer initializes a server with the mean latency of the others, or of the traffic types if it is the first.
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

// addType initializes a traffic type, with the latencies of type from unless from is below 0.
func (l *latency) addType(trafficType, from int, objective time.Duration) {
	typical, unloaded, responses := objective/initialLatencyDivisor, objective/initialLatencyDivisor, 0.0
	if from >= 0 {
		typical, unloaded, responses = l.typical[from], l.unloaded[from], l.responseCounts[from]
	}
	columns.Put(trafficType, typical, &l.typical)
	columns.Put(trafficType, unloaded, &l.unloaded)
	columns.Put(trafficType, responses, &l.responseCounts)
}

// ageUnloaded moves a type's unloaded latency toward the typical one, by a share of the difference, and returns the
// step.
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
	c.responseCounts = slices.Clone(l.responseCounts)
	return c
}
