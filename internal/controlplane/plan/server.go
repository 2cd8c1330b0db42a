package plan

import (
	"time"

	"fernvane/internal/discovery/incarnation"
)

const (
	recentTimeConstant = 1 * time.Second // over which completions show how slow a server is now
	recentPrior        = 3.0             // completions at its usual relative latency that are added, so that a few do not decide
	usualTimeConstant  = 8 * time.Second // over which completions show how slow a server usually is
	usualPrior         = 10.0            // completions at the types' usual latency that are added
	slowdownFactor     = 1.6             // recent over usual relative latency from which a slowdown is more than chance
	slowdownSampleRate = 0.1             // weight of completions during a slowdown in the usual relative latency
)

// server is what is known of one server in its current incarnation.
type server struct {
	incarnation incarnation.Entry
	latency     relativeLatency
	failures    failureStats
	ejection    ejectionState
	capacity    float64 // share of its capacity that it has in slow start; 1: warm
	weight      float64 // share of the load beside other servers' weights
	isAvoided   bool
}

// samples are completions and the sum of their relative latency, which is latency over the usual latency of their type.
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

// relativeLatency is the latency of a server over the usual latency of the types, beside the average server's.
type relativeLatency struct {
	pending samples // reported since the last plan
	recent  samples // decaying with recentTimeConstant
	usual   samples // decaying with usualTimeConstant
}

// ratios returns the usual relative latency, 1 being the average server's, and the recent one over the usual one.
func (s *relativeLatency) ratios() (usual, recent float64) {
	usual = (s.usual.total + usualPrior) / (s.usual.count + usualPrior)
	recent = (s.recent.total + recentPrior*usual) / (s.recent.count + recentPrior) / usual
	return usual, recent
}

// advance moves the pending completions into the decaying sums. During a slowdown they hardly count as usual, or a latency
// spike of seconds would be taken for the server's usual relative latency.
func (s *relativeLatency) advance(passed time.Duration) {
	s.recent.decay(decay(passed, recentTimeConstant))
	s.recent.add(s.pending, 1)
	weight := 1.0
	if _, recent := s.ratios(); recent > slowdownFactor {
		weight = slowdownSampleRate
	}
	s.usual.decay(decay(passed, usualTimeConstant))
	s.usual.add(s.pending, weight)
	s.pending = samples{}
}

func newServer() *server {
	return &server{failures: failureStats{reporters: map[string]time.Duration{}}, capacity: 1}
}

func (s *server) advance(passed time.Duration) {
	s.latency.advance(passed)
	s.failures.decay(decay(passed, recentTimeConstant))
}

// serverReported takes in what one forwarder reports of one server, and returns how many attempts ended.
func (p *Planner) serverReported(now time.Duration, forwarder string, r *Report, reported *ServerReport) (attempts int) {
	s := p.servers[reported.ID]
	if s == nil {
		if len(p.servers) >= maxEntriesPerTable {
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

// completionsReported takes in completed attempts of one type.
func (p *Planner) completionsReported(s *server, t *trafficType, c Completions) {
	count := float64(c.Count)
	latency := c.TotalLatency.Seconds() / count
	s.latency.pending.count += count
	s.latency.pending.total += count * latency / max(t.usualSeconds, minLatencySeconds)
	t.count += count
	t.total += c.TotalLatency.Seconds()
	p.load.overObjective += count * latency / t.objective()
	p.load.ended += count
	s.ejection.consecutive = 0
}

// syncServers keeps servers for exactly the incarnations that serve. What was known of an earlier incarnation is dropped.
func (p *Planner) syncServers() {
	isServing := map[string]bool{}
	for _, e := range p.incarnations.All() {
		if e.Condition != incarnation.Up {
			continue
		}
		isServing[e.ID] = true
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
		if !isServing[id] {
			delete(p.servers, id)
		}
	}
}
