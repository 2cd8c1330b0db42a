package proxy

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"fernvane/internal/controlplane/plan"
	"fernvane/internal/controlplane/planconfig"
	"fernvane/internal/controlplane/planfollower"
	"fernvane/internal/controlplane/planwire"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/watch"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
)

const (
	stepInterval          = 250 * time.Millisecond // between two looks at plans
	stepsPerReport        = 2                      // steps: a report each half second
	plannerDialTimeout    = time.Second            // for a connection to a planner, its TLS and its greeting
	plannerSilenceTimeout = 3 * time.Second        // without a frame, after which a planner's connection is ended
	initialRedialBackoff  = 200 * time.Millisecond // doubles, and is spread by half
	maxRedialBackoff      = 3 * time.Second
	maxNewerIncarnations  = 64              // lives in a report of which the planner has told less
	plannerStartTimeout   = 1 * time.Second // a node that knows no server waits so long for planners, then asks discovery
)

// planners is the forwarder's side of the two levels. Nothing of it is asked on the way of an operation.
type plannerClient struct {
	cfg           *planconfig.Forwarder
	nodeName      string
	dispatcher    *dispatch.Dispatcher
	endpointCache *endpointCache // nil: no list is kept on disk
	logger        zerolog.Logger

	mu                sync.Mutex // never held over a socket; may be held while the fleet's lock is taken
	follower          *planfollower.Follower
	incarnations      *incarnation.Table
	sources           []plannerState
	discoveryNeeded   chan struct{} // closed while discovery is to be asked
	isDiscoveryNeeded bool          // needs is closed
	hasAppliedPlan    bool          // the fleet has been told a plan
	isListSuspect     bool          // the list before the start is a kept one that nobody has confirmed yet
	followedPlanner   int           // the planner followed last
}

// source is what is known of one planner's connection.
type plannerState struct {
	announced map[string]incarnation.Entry // lives, as it has told them
	plan      plan.Plan                    // its plan as it stands after the last change
	reports   chan plan.Report             // the next to be sent
}

func newPlannerClient(cfg *planconfig.Forwarder, name string, f *dispatch.Dispatcher, nodes int, log zerolog.Logger) *plannerClient {
	draw := float64(crc32.ChecksumIEEE([]byte(name))) / (1 << 32)
	p := &plannerClient{cfg: cfg, nodeName: name, dispatcher: f, logger: log, incarnations: incarnation.NewTable(), discoveryNeeded: make(chan struct{}), followedPlanner: -1,
		follower: planfollower.New(planfollower.Options{PlannerCount: len(cfg.Addresses), ConfiguredNodes: nodes, PollJitter: draw})}
	for range cfg.Addresses {
		p.sources = append(p.sources, plannerState{announced: map[string]incarnation.Entry{}, reports: make(chan plan.Report, 1)})
	}
	f.EnableReports()
	return p
}

// run leads the connections and looks at the plans until the node ends.
func (p *plannerClient) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for i, at := range p.cfg.Addresses {
		g.Go(func() error { p.keepConnected(ctx, i, at); return nil })
	}
	g.Go(func() error {
		tick := time.NewTicker(stepInterval)
		defer tick.Stop()
		for n := 1; ; n++ {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
				p.step()
				if n%stepsPerReport == 0 {
					p.queueReports()
				}
			}
		}
	})
	return g.Wait()
}

// step has the module follow what holds now, and opens or closes the way to discovery.
func (p *plannerClient) step() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.dispatcher.Now()
	p.incarnations.ExpireTombstones(now)
	e := p.follower.Advance(now, func(id string) bool {
		l, ok := p.incarnations.Get(id)
		return ok && l.Condition == incarnation.Up
	})
	if ask := e.ShouldPollDiscovery || p.incarnations.Len() == 0 && now > plannerStartTimeout; ask != p.isDiscoveryNeeded {
		if p.isDiscoveryNeeded = ask; ask {
			close(p.discoveryNeeded)
			p.logger.Warn().Dur("plan_age", e.PlanAge).Msg("no planner is heard: discovery is asked")
		} else {
			p.discoveryNeeded = make(chan struct{})
			p.logger.Info().Msg("planners are heard: discovery is not asked")
		}
	}
	if e.Planner != p.followedPlanner {
		p.logger.Info().Int("planner", e.Planner).Int("before", p.followedPlanner).Msg("plan followed")
		p.followedPlanner = e.Planner
	}
	if !e.HasPlan && !p.hasAppliedPlan {
		return
	}
	p.hasAppliedPlan = e.HasPlan
	var within map[string]float64
	if len(e.WithinAllowance) > 0 {
		within = make(map[string]float64, len(e.WithinAllowance))
		for _, w := range e.WithinAllowance {
			within[w.Tenant] = w.Share
		}
	}
	p.dispatcher.ApplyPlan(e.Nodes, e.AdmittedShare, within, e.Servers)
}

// report hands what has happened to each planner's connection; what one has not sent yet is older, and is dropped.
func (p *plannerClient) queueReports() {
	r := p.dispatcher.Report()
	p.mu.Lock()
	defer p.mu.Unlock()
	r.CurrentShares = p.follower.CurrentShares()
	for i := range p.sources {
		s := &p.sources[i]
		mine := r
		mine.NewerIncarnations = p.incarnations.NewerThan(s.announced, maxNewerIncarnations)
		select {
		case <-s.reports:
		default:
		}
		s.reports <- mine
	}
}

// lead keeps a connection to one planner.
func (p *plannerClient) keepConnected(ctx context.Context, i int, at netip.AddrPort) {
	wait := initialRedialBackoff
	for ctx.Err() == nil {
		began := time.Now()
		err := p.runConnection(ctx, i, at)
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > plannerSilenceTimeout {
			wait = initialRedialBackoff
		}
		p.logger.Warn().Err(err).Int("planner", i).Stringer("at", at).Msg("planner lost")
		pause := time.NewTimer(time.Duration((0.5 + rand.Float64()) * float64(wait)))
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
		wait = min(2*wait, maxRedialBackoff)
	}
}

// connected is the life of one connection to a planner.
func (p *plannerClient) runConnection(ctx context.Context, i int, at netip.AddrPort) error {
	by := time.Now().Add(plannerDialTimeout)
	d := net.Dialer{Deadline: by}
	nc, err := d.DialContext(ctx, "tcp", at.String())
	if err != nil {
		return err
	}
	defer nc.Close()
	if p.cfg.Keys != nil {
		nc = p.cfg.Keys.ClientConn(nc, p.cfg.Name)
		if err := p.cfg.Keys.ReloadError(); err != nil {
			p.logger.Error().Err(err).Msg("keys not read again")
		}
	}
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	c := planwire.NewConn(nc)
	nc.SetDeadline(by)
	if _, err := c.Handshake(p.nodeName, by); err != nil {
		return err
	}
	p.mu.Lock()
	p.sources[i].announced, p.sources[i].plan = map[string]incarnation.Entry{}, plan.Plan{}
	p.mu.Unlock()
	p.logger.Info().Int("planner", i).Stringer("at", at).Msg("planner met")
	ended := make(chan struct{})
	sending := errgroup.Group{}
	sending.Go(func() error {
		for {
			select {
			case <-ended:
				return nil
			case r := <-p.sources[i].reports:
				if err := c.Send(planwire.ReportKind, r); err != nil {
					nc.Close()
					return err
				}
			}
		}
	})
	err = p.receive(c, i)
	close(ended)
	return errors.Join(err, sending.Wait())
}

func (p *plannerClient) receive(c *planwire.Conn, i int) error {
	for {
		k, body, err := c.Receive(time.Now().Add(plannerSilenceTimeout))
		if err != nil {
			return err
		}
		switch k {
		case planwire.RefusalKind:
			var r planwire.Refusal
			if err := planwire.Decode(body, &r); err != nil {
				return err
			}
			return fmt.Errorf("refused by the planner: %.200s", r.Reason)
		case planwire.ChangeKind:
			var change plan.Change
			if err := planwire.Decode(body, &change); err != nil {
				return c.Reject(fmt.Errorf("a plan that cannot be read: %v", err))
			}
			p.applyChange(i, change)
		default:
			return c.Reject(fmt.Errorf("a frame of kind %d from a planner", k))
		}
	}
}

// told takes in a planner's change: its lives are joined at once, the rest holds by the follower's rules.
func (p *plannerClient) applyChange(i int, change plan.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, now := &p.sources[i], p.dispatcher.Now()
	for _, e := range change.Incarnations {
		s.announced[e.ID] = e
	}
	s.plan = plan.Apply(s.plan, change)
	if changed := p.incarnations.Join(now, change.Incarnations); len(change.Incarnations) > 0 {
		p.applyIncarnations(changed)
	}
	p.follower.PlanReceived(now, i, s.plan)
}

// join hands to the fleet what has changed in the lives. It is done under the lock, so that what is newer comes later.
// What comes first after a kept list ends its suspicion: then all that is known is handed over, for of a server that had
// left before the start the fleet has heard nothing yet.
func (p *plannerClient) applyIncarnations(changed []incarnation.Entry) {
	if p.isListSuspect {
		p.isListSuspect, changed = false, p.incarnations.All()
	}
	if len(changed) == 0 {
		return
	}
	l := watch.ListFromEntries(changed)
	for _, err := range l.Skipped {
		p.logger.Warn().Err(err).Msg("list entry skipped")
	}
	if p.endpointCache != nil {
		l, _ = p.endpointCache.confirm(l, endpoints.SourcePlanners)
	}
	p.dispatcher.ApplyList(l, endpoints.SourcePlanners)
}

// discovered takes in what discovery itself has told.
func (p *plannerClient) applyDiscoveryList(l http1.EndpointList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyIncarnations(p.incarnations.ApplyDiscovery(p.dispatcher.Now(), watch.EntriesFromList(l), l.Complete))
}

// saved takes in the list that the node last had. Of a suspect one, kept on disk, only servers that had left are taken in: what
// planners tell of the others is a change then, which confirms it, and no report tells planners of servers that nobody has
// confirmed.
func (p *plannerClient) applySavedList(l http1.EndpointList, suspect bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isListSuspect = suspect; suspect {
		l.Hosts = slices.DeleteFunc(slices.Clone(l.Hosts), func(h http1.Endpoint) bool { return h.Phase == http1.Serving })
	}
	p.incarnations.ApplyDiscovery(p.dispatcher.Now(), watch.EntriesFromList(l), false)
}

// needed tells whether discovery is to be asked now.
func (p *plannerClient) needsDiscovery() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isDiscoveryNeeded
}

// await returns when discovery is to be asked, with the revision that planners have told up to.
func (p *plannerClient) awaitDiscoveryNeeded(ctx context.Context) (revision uint64, ok bool) {
	p.mu.Lock()
	needs := p.discoveryNeeded
	p.mu.Unlock()
	select {
	case <-ctx.Done():
		return 0, false
	case <-needs:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.incarnations.All() {
		revision = max(revision, e.Revision)
	}
	return revision, true
}
