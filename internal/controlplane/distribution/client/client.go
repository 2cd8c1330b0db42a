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
	diskWriteInterval = 500 * time.Millisecond // what a crash loses is received again
	closeTimeout      = 2 * time.Second        // for what waits to be written at the end
)

// Applier puts entries into effect. Each method returns the entries that cannot be used; the last good value of such a key
// stays in effect. Calls come one at a time, from Run's goroutine.
type Applier interface {
	// ApplyServers takes the servers that changed, deletions included, or all that are held if isComplete.
	ApplyServers(servers []distribution.Entry, isComplete bool) []distribution.Rejection
	// ApplyRoutes takes all routes and pools that are held, the oldest version first.
	ApplyRoutes(all []distribution.Entry) []distribution.Rejection
	// ApplyTenants takes all tenants that are held.
	ApplyTenants(all []distribution.Entry) []distribution.Rejection
}

// Client is a node's end.
type Client struct {
	config    *Config
	applier   Applier
	log       zerolog.Logger
	disk      *disk.Disk
	startedAt time.Time
	canServe  chan struct{} // closed when the node may serve
	events    chan event
	running   sync.WaitGroup // goroutines of connections

	mu         sync.Mutex // never held over a socket, the disk or the applier
	store      *distribution.Store
	subscriber *distribution.Subscriber
	upstream   string // address of the control process that is connected; "" for none
	rejections rejections
	syncMark   syncMark

	// Of Run's goroutine alone.
	link      *link // the current connection or attempt; nil for none
	lastLink  int   // number of the last link
	isServing bool  // canServe is closed
	lastState distribution.State
	pending   pendingChanges
	markState markState
}

// New opens what the node has on disk. The applier is not called before Run.
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
		OnQuarantine: func(path string, why error) {
			log.Error().Err(why).Str("set_aside", path).Msg("distribution: damaged disk file renamed, entries are received again")
		},
		Snapshot: c.snapshot,
	})
	if err != nil {
		return nil, err
	}
	c.disk = opened
	c.restore(loaded)
	startTimeout := config.StartTimeout.Std()
	if startTimeout == 0 { // the file says not to wait; for the subscriber 0 is its default
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

// now is the time since the client's start.
func (c *Client) now() time.Duration { return time.Since(c.startedAt) }

func (c *Client) diskFault(err error) {
	if err != nil {
		c.log.Error().Err(err).Msg("distribution: entries not saved to disk")
	} else {
		c.log.Info().Msg("distribution: entries saved to disk again")
	}
}

// snapshot returns everything that the disk should hold.
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

// Started is closed when the node may serve: it is current, or has waited for its start timeout.
func (c *Client) Started() <-chan struct{} { return c.canServe }

// Run follows control processes until the context ends, and then closes the disk.
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

// Close closes the disk. Run does so itself; only the owner of a client that was never run calls it.
func (c *Client) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := c.disk.Close(ctx); err != nil {
		c.log.Error().Err(err).Msg("distribution: not everything saved at close")
		return
	}
	c.saveFinalMark()
}

// tick does what time has made due, and returns how long to wait until the next tick.
func (c *Client) tick(ctx context.Context) time.Duration {
	now := c.now()
	c.mu.Lock()
	do, next := c.subscriber.Tick(now)
	state, canServe := c.subscriber.State(), c.subscriber.CanServe()
	c.mu.Unlock()
	c.act(ctx, do)
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

// act does what the subscriber has decided about connections.
func (c *Client) act(ctx context.Context, do distribution.Action) {
	switch {
	case do.IsFailback:
		c.log.Info().Str("control", c.config.Control[do.Upstream]).Msg("distribution: failing back to preferred control process")
		c.disconnect()
	case do.ShouldDisconnect:
		c.endLink(errNoAnswer, false)
	}
	if do.ShouldProbe {
		c.startProbe(ctx, do.ProbeUpstream)
	}
	if do.ShouldDial {
		c.startLink(ctx, do.Upstream)
	}
}

var errNoAnswer = errors.New("no answer")

// startServing lets the node serve.
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
