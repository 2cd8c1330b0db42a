package proxy

import (
	"errors"
	"net"
	"os"
	"time"

	"fernvane/internal/protocol/sockpeek"
)

const acceptRetryInterval = 5 * time.Millisecond // after an accept that failed for want of resources

// accept accepts connections and serves each on a goroutine of its own, until the node stops and none has come for acceptQuietDuration.
// A connection in the system's queue may hold a request already, so the listener is closed only behind a look into the queue.
func (s *Server) accept(ln *net.TCPListener, serveConn func(*net.TCPConn)) error {
	quietDuration := acceptQuietDuration + s.cfg.shutdownDelays.extraQuiet
	var quietSince time.Time // the last connection, or the begin of the closing; zero before that
	for {
		s.dispatcher.AcquireClientDescriptor()
		isClosing := s.isListenerClosing.Load()
		if isClosing {
			if time.Now().After(s.acceptUntil) {
				return ln.Close()
			}
			if quietSince.IsZero() {
				quietSince = time.Now()
			}
			ln.SetDeadline(quietSince.Add(quietDuration))
		}
		tcp, err := ln.AcceptTCP()
		isQuiet := isClosing && errors.Is(err, os.ErrDeadlineExceeded) && time.Since(quietSince) >= quietDuration
		if isQuiet { // the deadline may have passed with a connection in the queue
			tcp, err = sockpeek.AcceptQueued(ln)
		}
		if err == nil {
			quietSince = time.Now()
			s.clientTasks.Go(func() error {
				serveConn(tcp)
				return nil
			})
			continue
		}
		s.dispatcher.ReleaseClientDescriptor()
		switch {
		case isQuiet:
			return ln.Close()
		case errors.Is(err, os.ErrDeadlineExceeded): // woken by drain
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			s.logger.Warn().Err(err).Msg("accept failed")
			s.dispatcher.EvictIdle()
			time.Sleep(acceptRetryInterval)
		}
	}
}
