package proxy

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/discovery/staleness"
	"fernvane/internal/protocol/http1"
)

const fetchTimeout = 500 * time.Millisecond // for peers to send their lists

// load loads the newest list on disk, or that of a peer if the disk has none. It returns that list as suspect, and passes its usable servers
// to the dispatcher. If the loaded list is not usable or not newer, load returns the list of the configuration, which is not suspect because
// its age is unknown.
func (c *endpointCache) load(configured http1.EndpointList) (l http1.EndpointList, isSuspect bool) {
	snap, faults, err := c.store.Newest()
	isFromDisk := snap != nil
	if !isFromDisk && c.peers != nil {
		snap = c.fetchFromPeers()
	}
	for _, f := range append(faults, err) {
		if f != nil {
			c.logger.Warn().Err(f).Msg("cached endpoint list unreadable")
		}
	}
	if snap == nil {
		return configured, false
	}
	age := time.Since(time.UnixMilli(snap.ConfirmedUnixMS))
	if err := c.checkUsable(snap, isFromDisk, age, configured); err != nil {
		c.logger.Warn().Err(err).Msg("cached endpoint list not used")
		return configured, false
	}
	c.mu.Lock() // peers may already request the list
	defer c.mu.Unlock()
	c.lastRevision = snap.Revision
	l, servers := c.restore(snap)
	c.evaluator = staleness.New(staleness.CachedList{Age: age, IsCleanShutdown: snap.IsCleanShutdown && isFromDisk}, c.nodeName, servers)
	c.logger.Info().Str("of", snap.Node).Float64("age_s", age.Round(time.Second/10).Seconds()).Bool("clean", snap.IsCleanShutdown).
		Int("grade", c.evaluator.Level()).Int("servers", len(servers)).Msg("cached endpoint list used")
	c.applyUsableServers()
	return l, true
}

// checkUsable returns an error if a list must not be used. isFromDisk reports that the list comes from the node's own disk.
func (c *endpointCache) checkUsable(snap *snapshot.Snapshot, isFromDisk bool, age time.Duration, configured http1.EndpointList) error {
	switch {
	case snap.Deployment != c.cfg.Deployment:
		return fmt.Errorf("list of deployment %.60q, expected %q", snap.Deployment, c.cfg.Deployment)
	case isFromDisk && snap.Node != c.nodeName:
		return fmt.Errorf("list of node %.60q, expected %q", snap.Node, c.nodeName)
	case age > c.cfg.MaxAge.Std():
		return fmt.Errorf("maximum age exceeded: list was confirmed %s ago", age.Round(time.Minute))
	case len(configured.Endpoints) > 0 && configured.Revision >= snap.Revision:
		return errors.New("list in the configuration is as new or newer")
	}
	return nil
}

// restore sets c.endpoints from a loaded list, and returns the list in the form of discovery and in that of the evaluator. It leaves out
// invalid servers and reports them in Skipped. The caller holds mu.
func (c *endpointCache) restore(snap *snapshot.Snapshot) (l http1.EndpointList, servers []staleness.Server) {
	c.endpoints = map[string]endpoints.Endpoint{}
	l.Revision = snap.Revision
	for _, s := range snap.Servers {
		e := endpoints.Endpoint{ID: s.ID, Zone: s.Zone, MachineKind: s.MachineKind, Cell: s.Cell, Weight: s.Weight, StartedUnixMS: s.StartedUnixMS,
			Condition: incarnation.Condition(s.Condition)}
		var err error
		e.Address, err = netip.ParseAddrPort(s.Address)
		if e.Condition > incarnation.Gone || err != nil && e.Condition == incarnation.Up {
			l.Skipped = append(l.Skipped, fmt.Errorf("cached server %.40q: invalid condition or address", s.ID))
			continue
		}
		c.endpoints[s.ID] = e
		servers = append(servers, staleness.Server{ID: s.ID, IsUp: e.Condition == incarnation.Up, HasExecuted: s.ExecutedUnixMS > 0})
		l.Endpoints = append(l.Endpoints, listedEndpoint(e))
	}
	return l, servers
}

// fetchFromPeers returns the most recently confirmed list of the connected peers, for a node whose own disk has none. The list is treated
// like that of a node that crashed, because changes after it was encoded are unknown.
func (c *endpointCache) fetchFromPeers() (newest *snapshot.Snapshot) {
	for _, text := range c.peers.FetchEndpointLists(fetchTimeout) {
		snap, err := snapshot.Decode(text)
		switch {
		case err != nil:
			c.logger.Warn().Err(err).Msg("endpoint list from peer unreadable")
		case snap.Deployment == c.cfg.Deployment && (newest == nil || snap.ConfirmedUnixMS > newest.ConfirmedUnixMS):
			newest = snap
		}
	}
	return newest
}

var listedCondition = [...]http1.Condition{incarnation.Up: http1.Serving, incarnation.Draining: http1.Draining, incarnation.Gone: http1.Deleted}

// listedEndpoint converts an endpoint to the form of a discovery list.
func listedEndpoint(e endpoints.Endpoint) http1.Endpoint {
	return http1.Endpoint{ID: e.ID, Address: e.Address, Zone: e.Zone, MachineKind: e.MachineKind, Cell: e.Cell, Weight: e.Weight, StartedUnixMS: e.StartedUnixMS,
		Condition: listedCondition[e.Condition]}
}
