package planner

import (
	"context"
	"time"
)

const countsInterval = 10 * time.Second

// counts contains the counters since the previous "counts" log line. Server.mu guards it.
type counts struct {
	reports       int
	computations  int // computations of the plans of all forwarders
	rejectedPeers int
	sentBytes     int
	slowestPlan   time.Duration // duration of the slowest computation
}

// runCounts logs and resets the counts every countsInterval until the context is canceled.
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
