package planner

import (
	"context"
	"time"
)

const countsInterval = 10 * time.Second

// counts since the last line of the log. Server.mu is held around them.
type counts struct {
	reports       int
	computations  int // of plans for all forwarders
	rejectedPeers int
	sentBytes     int
	slowestPlan   time.Duration
}

// runCounts logs the counts at an interval until the context ends.
func (s *Server) runCounts(ctx context.Context) {
	tick := time.NewTicker(countsInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.logCounts()
		}
	}
}

func (s *Server) logCounts() {
	s.mu.Lock()
	c, forwarders := s.counts, len(s.forwarders)
	s.counts = counts{}
	s.mu.Unlock()
	s.log.Info().Int("forwarders", forwarders).Int("reports", c.reports).Int("computations", c.computations).Int("rejected_peers", c.rejectedPeers).
		Int("bytes", c.sentBytes).Dur("slowest_plan", c.slowestPlan).Msg("counts")
}
