package serve

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	acceptPause = 5 * time.Millisecond // after a failed accept, so that shortage does not spin
)

// accept takes connections until the listener's deadline, which drain sets, and then finishes.
func (s *Server) accept(ln *net.TCPListener) error {
	for {
		s.fleet.Admit()
		nc, err := ln.AcceptTCP()
		if err == nil {
			s.busy.Add(1)
			go s.client(nc)
			continue
		}
		s.fleet.Vacate()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		s.log.Warn().Err(err).Msg("accept failed")
		s.fleet.MakeRoom()
		time.Sleep(acceptPause)
	}
	ln.Close()
	s.finish(time.Now().Add(s.stopTime() - comingFor - quietFor))
	return nil
}
