package client

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/disk"
	"fernvane/internal/controlplane/distribution/wire"
)

const (
	diskFile    = "entries.db"
	flushEvery  = 200 * time.Millisecond // at least, between two rebuilds of routes or tenants: one costs up to 80 ms
	diskEvery   = 500 * time.Millisecond // between two transactions: what a crash loses is told again
	closeWithin = 2 * time.Second        // for what waits to be written at the end
	markEvery   = 10 * time.Second       // between two notes of when the node was current
)

// Applier puts entries in force. Each call returns those of the entries in force or to be so that cannot be used; the
// last good value of such a key stays. Calls come one at a time.
type Applier interface {
	// Servers takes servers that changed, deletions too, or all that are held.
	ApplyServers(changed []distribution.Entry, whole bool) []distribution.Rejection
	// Routes takes all routes and pools that are held, the oldest version first.
	ApplyRoutes(all []distribution.Entry) []distribution.Rejection
	// Tenants takes all tenants that are held.
	ApplyTenants(all []distribution.Entry) []distribution.Rejection
}

// Status of a node as it knows it itself.
type Status struct {
	State            distribution.State
	Revision         uint64 // total of the vector
	NewestChange     time.Time
	Upstream         string        // the control process followed; "" for none
	Staleness        time.Duration // since it was last current
	IsStalenessKnown bool          // whether it ever was
	Rejected         []distribution.Rejection
}

// Client is a node's end.
type Client struct {
	config   *Config
	listener Applier
	log      zerolog.Logger
	disk     *disk.Disk
	begun    time.Time
	started  chan struct{} // closed when the node may serve
	events   chan event
	running  sync.WaitGroup // connections

	mu         sync.Mutex // never held over a socket, the disk or the listener
	store      *distribution.Store
	subscriber *distribution.Subscriber
	mark       mark          // on disk
	upstream   string        // that is followed
	rejections rejectedTable // by key

	// What follows is of Run's goroutine alone.
	link      *link // the connection or the attempt in hand; nil for none
	lastLink  int
	serving   bool // started is closed
	pending   pending
	lastState distribution.State
	marked    time.Time // when the mark was looked at last
	wroteMark mark
	onDisk    []string // services that were found to be on disk at that look
}

// New opens what the node holds. The name is its own.
func New(config *Config, listener Applier, log zerolog.Logger) (*Client, error) {
	c := &Client{config: config, listener: listener, log: log, begun: time.Now(), started: make(chan struct{}), events: make(chan event),
		store: distribution.NewStore("", distribution.Limits{}), rejections: rejectedTable{}}
	opened, loaded, err := disk.Open(filepath.Join(config.Directory, diskFile), disk.Options{WriteInterval: diskEvery,
		OnFault: func(err error) {
			if err != nil {
				log.Error().Err(err).Msg("distribution: entries not kept on disk")
			} else {
				log.Info().Msg("distribution: entries kept on disk again")
			}
		},
		OnQuarantine: func(path string, why error) {
			log.Error().Err(why).Str("set_aside", path).Msg("distribution: the disk's file is damaged: entries are told anew")
		},
		Snapshot: c.whole})
	if err != nil {
		return nil, err
	}
	c.disk = opened
	c.restore(loaded)
	within := config.StartTimeout.Std()
	if within == 0 {
		within = time.Nanosecond
	}
	c.subscriber = distribution.NewSubscriber(c.now(), distribution.SubscriberOptions{UpstreamCount: len(config.Addresses), StartTimeout: within, JitterSeed: config.Name,
		FailbackDelay: config.FailbackDelay.Std()})
	return c, nil
}

func (c *Client) now() time.Duration { return time.Since(c.begun) }

// whole is all that the disk should hold.
func (c *Client) whole() ([]distribution.Entry, distribution.Vector) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []distribution.Entry
	for _, k := range c.store.KeysSince(nil, c.config.scope(), false) {
		e, _ := c.store.Entry(k)
		all = append(all, e)
	}
	return all, c.store.Vector().Clone()
}

// Started is closed when the node may serve: it is current, or has waited for long enough.
func (c *Client) Started() <-chan struct{} { return c.started }

// Run follows control processes until the context ends, and then closes the disk.
func (c *Client) Run(ctx context.Context) error {
	defer c.close()
	c.putHeld()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.drop()
			c.running.Wait()
			return nil
		case <-timer.C:
		case e := <-c.events:
			c.handle(e)
		}
		wait := c.look(ctx)
		timer.Reset(wait)
	}
}

// close ends the disk with what the node was told last.
func (c *Client) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeWithin)
	defer cancel()
	if err := c.disk.Close(ctx); err != nil {
		c.log.Error().Err(err).Msg("distribution: not all is on the disk")
		return
	}
	c.closeMark()
}

// Close ends a client that was never run.
func (c *Client) Close() { c.close() }

// look does what time has made due, and says when to look again.
func (c *Client) look(ctx context.Context) time.Duration {
	now := c.now()
	c.mu.Lock()
	do, again := c.subscriber.Tick(now)
	state, serves := c.subscriber.State(), c.subscriber.CanServe()
	c.mu.Unlock()
	switch {
	case do.IsFailback:
		c.log.Info().Str("control", c.config.Control[do.Upstream]).Msg("distribution: a preferred control process answers again")
		c.drop()
	case do.ShouldDisconnect:
		c.lost(errors.New("it does not answer"), false)
	}
	if do.ShouldProbe {
		c.probe(ctx, do.ProbeUpstream)
	}
	if do.ShouldDial {
		c.dial(ctx, do.Upstream)
	}
	wait := again - now
	if due := c.flush(now); due > 0 {
		wait = min(wait, due)
	}
	if due := c.offer(now); due > 0 {
		wait = min(wait, due)
	}
	if due := c.ping(now); due > 0 {
		wait = min(wait, due)
	}
	if serves {
		c.start()
	}
	c.tellState(state)
	c.lookAtMark()
	return max(wait, time.Millisecond)
}

// start lets the node serve.
func (c *Client) start() {
	if c.serving {
		return
	}
	c.serving = true
	s := c.Status()
	line := c.log.Info()
	if s.State != distribution.StateCurrent {
		line = c.log.Warn()
	}
	line.Stringer("state", s.State).Uint64("revision", s.Revision).Str("behind", c.behind(s)).Msg("distribution: serving starts")
	close(c.started)
}

// behind is by how much the node is behind, as far as that is known.
func (c *Client) behind(s Status) string {
	switch {
	case s.State == distribution.StateCurrent:
		return "nothing"
	case s.IsStalenessKnown:
		return s.Staleness.Round(time.Second / 10).String()
	case s.Revision == 0:
		return "unknown: nothing is held"
	}
	return "unknown"
}

func (c *Client) tellState(state distribution.State) {
	if state == c.lastState {
		return
	}
	c.lastState = state
	c.log.Info().Stringer("state", state).Msg("distribution: state")
}

// Status is how the node stands.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{State: c.subscriber.State(), Revision: c.store.Vector().Total(), NewestChange: distribution.ClockTime(c.store.Clock()),
		Upstream: c.upstream, Rejected: c.rejections.all()}
	if age, known := c.subscriber.Staleness(c.now()); known {
		s.Staleness, s.IsStalenessKnown = age, true
	} else if !c.mark.Current.IsZero() {
		s.Staleness, s.IsStalenessKnown = max(time.Since(c.mark.Current), 0), true
	}
	return s
}

// handle takes in what happened on the connection in hand; what is of an earlier one is over.
func (c *Client) handle(e event) {
	if e.probed {
		c.mu.Lock()
		c.subscriber.ProbeEnded(c.now(), e.upstream, e.err == nil)
		c.mu.Unlock()
		return
	}
	if c.link == nil || e.link != c.link.number {
		return
	}
	switch {
	case e.err != nil:
		c.lost(e.err, true)
	case e.connected:
		c.connected()
	default:
		c.received(e.message, e.at)
	}
}

// lost ends the connection or the attempt in hand.
func (c *Client) lost(why error, tell bool) {
	if c.link == nil {
		return
	}
	c.log.Warn().Err(why).Str("control", c.config.Control[c.link.upstream]).Msg("distribution: control process lost")
	c.drop()
	if !tell {
		return
	}
	c.mu.Lock()
	c.subscriber.UpstreamLost(c.now())
	c.mu.Unlock()
}

// drop closes the connection in hand.
func (c *Client) drop() {
	if c.link == nil {
		return
	}
	if !c.link.refused { // or it ends when the other side has been told
		c.link.cancel()
	}
	c.link = nil
	c.pending.batch = 0
	c.mu.Lock()
	c.upstream = ""
	c.mu.Unlock()
}

// connected subscribes, as a control process has answered.
func (c *Client) connected() {
	c.mu.Lock()
	c.subscriber.UpstreamConnected(c.now())
	c.upstream = c.config.Control[c.link.upstream]
	asked := distribution.Subscription{Name: c.config.Name, Role: distribution.RoleNode, Region: c.config.Region, Zone: c.config.Zone,
		Services: c.config.scope(), Vector: c.store.Vector().Clone(), UnsyncedServices: c.store.UnsyncedServices()}
	c.link.receiver = distribution.NewReceiver(c.store)
	c.link.told = asked.Vector.Clone()
	c.mu.Unlock()
	c.log.Info().Str("control", c.upstream).Msg("distribution: control process met")
	c.link.send(&wire.Subscribe{Subscription: asked})
}

// received takes in a message.
func (c *Client) received(m wire.Message, at time.Time) {
	c.link.heard = c.now()
	c.link.pinged = false
	switch m := m.(type) {
	case *wire.Batch:
		c.batch(m.Batch, at)
	case *wire.Digests:
		c.digests(m.Digests)
	case *wire.Pull:
		c.wanted(m)
	case *wire.Acknowledge:
		c.link.acknowledged(c, m.Acknowledgement)
	default:
		c.refuse(fmt.Errorf("a %T from a control process", m))
	}
}

// refuse ends a connection whose other side does not keep to the protocol.
func (c *Client) refuse(why error) {
	c.link.refuse(why)
	c.link.refused = true
	c.lost(why, true)
}

// byVersion orders entries by their versions, the oldest first.
func byVersion(entries []distribution.Entry) []distribution.Entry {
	slices.SortFunc(entries, distribution.Compare)
	return entries
}
