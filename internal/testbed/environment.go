// Package testbed plays a scenario with real node processes on loopback sockets against the stand-ins of this repository.
package testbed

import (
	"context"
	"net"
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
	"fernvane/internal/testbed/standin/mesh"
	"fernvane/internal/testbed/standin/plannerproxy"
	"fernvane/internal/testbed/standin/server"
	"fernvane/internal/testbed/standin/zookeeper"
)

const (
	firstNet, lastNet = 16, 250 // second parts of the loopback nets that labs use, one each
	nodePort          = 8443    // below the ports that the system deals out, so that a restarted node finds its own free
	cgiPort           = 8500
	serverPort        = 9000  // and one more for each site of callers
	discoveryPort     = 10000 // and one more for each node, and behind them each planner
	plannerPort       = 12000
	peerPort          = 8700
	startAtOnce       = 16 // node processes
	maxStartTime      = 60 * time.Second
	settle            = 300 * time.Millisecond // between the last node's start and the load, for watches to begin
	lateDrain         = 1500 * time.Millisecond
	leaveAfter        = 500 * time.Millisecond
	planned           = 300 * time.Millisecond // until the connection balancer has taken out a node that is told to stop
)

// Options of a run.
type Options struct {
	Scenario *scenario.Scenario
	Requests []load.Request // the schedule
	Command  []string       // runs one node, told by PROXY_CONFIG
	Planner  []string       // runs one planner, told by PROXY_PLAN
	Env      []string       // of the nodes, beside this process's own
	Keep     string         // folder for configurations and logs; "" for one that is removed
	Progress func(at time.Duration, begun, open int)
}

// Outcome of a run.
type Outcome struct {
	*load.Result
	Late       load.Lateness
	Rules      []audit.Rule
	Use        usage
	Calls      int // of discovery
	TurnedOff  int // calls that it rejected
	Lines      float64
	Planning   usage
	Journal    Journal
	PlanBytes  int // that planners sent to nodes
	BadClients int // clients that sent what cannot be read
	Seconds    []audit.Second
}

// world is everything that runs for a run.
type world struct {
	Options
	net        string
	lock       net.Listener // holds the net
	start      time.Time
	observer   *observer
	processes  *processManager
	servers    []*machine
	discovery  *discovery.Service
	mu         sync.Mutex
	addresses  int // where discovery listens, counted by its moves
	balancer   *connbalancer.Balancer
	nodes      []*process
	planners   []*process
	registry   *zookeeper.Registry // nil: discovery tells
	ensemble   []*zookeeper.Server
	relays     [][2]*plannerproxy.Proxy // by planner and half of the nodes
	fabric     *mesh.Mesh               // nil: nodes know nothing of each other
	losses     losses
	steps      steps
	badClients badClients
	turn       sync.Mutex // faults come one at a time
	stopped    chan struct{}
	wg         sync.WaitGroup
}

// machine is a server as the world keeps it.
type machine struct {
	*server.Server
	kind        *scenario.Servers
	mu          sync.Mutex
	owned       *zookeeper.Owned // its session at the registry
	up          time.Time        // when it started, for the registry; zero: for long
	isLost      bool             // for good
	incarnation int              // counts what befalls it, so that updates overtaken by others are not told
}

// Run plays a scenario once.
func Run(ctx context.Context, o Options) (*Outcome, error) {
	w := &world{Options: o, processes: newProcessManager(), stopped: make(chan struct{})}
	defer close(w.processes.starts)
	if w.Keep == "" {
		dir, err := os.MkdirTemp("", "testbed-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		w.Keep = dir
	} else if err := os.MkdirAll(w.Keep, 0o755); err != nil {
		return nil, err
	}
	w.start = time.Now() // moved when all is ready
	defer w.close()
	if err := w.build(ctx); err != nil {
		return nil, err
	}
	return w.play(ctx)
}

// announce has discovery learn of a server after a while, unless something else befalls it before.
func (w *world) announce(m *machine, phase string, after time.Duration, up time.Time) {
	m.mu.Lock()
	m.incarnation++
	life := m.incarnation
	m.mu.Unlock()
	e := discovery.Entry{ID: m.Name, Site: w.Scenario.Sites[m.Site], Cell: m.Cell, MachineKind: m.kind.Kind, Phase: phase, UpSince: up}
	for site := range w.Scenario.Sites {
		e.Addresses = append(e.Addresses, m.Address(site))
	}
	w.after(after, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.incarnation == life {
			w.discovery.Set(e)
			if w.registry != nil {
				w.register(m, phase, up)
			}
		}
	})
}

// after does something later, at once without a wait, and not at all once the run is over.
func (w *world) after(d time.Duration, do func()) {
	if d <= 0 {
		do()
		return
	}
	w.wg.Go(func() {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			do()
		case <-w.stopped:
		}
	})
}

// play sends the load, with the faults beside it.
func (w *world) play(ctx context.Context) (*Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-time.After(settle):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	g := &load.Generator{Scenario: w.Scenario, Requests: w.Requests, ChecksIDs: true, FastCGI: w.Scenario.Clients.FastCGI, Progress: w.Progress}
	shift := time.Since(w.start) // the world's clock has run since it was built
	ops := slices.Clone(w.Requests)
	for i := range ops {
		ops[i].At += shift
	}
	g.Requests, g.Shift = ops, shift
	w.schedule(ctx, shift)
	if s := w.Scenario.Peers; s.Before > 0 && s.Replicas > 0 {
		w.waitReplicated(ctx, &w.losses.replicated)
	}
	late := g.Run(ctx, w.start, w.balancer, w.observer)
	err := ctx.Err()
	if err != nil {
		return nil, err
	}
	out := &Outcome{Result: g.Result, Late: late, BadClients: w.badClients.count()}
	for _, p := range append(slices.Clone(w.nodes), w.planners...) {
		p.weigh()
	}
	w.steps.mu.Lock()
	w.steps.over = true
	w.steps.mu.Unlock()
	w.stopNodes()
	for _, p := range w.nodes {
		p.mu.Lock()
		out.Use.CPU += p.use.CPU
		out.Use.RSSMB = max(out.Use.RSSMB, p.use.RSSMB)
		p.mu.Unlock()
	}
	if out.Journal, err = w.readJournals(); err != nil {
		return nil, err
	}
	out.Planning, out.PlanBytes = w.stopPlanners()
	out.Calls, out.Lines, out.TurnedOff = w.discovery.Use()
	w.observer.record(func(a *audit.Audit, _ time.Duration) { out.Rules, out.Seconds = a.Verdict(), a.Seconds() })
	from := min(int(shift/time.Second), len(out.Seconds)) // the load's own
	out.Seconds = out.Seconds[from:]
	return out, nil
}

// stopNodes ends all nodes as at a planned stop.
func (w *world) stopNodes() {
	var g errgroup.Group
	for n, p := range w.nodes {
		g.Go(func() error {
			if err := p.end(syscall.SIGTERM); err != nil {
				w.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(n, err.Error()) })
			}
			return nil
		})
	}
	g.Wait()
}

func (w *world) close() {
	close(w.stopped)
	w.wg.Wait()
	var g errgroup.Group
	for _, p := range append(w.nodes, w.planners...) {
		g.Go(func() error { return p.end(syscall.SIGKILL) })
	}
	g.Wait()
	for _, halves := range w.relays {
		for _, r := range halves {
			r.Close()
		}
	}
	if w.fabric != nil {
		w.fabric.Close()
	}
	if w.discovery != nil {
		w.discovery.Close()
	}
	if w.registry != nil {
		w.registry.Close()
	}
	for _, m := range w.servers {
		g.Go(func() error { m.Close(); return nil })
	}
	g.Wait()
	if w.lock != nil {
		w.lock.Close()
	}
}
