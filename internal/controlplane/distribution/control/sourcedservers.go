package control

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/zookeeper"
)

// sourcedServers synchronizes the servers that a source lists with the store.
type sourcedServers struct {
	server *Server
	wake   chan struct{}

	known    []incarnation.Entry // servers in the store when this process began to follow a registry
	reported zookeeper.Reports   // of a registry: servers that other processes have sent since; Server.mu is held to add them

	// Guarded by Server.mu.
	listed          map[string]incarnation.Entry // of a registry: including servers that it has not listed yet, as they are stored
	hasList         bool                         // the source has sent its first list; that of discovery was complete
	changed         map[string]bool              // names of servers to compare with the store
	isWakeScheduled bool                         // the writer will be woken to compare received servers
	comparesAll     bool                         // the next comparison includes all servers
}

// newSourcedServers begins the synchronization with the servers that are stored now.
func (s *Server) newSourcedServers() *sourcedServers {
	t := &sourcedServers{
		server:   s,
		wake:     make(chan struct{}, 1),
		reported: zookeeper.NewReports(),
		listed:   map[string]incarnation.Entry{},
		changed:  map[string]bool{},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.Ensemble != nil {
		t.addStored()
	}
	s.sourced = t
	return t
}

// addStored adds the stored servers to listed and known: the endpoint set of the registry removes those that the registry does
// not list. Server.mu is held.
func (t *sourcedServers) addStored() {
	for _, e := range t.server.store.LiveEntries(t.server.config.Service) {
		if e.Key.Kind == distribution.KindServer {
			server := storedServer(e)
			t.listed[server.ID] = server
			t.known = append(t.known, server)
		}
	}
}

// storedServer decodes a stored server. If its value is invalid, only its name is known.
func storedServer(e distribution.Entry) (server incarnation.Entry) {
	if cbor.Unmarshal(e.Value, &server) != nil {
		server = incarnation.Entry{}
	}
	server.ID = e.Key.Name
	return server
}

// update records a complete list, or changes of a list.
func (t *sourcedServers) update(entries []incarnation.Entry, isComplete bool) {
	s := t.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if isComplete {
		clear(t.listed)
		t.comparesAll = true
	}
	t.hasList = t.hasList || isComplete || s.config.Ensemble != nil
	for _, e := range entries {
		t.listed[e.ID] = e
		t.changed[e.ID] = true
	}
	t.signal()
}

func (t *sourcedServers) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// entriesReceived compares the servers among entries that other processes have sent with the source. Another process may have been away while
// the list changed, and may still have a server in use that has left or is draining; such a server is taken out of use again. Other
// differences, such as a drain or a deletion by an operator, stay in effect until the source changes the server. Before the first list of a
// registry, received servers replace those that were stored. The comparison is delayed, which limits how often two processes that both follow
// a source overwrite each other's changes. Server.mu is held.
func (t *sourcedServers) entriesReceived(entries []distribution.Entry) {
	var reported []incarnation.Entry
	for _, e := range entries {
		if e.Key.Service != t.server.config.Service || e.Key.Kind != distribution.KindServer || e.Deleted {
			continue
		}
		received := storedServer(e)
		listed, isListed := t.listed[received.ID]
		isInUse := received.Condition == incarnation.Up
		switch {
		case t.server.config.Ensemble != nil && (!isListed || !t.hasList):
			t.listed[received.ID] = received
			reported = append(reported, received)
		case t.hasList && (!isListed || isInUse && listed.Condition != incarnation.Up):
			t.changed[received.ID] = true
		}
	}
	t.reported.Add(reported)
	if len(t.changed) > 0 && !t.isWakeScheduled {
		t.isWakeScheduled = true
		time.AfterFunc(sourceRetry, t.wakeScheduled)
	}
}

func (t *sourcedServers) wakeScheduled() {
	t.server.mu.Lock()
	defer t.server.mu.Unlock()
	t.isWakeScheduled = false
	t.signal()
}

// runWriter writes changed servers to the store until the context ends, and retries rejected writes after sourceRetry.
func (t *sourcedServers) runWriter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		for ctx.Err() == nil {
			changes := t.nextChanges()
			if len(changes) == 0 {
				break
			}
			if _, err := t.server.change(changes); err != nil {
				t.server.log.Warn().Err(err).Int("changes", len(changes)).Msg("servers not written")
				if !sleep(ctx, sourceRetry) {
					return
				}
			}
		}
	}
}

// nextChanges returns the next changes that make the store match the source. A server that differs is compared again after
// its change was written.
func (t *sourcedServers) nextChanges() []distribution.Change {
	s := t.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.comparesAll {
		t.compareAll()
	}
	var changes []distribution.Change
	for name := range t.changed {
		if len(changes) >= maxSourceChanges {
			break
		}
		if c, differs := t.changeOf(name); differs {
			changes = append(changes, c)
		} else {
			delete(t.changed, name)
		}
	}
	return changes
}

// compareAll marks all listed servers and all servers in the store as changed, after a complete list of discovery.
func (t *sourcedServers) compareAll() {
	s := t.server
	t.comparesAll = false
	clear(t.changed)
	for name := range t.listed {
		t.changed[name] = true
	}
	for _, e := range s.store.LiveEntries(s.config.Service) {
		if e.Key.Kind == distribution.KindServer {
			t.changed[e.Key.Name] = true
		}
	}
}

// changeOf returns the change that makes a server's entry match the source, and whether one is needed.
func (t *sourcedServers) changeOf(name string) (c distribution.Change, differs bool) {
	c.Key = distribution.Key{Service: t.server.config.Service, Kind: distribution.KindServer, Name: name}
	stored, isStored := t.server.store.Entry(c.Key)
	isStored = isStored && !stored.Deleted
	listed, isListed := t.listed[name]
	if !isListed || listed.Condition == incarnation.Gone {
		c.Deleted = true
		return c, isStored
	}
	var before incarnation.Entry
	if isStored && cbor.Unmarshal(stored.Value, &before) == nil {
		listed = nextGeneration(before, listed)
		before.Revision = listed.Revision // a different revision alone is not written
		if before == listed {
			return c, false
		}
	} else if stored.Deleted { // a deleted server returns: its generation must exceed all earlier ones
		listed.Generation = max(listed.Generation, uint32(distribution.ClockTime(stored.Clock).Unix()))
	}
	value, err := cbor.Marshal(listed)
	if err != nil {
		t.server.log.Error().Err(err).Str("server", name).Msg("server not encoded")
		return c, false
	}
	c.Value = value
	return c, true
}

// nextGeneration returns the listed state of a server with a start and generation that order it after the state written before.
// Within one start a server returns to an earlier condition, as when a drain is canceled, only with a new generation.
func nextGeneration(before, listed incarnation.Entry) incarnation.Entry {
	if listed.StartedUnixMS > before.StartedUnixMS {
		return listed
	}
	listed.StartedUnixMS, listed.Generation = before.StartedUnixMS, before.Generation
	if listed.Condition < before.Condition {
		listed.Generation++
	}
	return listed
}
