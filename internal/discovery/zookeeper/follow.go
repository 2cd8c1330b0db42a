package zookeeper

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
)

// tickInterval is the time between calls of endpoints.Set.Tick.
const tickInterval = 50 * time.Millisecond

// Listener receives the results of Follow. OnChange and OnMassRemoval are called from one goroutine, OnError from another.
type Listener struct {
	Now          func() time.Duration
	Observations <-chan endpoints.Observation // results of attempts; nil if there are none
	// Known contains the servers that are in use when Follow begins, such as those that an earlier process stored. Those that the
	// first list lacks are removed like servers that leave the registry later; see endpoints.Set.Restore.
	Known []incarnation.Entry
	// Reported contains further servers that other processes have in use.
	Reported Reports

	// OnChange receives the changed entries; if isFirst is set, they include the complete list.
	OnChange func(changed []incarnation.Entry, isFirst bool)
	// OnError receives errors of reading the registry or of parsing its entries.
	OnError func(error)
	// OnMassRemoval is called when a suspicion that the registry has lost most entries begins or ends. During the suspicion
	// the last list is retained.
	OnMassRemoval func(endpoints.MassRemoval)
}

// Follow reads the registry until the context ends. It returns an error only if the client cannot be created.
func Follow(ctx context.Context, c *Config, l Listener) error {
	conn, err := Dial(c)
	if err != nil {
		return err
	}
	lists := make(chan []endpoints.RegistryEntry, 1)
	reader := NewReader(conn, c, func(all []endpoints.RegistryEntry) {
		select {
		case <-lists: // discard an older list that is still queued
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

// followSet applies lists, observations and timer ticks to an endpoint set and reports its changes to the listener.
func (l *Listener) followSet(ctx context.Context, lists <-chan []endpoints.RegistryEntry) {
	set := endpoints.NewSet()
	set.Restore(l.Now(), l.Known)
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
		case reported := <-l.Reported.pending:
			set.Restore(l.Now(), reported)
		case observation := <-l.Observations:
			if observation.HasResponded { // a response of another server (IsOtherServer) counts as a connection failure
				changed = set.ResponseReceived(l.Now(), observation.Server)
			} else {
				changed = set.ConnectFailed(l.Now(), observation.Server)
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
