package serve

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"fernvane/internal/life"
	"fernvane/internal/registry"
	"fernvane/internal/roster"
	"fernvane/internal/watch"
)

const rosterLook = 50 * time.Millisecond // between two looks at what time changes in the roster

// follows a registry in place of discovery: what it lists and how hops end go through the roster, and what comes of them
// to the fleet, from one goroutine.
func (s *Server) registered(ctx context.Context) error {
	conn, err := registry.Dial(s.cfg.Registry)
	if err != nil {
		return err
	}
	lists := make(chan []roster.Listed, 1)
	r := registry.New(conn, s.cfg.Registry, func(all []roster.Listed) {
		select {
		case <-lists: // an older one
		default:
		}
		lists <- all
	}, func(err error) { s.log.Warn().Err(err).Msg("registry") })
	evidence := s.fleet.Evidence()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.Run(ctx) })
	g.Go(func() error {
		book, suspicious, first := roster.New(), false, true
		tick := time.NewTicker(rosterLook)
		defer tick.Stop()
		for {
			var changed []life.Entry
			select {
			case <-ctx.Done():
				return nil
			case all := <-lists:
				changed = book.Seen(s.fleet.Now(), all)
			case e := <-evidence:
				if e.Answered {
					changed = book.Answered(s.fleet.Now(), e.Server)
				} else {
					changed = book.Failed(s.fleet.Now(), e.Server)
				}
			case <-tick.C:
				changed = book.Passed(s.fleet.Now())
			}
			if book.Suspicious() != suspicious {
				if suspicious = !suspicious; suspicious {
					s.log.Error().Msg("most servers have vanished from the registry together: the last list holds")
				} else {
					s.log.Info().Msg("the registry lists most servers again")
				}
			}
			if len(changed) > 0 {
				l := watch.List(changed)
				s.skipped(l)
				l.Complete, first = first, false // what the saved list has beside has gone meanwhile
				s.fleet.Listed(l, false)
				s.log.Info().Int("entries", len(changed)).Msg("list told")
			}
		}
	})
	return g.Wait()
}
