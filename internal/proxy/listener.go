package proxy

import (
	"errors"
	"net"
	"os"
	"time"

	"fernvane/internal/protocol/sockpeek"
)

const acceptRetryInterval = 5 * time.Millisecond // after an accept that failed for lack of system resources

// accept accepts connections and serves each on its own goroutine. Once drain has set isListenerClosing, it closes the listener and returns
// when no connection has arrived for acceptQuietDuration, or acceptDeadline has passed. A connection in the accept queue of the
// operating system may carry a request already, so the queue is checked before the listener is closed.
func (s *Server) accept(ln *net.TCPListener, serveConn func(*net.TCPConn)) error {
	quietDuration := acceptQuietDuration + s.cfg.shutdownDelays.extraQuiet
	var quietSince time.Time // time of the last connection, or of the start of the closing; zero before the first connection
	for {
		s.dispatcher.AcquireClientDescriptor()
		isClosing := s.isListenerClosing.Load()
		if isClosing {
			if time.Now().After(s.acceptDeadline) {
				return ln.Close()
			}
			if quietSince.IsZero() {
				quietSince = time.Now()
			}
			ln.SetDeadline(quietSince.Add(quietDuration))
		}
		tcp, err := ln.AcceptTCP()
		isQuiet := isClosing && errors.Is(err, os.ErrDeadlineExceeded) && time.Since(quietSince) >= quietDuration
		if isQuiet { // the deadline may have passed while a connection was in the queue
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
