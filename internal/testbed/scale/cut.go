package scale

import (
	"io"
	"net"
	"sync"
	"time"

	"fernvane/internal/testbed/standin/link"
)

// ways are the connections from nodes to control processes of other regions, which can be cut without a word to either
// side.
type regionLinks struct{ listeners []*link.Listener }

func newRegionLinks(l *Layout) (*regionLinks, error) {
	w := &regionLinks{}
	for region := range l.Size.Regions {
		for n := range l.Size.Control {
			if l.controlRegion(n) == region {
				continue
			}
			to := l.controlAddress(n)
			listener, err := link.Listen(l.cutAddress(region, n), func(c *link.Conn) { forward(c, to) })
			if err != nil {
				return nil, err
			}
			w.listeners = append(w.listeners, listener)
		}
	}
	return w, nil
}

// pass leads a connection on to a control process.
func forward(from *link.Conn, address string) {
	defer from.Close()
	to, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		from.Reset()
		return
	}
	defer to.Close()
	var both sync.WaitGroup
	both.Go(func() {
		io.Copy(to, from)
		to.Close()
	})
	both.Go(func() {
		io.Copy(from, to)
		from.TCPConn.Close()
	})
	both.Wait()
}

func (w *regionLinks) cut(cut bool) {
	for _, l := range w.listeners {
		if cut {
			l.Silence()
		} else {
			l.EndSilence()
		}
	}
}

func (w *regionLinks) close() {
	for _, l := range w.listeners {
		l.Close()
	}
}
