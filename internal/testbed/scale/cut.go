package scale

import (
	"io"
	"net"
	"sync"
	"time"

	"fernvane/internal/testbed/standin/link"
)

// regionLinks forwards connections to control processes of other regions. While the links are cut, connections stay open
// and carry no bytes, and neither side is notified.
type regionLinks struct{ listeners []*link.Listener }

func newRegionLinks(l *Layout) (*regionLinks, error) {
	links := &regionLinks{}
	for region := range l.Size.Regions {
		for n := range l.Size.Control {
			if l.controlRegion(n) == region {
				continue
			}
			to := l.controlAddress(n)
			listener, err := link.Listen(l.regionLinkAddress(region, n), func(c *link.Conn) { forward(c, to) })
			if err != nil {
				return nil, err
			}
			links.listeners = append(links.listeners, listener)
		}
	}
	return links, nil
}

// forward forwards a connection to a control process until either side closes it.
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

func (r *regionLinks) cut(isCut bool) {
	for _, l := range r.listeners {
		if isCut {
			l.Silence()
		} else {
			l.EndSilence()
		}
	}
}

func (r *regionLinks) close() {
	for _, l := range r.listeners {
		l.Close()
	}
}
