package proxy

import (
	"context"
	"hash/crc32"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"fernvane/internal/controlplane/plan"
	"fernvane/internal/controlplane/planconfig"
	"fernvane/internal/controlplane/planfollower"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/proxy/dispatch"
)

const (
	stepInterval         = 250 * time.Millisecond // between two looks at plans
	stepsPerReport       = 2                      // a report each half second
	maxNewerIncarnations = 64                     // in a report, of those that the planner does not know yet
	plannerStartTimeout  = time.Second            // for a first endpoint from a planner, until discovery is polled
)

// plannerClient follows planners: it sends them reports of what the node's requests met, and has the dispatcher follow the freshest plan. No
// request waits for it. While no plan is fresh it says that discovery is needed.
type plannerClient struct {
	cfg           *planconfig.Forwarder
	nodeName      string
	dispatcher    *dispatch.Dispatcher
	endpointCache *endpointCache // nil: no list is kept on disk
	logger        zerolog.Logger

	mu                sync.Mutex // never held over a socket; may be held while the dispatcher's lock is taken
	follower          *planfollower.Follower
	incarnations      *incarnation.Table
	sources           []plannerState // one for each planner
	discoveryNeeded   chan struct{}  // closed while discovery is to be polled
	isDiscoveryNeeded bool           // discoveryNeeded is closed
	hasAppliedPlan    bool           // the dispatcher follows a plan
	isListSuspect     bool           // the list of the start is a cached one that no source has confirmed yet
	followedPlanner   int            // -1: none
}

// plannerState is what is known of one planner's connection.
type plannerState struct {
	announced map[string]incarnation.Entry // as the planner has announced them on this connection
	plan      plan.Plan                    // with all changes of this connection
	reports   chan plan.Report             // the next to be sent
}

// newPlannerClient has the dispatcher collect reports. Its own name says at which moment a node polls discovery when planners are lost, so
// that nodes do not poll together.
func newPlannerClient(cfg *planconfig.Forwarder, nodeName string, d *dispatch.Dispatcher, configuredNodes int, log zerolog.Logger) *plannerClient {
	jitter := float64(crc32.ChecksumIEEE([]byte(nodeName))) / (1 << 32)
	p := &plannerClient{cfg: cfg, nodeName: nodeName, dispatcher: d, logger: log, incarnations: incarnation.NewTable(),
		discoveryNeeded: make(chan struct{}), followedPlanner: -1}
	p.follower = planfollower.New(planfollower.Options{PlannerCount: len(cfg.Addresses), ConfiguredNodes: configuredNodes, PollJitter: jitter})
	for range cfg.Addresses {
		p.sources = append(p.sources, plannerState{announced: map[string]incarnation.Entry{}, reports: make(chan plan.Report, 1)})
	}
	d.EnableReports()
	return p
}

// run keeps the connections and follows plans until the node ends.
func (p *plannerClient) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for i, address := range p.cfg.Addresses {
		g.Go(func() error { p.keepConnected(ctx, i, address); return nil })
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

// step has the dispatcher follow the plan that holds now, and says whether discovery is needed.
func (p *plannerClient) step() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.dispatcher.Now()
	p.incarnations.ExpireTombstones(now)
	e := p.follower.Advance(now, func(id string) bool {
		entry, ok := p.incarnations.Get(id)
		return ok && entry.Condition == incarnation.Up
	})
	p.setDiscoveryNeeded(e.ShouldPollDiscovery || p.incarnations.Len() == 0 && now > plannerStartTimeout, e.PlanAge)
	if e.Planner != p.followedPlanner {
		p.logger.Info().Int("planner", e.Planner).Int("before", p.followedPlanner).Msg("plan followed")
		p.followedPlanner = e.Planner
	}
	if !e.HasPlan && !p.hasAppliedPlan {
		return
	}
	p.hasAppliedPlan = e.HasPlan
	var withinAllowance map[string]float64
	if len(e.WithinAllowance) > 0 {
		withinAllowance = make(map[string]float64, len(e.WithinAllowance))
		for _, w := range e.WithinAllowance {
			withinAllowance[w.Tenant] = w.Share
		}
	}
	p.dispatcher.ApplyPlan(e.Nodes, e.AdmittedShare, withinAllowance, e.Servers)
}

// setDiscoveryNeeded wakes those who wait until discovery is needed, or has them wait again. mu is held.
func (p *plannerClient) setDiscoveryNeeded(isNeeded bool, planAge time.Duration) {
	if isNeeded == p.isDiscoveryNeeded {
		return
	}
	p.isDiscoveryNeeded = isNeeded
	if isNeeded {
		close(p.discoveryNeeded)
		p.logger.Warn().Dur("plan_age", planAge).Msg("no list or fresh plan from planners, polling discovery")
	} else {
		p.discoveryNeeded = make(chan struct{})
		p.logger.Info().Msg("planners send the list again, not polling discovery")
	}
}

// queueReports hands a report to each planner's connection, in place of one that was not sent yet.
func (p *plannerClient) queueReports() {
	r := p.dispatcher.Report()
	p.mu.Lock()
	defer p.mu.Unlock()
	r.CurrentShares = p.follower.CurrentShares()
	for i := range p.sources {
		s := &p.sources[i]
		report := r
		report.NewerIncarnations = p.incarnations.NewerThan(s.announced, maxNewerIncarnations)
		select {
		case <-s.reports:
		default:
		}
		s.reports <- report
	}
}

// needsDiscovery reports whether discovery is to be polled now.
func (p *plannerClient) needsDiscovery() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isDiscoveryNeeded
}

// awaitDiscoveryNeeded returns when discovery is to be polled, with the latest revision that planners have announced. ok is false when ctx
// has ended before.
func (p *plannerClient) awaitDiscoveryNeeded(ctx context.Context) (revision uint64, ok bool) {
	p.mu.Lock()
	needed := p.discoveryNeeded
	p.mu.Unlock()
	select {
	case <-ctx.Done():
		return 0, false
	case <-needed:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.incarnations.All() {
		revision = max(revision, e.Revision)
	}
	return revision, true
}
