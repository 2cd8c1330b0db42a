package control

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/watch"
	"fernvane/internal/discovery/zookeeper"
	"fernvane/internal/protocol/http1"
)

const (
	sourceAgain = time.Second // after changes that could not be written
	sourceMost  = 1024        // changes in one write of a source's
)

// source writes what discovery or a registry tells of servers. Only one control process does so for a source.
func (s *Server) source(ctx context.Context) error {
	told := &sourced{server: s, servers: map[string]incarnation.Entry{}, wake: make(chan struct{}, 1)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		told.write(ctx)
	}()
	defer func() { <-done }()
	if s.config.Ensemble == nil {
		s.watchDiscovery(ctx, told)
		return nil
	}
	return zookeeper.Follow(ctx, s.config.Ensemble, zookeeper.Listener{
		Now:      s.now,
		OnChange: func(changed []incarnation.Entry, _ bool) { told.listed(changed, false) },
		OnError:  func(err error) { s.log.Warn().Err(err).Msg("registry") },
		OnMassRemoval: func(removal endpoints.MassRemoval) {
			s.log.Error().Bool("suspected", removal.IsSuspected).Int("removed", removal.Removed).Int("total", removal.Total).
				Msg("mass removal suspicion changed")
		},
	})
}

// watchDiscovery follows discovery's list, whole at first.
func (s *Server) watchDiscovery(ctx context.Context, told *sourced) {
	watch.Follow(ctx, watch.NewTarget(s.config.DiscoveryAddress), watch.Listener{
		OnError: func(err error) { s.log.Warn().Err(err).Msg("discovery failed") },
		OnList: func(list http1.EndpointList) {
			for _, err := range list.Skipped {
				s.log.Warn().Err(err).Msg("list entry skipped")
			}
			told.listed(watch.EntriesFromList(list), list.Complete)
		},
	})
}

// sourced is what a source has told, on its way into the store.
type sourced struct {
	server *Server
	wake   chan struct{}

	// under the server's lock
	servers map[string]incarnation.Entry
	whole   bool            // all of them were told: others of the service are gone
	changed map[string]bool // names to be looked at; nil for all
}

// listed takes in what a source tells.
func (t *sourced) listed(entries []incarnation.Entry, whole bool) {
	s := t.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if whole {
		clear(t.servers)
		t.whole, t.changed = true, nil
	}
	for _, e := range entries {
		t.servers[e.ID] = e
		if t.changed != nil {
			t.changed[e.ID] = true
		}
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// write writes what has changed, and tries again what could not be written.
func (t *sourced) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		for ctx.Err() == nil {
			changes := t.due()
			if len(changes) == 0 {
				break
			}
			if _, err := t.server.change(changes); err != nil {
				t.server.log.Warn().Err(err).Int("changes", len(changes)).Msg("servers not written")
				if !pause(ctx, sourceAgain) {
					return
				}
			}
		}
	}
}

// due is the next changes: what the store holds otherwise than the source tells.
func (t *sourced) due() []distribution.Change {
	s := t.server
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []distribution.Change
	if t.changed == nil {
		t.changed = map[string]bool{}
		for name := range t.servers {
			t.changed[name] = true
		}
		for _, e := range s.store.LiveEntries(s.config.Service) {
			if e.Key.Kind == distribution.KindServer && t.whole {
				t.changed[e.Key.Name] = true
			}
		}
	}
	for name := range t.changed {
		if len(changes) >= sourceMost {
			break
		}
		if c, differs := t.change(name); differs {
			changes = append(changes, c)
			continue // looked at once more, when it is written
		}
		delete(t.changed, name)
	}
	return changes
}

// change is what brings a server's entry to what the source tells.
func (t *sourced) change(name string) (distribution.Change, bool) {
	c := distribution.Change{Key: distribution.Key{Service: t.server.config.Service, Kind: distribution.KindServer, Name: name}}
	held, ok := t.server.store.Entry(c.Key)
	ok = ok && !held.Deleted
	told, known := t.servers[name]
	if !known || told.Condition == incarnation.Gone {
		c.Deleted = true
		return c, ok
	}
	var before incarnation.Entry
	if ok && cbor.Unmarshal(held.Value, &before) == nil {
		told = turned(before, told)
		before.Revision = told.Revision // a list that is told again is no change
		if before == told {
			return c, false
		}
	} else if held.Deleted { // it is back: a turn beyond all that it had
		told.Generation = max(told.Generation, uint32(distribution.ClockTime(held.Clock).Unix()))
	}
	value, err := cbor.Marshal(told)
	if err != nil {
		t.server.log.Error().Err(err).Str("server", name).Msg("server left out")
		return c, false
	}
	c.Value = value
	return c, true
}

// turned is a source's word about a server as a later one than what was written before: within one start a server goes
// back, as when a drain is called off, by a new turn.
func turned(before, told incarnation.Entry) incarnation.Entry {
	if told.StartedUnixMS > before.StartedUnixMS {
		return told
	}
	told.StartedUnixMS, told.Generation = before.StartedUnixMS, before.Generation
	if told.Condition < before.Condition {
		told.Generation++
	}
	return told
}
