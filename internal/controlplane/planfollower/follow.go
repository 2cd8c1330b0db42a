// Package planfollower decides, at a forwarder, which planner's plan holds, how its shares move, how it fades when planners are
// heard no more, and when the forwarder asks discovery itself. It is free of I/O.
package planfollower

import (
	"cmp"
	"slices"
	"time"

	"fernvane/internal/controlplane/plan"
)

const (
	freshFor   = 3 * time.Second  // a plan holds as it is while the report that it rests on is no older
	expires    = 13 * time.Second // from then on the forwarder goes by what it knows itself
	askAfter   = 1 * time.Second  // without a fresh plan, before a forwarder asks discovery itself ...
	askSpread  = 3 * time.Second  // ... and up to so much more, drawn once: the list has little capacity
	movePerS   = 0.25             // of a forwarder's turns may move from servers to others in a second
	leastShare = 1e-4             // of the turns; less is none
	seesEnough = 0.9              // of the forwarders that the best planner hears: then the first one named goes before
)

// Options of a forwarder.
type Options struct {
	PlannerCount    int
	ConfiguredNodes int     // as its settings count them, for when no plan holds
	PollJitter      float64 // of chance, from 0 to 1: its place in the spread
}

type source struct {
	plan plan.Plan
	told bool
	at   time.Duration // when it came
}

// Follower is the module of one forwarder.
type Follower struct {
	f       Options
	sources []source
	from    int                // the planner followed, -1: none
	shares  map[string]float64 // held now; they add up to 1
	last    time.Duration
	unheard time.Duration // since when no plan is fresh
	held    plan.Plan     // the last that held
	age     time.Duration // of held, when it was last fresh
}

// Effective is what holds now.
type Effective struct {
	HasPlan             bool // else the forwarder is a node of its own
	Planner             int  // the planner that is followed, -1 while the last plan fades
	PlanAge             time.Duration
	Nodes               int
	AdmittedShare       float64
	WithinAllowance     []plan.TenantShare // none: by own figures
	Servers             []plan.ServerShare
	ShouldPollDiscovery bool // discovery itself
}

// New starts without a plan.
func New(f Options) *Follower {
	return &Follower{f: f, sources: make([]source, f.PlannerCount), from: -1, shares: map[string]float64{}}
}

// PlanReceived takes in a planner's plan, whole.
func (f *Follower) PlanReceived(now time.Duration, planner int, p plan.Plan) {
	f.sources[planner] = source{plan: p, told: true, at: now}
}

// age of a planner's plan: since the forwarder sent the report that it rests on, so that neither clocks nor a slow way
// make it look newer.
func (s *source) age(now time.Duration) time.Duration {
	if !s.told || s.plan.ReportSentAt <= 0 {
		return expires
	}
	return now - s.plan.ReportSentAt
}

// choose takes the first planner named among those that are fresh and hear nearly as many forwarders as any: all
// forwarders come to follow the same one, and none follows one that is cut off from most.
func (f *Follower) choose(now time.Duration) int {
	most := 0
	for i := range f.sources {
		if s := &f.sources[i]; s.age(now) < freshFor {
			most = max(most, s.plan.ReportingForwarders)
		}
	}
	return slices.IndexFunc(f.sources, func(s source) bool {
		return s.age(now) < freshFor && float64(s.plan.ReportingForwarders) >= seesEnough*float64(most)
	})
}

// Advance looks at all that time changes. up tells which servers may be used.
func (f *Follower) Advance(now time.Duration, up func(id string) bool) Effective {
	passed := now - f.last
	f.last = now
	if f.from = f.choose(now); f.from >= 0 {
		f.held, f.unheard = f.sources[f.from].plan, now
		f.age = f.sources[f.from].age(now)
		// The least of what is known of how many there are would have each take too much.
		for i := range f.sources {
			if s := &f.sources[i]; s.age(now) < freshFor {
				f.held.Nodes = max(f.held.Nodes, s.plan.Nodes)
			}
		}
	} else {
		f.age += passed
	}
	e := Effective{Planner: f.from, PlanAge: f.age, ShouldPollDiscovery: now-f.unheard > askAfter+time.Duration(f.f.PollJitter*float64(askSpread))}
	if f.held.Number == 0 || f.age >= expires {
		f.shares = map[string]float64{}
		f.held = plan.Plan{}
		e.Nodes, e.Planner = f.f.ConfiguredNodes, -1
		return e
	}
	e.HasPlan, e.Nodes, e.AdmittedShare = true, max(f.held.Nodes, 1), f.held.AdmittedShare
	if f.from >= 0 {
		e.WithinAllowance = f.held.WithinAllowance
	} else { // admission fades: what is not known to be too much is let in
		gone := float64(f.age-freshFor) / float64(expires-freshFor)
		e.AdmittedShare += (1 - e.AdmittedShare) * min(max(gone, 0), 1)
	}
	f.move(passed, up)
	for _, s := range f.held.Servers {
		out := plan.ServerShare{ID: s.ID, Share: f.shares[s.ID], SlowStartRate: s.SlowStartRate}
		if f.from >= 0 {
			out.IsAvoided = s.IsAvoided
			out.EjectionRemaining = max(s.EjectionRemaining-(now-f.sources[f.from].at), 0)
		}
		e.Servers = append(e.Servers, out)
	}
	for id, share := range f.shares { // still held, though the plan has left them
		if !slices.ContainsFunc(f.held.Servers, func(s plan.ServerShare) bool { return s.ID == id }) {
			e.Servers = append(e.Servers, plan.ServerShare{ID: id, Share: share})
		}
	}
	slices.SortFunc(e.Servers, func(a, b plan.ServerShare) int { return cmp.Compare(a.ID, b.ID) })
	return e
}

// move brings the shares nearer to the plan's, by so much of the turns a second. What must not be used falls at once, and
// its turns go to the others as they stand.
func (f *Follower) move(passed time.Duration, up func(id string) bool) {
	goal, sum := map[string]float64{}, 0.0
	for _, s := range f.held.Servers {
		if s.Share > 0 && up(s.ID) && (f.from < 0 || s.EjectionRemaining == 0) {
			goal[s.ID] = s.Share
			sum += s.Share
		}
	}
	for id := range goal {
		goal[id] /= sum
	}
	have := 0.0
	for id, share := range f.shares {
		if !up(id) {
			delete(f.shares, id)
		} else {
			have += share
		}
	}
	if len(goal) == 0 {
		f.normal(have)
		return
	}
	if have < leastShare { // nothing is held that could be moved from
		f.shares = goal
		return
	}
	f.normal(have)
	apart := 0.0
	for id := range union(f.shares, goal) {
		apart += abs(goal[id]-f.shares[id]) / 2
	}
	step := 1.0
	if most := movePerS * passed.Seconds(); apart > most {
		step = most / apart
	}
	for id := range union(f.shares, goal) {
		if s := f.shares[id] + step*(goal[id]-f.shares[id]); s < leastShare {
			delete(f.shares, id)
		} else {
			f.shares[id] = s
		}
	}
}

func (f *Follower) normal(sum float64) {
	for id := range f.shares {
		f.shares[id] /= max(sum, leastShare)
	}
}

func union(a, b map[string]float64) map[string]struct{} {
	all := map[string]struct{}{}
	for id := range a {
		all[id] = struct{}{}
	}
	for id := range b {
		all[id] = struct{}{}
	}
	return all
}

func abs(v float64) float64 { return max(v, -v) }

// CurrentShares are the shares as a report tells them.
func (f *Follower) CurrentShares() []plan.CurrentShare {
	held := make([]plan.CurrentShare, 0, len(f.shares))
	for id, share := range f.shares {
		held = append(held, plan.CurrentShare{ID: id, Share: share})
	}
	slices.SortFunc(held, func(a, b plan.CurrentShare) int { return cmp.Compare(a.ID, b.ID) })
	return held
}
