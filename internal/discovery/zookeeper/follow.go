package zookeeper

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
)

const rosterLook = 50 * time.Millisecond // between two looks at what time changes in the roster

// Listener is told what comes of a registry.
type Listener struct {
	Now      func() time.Duration
	Evidence <-chan endpoints.Evidence                     // how hops end; nil for one that sends none
	Changed  func(changed []incarnation.Entry, first bool) // lives that have changed; first: these are all
	Fault    func(error)
	Doubted  func(bool) // most servers have vanished together, or are back
}

// Follow reads a registry until the context ends: what it lists, how hops end and time go through the roster, and what
// comes of them to the listener, from one goroutine.
func Follow(ctx context.Context, c *Config, l Listener) error {
	conn, err := Dial(c)
	if err != nil {
		return err
	}
	lists := make(chan []endpoints.Listed, 1)
	r := New(conn, c, func(all []endpoints.Listed) {
		select {
		case <-lists: // an older one
		default:
		}
		lists <- all
	}, l.Fault)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.Run(ctx) })
	g.Go(func() error {
		book, suspicious, first := endpoints.New(), false, true
		tick := time.NewTicker(rosterLook)
		defer tick.Stop()
		for {
			var changed []incarnation.Entry
			select {
			case <-ctx.Done():
				return nil
			case all := <-lists:
				changed = book.Seen(l.Now(), all)
			case e := <-l.Evidence:
				if e.Answered {
					changed = book.Answered(l.Now(), e.Server)
				} else {
					changed = book.Failed(l.Now(), e.Server)
				}
			case <-tick.C:
				changed = book.Passed(l.Now())
			}
			if book.Suspicious() != suspicious {
				suspicious = !suspicious
				l.Doubted(suspicious)
			}
			if len(changed) > 0 {
				l.Changed(changed, first)
				first = false
			}
		}
	})
	return g.Wait()
}
