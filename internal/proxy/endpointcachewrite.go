package proxy

import (
	"context"
	"time"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/snapshot"
)

// renewInterval is how often a list without changes is written again: the next start trusts it by its age.
const renewInterval = 30 * time.Second

// writePeriodically writes the list whenever it has changed, and each renewInterval, until the node ends. A disk that fails costs the list
// only.
func (c *endpointCache) writePeriodically(ctx context.Context) error {
	tick := time.NewTicker(c.cfg.WriteInterval.Std())
	defer tick.Stop()
	writtenVersion, writtenAt, isFailing := -1, time.Time{}, false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		snap, version := c.snapshot(false)
		if snap == nil || version == writtenVersion && time.Since(writtenAt) < renewInterval {
			continue
		}
		err := c.write(snap)
		if err == nil {
			writtenVersion, writtenAt = version, time.Now()
		}
		if wasFailing := isFailing; (err != nil) != wasFailing {
			if isFailing = err != nil; isFailing {
				c.logger.Error().Err(err).Msg("endpoint list not written")
			} else {
				c.logger.Info().Msg("endpoint list written again")
			}
		}
	}
}

func (c *endpointCache) write(snap *snapshot.Snapshot) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.store.Write(snap)
}

// writeFinal writes the list as that of a clean shutdown.
func (c *endpointCache) writeFinal() {
	if snap, _ := c.snapshot(true); snap != nil {
		if err := c.write(snap); err != nil {
			c.logger.Error().Err(err).Msg("endpoint list not written")
		}
	}
}

// snapshot is the list as it stands, and its version: a number that changes with it. The list is nil while it is suspect, for writing it
// would make it look confirmed, and while no source has announced one.
func (c *endpointCache) snapshot(isCleanShutdown bool) (s *snapshot.Snapshot, version int) {
	c.mu.Lock()
	isSuspect, revision := c.evaluator != nil, c.lastRevision
	c.mu.Unlock()
	records, source, announcedAt, version := c.dispatcher.Endpoints()
	if isSuspect || len(records) == 0 || source == endpoints.SourceConfig {
		return nil, version
	}
	now, clock := time.Now(), c.dispatcher.Now()
	unixMS := func(at time.Duration) int64 { return now.Add(at - clock).UnixMilli() }
	s = &snapshot.Snapshot{Node: c.nodeName, Deployment: c.cfg.Deployment, WrittenUnixMS: now.UnixMilli(), ConfirmedUnixMS: unixMS(announcedAt),
		IsCleanShutdown: isCleanShutdown, Revision: revision}
	for _, r := range records {
		s.Servers = append(s.Servers, snapshotServer(r, unixMS))
	}
	return s, version
}

// snapshotServer is a server as it is written. One that is up and not usable was removed by a complete list, or replaced by another at its
// address.
func snapshotServer(r endpoints.Record, unixMS func(time.Duration) int64) snapshot.Server {
	server := snapshot.Server{ID: r.ID, StartedUnixMS: r.StartedUnixMS, Condition: uint8(r.Condition), Zone: r.Zone, MachineKind: r.MachineKind, Cell: r.Cell,
		Weight: r.Weight, Source: uint8(r.Source), AnnouncedUnixMS: unixMS(r.AnnouncedAt)}
	if !r.IsUsable && r.Condition == incarnation.Up {
		server.Condition = uint8(incarnation.Gone)
	}
	if r.Address.IsValid() {
		server.Address = r.Address.String()
	}
	if r.HasExecuted {
		server.ExecutedUnixMS = unixMS(r.ExecutedAt)
	}
	return server
}

// encode is the list for peers, nil while it is suspect.
func (c *endpointCache) encode() []byte {
	snap, _ := c.snapshot(false)
	if snap == nil {
		return nil
	}
	text, err := snapshot.Encode(snap)
	if err != nil {
		return nil
	}
	return text
}
