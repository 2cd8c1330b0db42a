package plan

import (
	"time"

	"fernvane/internal/discovery/incarnation"
)

const (
	recentTimeConstant = 1 * time.Second // of the recent relative latency of a server
	recentPrior        = 3.0             // number of assumed completions at the usual relative latency; limits the effect of few completions
	usualTimeConstant  = 8 * time.Second // of the usual relative latency of a server
	usualPrior         = 10.0            // number of assumed completions at the types' usual latency
	slowdownFactor     = 1.6             // ratio of recent to usual relative latency that indicates a slowdown instead of noise
	slowdownSampleRate = 0.1             // weight in the usual relative latency of completions during a slowdown
)

// server is the state of one server in its current incarnation.
type server struct {
	incarnation incarnation.Entry
	latency     relativeLatency
	failures    failureStats
	ejection    ejectionState
	capacity    float64 // share of the full capacity during slow start; 1: warm
	weight      float64 // relative share of the total load
	isAvoided   bool
}

// samples accumulates completions and the sum of their relative latencies. A relative latency is the ratio of an attempt's latency
// to the usual latency of its traffic type.
type samples struct {
	count float64
	total float64
}

func (s *samples) add(other samples, weight float64) {
	s.count += weight * other.count
	s.total += weight * other.total
}

func (s *samples) decay(factor float64) {
	s.count *= factor
	s.total *= factor
}

// relativeLatency tracks the relative latency of one server. The average server has a relative latency of 1.
type relativeLatency struct {
	pending samples // reported since the latest plan
	recent  samples // decays with recentTimeConstant
	usual   samples // decays with usualTimeConstant
}

// ratios returns the usual relative latency, and the ratio of the recent to the usual relative latency.
func (s *relativeLatency) ratios() (usual, recent float64) {
	usual = (s.usual.total + usualPrior) / (s.usual.count + usualPrior)
	recent = (s.recent.total + recentPrior*usual) / (s.recent.count + recentPrior) / usual
	return usual, recent
}

// advance adds the pending completions to the decaying sums. During a slowdown they enter the usual sum with the reduced weight
// slowdownSampleRate. Otherwise a latency spike of a few seconds would change the server's usual relative latency.
func (s *relativeLatency) advance(elapsed time.Duration) {
	s.recent.decay(decayFactor(elapsed, recentTimeConstant))
	s.recent.add(s.pending, 1)
	weight := 1.0
	if _, recent := s.ratios(); recent > slowdownFactor {
		weight = slowdownSampleRate
	}
	s.usual.decay(decayFactor(elapsed, usualTimeConstant))
	s.usual.add(s.pending, weight)
	s.pending = samples{}
}

func newServer() *server {
	return &server{failures: failureStats{reporters: map[string]time.Duration{}}, capacity: 1}
}

func (s *server) advance(elapsed time.Duration) {
	s.latency.advance(elapsed)
	s.failures.decay(decayFactor(elapsed, recentTimeConstant))
}

// serverReported applies one forwarder's report about one server and returns the number of ended attempts. It discards completions
// with invalid values.
func (p *Planner) serverReported(now time.Duration, forwarder string, r *Report, reported *ServerReport) (attempts int) {
	s := p.servers[reported.ID]
	if s == nil {
		if len(p.servers) >= maxEntriesPerTable || len(reported.ID) > maxTextBytes {
			return 0
		}
		s = newServer()
		p.servers[reported.ID] = s
	}
	completed := 0
	for _, c := range reported.Completions {
		if c.TypeIndex < 0 || c.TypeIndex >= len(r.Types) || c.Count <= 0 || c.TotalLatency < 0 {
			continue
		}
		completed += c.Count
		p.completionsReported(s, p.trafficType(&r.Types[c.TypeIndex]), c)
	}
	timedOut, failed := max(reported.TimedOut, 0), max(reported.Failed, 0)
	s.latency.pending.add(samples{count: 1, total: p.timeoutRelativeLatency()}, float64(timedOut))
	s.failures.add(now, forwarder, completed, timedOut, failed)
	p.load.ended += float64(timedOut)
	p.load.timedOut += float64(timedOut)
	return completed + timedOut + failed
}

// completionsReported applies the completed attempts of one traffic type at a server.
func (p *Planner) completionsReported(s *server, t *trafficType, c Completions) {
	count := float64(c.Count)
	latency := c.TotalLatency.Seconds() / count
	s.latency.pending.count += count
	s.latency.pending.total += count * latency / max(t.usualSeconds, minLatencySeconds)
	t.count += count
	t.total += c.TotalLatency.Seconds()
	p.load.latencyRatioSum += count * latency / t.objective()
	p.load.ended += count
	s.ejection.consecutive = 0
}

// syncServers makes the servers match the incarnations in condition Up. It discards the state of earlier incarnations.
func (p *Planner) syncServers() {
	isUp := map[string]bool{}
	for _, e := range p.incarnations.All() {
		if e.Condition != incarnation.Up {
			continue
		}
		isUp[e.ID] = true
		s := p.servers[e.ID]
		if s == nil {
			s = newServer()
			p.servers[e.ID] = s
		}
		if s.incarnation.StartedUnixMS != e.StartedUnixMS || s.incarnation.Generation != e.Generation {
			*s = *newServer()
		}
		s.incarnation = e
	}
	for id := range p.servers {
		if !isUp[id] {
			delete(p.servers, id)
		}
	}
}
