package testbed

import (
	"context"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"fernvane/internal/testbed/audit"
	"fernvane/internal/testbed/load"
	"fernvane/internal/testbed/scenario"
	"fernvane/internal/testbed/standin/connbalancer"
	"fernvane/internal/testbed/standin/discovery"
	"fernvane/internal/testbed/standin/loopback"
	"fernvane/internal/testbed/standin/mesh"
	"fernvane/internal/testbed/standin/plannerproxy"
	"fernvane/internal/testbed/standin/server"
	"fernvane/internal/testbed/standin/zookeeper"
)

// Ports of a run. Those of nodes are below the range of ephemeral ports, so that a restarted node finds its port free.
const (
	nodePort      = 8443
	fastCGIPort   = 8500
	peerPort      = 8700
	serverPort    = 9000  // plus the site of the caller
	discoveryPort = 10000 // plus the number of the node; those of planners follow
	plannerPort   = 12000
)

const (
	maxConcurrentStarts = 16 // of node processes
	maxStartTime        = 60 * time.Second
	settleTime          = 300 * time.Millisecond  // between the last node's start and the load, for watches to begin
	drainDelay          = 1500 * time.Millisecond // from the notification of a drain until the server rejects
	exitDelay           = 500 * time.Millisecond  // from then until the server ends
	plannedStopDelay    = 300 * time.Millisecond  // until the connection balancer removes a node that is stopped on purpose
)

// Options of a run.
type Options struct {
	Scenario  *scenario.Scenario
	Requests  []load.Request // the schedule
	Command   []string       // runs one node; PROXY_CONFIG names its configuration
	Planner   []string       // runs one planner; PROXY_PLAN names its configuration
	Env       []string       // environment of the processes beside this one's own
	Directory string         // for configurations and logs; "": a temporary one
	Progress  func(at time.Duration, started, inFlight int)
}

// Outcome of a run.
type Outcome struct {
	*load.Result
	Lateness       load.Lateness
	Rules          []audit.Rule
	NodeUsage      resourceUsage
	DiscoveryCalls int
	RejectedCalls  int     // discovery calls that were rejected
	DiscoveryLines float64 // lines of discovery's answers
	PlannerUsage   resourceUsage
	Journal        Journal
	PlanBytes      int // sent by planners to nodes
	BadClients     int // clients that sent malformed input
	Seconds        []audit.Second
}

// environment is all that runs for one run.
type environment struct {
	Options
	network *loopback.Network // nil: none is reserved yet
	start   time.Time
	stopped chan struct{} // closed when the run is over
	wg      sync.WaitGroup

	observer  *observer
	balancer  *connbalancer.Balancer
	servers   []*standinServer
	processes *processManager
	nodes     []*process
	planners  []*process

	discovery      *discovery.Service
	mu             sync.Mutex               // guards addresses and the writing of node configurations
	addresses      int                      // how often discovery has moved
	registry       *zookeeper.Registry      // nil: nodes learn of servers from discovery
	ensemble       []*zookeeper.Server      // addresses of the registry
	plannerProxies [][2]*plannerproxy.Proxy // by planner and half of the nodes
	mesh           *mesh.Mesh               // links between nodes; nil: nodes do not know each other

	faultMu       sync.Mutex // held while a fault is applied
	frameTriggers frameTriggers
	losses        lossCounts
	badClients    badClientCount
}

// standinServer is a server of the run with its state in discovery and the registry.
type standinServer struct {
	*server.Server
	spec      *scenario.Servers
	mu        sync.Mutex // guards the fields below
	session   *zookeeper.Owned
	startedAt time.Time // for the registry; zero: initialUptime before the run
	isLeaving bool      // drains or has drained
	changes   int       // announcements begun; an announcement that is not the last is dropped
}

// Run runs a scenario once. An error means that the run could not be carried out; violations of rules stand in the
// Outcome.
func Run(ctx context.Context, o Options) (*Outcome, error) {
	env := &environment{Options: o, processes: newProcessManager(), stopped: make(chan struct{})}
	defer close(env.processes.commands)
	if env.Directory == "" {
		dir, err := os.MkdirTemp("", "testbed-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		env.Directory = dir
	} else if err := os.MkdirAll(env.Directory, 0o755); err != nil {
		return nil, err
	}
	env.start = time.Now() // moved when all is ready
	defer env.close()
	if err := env.build(ctx); err != nil {
		return nil, err
	}
	return env.play(ctx)
}

// announce tells discovery and the registry of a server's phase after a delay, unless another announcement of the server
// begins before.
func (env *environment) announce(m *standinServer, phase string, after time.Duration, startedAt time.Time) {
	m.mu.Lock()
	m.changes++
	change := m.changes
	m.mu.Unlock()
	entry := discovery.Entry{
		ID:          m.Name,
		Site:        env.Scenario.Sites[m.Site],
		Cell:        m.Cell,
		MachineKind: m.spec.Kind,
		Phase:       phase,
		UpSince:     startedAt,
	}
	for site := range env.Scenario.Sites {
		entry.Addresses = append(entry.Addresses, m.Address(site))
	}
	env.after(after, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.changes == change {
			env.discovery.Set(entry)
			if env.registry != nil {
				env.updateRegistry(m, phase, startedAt)
			}
		}
	})
}

// after calls do after a delay in the background, or at once if there is none. It does not once the run is over.
func (env *environment) after(d time.Duration, do func()) {
	if d <= 0 {
		do()
		return
	}
	env.wg.Go(func() {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			do()
		case <-env.stopped:
		}
	})
}

// play sends the load while faults are applied, stops the processes and gathers the outcome.
func (env *environment) play(ctx context.Context) (*Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-time.After(settleTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	shift := time.Since(env.start) // the clock has run since the start of the environment
	requests := slices.Clone(env.Requests)
	for i := range requests {
		requests[i].At += shift
	}
	g := &load.Generator{
		Scenario:  env.Scenario,
		Requests:  requests,
		Shift:     shift,
		FastCGI:   env.Scenario.Clients.FastCGI,
		ChecksIDs: true,
		Progress:  env.Progress,
	}
	env.scheduleFaults(ctx, shift)
	if s := env.Scenario.Peers; s.Before > 0 && s.Replicas > 0 {
		env.waitReplicated(ctx, &env.losses.replicationSeconds)
	}
	lateness := g.Run(ctx, env.start, env.balancer, env.observer)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return env.outcome(g.Result, lateness, shift)
}

// outcome stops the processes and gathers what came of the run.
func (env *environment) outcome(result *load.Result, lateness load.Lateness, shift time.Duration) (out *Outcome, err error) {
	out = &Outcome{Result: result, Lateness: lateness, BadClients: env.badClients.count()}
	for _, p := range append(slices.Clone(env.nodes), env.planners...) {
		p.recordMemory()
	}
	env.frameTriggers.mu.Lock()
	env.frameTriggers.isOver = true
	env.frameTriggers.mu.Unlock()
	env.stopNodes()
	for _, p := range env.nodes {
		p.mu.Lock()
		out.NodeUsage.CPU += p.usage.CPU
		out.NodeUsage.RSSMB = max(out.NodeUsage.RSSMB, p.usage.RSSMB)
		p.mu.Unlock()
	}
	if out.Journal, err = env.readJournals(); err != nil {
		return nil, err
	}
	out.PlannerUsage, out.PlanBytes = env.stopPlanners()
	out.DiscoveryCalls, out.DiscoveryLines, out.RejectedCalls = env.discovery.Use()
	env.observer.record(func(a *audit.Audit, _ time.Duration) { out.Rules, out.Seconds = a.Verdict(), a.Seconds() })
	beforeLoad := min(int(shift/time.Second), len(out.Seconds))
	out.Seconds = out.Seconds[beforeLoad:]
	return out, nil
}

// stopNodes stops all nodes gracefully.
func (env *environment) stopNodes() {
	var g errgroup.Group
	for n, p := range env.nodes {
		g.Go(func() error {
			if err := p.stop(syscall.SIGTERM); err != nil {
				env.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(n, err.Error()) })
			}
			return nil
		})
	}
	g.Wait()
}

// close ends all that runs.
func (env *environment) close() {
	close(env.stopped)
	env.wg.Wait()
	var g errgroup.Group
	for _, p := range append(env.nodes, env.planners...) {
		g.Go(func() error { return p.stop(syscall.SIGKILL) })
	}
	g.Wait()
	for _, halves := range env.plannerProxies {
		for _, r := range halves {
			r.Close()
		}
	}
	if env.mesh != nil {
		env.mesh.Close()
	}
	if env.discovery != nil {
		env.discovery.Close()
	}
	if env.registry != nil {
		env.registry.Close()
	}
	for _, m := range env.servers {
		g.Go(func() error { m.Close(); return nil })
	}
	g.Wait()
	if env.network != nil {
		env.network.Release()
	}
}
