package proxy

import (
	"context"
	"time"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/snapshot"
)

// renewInterval is how often an unchanged list is written again: its trust at the next start depends on its age.
const renewInterval = 30 * time.Second

// writePeriodically writes the list when it has changed, at most once per WriteInterval, and every renewInterval if it has not, until the
// node stops. If the disk fails, only the stored list is out of date; the node continues to serve.
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

// writeFinal writes the list at the end of a graceful shutdown, and marks it as that of a clean shutdown.
func (c *endpointCache) writeFinal() {
	if snap, _ := c.snapshot(true); snap != nil {
		if err := c.write(snap); err != nil {
			c.logger.Error().Err(err).Msg("endpoint list not written")
		}
	}
}

// snapshot returns the current list and its version, a number that changes with the list. The list is nil while it is suspect, because
// writing it would make it look confirmed, and while no source has announced one.
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

// snapshotServer converts a server to its stored form. A server that is up but not usable is stored as gone: a complete list has removed it,
// or another server has replaced it at its address.
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

// encode returns the encoded list for peers, nil while the list is suspect.
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
