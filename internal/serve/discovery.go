package serve

import (
	"context"
	"fmt"
	"net"
	"time"

	"fernvane/internal/http1"
)

const (
	// A silent connection is noticed when an answer is overdue, and what discovery had to tell counts as told
	// 2 s after the wait: a short wait finds out sooner, and going on with a watch costs discovery no call.
	watchWait   = 3 * time.Second
	watchSlack  = 1500 * time.Millisecond // beyond the wait, for an answer to a watch that goes on
	queueSlack  = 4 * time.Second         // the same for a new call, which waits in discovery's queue
	watchPace   = 25 * time.Millisecond   // between two calls at least; a watch must be renewed within 200 ms
	dialMost    = time.Second             // for a connection to discovery
	longestList = 1 << 20                 // bytes
)

// follow watches discovery's list whenever the module asks for it, until a call fails.
func (s *Server) follow(ctx context.Context) error {
	w := watcher{s: s, revision: s.cfg.Known.Revision}
	defer w.close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.fleet.Asked():
		}
		for slack := queueSlack; ; slack = watchSlack {
			began := time.Now()
			list, err := w.call(ctx, slack)
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				s.log.Warn().Err(err).Msg("discovery failed")
				s.fleet.Unlisted()
				break
			}
			w.revision = list.Revision
			s.fleet.Listed(list, false)
			s.skipped(list)
			if len(list.Hosts) > 0 {
				s.log.Info().Uint64("revision", list.Revision).Bool("whole", list.Complete).Int("entries", len(list.Hosts)).Msg("list told")
			}
			if early := watchPace - time.Since(began); early > 0 {
				time.Sleep(early)
			}
		}
	}
}

// watcher holds the one connection to discovery.
type watcher struct {
	s        *Server
	conn     *http1.Conn
	revision uint64
}

func (w *watcher) close() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

func (w *watcher) call(ctx context.Context, slack time.Duration) (http1.List, error) {
	if w.conn != nil && !w.conn.Quiet() {
		w.close()
	}
	if w.conn == nil {
		d := net.Dialer{Timeout: dialMost}
		nc, err := d.DialContext(ctx, "tcp", w.s.cfg.Discovery.String())
		if err != nil {
			return http1.List{}, err
		}
		w.conn = http1.NewConn(nc)
	}
	conn := w.conn
	conn.SetDeadline(time.Now().Add(watchWait + slack))
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(past) })
	defer stop()
	list, again, err := ask(conn, w.s.cfg.Discovery.String(), w.revision)
	if err != nil || !again {
		w.close()
	}
	return list, err
}

// ask makes one call; again tells whether the connection can be used for the next.
func ask(conn *http1.Conn, host string, after uint64) (l http1.List, again bool, err error) {
	if _, err = conn.Send(http1.AppendListCall(conn.Scratch(), host, after, watchWait)); err != nil {
		return l, false, err
	}
	var resp http1.Response
	if err = conn.ReadResponse(&resp, longestList); err != nil {
		return l, false, err
	}
	if resp.Status != 200 {
		return l, false, fmt.Errorf("discovery answers %d", resp.Status)
	}
	l, err = http1.ParseList(resp.Body)
	return l, !resp.Close, err
}
