package zookeeper

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
)

const tickInterval = 50 * time.Millisecond // between two looks at what time changes in the roster

// Listener is told what comes of a registry.
type Listener struct {
	Now           func() time.Duration
	Observations  <-chan endpoints.Observation                  // how hops end; nil for one that sends none
	OnChange      func(changed []incarnation.Entry, first bool) // lives that have changed; first: these are all
	OnError       func(error)
	OnMassRemoval func(bool) // most servers have vanished together, or are back
}

// Follow reads a registry until the context ends: what it lists, how hops end and time go through the roster, and what
// comes of them to the listener, from one goroutine.
func Follow(ctx context.Context, c *Config, l Listener) error {
	conn, err := Dial(c)
	if err != nil {
		return err
	}
	lists := make(chan []endpoints.RegistryEntry, 1)
	r := NewReader(conn, c, func(all []endpoints.RegistryEntry) {
		select {
		case <-lists: // an older one
		default:
		}
		lists <- all
	}, l.OnError)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.Run(ctx) })
	g.Go(func() error {
		book, suspicious, first := endpoints.NewSet(), false, true
		tick := time.NewTicker(tickInterval)
		defer tick.Stop()
		for {
			var changed []incarnation.Entry
			select {
			case <-ctx.Done():
				return nil
			case all := <-lists:
				changed = book.ApplyList(l.Now(), all)
			case e := <-l.Observations:
				if e.HasResponded {
					changed = book.ResponseReceived(l.Now(), e.Server)
				} else {
					changed = book.ConnectFailed(l.Now(), e.Server)
				}
			case <-tick.C:
				changed = book.Tick(l.Now())
			}
			if book.IsMassRemovalSuspected() != suspicious {
				suspicious = !suspicious
				l.OnMassRemoval(suspicious)
			}
			if len(changed) > 0 {
				l.OnChange(changed, first)
				first = false
			}
		}
	})
	return g.Wait()
}
