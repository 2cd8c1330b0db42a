package proxy

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/proxy/shadow"
	"fernvane/internal/route"
)

const countsInterval = 10 * time.Second // between two log lines with counts

// logCounts logs counts every countsInterval until the node stops: how requests and attempts ended since the previous line, and the requests
// and connections that are open now.
func (s *Server) logCounts(ctx context.Context) error {
	tick := time.NewTicker(countsInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			s.logCountsOnce()
		}
	}
}

// logCountsOnce logs one line for the node and one for each route.
func (s *Server) logCountsOnce() {
	c := s.dispatcher.Counts()
	source, age := s.dispatcher.LastAnnouncement()
	attempts := zerolog.Dict()
	c.EachAttemptResult(func(r dispatch.AttemptResult, n int) { attempts.Int(r.String(), n) })
	line := s.logger.Info()
	if s.cfg.Shadow != nil {
		comparison := s.cfg.Shadow.TakeCounts()
		differences := zerolog.Dict().Int("compared", comparison.Compared).Bool("failed", comparison.HasFailed)
		comparison.Each(func(d shadow.Difference, n int) { differences.Int(d.String(), n) })
		line.Dict("watch", differences)
	}
	if s.distribution != nil {
		s.distribution.addStatus(line)
	}
	line.Int("handled", c.Responded).Int("rejected", c.Rejected).Int("failed", c.Failed).
		Int("client_left", c.Disconnected).Int("no_capacity", c.NoCapacity).Int("route_limited", c.RouteLimited).Int("hedges", c.Hedges).Dict("attempts", attempts).
		Int("open", c.OpenRequests).Int("clients", c.ClientConnections).Int("servers", c.ServerConnections).
		Stringer("list_from", source).Float64("list_age_s", age.Round(time.Second/10).Seconds()).Msg("counts")
	s.dispatcher.RouteCounts(func(name string, inFlight int, c route.LimiterCounts) {
		s.logger.Info().Str("route", name).Int("in_flight", inFlight).Int("admitted", c.Admitted).Int("rate_exceeded", c.RateExceeded).
			Int("queue_full", c.QueueFull).Int("tenant_share_exceeded", c.TenantShareExceeded).Msg("route")
	})
}
