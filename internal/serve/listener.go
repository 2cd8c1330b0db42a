package serve

import (
	"errors"
	"net"
	"os"
	"time"
)

const acceptPause = 5 * time.Millisecond // after a failed accept, so that shortage does not spin

// accept takes connections until the node stops and none comes any more. One that the system has taken
// may hold a request already, so listening does not end while there are such.
func (s *Server) accept(ln *net.TCPListener, lead func(*net.TCPConn)) error {
	for {
		s.fleet.Admit()
		last := s.closing.Load()
		if last {
			if time.Now().After(s.gone) { // they never cease
				return ln.Close()
			}
			ln.SetDeadline(time.Now().Add(quietFor))
		}
		nc, err := ln.AcceptTCP()
		if err == nil {
			s.clients.Go(func() error {
				lead(nc)
				return nil
			})
			continue
		}
		s.fleet.Vacate()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if last {
				return ln.Close()
			}
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		s.log.Warn().Err(err).Msg("accept failed")
		s.fleet.MakeRoom()
		time.Sleep(acceptPause)
	}
}
