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
	stepEvery     = 250 * time.Millisecond // between two looks at plans
	reportEach    = 2                      // steps: a report each half second
	plannerDial   = time.Second            // for a connection to a planner, its TLS and its greeting
	plannerSilent = 3 * time.Second        // without a frame, after which a planner's connection is ended
	redialFirst   = 200 * time.Millisecond // doubles, and is spread by half
	redialMost    = 3 * time.Second
	aboveMost     = 64              // lives in a report of which the planner has told less
	startAlone    = 1 * time.Second // a node that knows no server waits so long for planners, then asks discovery
)

// planners is the forwarder's side of the two levels. Nothing of it is asked on the way of an operation.
type planners struct {
	cfg   *planconfig.Forwarder
	name  string
	fleet *dispatch.Dispatcher
	kept  *listKeeper // nil: no list is kept on disk
	log   zerolog.Logger

	mu      sync.Mutex // never held over a socket; may be held while the fleet's lock is taken
	follow  *planfollower.Follower
	lives   *incarnation.Table
	sources []source
	needs   chan struct{} // closed while discovery is to be asked
	open    bool          // needs is closed
	planned bool          // the fleet has been told a plan
	suspect bool          // the list before the start is a kept one that nobody has confirmed yet
	from    int           // the planner followed last
}

// source is what is known of one planner's connection.
type source struct {
	told    map[string]incarnation.Entry // lives, as it has told them
	held    plan.Plan                    // its plan as it stands after the last change
	reports chan plan.Report             // the next to be sent
}

func newPlanners(cfg *planconfig.Forwarder, name string, f *dispatch.Dispatcher, nodes int, log zerolog.Logger) *planners {
	draw := float64(crc32.ChecksumIEEE([]byte(name))) / (1 << 32)
	p := &planners{cfg: cfg, name: name, fleet: f, log: log, lives: incarnation.NewTable(), needs: make(chan struct{}), from: -1,
		follow: planfollower.New(planfollower.Options{PlannerCount: len(cfg.Addresses), ConfiguredNodes: nodes, PollJitter: draw})}
	for range cfg.Addresses {
		p.sources = append(p.sources, source{told: map[string]incarnation.Entry{}, reports: make(chan plan.Report, 1)})
	}
	f.EnableReports()
	return p
}

// run leads the connections and looks at the plans until the node ends.
func (p *planners) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for i, at := range p.cfg.Addresses {
		g.Go(func() error { p.lead(ctx, i, at); return nil })
	}
	g.Go(func() error {
		tick := time.NewTicker(stepEvery)
		defer tick.Stop()
		for n := 1; ; n++ {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
				p.step()
				if n%reportEach == 0 {
					p.report()
				}
			}
		}
	})
	return g.Wait()
}

// step has the module follow what holds now, and opens or closes the way to discovery.
func (p *planners) step() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.fleet.Now()
	p.lives.ExpireTombstones(now)
	e := p.follow.Advance(now, func(id string) bool {
		l, ok := p.lives.Get(id)
		return ok && l.Condition == incarnation.Up
	})
	if ask := e.ShouldPollDiscovery || p.lives.Len() == 0 && now > startAlone; ask != p.open {
		if p.open = ask; ask {
			close(p.needs)
			p.log.Warn().Dur("plan_age", e.PlanAge).Msg("no planner is heard: discovery is asked")
		} else {
			p.needs = make(chan struct{})
			p.log.Info().Msg("planners are heard: discovery is not asked")
		}
	}
	if e.Planner != p.from {
		p.log.Info().Int("planner", e.Planner).Int("before", p.from).Msg("plan followed")
		p.from = e.Planner
	}
	if !e.HasPlan && !p.planned {
		return
	}
	p.planned = e.HasPlan
	var within map[string]float64
	if len(e.WithinAllowance) > 0 {
		within = make(map[string]float64, len(e.WithinAllowance))
		for _, w := range e.WithinAllowance {
			within[w.Tenant] = w.Share
		}
	}
	p.fleet.ApplyPlan(e.Nodes, e.AdmittedShare, within, e.Servers)
}

// report hands what has happened to each planner's connection; what one has not sent yet is older, and is dropped.
func (p *planners) report() {
	r := p.fleet.Report()
	p.mu.Lock()
	defer p.mu.Unlock()
	r.CurrentShares = p.follow.CurrentShares()
	for i := range p.sources {
		s := &p.sources[i]
		mine := r
		mine.NewerIncarnations = p.lives.NewerThan(s.told, aboveMost)
		select {
		case <-s.reports:
		default:
		}
		s.reports <- mine
	}
}

// lead keeps a connection to one planner.
func (p *planners) lead(ctx context.Context, i int, at netip.AddrPort) {
	wait := redialFirst
	for ctx.Err() == nil {
		began := time.Now()
		err := p.connected(ctx, i, at)
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > plannerSilent {
			wait = redialFirst
		}
		p.log.Warn().Err(err).Int("planner", i).Stringer("at", at).Msg("planner lost")
		pause := time.NewTimer(time.Duration((0.5 + rand.Float64()) * float64(wait)))
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
		wait = min(2*wait, redialMost)
	}
}

// connected is the life of one connection to a planner.
func (p *planners) connected(ctx context.Context, i int, at netip.AddrPort) error {
	by := time.Now().Add(plannerDial)
	d := net.Dialer{Deadline: by}
	nc, err := d.DialContext(ctx, "tcp", at.String())
	if err != nil {
		return err
	}
	defer nc.Close()
	if p.cfg.Keys != nil {
		nc = p.cfg.Keys.ClientConn(nc, p.cfg.Name)
		if err := p.cfg.Keys.ReloadError(); err != nil {
			p.log.Error().Err(err).Msg("keys not read again")
		}
	}
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	c := planwire.NewConn(nc)
	nc.SetDeadline(by)
	if _, err := c.Handshake(p.name, by); err != nil {
		return err
	}
	p.mu.Lock()
	p.sources[i].told, p.sources[i].held = map[string]incarnation.Entry{}, plan.Plan{}
	p.mu.Unlock()
	p.log.Info().Int("planner", i).Stringer("at", at).Msg("planner met")
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

func (p *planners) receive(c *planwire.Conn, i int) error {
	for {
		k, body, err := c.Receive(time.Now().Add(plannerSilent))
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
			p.told(i, change)
		default:
			return c.Reject(fmt.Errorf("a frame of kind %d from a planner", k))
		}
	}
}

// told takes in a planner's change: its lives are joined at once, the rest holds by the follower's rules.
func (p *planners) told(i int, change plan.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, now := &p.sources[i], p.fleet.Now()
	for _, e := range change.Incarnations {
		s.told[e.ID] = e
	}
	s.held = plan.Apply(s.held, change)
	if changed := p.lives.Join(now, change.Incarnations); len(change.Incarnations) > 0 {
		p.join(changed)
	}
	p.follow.PlanReceived(now, i, s.held)
}

// join hands to the fleet what has changed in the lives. It is done under the lock, so that what is newer comes later.
// What comes first after a kept list ends its suspicion: then all that is known is handed over, for of a server that had
// left before the start the fleet has heard nothing yet.
func (p *planners) join(changed []incarnation.Entry) {
	if p.suspect {
		p.suspect, changed = false, p.lives.All()
	}
	if len(changed) == 0 {
		return
	}
	l := watch.ListFromEntries(changed)
	for _, err := range l.Skipped {
		p.log.Warn().Err(err).Msg("list entry skipped")
	}
	if p.kept != nil {
		l, _ = p.kept.believe(l, endpoints.SourcePlanners)
	}
	p.fleet.ApplyList(l, endpoints.SourcePlanners)
}

// discovered takes in what discovery itself has told.
func (p *planners) discovered(l http1.EndpointList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.join(p.lives.ApplyDiscovery(p.fleet.Now(), watch.EntriesFromList(l), l.Complete))
}

// saved takes in the list that the node last had. Of a suspect one, kept on disk, only servers that had left are taken in: what
// planners tell of the others is a change then, which confirms it, and no report tells planners of servers that nobody has
// confirmed.
func (p *planners) saved(l http1.EndpointList, suspect bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspect = suspect; suspect {
		l.Hosts = slices.DeleteFunc(slices.Clone(l.Hosts), func(h http1.Endpoint) bool { return h.Phase == http1.Serving })
	}
	p.lives.ApplyDiscovery(p.fleet.Now(), watch.EntriesFromList(l), false)
}

// needed tells whether discovery is to be asked now.
func (p *planners) needed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// await returns when discovery is to be asked, with the revision that planners have told up to.
func (p *planners) await(ctx context.Context) (revision uint64, ok bool) {
	p.mu.Lock()
	needs := p.needs
	p.mu.Unlock()
	select {
	case <-ctx.Done():
		return 0, false
	case <-needs:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.lives.All() {
		revision = max(revision, e.Revision)
	}
	return revision, true
}
