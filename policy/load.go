package policy

import (
	"math"
	"slices"
	"time"

	"fernvane/internal/collections/columns"
)

// abandonedMemoryLatencies is the time, in smoothed latencies of the server, in which an abandoned attempt decays to
// 1/e.
const abandonedMemoryLatencies = 4.0

// serverLoad holds this node's attempts in flight at each server.
type serverLoad struct {
	inFlight        []int
	abandoned       []float64       // attempts that timed out and that the server may still process
	abandonedSentAt []time.Duration // when the last of them was sent

	// lastResponseAt is the time of the last Success, Failure or Overloaded outcome, except for failures attributed to the
	// request, or the time at which the server was added or last changed from idle to busy.
	lastResponseAt []time.Duration
}

// abandon counts an attempt that timed out. Without this count an unresponsive server would look idle.
func (l *serverLoad) abandon(s int, sentAt time.Duration) {
	l.abandoned[s]++
	l.abandonedSentAt[s] = max(l.abandonedSentAt[s], sentAt)
}

// clearAbandoned clears the abandoned attempts when an attempt sent after them succeeds: servers process requests in
// order.
func (l *serverLoad) clearAbandoned(s int, sentAt time.Duration) {
	if sentAt >= l.abandonedSentAt[s] {
		l.abandoned[s] = 0
	}
}

func (l *serverLoad) addServer(s int, now time.Duration) {
	columns.Put(s, 0, &l.inFlight)
	columns.Put(s, 0.0, &l.abandoned)
	columns.Put(s, 0, &l.abandonedSentAt)
	columns.Put(s, now, &l.lastResponseAt)
}

func (l *serverLoad) clone() serverLoad {
	c := *l
	c.inFlight = slices.Clone(l.inFlight)
	c.abandoned = slices.Clone(l.abandoned)
	columns.Clone(&c.abandonedSentAt, &c.lastResponseAt)
	return c
}

// decayAbandoned decays the counts of abandoned attempts at servers of the subset.
func (p *Policy) decayAbandoned(elapsed time.Duration) {
	for _, s := range p.subset.members {
		memory := abandonedMemoryLatencies * float64(max(p.latency.smoothed.At(s), 1))
		p.load.abandoned[s] *= math.Exp(-float64(elapsed) / memory)
	}
}
