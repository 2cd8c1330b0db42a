package plan

import (
	"math"
	"slices"
	"time"

	"fernvane/internal/discovery/incarnation"
)

const (
	liveFor       = 10 * time.Second       // a forwarder that is heard no more counts for so long: it may still send
	forwarderTop  = 4096                   // forwarders that a planner keeps
	serversTop    = 4096                   // servers that it judges
	rateSpan      = 3 * time.Second        // over which rates are taken
	tenantLeast   = 1e-9                   // a second, beneath which a tenant is forgotten: it is within its allowance
	judgeSpan     = 1 * time.Second        // over which answers tell how slow a server is now
	judgePrior    = 3.0                    // answers of its usual speed that count beside, so that a few do not judge
	speedSpan     = 8 * time.Second        // over which they tell how fast it is as a rule; noise of a second moves too much load
	speedPrior    = 10.0                   // answers of usual speed that count beside
	speedPower    = 1.5                    // of its speed in its weight: 1 has all equally busy, and the fast have less to lose
	suddenFrom    = 1.6                    // times slower than it is as a rule: beneath, it is chance
	suddenRule    = 0.1                    // weight of answers in the rule while it is so much slower
	avoidFrom     = 2.0                    // times, from which it is avoided; without answers the signal fades within seconds
	avoidServers  = 0.25                   // of the servers at most
	avoidAtOnce   = 0.05                   // and so many more with each plan, but one at least
	usualSpan     = 5 * time.Second        // over which a type's usual latency is taken
	baseSpan      = 30 * time.Second       // in which a higher latency counts as unloaded, as in the module
	windowAim     = 0.15                   // of what is left of the target time, likewise
	slowLeast     = 0.3                    // slowness under which a server gets no more for being fast
	weightLeast   = 0.02                   // of the usual, so that a slow server is still seen to heal
	lateShare     = 0.1                    // of hops that time out, over all, from which less is admitted
	strainFrom    = 1.2                    // mean time of answers over the time they may take, likewise
	admitPace     = 0.7                    // per second, of the log of the admitted share
	admitLeast    = 0.2                    // beneath it the forwarders' own windows decide
	faultsLeast   = 4.0                    // failures in judgeSpan before an ejection is thought of
	faultsShare   = 0.7                    // of the hops, likewise
	agreeLeast    = 2                      // forwarders that must see it, where there are so many
	ejectionFirst = 500 * time.Millisecond // doubles, as in the module
	ejectionMost  = 4 * time.Second
	ejectedShare  = 0.5  // of the servers may be ejected: more would only load the others
	paceFloor     = 0.5  // of the fall budget of a one-core server, over all forwarders
	paceNone      = 1e-9 // of a forwarder outside whose part a cold server is
)

type forwarder struct {
	name     string
	heard    time.Duration
	sent     time.Duration // by its own clock
	figures  ForwarderSettings
	rate     float64 // hops a second
	inFlight float64
	held     map[string]float64
}

type server struct {
	life           incarnation.Entry
	answers        float64 // fading
	slow           float64 // the sum of their latency over the usual
	long           float64 // answers over the longer span
	speed          float64 // slow over the longer span
	n              float64 // answers since the last plan
	sum            float64 // slow since the last plan
	avoided        bool
	hops           float64 // fading
	faults         float64 // of the hops, fading
	seen           map[string]time.Duration
	ejectionsInRow int
	ejectedUntil   time.Duration
	cold           float64 // share of its capacity that it surely has; 1: warm
	weight         float64
}

type kind struct {
	target  time.Duration
	usual   float64 // latency in seconds
	base    float64 // the least of it lately, in seconds
	answers float64 // fading, for usual
	sum     float64 // of their latency, in seconds, fading
}

type tenant struct{ allowance, rate float64 }

// Planner is the module of one planner.
type Planner struct {
	start      int64
	number     uint64
	lives      *incarnation.Table
	forwarders map[string]*forwarder
	servers    map[string]*server
	kinds      map[string]*kind
	tenants    map[string]*tenant
	last       time.Duration // of the last plan
	strain     float64
	ended      float64 // hops, fading
	late       float64
	admit      float64
}

// NewPlanner starts a planner; start is the Unix time in ms, by which its plans are told from others'.
func NewPlanner(start int64) *Planner {
	return &Planner{start: start, lives: incarnation.NewTable(), forwarders: map[string]*forwarder{}, servers: map[string]*server{},
		kinds: map[string]*kind{}, tenants: map[string]*tenant{}, admit: 1}
}

// EndpointsUpdated takes in what discovery tells.
func (p *Planner) EndpointsUpdated(now time.Duration, list []incarnation.Entry, whole bool) {
	p.lives.ApplyDiscovery(now, list, whole)
}

// ReportReceived takes in a forwarder's report. One forwarder too many is not heard.
func (p *Planner) ReportReceived(now time.Duration, name string, r *Report) {
	f := p.forwarders[name]
	if f == nil {
		if len(p.forwarders) >= forwarderTop {
			return
		}
		f = &forwarder{name: name}
		p.forwarders[name] = f
	}
	p.lives.Join(now, r.NewerIncarnations)
	f.heard, f.sent, f.figures, f.held = now, r.SentAt, r.Settings, make(map[string]float64, len(r.CurrentShares))
	for _, h := range r.CurrentShares {
		if h.Share > 0 && h.Share <= 1 {
			f.held[h.ID] = h.Share
		}
	}
	span := min(max(r.Interval, 50*time.Millisecond), rateSpan)
	keep := math.Exp(-span.Seconds() / rateSpan.Seconds())
	hops := 0
	for _, s := range r.Servers {
		hops += p.judge(now, name, r, &s)
	}
	if f.rate = keep*f.rate + (1-keep)*float64(hops)/span.Seconds(); f.rate < 1e-3 {
		f.rate = 0
	}
	f.inFlight = keep*f.inFlight + (1-keep)*float64(max(r.InFlight, 0))
	for _, t := range r.Tenants {
		k := p.tenants[t.Name]
		if k == nil {
			if len(p.tenants) >= serversTop {
				continue
			}
			k = &tenant{}
			p.tenants[t.Name] = k
		}
		k.allowance = max(k.allowance, t.Allowance)
		k.rate += float64(max(t.Requests, 0)) / rateSpan.Seconds()
	}
}

// judge books what one forwarder tells of one server; it returns how many hops ended.
func (p *Planner) judge(now time.Duration, name string, r *Report, told *ServerReport) (hops int) {
	s := p.servers[told.ID]
	if s == nil {
		if len(p.servers) >= serversTop {
			return 0
		}
		s = &server{seen: map[string]time.Duration{}, cold: 1}
		p.servers[told.ID] = s
	}
	for _, a := range told.Completions {
		if a.TypeIndex < 0 || a.TypeIndex >= len(r.Types) || a.Count <= 0 || a.TotalLatency < 0 {
			continue
		}
		hops += a.Count
		k := p.kind(&r.Types[a.TypeIndex])
		n, spent := float64(a.Count), a.TotalLatency.Seconds()/float64(a.Count)
		s.n += n
		s.sum += n * spent / max(k.usual, 1e-6)
		k.answers, k.sum = k.answers+n, k.sum+a.TotalLatency.Seconds()
		p.strain += n * spent / k.allowed()
		p.ended += n
		s.ejectionsInRow = 0
	}
	timed, failed := float64(max(told.TimedOut, 0)), float64(max(told.Failed, 0))
	s.n, s.sum = s.n+timed, s.sum+timed*p.lateness()
	s.hops += float64(hops) + timed + failed
	s.faults += timed + failed
	p.ended += timed
	p.late += timed
	if timed+failed > 0 && hops == 0 {
		s.seen[name] = now
	} else if hops > 0 {
		delete(s.seen, name)
	}
	return hops + max(told.TimedOut, 0) + max(told.Failed, 0)
}

func (p *Planner) kind(t *TypeReport) *kind {
	k := p.kinds[t.Name]
	if k == nil {
		first := max(t.TargetTime, time.Millisecond).Seconds() / 4 // as in the module, until answers tell
		k = &kind{usual: first, base: first}
		if len(p.kinds) < serversTop {
			p.kinds[t.Name] = k
		}
	}
	k.target = max(t.TargetTime, time.Millisecond)
	return k
}

// allowed is how long a hop may take, in seconds, as in the module.
func (k *kind) allowed() float64 {
	base := min(k.base, k.target.Seconds())
	return base + windowAim*(k.target.Seconds()-base) + 1e-6
}

// lateness is what a hop that timed out counts as: the time it was given over what is usual.
func (p *Planner) lateness() float64 {
	most := 4.0
	for _, k := range p.kinds {
		most = max(most, k.target.Seconds()/max(k.usual, 1e-6))
	}
	return min(most, 20)
}

// advance looks at all that time changes.
func (p *Planner) advance(now time.Duration) {
	passed := max(now-p.last, 0)
	p.last = now
	fade := func(span time.Duration) float64 { return math.Exp(-passed.Seconds() / span.Seconds()) }
	for name, f := range p.forwarders {
		if now-f.heard > liveFor {
			delete(p.forwarders, name)
			for _, s := range p.servers {
				delete(s.seen, name)
			}
		}
	}
	for _, k := range p.kinds {
		if k.answers > 1 {
			k.usual = k.sum / k.answers
		}
		k.answers, k.sum = k.answers*fade(usualSpan), k.sum*fade(usualSpan)
		if k.base > k.usual {
			k.base = k.usual
		}
		k.base += (1 - fade(baseSpan)) * (k.usual - k.base)
	}
	for name, t := range p.tenants {
		if t.rate *= fade(rateSpan); t.rate < tenantLeast {
			delete(p.tenants, name)
		}
	}
	p.admission(passed)
	keep := fade(judgeSpan)
	p.ended, p.late, p.strain = p.ended*keep, p.late*keep, p.strain*keep
	p.lives.ExpireTombstones(now)
	known := map[string]bool{}
	for _, e := range p.lives.All() {
		if e.Condition != incarnation.Up {
			continue
		}
		known[e.ID] = true
		if p.servers[e.ID] == nil {
			p.servers[e.ID] = &server{seen: map[string]time.Duration{}, cold: 1}
		}
		if s := p.servers[e.ID]; s.life.StartedUnixMS != e.StartedUnixMS || s.life.Generation != e.Generation {
			*s = server{seen: map[string]time.Duration{}, cold: 1, life: e} // another life: what was known was of the one before
		} else {
			s.life = e
		}
	}
	for id, s := range p.servers {
		if !known[id] {
			delete(p.servers, id)
			continue
		}
		s.answers, s.slow = s.answers*keep+s.n, s.slow*keep+s.sum
		share := 1.0
		if _, sudden := s.slowness(); sudden > suddenFrom {
			share = suddenRule // or a trouble of seconds would be taken for how it is
		}
		s.long, s.speed = s.long*fade(speedSpan)+share*s.n, s.speed*fade(speedSpan)+share*s.sum
		s.n, s.sum = 0, 0
		s.hops, s.faults = s.hops*keep, s.faults*keep
	}
}

// admission lets in less while hops time out over all forwarders and those that answer take longer than they may.
func (p *Planner) admission(passed time.Duration) {
	strain := p.strain / max(p.ended-p.late, 1)
	step := admitPace * passed.Seconds()
	if p.ended > faultsLeast && p.late > lateShare*p.ended && strain > strainFrom {
		p.admit *= math.Exp(-step * min(strain-1, 2))
	} else {
		p.admit *= math.Exp(step)
	}
	p.admit = min(max(p.admit, admitLeast), 1)
}

// slowness of a server over the usual: as a rule, and how many times that it is now.
func (s *server) slowness() (rule, now float64) {
	rule = (s.speed + speedPrior) / (s.long + speedPrior)
	return rule, (s.slow + judgePrior*rule) / (s.answers + judgePrior) / rule
}

// ids are the keys of a map in their order, so that plans come out alike.
func ids[T any](m map[string]T) []string {
	all := make([]string, 0, len(m))
	for id := range m {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}
