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
	planUpdateInterval   = 250 * time.Millisecond // between two updates of the plan in effect
	planUpdatesPerReport = 2                      // one report every 500 ms
	maxNewerIncarnations = 64                     // incarnations per report that the planner has not announced
	plannerStartTimeout  = time.Second            // after the start without a known server, until discovery is polled
)

// plannerClient follows planners: it sends them reports about the node's requests and applies the freshest plan to the dispatcher. No request
// waits for it. While no plan is fresh, it reports that discovery is needed.
type plannerClient struct {
	cfg           *planconfig.Forwarder
	nodeName      string
	dispatcher    *dispatch.Dispatcher
	endpointCache *endpointCache // nil: no list is stored on disk
	logger        zerolog.Logger

	mu                sync.Mutex // not held during socket I/O; may be held while the dispatcher's lock is acquired
	follower          *planfollower.Follower
	incarnations      *incarnation.Table
	planners          []plannerState // by index in cfg.Addresses
	discoveryNeeded   chan struct{}  // closed while discovery must be polled
	isDiscoveryNeeded bool           // discoveryNeeded is closed
	hasAppliedPlan    bool           // the dispatcher follows a plan
	isListSuspect     bool           // the initial list is a cached one that no source has confirmed yet
	followedPlanner   int            // -1: none
}

// plannerState is the state of the connection to one planner.
type plannerState struct {
	announced map[string]incarnation.Entry // that the planner has announced on this connection
	plan      plan.Plan                    // with all changes received on this connection
	reports   chan plan.Report             // the next report to send
}

// newPlannerClient creates the client and makes the dispatcher collect reports. When planners are lost, nodes poll discovery with a jitter
// that depends on the node's name, so that they do not poll at the same time.
func newPlannerClient(cfg *planconfig.Forwarder, nodeName string, d *dispatch.Dispatcher, configuredNodes int, log zerolog.Logger) *plannerClient {
	jitter := float64(crc32.ChecksumIEEE([]byte(nodeName))) / (1 << 32)
	p := &plannerClient{cfg: cfg, nodeName: nodeName, dispatcher: d, logger: log, incarnations: incarnation.NewTable(),
		discoveryNeeded: make(chan struct{}), followedPlanner: -1}
	p.follower = planfollower.New(planfollower.Options{PlannerCount: len(cfg.Addresses), ConfiguredNodes: configuredNodes, PollJitter: jitter})
	for range cfg.Addresses {
		p.planners = append(p.planners, plannerState{announced: map[string]incarnation.Entry{}, reports: make(chan plan.Report, 1)})
	}
	d.EnableReports()
	return p
}

// run maintains the connections and follows plans until ctx has ended.
func (p *plannerClient) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for i, address := range p.cfg.Addresses {
		g.Go(func() error { p.maintainConnection(ctx, i, address); return nil })
	}
	g.Go(func() error {
		tick := time.NewTicker(planUpdateInterval)
		defer tick.Stop()
		for n := 1; ; n++ {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
				p.updatePlan()
				if n%planUpdatesPerReport == 0 {
					p.queueReports()
				}
			}
		}
	})
	return g.Wait()
}

// updatePlan applies the plan in effect to the dispatcher and updates whether discovery is needed.
func (p *plannerClient) updatePlan() {
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

// setDiscoveryNeeded sets whether discovery must be polled, and wakes the goroutine that waits for it. The caller holds mu.
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
		p.logger.Info().Msg("planners available again, not polling discovery")
	}
}

// queueReports queues a report for each planner. It replaces a report that was not sent yet.
func (p *plannerClient) queueReports() {
	r := p.dispatcher.Report()
	p.mu.Lock()
	defer p.mu.Unlock()
	r.CurrentShares = p.follower.CurrentShares()
	for i := range p.planners {
		s := &p.planners[i]
		report := r
		report.NewerIncarnations = p.incarnations.NewerThan(s.announced, maxNewerIncarnations)
		select {
		case <-s.reports:
		default:
		}
		s.reports <- report
	}
}

// needsDiscovery reports whether discovery must be polled now.
func (p *plannerClient) needsDiscovery() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isDiscoveryNeeded
}

// awaitDiscoveryNeeded returns when discovery must be polled, with the latest revision that planners have announced. ok is false if ctx has
// ended before.
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
