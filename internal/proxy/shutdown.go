package proxy

import (
	"context"
	"net"
	"time"

	"fernvane/internal/cluster/peer"
)

const (
	arrivalDuration     = 600 * time.Millisecond // new connections come for up to 0.4 s after SIGTERM
	acceptQuietDuration = 150 * time.Millisecond // without a new connection, after that, until listening ends
	extraAcceptDuration = 500 * time.Millisecond // after that, if connections never cease
	killGrace           = 700 * time.Millisecond // SIGKILL comes longestAbandonTime and this after SIGTERM
	killMargin          = 200 * time.Millisecond // to be done before that
	maxKillAbandonTime  = 3 * time.Second        // the most that an abandon time counts there
	idleCloseInterval   = 10 * time.Millisecond  // between two checks for idle connections while the node ends
)

// awaitStop waits until the node is told to stop and drains it then. peer.ErrReplaced: another process of the same name took its place.
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

// drain begins the stop. From then on all answers end their connections. It returns when new connections are not waited for any more, and
// has each listener end once none has come for a while.
func (s *Server) drain(listeners ...*net.TCPListener) {
	s.logger.Info().Msg("stopping")
	now := time.Now()
	extra := s.cfg.shutdownDelays.extraTime
	s.acceptUntil = now.Add(arrivalDuration + extraAcceptDuration + extra)
	s.answerBy = now.Add(min(s.longestAbandonTime(), maxKillAbandonTime) + killGrace - killMargin + extra)
	s.endBy = now.Add(s.longestAbandonTime() + answerTimeout)
	if s.endBy.Before(s.answerBy) {
		s.endBy = s.answerBy
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

// awaitClients closes idle connections and waits until those with requests have ended, until endBy at the latest. An
// answer that is missing when the platform kills the node before that was not lost by a close of the node's.
func (s *Server) awaitClients() {
	s.rejectsNewRequests.Store(true)
	done := make(chan struct{})
	go func() {
		s.clientTasks.Wait()
		close(done)
	}()
	tick := time.NewTicker(idleCloseInterval)
	defer tick.Stop()
	for time.Now().Before(s.endBy) {
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

// longestAbandonTime is the longest time after which clients of any traffic type give up.
func (s *Server) longestAbandonTime() time.Duration {
	longest := time.Duration(0)
	for _, t := range s.cfg.Settings.TrafficTypes {
		longest = max(longest, t.ClientTimeout)
	}
	return longest
}
