package planfollower

import (
	"cmp"
	"slices"
	"time"

	"fernvane/internal/controlplane/plan"
)

const (
	// expiryAge of a plan, from which the forwarder decides alone: freshAge, and the 10 s for which a planner still counts a
	// forwarder that is silent.
	expiryAge       = 13 * time.Second
	pollDelay       = 1 * time.Second // without a fresh plan, before a forwarder polls discovery itself
	pollDelaySpread = 3 * time.Second // that Options.PollJitter spreads over: discovery has little capacity
	noPlannerIndex  = -1
)

// Options of a forwarder.
type Options struct {
	PlannerCount    int
	ConfiguredNodes int     // forwarders by the settings, which count while no plan is in effect
	PollJitter      float64 // 0 to 1: the forwarder's place in the spread of poll delays
}

// Follower holds the plans received by one forwarder and what of them is in effect.
type Follower struct {
	options     Options
	sources     []source           // by planner
	followed    int                // planner whose plan is fresh and in effect; noPlannerIndex for none
	inEffect    plan.Plan          // the last plan that was followed
	age         time.Duration      // of inEffect
	shares      map[string]float64 // in effect, by server; they add up to 1
	lastAdvance time.Duration
	lastFresh   time.Duration // when a plan was fresh last
}

// Effective is what is in effect at the forwarder.
type Effective struct {
	HasPlan             bool // else the forwarder decides alone, and only Planner, PlanAge, Nodes and ShouldPollDiscovery are set
	Planner             int  // that is followed; -1 without a fresh plan: the last one is being phased out, or there is none
	PlanAge             time.Duration
	Nodes               int // forwarders that share the load
	AdmittedShare       float64
	WithinAllowance     []plan.TenantShare // none: the forwarder's own counts decide
	Servers             []plan.ServerShare // sorted by ID
	ShouldPollDiscovery bool
}

// New returns a follower without a plan.
func New(options Options) *Follower {
	return &Follower{
		options:  options,
		sources:  make([]source, options.PlannerCount),
		followed: noPlannerIndex,
		shares:   map[string]float64{},
	}
}

// PlanReceived takes in a planner's whole plan.
func (f *Follower) PlanReceived(now time.Duration, planner int, p plan.Plan) {
	f.sources[planner] = source{plan: p, hasPlan: true, receivedAt: now}
}

// Advance moves the state to now and returns what is in effect. isUp reports whether a server may be used.
func (f *Follower) Advance(now time.Duration, isUp func(id string) bool) Effective {
	passed := now - f.lastAdvance
	f.lastAdvance = now
	f.followFreshest(now, passed)
	e := Effective{Planner: f.followed, PlanAge: f.age, ShouldPollDiscovery: now-f.lastFresh > f.pollDelay()}
	if f.inEffect.Number == 0 || f.age >= expiryAge {
		f.shares = map[string]float64{}
		f.inEffect = plan.Plan{}
		e.Planner = noPlannerIndex
		e.Nodes = f.options.ConfiguredNodes
		return e
	}
	e.HasPlan = true
	e.Nodes = max(f.inEffect.Nodes, 1)
	e.AdmittedShare = f.admittedShare()
	if f.isFollowing() {
		e.WithinAllowance = f.inEffect.WithinAllowance
	}
	f.moveShares(passed, isUp)
	e.Servers = f.serverShares(now)
	return e
}

// followFreshest selects the planner to follow and takes its plan into effect; without one the last plan ages.
func (f *Follower) followFreshest(now, passed time.Duration) {
	f.followed = f.selectPlanner(now)
	if !f.isFollowing() {
		f.age += passed
		return
	}
	followed := &f.sources[f.followed]
	f.inEffect = followed.plan
	f.age = followed.age(now)
	f.lastFresh = now
	f.inEffect.Nodes = f.maxNodes(now, f.inEffect.Nodes)
}

// isFollowing reports whether a planner is followed at present.
func (f *Follower) isFollowing() bool { return f.followed != noPlannerIndex }

func (f *Follower) pollDelay() time.Duration {
	return pollDelay + time.Duration(f.options.PollJitter*float64(pollDelaySpread))
}

// admittedShare rises to 1 with the age of a plan that is no longer fresh: what is not known to be too much is admitted.
func (f *Follower) admittedShare() float64 {
	share := f.inEffect.AdmittedShare
	if f.isFollowing() {
		return share
	}
	decayed := float64(f.age-freshAge) / float64(expiryAge-freshAge)
	return share + (1-share)*min(max(decayed, 0), 1)
}

// serverShares returns the servers of the plan, and those whose shares have not moved away yet though the plan has left them
// out. Avoidance and ejections hold only while the plan is fresh.
func (f *Follower) serverShares(now time.Duration) (servers []plan.ServerShare) {
	inPlan := make(map[string]bool, len(f.inEffect.Servers))
	for _, planned := range f.inEffect.Servers {
		inPlan[planned.ID] = true
		s := plan.ServerShare{ID: planned.ID, Share: f.shares[planned.ID], SlowStartRate: planned.SlowStartRate}
		if f.isFollowing() {
			s.IsAvoided = planned.IsAvoided
			s.EjectionRemaining = max(planned.EjectionRemaining-(now-f.sources[f.followed].receivedAt), 0)
		}
		servers = append(servers, s)
	}
	for id, share := range f.shares {
		if !inPlan[id] {
			servers = append(servers, plan.ServerShare{ID: id, Share: share})
		}
	}
	slices.SortFunc(servers, func(a, b plan.ServerShare) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

// CurrentShares returns the shares in effect as reports carry them, sorted by server ID.
func (f *Follower) CurrentShares() []plan.CurrentShare {
	shares := make([]plan.CurrentShare, 0, len(f.shares))
	for id, share := range f.shares {
		shares = append(shares, plan.CurrentShare{ID: id, Share: share})
	}
	slices.SortFunc(shares, func(a, b plan.CurrentShare) int { return cmp.Compare(a.ID, b.ID) })
	return shares
}
