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

// Ports of a run. Node ports are below the ephemeral port range, so that no other socket takes the port of a node while
// it restarts.
const (
	nodePort      = 8443
	fastCGIPort   = 8500
	peerPort      = 8700
	serverPort    = 9000  // plus the site of the client
	discoveryPort = 10000 // plus the number of the node; planners use the ports after those of nodes
	plannerPort   = 12000
)

const (
	maxConcurrentStarts = 16 // of node processes
	maxStartTime        = 60 * time.Second
	settleTime          = 300 * time.Millisecond  // between the last node's start and the load, for the watches to be established
	drainDelay          = 1500 * time.Millisecond // from the notification of a drain until the server rejects requests
	exitDelay           = 500 * time.Millisecond  // from the first rejection until the server exits
	plannedStopDelay    = 300 * time.Millisecond  // until the connection balancer removes a node that is stopped gracefully
)

// Options configures a run.
type Options struct {
	Scenario  *scenario.Scenario
	Requests  []load.Request // the schedule
	Command   []string       // command line of a node; PROXY_CONFIG names its configuration
	Planner   []string       // command line of a planner; PROXY_PLAN names its configuration
	Env       []string       // added to this process's environment for nodes and planners
	Directory string         // for configurations and logs; "": a temporary directory
	Progress  func(at time.Duration, started, inFlight int)
}

// Outcome is the result of a run.
type Outcome struct {
	*load.Result
	Lateness       load.Lateness
	Rules          []audit.Rule
	NodeUsage      resourceUsage
	DiscoveryCalls int
	RejectedCalls  int     // calls that discovery rejected
	DiscoveryLines float64 // lines in discovery's responses
	PlannerUsage   resourceUsage
	Journal        Journal
	PlanBytes      int // bytes that planners sent to nodes
	BadClients     int // clients that connected to send malformed input
	Seconds        []audit.Second
}

// environment holds the stand-ins, processes and state of one run.
type environment struct {
	Options
	network *loopback.Network // nil until it is reserved
	start   time.Time
	stopped chan struct{} // closed when the run ends
	wg      sync.WaitGroup

	observer  *observer
	balancer  *connbalancer.Balancer
	servers   []*standinServer
	processes *processManager
	nodes     []*process
	planners  []*process

	discovery      *discovery.Service
	mu             sync.Mutex               // guards discoveryMoves and serializes writes of node configurations
	discoveryMoves int                      // number of moves of discovery to new addresses
	registry       *zookeeper.Registry      // nil: nodes get the endpoint list from discovery
	ensemble       []*zookeeper.Server      // servers of the registry, one for each address
	plannerProxies [][2]*plannerproxy.Proxy // by planner and half of the nodes
	mesh           *mesh.Mesh               // links between nodes; nil: nodes are not peers

	faultMu       sync.Mutex // held while a fault is applied
	frameTriggers frameTriggers
	losses        lossCounts
	badClients    badClientCount
}

// standinServer is a stand-in server with its state in discovery and the registry.
type standinServer struct {
	*server.Server
	spec      *scenario.Servers
	mu        sync.Mutex // guards the fields below
	session   *zookeeper.OwnedSession
	startedAt time.Time // for the registry; zero: initialUptime before the run
	isLeaving bool      // the server is draining or has drained
	changes   int       // announcements scheduled; only the last one takes effect
}

// Run runs a scenario once. An error means that the run could not be completed; the Outcome lists violations of rules.
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
	env.start = time.Now() // the load starts later, when the nodes are ready
	defer env.close()
	if err := env.setUp(ctx); err != nil {
		return nil, err
	}
	return env.runLoad(ctx)
}

// announce sets a server's condition in discovery and the registry after a delay, unless the server is announced again
// before the delay has passed.
func (env *environment) announce(m *standinServer, condition string, after time.Duration, startedAt time.Time) {
	m.mu.Lock()
	m.changes++
	change := m.changes
	m.mu.Unlock()
	entry := discovery.Entry{
		ID:          m.Name,
		Site:        env.Scenario.Sites[m.Site],
		Cell:        m.Cell,
		MachineKind: m.spec.Kind,
		Condition:   condition,
		StartedAt:   startedAt,
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
				env.updateRegistry(m, condition, startedAt)
			}
		}
	})
}

// after calls do in the background after a delay, or directly if the delay is 0. It does not call do after the run has
// ended.
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

// runLoad sends the load while faults are applied, then stops the processes and returns the outcome.
func (env *environment) runLoad(ctx context.Context) (*Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-time.After(settleTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	shift := time.Since(env.start) // time spent on the setup
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
	if s := env.Scenario.Peers; s.EarlierEntries > 0 && s.Replicas > 0 {
		env.waitReplicated(ctx, &env.losses.replicationSeconds)
	}
	lateness := g.Run(ctx, env.start, env.balancer, env.observer)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return env.outcome(g.Result, lateness, shift)
}

// outcome stops the processes and collects the results of the run.
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
	out.DiscoveryCalls, out.DiscoveryLines, out.RejectedCalls = env.discovery.Usage()
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

// close waits for the steps of faults that are in progress, kills all processes, closes the stand-ins and releases the
// network.
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
