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

// timedEvent is a scheduled event of a coldFleet.
type timedEvent struct {
	at time.Duration
	do func()
}

// eventQueue is a heap of events, ordered by time.
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

// coldServer processes its attempts sequentially, and slower while it is cold.
type coldServer struct {
	started time.Duration // negative: warm from the beginning
	freeAt  time.Duration
	recent  []time.Duration // times of its attempts while cold, within the window
}

// coldFleet simulates nodes in front of servers on a simulated clock. Each node runs the shipped policy.
type coldFleet struct {
	settings     policy.Settings
	work         time.Duration // mean service time of a request on a warm server
	window       time.Duration // of the budget of a cold server
	now          time.Duration
	events       eventQueue
	rng          *rand.Rand
	nodes        []*coldNode
	servers      []*coldServer
	requests     uint64
	peakShare    float64 // largest ratio of a cold server's attempts to its budget with the allowance for random variation
	peakDetail   string  // describes that case
	coldAttempts int     // attempts at cold servers
}

// coldNode is a node of a coldFleet. It implements the effects of its engine.
type coldNode struct {
	fleet           *coldFleet
	engine          *engine.Engine[int]
	timerGeneration int // number of SetTimer calls; only the last timer fires
	attempts        map[uint64]int
}

func (f *coldFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, timedEvent{f.now + d, do})
}

// budget returns N, the number of requests of mean work that the settings allow for a server within the window, at its current capacity.
func (f *coldFleet) budget(s *coldServer) float64 {
	return f.settings.CrashLoadFactor * f.capacity(s) * f.window.Seconds() / f.work.Seconds()
}

func (f *coldFleet) capacity(s *coldServer) float64 {
	age := float64(f.now-s.started) / float64(f.settings.SlowStartDuration)
	if s.started < 0 || age >= 1 {
		return 1
	}
	return f.settings.SlowStartInitialCapacity + (1-f.settings.SlowStartInitialCapacity)*age
}

// recordAttempt counts an attempt at a server, if the server is cold. It allows 2*sqrt(N)+2 attempts beyond the budget N for random
// variation.
func (f *coldFleet) recordAttempt(server int) {
	c := f.servers[server]
	if f.capacity(c) >= 1 {
		return
	}
	f.coldAttempts++
	c.recent = append(c.recent, f.now)
	for f.now-c.recent[0] >= f.window {
		c.recent = c.recent[1:]
	}
	n := f.budget(c)
	if share := float64(len(c.recent)) / (n + 2*math.Sqrt(n) + 2); share > f.peakShare {
		f.peakShare = share
		f.peakDetail = fmt.Sprintf("server %d at %v: %d attempts within %v, budget %.1f", server, f.now, len(c.recent), f.window, n)
	}
}

func (n *coldNode) SendAttempt(request uint64, server int, timeout time.Duration) {
	f := n.fleet
	f.recordAttempt(server)
	attempt := n.attempts[request]
	n.attempts[request]++
	c, sentAt := f.servers[server], f.now
	c.freeAt = max(c.freeAt, f.now) + time.Duration(float64(f.work)/f.capacity(c)*f.rng.ExpFloat64())
	in := policy.Input{Attempt: attempt, Outcome: policy.Success, IsSettled: true}
	duration := c.freeAt - f.now
	if duration > timeout {
		duration, in.Outcome, in.IsSettled = timeout, policy.TimedOut, false
	}
	f.after(duration, func() {
		in.Elapsed = f.now - sentAt
		n.engine.AttemptEnded(f.now, request, server, in, n)
	})
}

func (n *coldNode) Reject(uint64, time.Duration) {}
func (n *coldNode) Fail(uint64)                  {}
func (n *coldNode) Subscribe()                   {}
func (n *coldNode) CloseIdle(int)                {}
func (n *coldNode) ReleaseServer(int)            {}

func (n *coldNode) SetTimer(after time.Duration) {
	n.timerGeneration++
	generation := n.timerGeneration
	n.fleet.after(after, func() {
		if n.timerGeneration == generation {
			n.engine.TimerFired(n.fleet.now, n)
		}
	})
}

// updateEndpoints sends an endpoint update to all nodes.
func (f *coldFleet) updateEndpoints(scope policy.UpdateScope, servers ...policy.Endpoint) {
	endpoints := make([]engine.Endpoint[int], 0, len(servers))
	for _, s := range servers {
		endpoints = append(endpoints, engine.Endpoint[int]{Server: s.Server, Info: s})
	}
	for _, n := range f.nodes {
		n.engine.EndpointsUpdated(f.now, scope, endpoints, n)
	}
}

func (f *coldFleet) endpoint(server int, condition policy.Condition) policy.Endpoint {
	endpoint := policy.Endpoint{Server: server, Rank: uint32(server) * 2654435761, Weight: 1, Condition: condition}
	if start := f.servers[server].started; start >= 0 {
		endpoint.StartedAt, endpoint.HasStartTime = start, true
	}
	return endpoint
}

// scheduleArrivals schedules Poisson arrivals over all nodes. Nodes have different loads, which range from minShare of the busiest node's
// load up to it.
func (f *coldFleet) scheduleArrivals(minShare float64, rate func() float64) {
	f.after(time.Duration(f.rng.ExpFloat64()/rate()*float64(time.Second)), func() {
		i := f.rng.IntN(len(f.nodes))
		if share := minShare + (1-minShare)*float64(i)/float64(len(f.nodes)); f.rng.Float64() < share {
			f.requests++
			n, t := f.nodes[i], f.settings.TrafficTypes[0]
			n.engine.RequestArrived(f.now, f.requests, policy.Input{Timeout: t.ClientTimeout}, n)
		}
		f.scheduleArrivals(minShare, rate)
	})
}

func (f *coldFleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		event := heap.Pop(&f.events).(timedEvent)
		f.now = event.at
		event.do()
	}
	f.now = until
}

// runColdFleet simulates nodes in front of servers. After a warm phase, cold servers join the endpoint list, either new ones or ones that
// were removed before. A burst of 1.5 times the load begins shortly before they join.
func runColdFleet(nodes int, work time.Duration, coldCount int, areReturning bool, seed uint64) *coldFleet {
	const (
		serverCount   = 12
		load          = 0.9  // share of the capacity of all servers when warm
		minShare      = 0.25 // load of the least loaded node, as a share of the busiest node's
		meanShare     = minShare + (1-minShare)/2
		burstFactor   = 1.5
		joinAt        = 12 * time.Second // when the cold servers join
		phaseDuration = 10 * time.Second // simulated time after the join
		burstLead     = time.Second      // from the start of the burst to the join
	)
	f := &coldFleet{work: work, window: 2 * time.Second, rng: rand.New(rand.NewPCG(seed, uint64(nodes)))}
	f.settings = policy.Settings{NodeCount: nodes, MaxAttempts: 4, TimerGranularity: 2 * time.Millisecond, ConnectTimeout: 100 * time.Millisecond,
		SlowStartDuration: 8 * time.Second, SlowStartInitialCapacity: 0.2, CrashLoadFactor: 2,
		TrafficTypes: []policy.TrafficType{{LatencyObjective: 20 * work, ClientTimeout: 40 * work, PriorityWeight: 1}}}
	var initial, removed, joining []policy.Endpoint
	for s := range serverCount {
		f.servers = append(f.servers, &coldServer{started: -1})
		if s < serverCount-coldCount || areReturning {
			initial = append(initial, f.endpoint(s, policy.Up))
		}
		if s >= serverCount-coldCount {
			removed = append(removed, f.endpoint(s, policy.Removed))
		}
	}
	for i := range nodes {
		n := &coldNode{fleet: f, attempts: map[uint64]int{}}
		settings := f.settings
		settings.NodeIndex = i
		n.engine = engine.New[int](0, policy.New(settings, uint32(seed)<<8|uint32(i)), n)
		f.nodes = append(f.nodes, n)
	}
	f.updateEndpoints(policy.Full, initial...)
	f.scheduleArrivals(minShare, func() float64 {
		rate := load * serverCount / work.Seconds() / meanShare
		if f.now >= joinAt-burstLead {
			rate *= burstFactor
		}
		return rate
	})
	f.run(joinAt / 2)
	if areReturning {
		f.updateEndpoints(policy.Incremental, removed...)
	}
	f.run(joinAt)
	for s := serverCount - coldCount; s < serverCount; s++ {
		f.servers[s].started, f.servers[s].freeAt = f.now, f.now
		joining = append(joining, f.endpoint(s, policy.Up))
	}
	f.updateEndpoints(policy.Incremental, joining...)
	f.run(joinAt + phaseDuration)
	return f
}

// Guards against cold servers that are overloaded by the sum of the attempts of all nodes. With 4 to 30 nodes and a burst of requests, no
// new or returning server gets more attempts than its budget and the allowance for random variation.
// The test is not parallel, because scenarios of the testbed depend on the machine's clock.
func TestColdServersUnderAllNodes(t *testing.T) {
	const seeds = 2
	for _, nodes := range []int{4, 10, 20, 30} {
		for _, work := range []time.Duration{20 * time.Millisecond, 60 * time.Millisecond, 150 * time.Millisecond} {
			for _, c := range []struct {
				description  string
				coldCount    int
				areReturning bool
			}{{"3 new", 3, false}, {"3 returning", 3, true}, {"6 returning", 6, true}} {
				t.Run(fmt.Sprintf("%d nodes, work of %v, %s", nodes, work, c.description), func(t *testing.T) {
					for seed := range uint64(seeds) {
						f := runColdFleet(nodes, work, c.coldCount, c.areReturning, seed+1)
						t.Logf("%d attempts at cold servers, peak %.0f%% of the allowed number: %s", f.coldAttempts, 100*f.peakShare, f.peakDetail)
						if f.coldAttempts == 0 || f.peakShare > 1 {
							t.Error("cold servers got no attempts, or more than the allowed number")
						}
					}
				})
			}
		}
	}
}
