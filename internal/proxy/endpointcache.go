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

const evaluationInterval = 50 * time.Millisecond // between two looks at what time changes in a suspect list

// endpointCache keeps the node's endpoint list on disk for its next start, and decides after a start which servers of the last one may be
// used until a source confirms them. The list is suspect until then: it is not written, nor sent to peers.
type endpointCache struct {
	cfg        *snapshot.Config
	nodeName   string
	dispatcher *dispatch.Dispatcher
	logger     zerolog.Logger
	store      *snapshot.Store
	startedAt  time.Time
	peers      *peer.Node // that may have a list where this node has none; nil: none

	writeMu sync.Mutex // one generation at a time; held over the disk

	mu              sync.Mutex           // never held over the disk or a socket; may be held while the dispatcher's lock is taken
	evaluator       *staleness.Evaluator // of the suspect list; nil: there is none, or it is confirmed
	endpoints       map[string]endpoints.Endpoint
	incompleteSince time.Time // since when a list that lacks proven servers is not applied; zero: there was none
	lastRevision    uint64    // of the lists that sources have announced
}

// newEndpointCache opens the folder of the lists. Nothing is read yet.
func newEndpointCache(cfg Config, d *dispatch.Dispatcher, log zerolog.Logger) (*endpointCache, error) {
	filesystem := cfg.Filesystem
	if filesystem == nil {
		filesystem = wal.OSFileSystem{}
	}
	store, err := snapshot.Open(cfg.Snapshot.Dir, cfg.Snapshot.MaxGenerations, filesystem)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", cfg.Snapshot.Dir, err)
	}
	return &endpointCache{cfg: cfg.Snapshot, nodeName: cfg.Name, dispatcher: d, logger: log, store: store, startedAt: time.Now()}, nil
}

// evaluate applies what attempts show about the servers of a suspect list. It returns when the list is confirmed, or the node ends.
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

// observe applies what one attempt shows.
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

// tick applies what time changes. It is false where the list is not suspect any more.
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

// applyUsableServers hands to the dispatcher the servers of the suspect list that may be used now, where they have changed. The caller holds mu, or is load
// before the cache is evaluated.
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
