package proxy

import (
	"errors"
	"net"
	"os"
	"time"

	"fernvane/internal/protocol/sockpeek"
)

const acceptRetryInterval = 5 * time.Millisecond // after a failed accept, so that shortage does not spin

// accept takes connections until the node stops and none comes any more. One that the system has taken
// may hold a request already, so listening does not end while there are such.
func (s *Server) accept(ln *net.TCPListener, lead func(*net.TCPConn)) error {
	quietFor := acceptQuietDuration + s.cfg.shutdownDelays.extraQuiet
	var quiet time.Time // since when none has come, once the node stops
	for {
		s.dispatcher.AcquireClientDescriptor()
		last := s.isListenerClosing.Load()
		if last {
			if time.Now().After(s.acceptUntil) { // they never cease
				return ln.Close()
			}
			if quiet.IsZero() {
				quiet = time.Now()
			}
			ln.SetDeadline(quiet.Add(quietFor))
		}
		nc, err := ln.AcceptTCP()
		over := last && errors.Is(err, os.ErrDeadlineExceeded) && time.Since(quiet) >= quietFor
		if over { // the time may have run out with one in the queue that nobody has looked at
			nc, err = sockpeek.AcceptQueued(ln)
		}
		if err == nil {
			quiet = time.Now()
			s.clientTasks.Go(func() error {
				lead(nc)
				return nil
			})
			continue
		}
		s.dispatcher.ReleaseClientDescriptor()
		if over {
			return ln.Close()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // woken: the node stops
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		s.logger.Warn().Err(err).Msg("accept failed")
		s.dispatcher.EvictIdle()
		time.Sleep(acceptRetryInterval)
	}
}
