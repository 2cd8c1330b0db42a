package zookeeper

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
)

// tickInterval is the time between two calls of endpoints.Set.Tick.
const tickInterval = 50 * time.Millisecond

// Listener receives what Follow learns. OnChange and OnMassRemoval are called from one goroutine, OnError from another.
type Listener struct {
	Now          func() time.Duration
	Observations <-chan endpoints.Observation // what attempts show about servers; nil if nobody sends any

	// OnChange receives the entries that have changed; isFirst says that these are all.
	OnChange func(changed []incarnation.Entry, isFirst bool)
	// OnError receives what cannot be read of the registry.
	OnError func(error)
	// OnMassRemoval is called when the registry begins or ceases to be suspected of having lost most entries. While it is,
	// the last list is retained.
	OnMassRemoval func(endpoints.MassRemoval)
}

// Follow reads the registry until the context ends. It fails only if the client cannot be built.
func Follow(ctx context.Context, c *Config, l Listener) error {
	conn, err := Dial(c)
	if err != nil {
		return err
	}
	lists := make(chan []endpoints.RegistryEntry, 1)
	reader := NewReader(conn, c, func(all []endpoints.RegistryEntry) {
		select {
		case <-lists: // an older list
		default:
		}
		lists <- all
	}, l.OnError)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return reader.Run(ctx) })
	g.Go(func() error {
		l.followSet(ctx, lists)
		return nil
	})
	return g.Wait()
}

// followSet applies lists, observations and the time to an endpoint set.
func (l *Listener) followSet(ctx context.Context, lists <-chan []endpoints.RegistryEntry) {
	set := endpoints.NewSet()
	isSuspected, isFirst := false, true
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		var changed []incarnation.Entry
		select {
		case <-ctx.Done():
			return
		case all := <-lists:
			changed = set.ApplyList(l.Now(), all)
		case o := <-l.Observations:
			if o.HasResponded { // else, also if another server responded, it counts as a failure to connect
				changed = set.ResponseReceived(l.Now(), o.Server)
			} else {
				changed = set.ConnectFailed(l.Now(), o.Server)
			}
		case <-tick.C:
			changed = set.Tick(l.Now())
		}
		if removal := set.MassRemoval(); removal.IsSuspected != isSuspected {
			isSuspected = removal.IsSuspected
			l.OnMassRemoval(removal)
		}
		if len(changed) > 0 {
			l.OnChange(changed, isFirst)
			isFirst = false
		}
	}
}
