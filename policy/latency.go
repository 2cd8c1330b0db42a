package policy

import (
	"math"
	"slices"
	"time"

	"fernvane/internal/collections/columns"
)

const (
	latencySmoothing     = 0.1  // weight of one answer in a server's figures
	typeLatencySmoothing = 0.02 // weight of one answer in a traffic type's latency
	minLatencySamples    = 20.0 // answers until a type's unloaded latency is told from its typical one

	// unloadedLatencyMemory is the time in which a lasting rise comes to count as unloaded; overload should be over.
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
	typical, unloaded, answers := objective/4, objective/4, 0.0
	if from >= 0 {
		typical, unloaded, answers = l.typical[from], l.unloaded[from], l.answers[from]
	}
	columns.Put(trafficType, typical, &l.typical)
	columns.Put(trafficType, unloaded, &l.unloaded)
	columns.Put(trafficType, answers, &l.answers)
}

// ageUnloaded moves a type's unloaded latency toward the typical one and returns the step.
func (l *latency) ageUnloaded(trafficType int, elapsed time.Duration) time.Duration {
	share := 1 - math.Exp(-elapsed.Seconds()/unloadedLatencyMemory.Seconds())
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

// serverLoad is what this node has in flight at each server.
type serverLoad struct {
	inFlight        []int
	abandoned       []float64       // attempts that timed out and that the server may still work on
	abandonedSentAt []time.Duration // when the last of them was sent
	lastAnswerAt    []time.Duration // last answer, or when the server last went from idle to busy
}

// abandon counts an attempt that timed out. Without it a server that is stuck would look idle.
func (l *serverLoad) abandon(s int, sentAt time.Duration) {
	l.abandoned[s]++
	l.abandonedSentAt[s] = max(l.abandonedSentAt[s], sentAt)
}

// answered takes back abandoned attempts once one that was sent after them is answered: servers work in turn.
func (l *serverLoad) answered(s int, sentAt time.Duration) {
	if sentAt >= l.abandonedSentAt[s] {
		l.abandoned[s] = 0
	}
}

func (l *serverLoad) addServer(s int, now time.Duration) {
	columns.Put(s, 0, &l.inFlight)
	columns.Put(s, 0.0, &l.abandoned)
	columns.Put(s, 0, &l.abandonedSentAt)
	columns.Put(s, now, &l.lastAnswerAt)
}

func (l *serverLoad) clone() serverLoad {
	c := *l
	c.inFlight = slices.Clone(l.inFlight)
	c.abandoned = slices.Clone(l.abandoned)
	columns.Clone(&c.abandonedSentAt, &c.lastAnswerAt)
	return c
}

// decayAbandoned lets abandoned attempts at servers of the subset count for less as time passes.
func (p *Policy) decayAbandoned(elapsed time.Duration) {
	for _, s := range p.subset.members {
		memory := spikeFactor * float64(max(p.latency.smoothed.At(s), 1))
		p.load.abandoned[s] *= math.Exp(-float64(elapsed) / memory)
	}
}
