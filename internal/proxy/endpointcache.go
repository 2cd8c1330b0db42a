package proxy

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/cluster/peer"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/discovery/staleness"
	"fernvane/internal/journal/wal"
	"fernvane/internal/proxy/dispatch"
)

const evaluationInterval = 50 * time.Millisecond // between two evaluations of a suspect list as time passes

// endpointCache stores the node's endpoint list on disk for the next start. After a start it decides which servers of the stored list may be
// used until a source confirms the list. Until then the list is suspect: it is neither written to disk nor sent to peers.
type endpointCache struct {
	cfg        *snapshot.Config
	nodeName   string
	dispatcher *dispatch.Dispatcher
	logger     zerolog.Logger
	store      *snapshot.Store
	startedAt  time.Time
	peers      *peer.Node // request a list from them if the disk has none; nil: no peers

	writeMu sync.Mutex // serializes writes; held during disk I/O

	mu              sync.Mutex                    // not held during disk or socket I/O; may be held while the dispatcher's lock is acquired
	evaluator       *staleness.Evaluator          // of the suspect list; nil: no cached list is used, or it is confirmed
	endpoints       map[string]endpoints.Endpoint // of the suspect list, by ID
	incompleteSince time.Time                     // when a list that lacks proven servers was first not applied; zero: never
	lastRevision    uint64                        // latest revision of the loaded list and of those that sources have announced
}

// newEndpointCache opens the directory of the stored lists. It reads no list yet.
func newEndpointCache(cfg Config, d *dispatch.Dispatcher, log zerolog.Logger) (*endpointCache, error) {
	filesystem := cfg.Filesystem
	if filesystem == nil {
		filesystem = wal.OSFileSystem{}
	}
	store, err := snapshot.Open(cfg.Snapshot.Dir, cfg.Snapshot.MaxGenerations, filesystem)
	if err != nil {
		return nil, fmt.Errorf("open endpoint cache %s: %w", cfg.Snapshot.Dir, err)
	}
	return &endpointCache{cfg: cfg.Snapshot, nodeName: cfg.Name, dispatcher: d, logger: log, store: store, startedAt: time.Now()}, nil
}

// evaluate updates the usable servers of a suspect list after each observation of an attempt, and as time passes. It returns when the list
// is confirmed or ctx has ended.
func (c *endpointCache) evaluate(ctx context.Context) error {
	observations := c.dispatcher.Observations()
	tick := time.NewTicker(evaluationInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-observations:
			c.observe(o)
		case <-tick.C:
			if !c.tick() {
				return nil
			}
		}
	}
}

// observe applies the observation of one attempt.
func (c *endpointCache) observe(o endpoints.Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.dispatcher.Now()
	switch {
	case c.evaluator == nil:
		return
	case o.IsOtherServer:
		c.evaluator.WrongServer(now, o.Server)
	case o.HasExecuted:
		c.evaluator.RequestExecuted(now, o.Server)
	case o.HasResponded:
		c.evaluator.ResponseWithoutProof(now, o.Server)
	default:
		c.evaluator.ConnectFailed(now, o.Server)
	}
	c.applyUsableServers()
}

// tick updates the usable servers as time passes. It returns false if the list is no longer suspect.
func (c *endpointCache) tick() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evaluator == nil {
		return false
	}
	c.evaluator.Tick(c.dispatcher.Now())
	c.applyUsableServers()
	return true
}

// applyUsableServers passes the currently usable servers of the suspect list to the dispatcher if they have changed. The caller holds mu.
func (c *endpointCache) applyUsableServers() {
	usable, hasChanged := c.evaluator.Usable()
	if !hasChanged {
		return
	}
	list, isProven := make([]endpoints.Endpoint, 0, len(usable)), map[string]bool{}
	for _, u := range usable {
		list = append(list, c.endpoints[u.ID])
		isProven[u.ID] = u.IsProven
	}
	c.dispatcher.ApplyCachedList(list, isProven)
}
