package client

import (
	"context"
	"errors"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/disk"
)

const (
	entriesFile       = "entries.db"
	diskWriteInterval = 500 * time.Millisecond // entries lost in a crash are received again
	closeTimeout      = 2 * time.Second        // for the final writes
)

// Applier puts entries into effect. Each method returns the entries that it rejects; the last valid value of a rejected key stays
// in effect. Run's goroutine makes all calls sequentially.
type Applier interface {
	// ApplyServers applies changed servers including deletions, or replaces all servers if isComplete.
	ApplyServers(servers []distribution.Entry, isComplete bool) []distribution.Rejection
	// ApplyRoutes replaces all routes and pools. They are ordered from the oldest version to the newest.
	ApplyRoutes(all []distribution.Entry) []distribution.Rejection
	// ApplyTenants replaces all tenants.
	ApplyTenants(all []distribution.Entry) []distribution.Rejection
}

// Client is a node's client of the distribution.
type Client struct {
	config    *Config
	applier   Applier
	log       zerolog.Logger
	disk      *disk.Disk
	startedAt time.Time
	canServe  chan struct{} // closed when the node may serve
	events    chan event
	running   sync.WaitGroup // goroutines of connections and probes

	mu         sync.Mutex // not held during network or disk I/O or calls of the applier
	store      *distribution.Store
	subscriber *distribution.Subscriber
	upstream   string // address of the connected control process; "" for none
	rejections rejections
	syncMark   syncMark

	// Owned by Run's goroutine.
	link      *link // current connection or connection attempt; nil for none
	lastLink  int   // number of the last link
	isServing bool  // whether canServe is closed
	lastState distribution.State
	pending   pendingChanges
	markState markState
}

// New opens the node's file of entries and restores the store from it. The applier is not called before Run.
func New(config *Config, applier Applier, log zerolog.Logger) (*Client, error) {
	c := &Client{
		config:     config,
		applier:    applier,
		log:        log,
		startedAt:  time.Now(),
		canServe:   make(chan struct{}),
		events:     make(chan event),
		store:      distribution.NewStore("", config.StoreLimits),
		rejections: rejections{},
	}
	opened, loaded, err := disk.Open(filepath.Join(config.Directory, entriesFile), disk.Options{
		WriteInterval: diskWriteInterval,
		OnFault:       c.diskFault,
		OnQuarantine: func(path string, cause error) {
			log.Error().Err(cause).Str("set_aside", path).Msg("distribution: damaged disk file renamed, entries are received again")
		},
		Snapshot: c.snapshot,
	})
	if err != nil {
		return nil, err
	}
	c.disk = opened
	c.restore(loaded)
	startTimeout := config.StartTimeout.Std()
	if startTimeout == 0 { // the file disables the wait, but the subscriber treats 0 as its default
		startTimeout = time.Nanosecond
	}
	c.subscriber = distribution.NewSubscriber(c.now(), distribution.SubscriberOptions{
		UpstreamCount: len(config.Addresses),
		StartTimeout:  startTimeout,
		JitterSeed:    config.Name,
		FailbackDelay: config.FailbackDelay.Std(),
	})
	return c, nil
}

// now returns the time since the client's start.
func (c *Client) now() time.Duration { return time.Since(c.startedAt) }

func (c *Client) diskFault(err error) {
	if err != nil {
		c.log.Error().Err(err).Msg("distribution: entries not saved to disk")
	} else {
		c.log.Info().Msg("distribution: entries saved to disk again")
	}
}

// snapshot returns the content of the store for a new file on disk.
func (c *Client) snapshot() ([]distribution.Entry, distribution.Vector) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []distribution.Entry
	for _, k := range c.store.KeysSince(nil, c.config.scope(), false) {
		e, _ := c.store.Entry(k)
		all = append(all, e)
	}
	return all, c.store.Vector().Clone()
}

// Started returns a channel that is closed when the node may serve, which is when it is current or its start timeout has expired.
func (c *Client) Started() <-chan struct{} { return c.canServe }

// Run follows control processes until the context is done, and then closes the disk.
func (c *Client) Run(ctx context.Context) error {
	defer c.Close()
	c.applyRestored()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.disconnect()
			c.running.Wait()
			return nil
		case <-timer.C:
		case e := <-c.events:
			c.handle(e)
		}
		timer.Reset(c.tick(ctx))
	}
}

// Close closes the disk. Run calls it on return; other callers need it only for a client that was never run.
func (c *Client) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := c.disk.Close(ctx); err != nil {
		c.log.Error().Err(err).Msg("distribution: unsaved entries at close")
		return
	}
	c.saveFinalMark()
}

// tick executes everything that is due, and returns the time until the next tick.
func (c *Client) tick(ctx context.Context) time.Duration {
	now := c.now()
	c.mu.Lock()
	action, next := c.subscriber.Tick(now)
	state, canServe := c.subscriber.State(), c.subscriber.CanServe()
	c.mu.Unlock()
	c.execute(ctx, action)
	wait := next - now
	for _, due := range []time.Duration{c.applyDue(now), c.sendUpload(now), c.pingIfSilent(now)} {
		if due > 0 {
			wait = min(wait, due)
		}
	}
	if canServe {
		c.startServing()
	}
	c.logState(state)
	c.refreshMark()
	return max(wait, time.Millisecond)
}

// execute carries out the subscriber's decision about connections.
func (c *Client) execute(ctx context.Context, action distribution.Action) {
	switch {
	case action.IsFailback:
		c.log.Info().Str("control", c.config.Control[action.Upstream]).Msg("distribution: failing back to preferred control process")
		c.disconnect()
	case action.ShouldDisconnect:
		c.endLink(errNoResponse, false)
	}
	if action.ShouldProbe {
		c.startProbe(ctx, action.ProbeUpstream)
	}
	if action.ShouldDial {
		c.startLink(ctx, action.Upstream)
	}
}

var errNoResponse = errors.New("no response")

// startServing allows the node to serve.
func (c *Client) startServing() {
	if c.isServing {
		return
	}
	c.isServing = true
	s := c.Status()
	line := c.log.Info()
	if s.State != distribution.StateCurrent {
		line = c.log.Warn()
	}
	line.Stringer("state", s.State).Uint64("revision", s.Revision).Str("behind", s.describeStaleness()).Msg("distribution: serving starts")
	close(c.canServe)
}

func (c *Client) logState(state distribution.State) {
	if state == c.lastState {
		return
	}
	c.lastState = state
	c.log.Info().Stringer("state", state).Msg("distribution: state changed")
}
