package planfollower

import (
	"cmp"
	"slices"
	"time"

	"fernvane/internal/controlplane/plan"
)

const (
	// expiryAge is the age of a plan from which the forwarder decides without a plan. It is the sum of freshAge and the 10 s until a
	// planner removes a forwarder without reports.
	expiryAge       = 13 * time.Second
	pollDelay       = 1 * time.Second // min time without a fresh plan before a forwarder polls discovery
	pollDelaySpread = 3 * time.Second // range of the additional delay; spreads polls because discovery has little capacity
	noPlannerIndex  = -1
)

// Options are the settings of a Follower.
type Options struct {
	PlannerCount    int     // number of configured planners
	ConfiguredNodes int     // number of forwarders, used while no plan is in effect
	PollJitter      float64 // 0 to 1, position of this forwarder in the range of poll delays
}

// Follower stores the latest plan of each planner and the plan and shares in effect at one forwarder.
type Follower struct {
	options     Options
	sources     []source           // by planner index
	followed    int                // index of the followed planner, whose plan is fresh and in effect; noPlannerIndex for none
	inEffect    plan.Plan          // plan of the planner that is followed, or was followed last
	age         time.Duration      // age of inEffect
	shares      map[string]float64 // shares in effect by server ID; the sum is 1
	lastAdvance time.Duration
	lastFresh   time.Duration // latest time with a fresh plan
}

// Decisions contains the values that the forwarder applies.
type Decisions struct {
	HasPlan             bool // false: the forwarder decides without a plan, and only Planner, PlanAge, Nodes and ShouldPollDiscovery are set
	Planner             int  // index of the followed planner; -1 without a fresh plan, while the latest plan is phased out or no plan exists
	PlanAge             time.Duration
	Nodes               int // number of forwarders that share the load
	AdmittedShare       float64
	WithinAllowance     []plan.TenantShare // empty: the forwarder uses its own request counts
	Servers             []plan.ServerShare // sorted by ID
	ShouldPollDiscovery bool               // set after the forwarder's poll delay without a fresh plan
}

// New returns a Follower without a plan.
func New(options Options) *Follower {
	return &Follower{
		options:  options,
		sources:  make([]source, options.PlannerCount),
		followed: noPlannerIndex,
		shares:   map[string]float64{},
	}
}

// PlanReceived stores a complete plan of the planner with an index. A report that the plan includes was sent by an earlier process of this
// forwarder if it has a later time than now, and then counts as none.
func (f *Follower) PlanReceived(now time.Duration, planner int, p plan.Plan) {
	if p.ReportSentAt > now {
		p.ReportSentAt = 0
	}
	f.sources[planner] = source{plan: p, hasPlan: true, receivedAt: now}
}

// Advance advances the state to now and returns the decisions in effect. isUp reports whether a server is usable.
func (f *Follower) Advance(now time.Duration, isUp func(id string) bool) Decisions {
	elapsed := now - f.lastAdvance
	f.lastAdvance = now
	f.followPlanner(now, elapsed)
	d := Decisions{Planner: f.followed, PlanAge: f.age, ShouldPollDiscovery: now-f.lastFresh > f.pollDelay()}
	if f.inEffect.Number == 0 || f.age >= expiryAge {
		f.shares = map[string]float64{}
		f.inEffect = plan.Plan{}
		d.Planner = noPlannerIndex
		d.Nodes = f.options.ConfiguredNodes
		return d
	}
	d.HasPlan = true
	d.Nodes = max(f.inEffect.Nodes, 1)
	d.AdmittedShare = f.admittedShare()
	if f.isFollowing() {
		d.WithinAllowance = f.inEffect.WithinAllowance
	}
	f.moveShares(elapsed, isUp)
	d.Servers = f.serverShares(now)
	return d
}

// followPlanner selects the planner to follow and puts its plan into effect. Without a fresh plan the age of the latest plan increases.
func (f *Follower) followPlanner(now, elapsed time.Duration) {
	f.followed = f.selectPlanner(now)
	if !f.isFollowing() {
		f.age += elapsed
		return
	}
	followed := &f.sources[f.followed]
	f.inEffect = followed.plan
	f.age = followed.age(now)
	f.lastFresh = now
	f.inEffect.Nodes = f.maxNodes(now, f.inEffect.Nodes)
}

// isFollowing reports whether the plan in effect is fresh.
func (f *Follower) isFollowing() bool { return f.followed != noPlannerIndex }

func (f *Follower) pollDelay() time.Duration {
	return pollDelay + time.Duration(f.options.PollJitter*float64(pollDelaySpread))
}

// admittedShare returns the share of requests to admit. After the plan is no longer fresh, the share increases to 1 with the plan's
// age, since the overload is no longer confirmed.
func (f *Follower) admittedShare() float64 {
	share := f.inEffect.AdmittedShare
	if f.isFollowing() {
		return share
	}
	progress := float64(f.age-freshAge) / float64(expiryAge-freshAge)
	return share + (1-share)*min(max(progress, 0), 1)
}

// serverShares returns the servers of the plan, and servers outside the plan that still have a share. Avoidance and ejections are in
// effect only while the plan is fresh.
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

// CurrentShares returns the shares in effect for a report, sorted by server ID.
func (f *Follower) CurrentShares() []plan.CurrentShare {
	shares := make([]plan.CurrentShare, 0, len(f.shares))
	for id, share := range f.shares {
		shares = append(shares, plan.CurrentShare{ID: id, Share: share})
	}
	slices.SortFunc(shares, func(a, b plan.CurrentShare) int { return cmp.Compare(a.ID, b.ID) })
	return shares
}
