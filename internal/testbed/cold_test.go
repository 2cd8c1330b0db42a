package testbed

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

// moment is something that is due in a coldFleet.
type timedEvent struct {
	at time.Duration
	do func()
}

type eventQueue []timedEvent

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at < a[j].at }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(timedEvent)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// coldServer works through what it is sent in turn, slower while it is cold.
type coldServer struct {
	started time.Duration // below 0: warm from the beginning
	freeAt  time.Duration
	recent  []time.Duration // attempts since its start, within the window
}

// coldFleet is a number of nodes before some servers, each node the shipped module, on a clock of its own.
type coldFleet struct {
	set          policy.Settings
	work         time.Duration // of one request on a warm server
	window       time.Duration
	now          time.Duration
	events       eventQueue
	chance       *rand.Rand
	nodes        []*coldNode
	servers      []*coldServer
	requests     uint64
	peakShare    float64 // most of what a cold server may get that one got
	peakDetail   string
	coldAttempts int // attempts at cold servers
}

type coldNode struct {
	f               *coldFleet
	engine          *engine.Engine[int]
	timerGeneration int // wakes asked for
	attempts        map[uint64]int
}

func (f *coldFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, timedEvent{f.now + d, do})
}

// allows is N, what the settings allow a server to be sent within the window now, in requests of mean work.
func (f *coldFleet) budget(s *coldServer) float64 {
	return f.set.CrashLoadFactor * f.capacity(s) * f.window.Seconds() / f.work.Seconds()
}

func (f *coldFleet) capacity(s *coldServer) float64 {
	age := float64(f.now-s.started) / float64(f.set.SlowStartDuration)
	if s.started < 0 || age >= 1 {
		return 1
	}
	return f.set.SlowStartInitialCapacity + (1-f.set.SlowStartInitialCapacity)*age
}

// sent counts an attempt at a server that is cold: beyond N only twice its root and two more are chance.
func (f *coldFleet) recordAttempt(s int) {
	c := f.servers[s]
	if f.capacity(c) >= 1 {
		return
	}
	f.coldAttempts++
	c.recent = append(c.recent, f.now)
	for f.now-c.recent[0] >= f.window {
		c.recent = c.recent[1:]
	}
	n := f.budget(c)
	if part := float64(len(c.recent)) / (n + 2*math.Sqrt(n) + 2); part > f.peakShare {
		f.peakShare = part
		f.peakDetail = fmt.Sprintf("server %d at %v: %d within %v, N is %.1f", s, f.now, len(c.recent), f.window, n)
	}
}

func (n *coldNode) SendAttempt(job uint64, server int, allow time.Duration) {
	f := n.f
	f.recordAttempt(server)
	hop := n.attempts[job]
	n.attempts[job]++
	c, sent := f.servers[server], f.now
	c.freeAt = max(c.freeAt, f.now) + time.Duration(float64(f.work)/f.capacity(c)*f.chance.ExpFloat64())
	in := policy.Input{Attempt: hop, Outcome: policy.Success, ClientAnswered: true}
	took := c.freeAt - f.now
	if took > allow {
		took, in.Outcome, in.ClientAnswered = allow, policy.TimedOut, false
	}
	f.after(took, func() {
		in.Elapsed = f.now - sent
		n.engine.AttemptEnded(f.now, job, server, in, n)
	})
}

func (n *coldNode) Reject(uint64, time.Duration) {}
func (n *coldNode) Fail(uint64)                  {}
func (n *coldNode) Subscribe()                   {}
func (n *coldNode) CloseIdle(int)                {}
func (n *coldNode) Forget(int)                   {}

func (n *coldNode) SetTimer(after time.Duration) {
	n.timerGeneration++
	woke := n.timerGeneration
	n.f.after(after, func() {
		if n.timerGeneration == woke {
			n.engine.TimerFired(n.f.now, n)
		}
	})
}

// list tells all nodes of servers.
func (f *coldFleet) updateEndpoints(scope policy.UpdateScope, servers ...policy.Endpoint) {
	members := make([]engine.Endpoint[int], 0, len(servers))
	for _, m := range servers {
		members = append(members, engine.Endpoint[int]{Server: m.Server, Info: m})
	}
	for _, n := range f.nodes {
		n.engine.EndpointsUpdated(f.now, scope, members, n)
	}
}

func (f *coldFleet) endpoint(s int, c policy.Condition) policy.Endpoint {
	m := policy.Endpoint{Server: s, Rank: uint32(s) * 2654435761, Weight: 1, Condition: c}
	if start := f.servers[s].started; start >= 0 {
		m.StartedAt, m.HasStartTime = start, true
	}
	return m
}

// arrivals come at a rate over all nodes, of which the idlest takes a part of what the busiest takes.
func (f *coldFleet) scheduleArrivals(idle float64, rate func() float64) {
	f.after(time.Duration(f.chance.ExpFloat64()/rate()*float64(time.Second)), func() {
		i := f.chance.IntN(len(f.nodes))
		if keep := idle + (1-idle)*float64(i)/float64(len(f.nodes)); f.chance.Float64() < keep {
			f.requests++
			n, t := f.nodes[i], f.set.TrafficTypes[0]
			n.engine.RequestArrived(f.now, f.requests, policy.Input{Timeout: t.ClientTimeout}, n)
		}
		f.scheduleArrivals(idle, rate)
	})
}

func (f *coldFleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		m := heap.Pop(&f.events).(timedEvent)
		f.now = m.at
		m.do()
	}
	f.now = until
}

// throng plays so many nodes before servers of which some are new, or return, as a burst of half as much again begins.
func runColdFleet(nodes int, work time.Duration, cold int, returns bool, seed uint64) *coldFleet {
	const (
		count  = 12
		load   = 0.9 // of all servers' capacity, were they warm
		idle   = 0.25
		mean   = idle + (1-idle)/2 // of the busiest node's arrivals
		burst  = 1.5
		begins = 12 * time.Second
		lasts  = 10 * time.Second
		early  = time.Second // by which the burst begins before
	)
	f := &coldFleet{work: work, window: 2 * time.Second, chance: rand.New(rand.NewPCG(seed, uint64(nodes)))}
	f.set = policy.Settings{NodeCount: nodes, MaxAttempts: 4, TimerGranularity: 2 * time.Millisecond, ConnectTimeout: 100 * time.Millisecond,
		SlowStartDuration: 8 * time.Second, SlowStartInitialCapacity: 0.2, CrashLoadFactor: 2,
		TrafficTypes: []policy.TrafficType{{LatencyObjective: 20 * work, ClientTimeout: 40 * work, PriorityWeight: 1}}}
	var first, gone, back []policy.Endpoint
	for s := range count {
		f.servers = append(f.servers, &coldServer{started: -1})
		if s < count-cold || returns {
			first = append(first, f.endpoint(s, policy.Up))
		}
		if s >= count-cold {
			gone = append(gone, f.endpoint(s, policy.Removed))
		}
	}
	for i := range nodes {
		n := &coldNode{f: f, attempts: map[uint64]int{}}
		set := f.set
		set.NodeIndex = i
		n.engine = engine.New[int](0, policy.New(set, uint32(seed)<<8|uint32(i)), n)
		f.nodes = append(f.nodes, n)
	}
	f.updateEndpoints(policy.Full, first...)
	f.scheduleArrivals(idle, func() float64 {
		rate := load * count / work.Seconds() / mean
		if f.now >= begins-early {
			rate *= burst
		}
		return rate
	})
	f.run(begins / 2)
	if returns {
		f.updateEndpoints(policy.Incremental, gone...)
	}
	f.run(begins)
	for s := count - cold; s < count; s++ {
		f.servers[s].started, f.servers[s].freeAt = f.now, f.now
		back = append(back, f.endpoint(s, policy.Up))
	}
	f.updateEndpoints(policy.Incremental, back...)
	f.run(begins + lasts)
	return f
}

// A cold server falls under the sum of what all nodes send. With four to thirty nodes, new servers and ones that return,
// under a burst, none gets more than N and what the standing test puts down to chance.
// One row after another: scenarios of the testbed run on the machine's clock.
func TestColdServersUnderAllNodes(t *testing.T) {
	const seeds = 2
	for _, nodes := range []int{4, 10, 20, 30} {
		for _, work := range []time.Duration{20 * time.Millisecond, 60 * time.Millisecond, 150 * time.Millisecond} {
			for _, c := range []struct {
				about   string
				cold    int
				returns bool
			}{{"a few new", 3, false}, {"a few return", 3, true}, {"half return", 6, true}} {
				t.Run(fmt.Sprintf("%d nodes, work of %v, %s", nodes, work, c.about), func(t *testing.T) {
					for seed := range uint64(seeds) {
						f := runColdFleet(nodes, work, c.cold, c.returns, seed+1)
						t.Logf("%d at cold servers, the most %.0f%% of what is chance: %s", f.coldAttempts, 100*f.peakShare, f.peakDetail)
						if f.coldAttempts == 0 || f.peakShare > 1 {
							t.Error("cold servers got nothing, or more than their budget and its chance")
						}
					}
				})
			}
		}
	}
}
