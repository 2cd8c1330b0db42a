package proxy

import (
	"context"
	"net"
	"time"

	"fernvane/internal/cluster/peer"
)

const (
	arrivalDuration      = 600 * time.Millisecond // clients open new connections for up to 0.4 s after SIGTERM
	acceptQuietDuration  = 150 * time.Millisecond // after arrivalDuration, without a new connection, until a listener closes
	extraAcceptDuration  = 500 * time.Millisecond // after arrivalDuration, until a listener closes although connections still arrive
	killGrace            = 700 * time.Millisecond // the platform sends SIGKILL longestClientTimeout plus killGrace after SIGTERM
	killMargin           = 200 * time.Millisecond // between the answer deadline and SIGKILL
	maxKillClientTimeout = 3 * time.Second        // upper bound of longestClientTimeout in the time of SIGKILL
	idleCloseInterval    = 10 * time.Millisecond  // between two checks for idle connections during a shutdown
)

// awaitStop waits until stop or replaced is closed, and drains the node then. It returns peer.ErrReplaced if another process with the same
// node name has replaced this one.
func (s *Server) awaitStop(ctx context.Context, stop, replaced <-chan struct{}, listeners ...*net.TCPListener) error {
	select {
	case <-stop:
		s.drain(listeners...)
	case <-replaced:
		s.drain(listeners...)
		return peer.ErrReplaced
	case <-ctx.Done():
	}
	return nil
}

// drain starts the shutdown. From then on each answer closes its connection. drain returns after the time in which clients may still open
// connections; accept then closes each listener once no connection has arrived for acceptQuietDuration.
func (s *Server) drain(listeners ...*net.TCPListener) {
	s.logger.Info().Msg("stopping")
	now := time.Now()
	extra := s.cfg.shutdownDelays.extraTime
	s.acceptDeadline = now.Add(arrivalDuration + extraAcceptDuration + extra)
	s.answerDeadline = now.Add(min(s.longestClientTimeout(), maxKillClientTimeout) + killGrace - killMargin + extra)
	s.shutdownDeadline = now.Add(s.longestClientTimeout() + answerTimeout)
	if s.shutdownDeadline.Before(s.answerDeadline) {
		s.shutdownDeadline = s.answerDeadline
	}
	s.isDraining.Store(true)
	if await := s.cfg.shutdownDelays.awaitArrivals; await != nil {
		await()
	} else {
		time.Sleep(arrivalDuration)
	}
	s.isListenerClosing.Store(true)
	for _, ln := range listeners {
		if ln != nil {
			ln.SetDeadline(pastDeadline) // wakes accept
		}
	}
}

// awaitClients closes idle connections and waits for those with open requests to end, until shutdownDeadline at the latest. If the
// platform kills the node earlier, answers are lost because of the kill and not because of a close by the node.
func (s *Server) awaitClients() {
	s.rejectsNewRequests.Store(true)
	done := make(chan struct{})
	go func() {
		s.clientTasks.Wait()
		close(done)
	}()
	tick := time.NewTicker(idleCloseInterval)
	defer tick.Stop()
	for time.Now().Before(s.shutdownDeadline) {
		s.dispatcher.CloseIdleClients()
		select {
		case <-done:
			s.logger.Info().Msg("stopped")
			return
		case <-tick.C:
		}
	}
	s.logger.Warn().Msg("stopped with connections open")
}

// longestClientTimeout returns the longest client timeout of all traffic types.
func (s *Server) longestClientTimeout() time.Duration {
	longest := time.Duration(0)
	for _, t := range s.cfg.Settings.TrafficTypes {
		longest = max(longest, t.ClientTimeout)
	}
	return longest
}
