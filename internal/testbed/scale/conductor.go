package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

const (
	maxReadyTime          = 60 * time.Second
	maxCompleteWait       = 60 * time.Second       // until all nodes know all servers
	maxOrderTime          = 20 * time.Second       // until an order is executed
	pollInterval          = time.Second            // between readings of connections and processes
	conditionPollInterval = 100 * time.Millisecond // of waitUntil
	settleTime            = 2 * time.Second        // after the start, before the idle phase
	maxChangeWait         = 15 * time.Second       // after the last change of a phase, until the last node has applied it
	maxFaults             = 20                     // errors of processes that are stored in the result
	eventDelay            = time.Second            // from the begin of the event's phase to the event
)

// Options are the options of a run.
type Options struct {
	Size        Size
	Command     []string // command line of a process: this binary and WorkerCommand
	Progress    io.Writer
	CommandLine string // the tool's own command line, for the result
}

// errMemory is the cause of a run that was canceled because its processes exceeded their share of the machine's memory.
var errMemory = errors.New("run canceled: its processes use more than half of this machine's memory")

// conductor coordinates a run: it starts and stops the processes, runs the phases and measures.
type conductor struct {
	Options
	layout         *Layout
	machine        Machine
	ledger         *ledger
	meter          *meter
	workers        []*process
	controls       []*process
	discovery      *process
	regionLinks    *process          // nil if the run does not partition regions
	responses      chan announcement // of the discovery process to orders
	startedAt      time.Time
	revision       int            // of the operator's file
	restartLatency *ChangeLatency // of nodes that an event killed

	mu        sync.Mutex
	faults    []string
	maxMemory float64 // bytes: maximum of the sum over all processes
}

// Run runs a size and returns the measurements.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Size.Check(); err != nil {
		return nil, err
	}
	machine, err := ThisMachine()
	if err != nil {
		return nil, err
	}
	if err := o.Size.Fits(machine.Memory); err != nil {
		return nil, err
	}
	network, reservation, err := reserveNetwork()
	if err != nil {
		return nil, err
	}
	defer reservation.Close()
	dir, err := os.MkdirTemp("", "testbed-scale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	c := &conductor{Options: o, layout: &Layout{Size: o.Size, Network: network, Dir: dir}, machine: machine,
		meter: newMeter(network), responses: make(chan announcement, 1), startedAt: time.Now()}
	c.ledger = newLedger(o.Size.Nodes, c.layout.isServed)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer c.killAll()
	if err := c.prepare(); err != nil {
		return nil, err
	}
	go c.watch(ctx, cancel)
	phases, err := c.phases(ctx)
	if cause := context.Cause(ctx); cause != nil {
		return nil, cause
	}
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Result{Command: o.CommandLine, At: c.startedAt.UTC().Truncate(time.Second), Machine: machine, Size: o.Size, Processes: c.layout.Size.Processes(),
		Memory: c.maxMemory, Shared: Shared, Phases: phases, Faults: c.faults}, nil
}

func (c *conductor) logProgress(format string, args ...any) {
	if c.Progress != nil {
		fmt.Fprintf(c.Progress, "%6.1fs %s\n", time.Since(c.startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (c *conductor) prepare() error {
	for _, dir := range []string{"lists", "held"} {
		if err := os.Mkdir(filepath.Join(c.layout.Dir, dir), 0o755); err != nil {
			return err
		}
	}
	if err := c.layout.write(); err != nil {
		return err
	}
	if err := planes[c.Size.Plane].Prepare(c.layout); err != nil {
		return err
	}
	for i := range c.Size.workers() {
		c.workers = append(c.workers, c.process(roleNodes, i))
	}
	c.discovery = c.process(roleDiscovery, 0)
	if c.Size.controls() {
		for n := range c.Size.Control {
			c.controls = append(c.controls, c.process(roleControl, n))
		}
	}
	if c.Size.Event == RegionPartition {
		c.regionLinks = c.process(roleRegionLinks, 0)
	}
	return nil
}

func (c *conductor) process(r role, n int) *process {
	return &process{task: task{Role: r, Number: n, Layout: c.layout}, command: c.Command, handle: c.handle}
}

// all returns all processes of the run except the tool itself.
func (c *conductor) all() []*process {
	all := slices.Concat(c.workers, c.controls, []*process{c.discovery})
	if c.regionLinks != nil {
		all = append(all, c.regionLinks)
	}
	return all
}

// handle processes an announcement. Each result or error of the discovery process counts as its response to an order.
func (c *conductor) handle(p *process, a announcement) {
	if a.Error != "" {
		c.mu.Lock()
		if len(c.faults) < maxFaults {
			c.faults = append(c.faults, a.Error)
		}
		c.mu.Unlock()
	}
	if p.task.Role == roleNodes {
		c.ledger.recordAnnouncement(p.task.Number, a)
	}
	if p == c.discovery && (a.Changed > 0 || a.Done || a.Error != "") {
		c.responses <- a
	}
}

// killAll kills all processes of the run and waits for their ends.
func (c *conductor) killAll() {
	var all sync.WaitGroup
	for _, p := range c.all() {
		all.Go(p.kill)
	}
	all.Wait()
}

// watch reads the traffic of connections and the memory of processes once per poll interval and cancels a run that uses too
// much memory. It includes the tool's own memory.
func (c *conductor) watch(ctx context.Context, cancel context.CancelCauseFunc) {
	for tick := time.NewTicker(pollInterval); ; {
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
		if err := c.readTraffic(); err != nil {
			cancel(err)
			return
		}
		sum := usageOf(os.Getpid()).Memory
		for _, p := range c.all() {
			sum += p.use().Memory
		}
		c.mu.Lock()
		c.maxMemory = max(c.maxMemory, sum)
		c.mu.Unlock()
		if sum > memoryShare*c.machine.Memory {
			cancel(errMemory)
			return
		}
	}
}

// readTraffic updates the sums of the meter.
func (c *conductor) readTraffic() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.meter.read(c.nonNodeProcesses)
}

// nonNodeProcesses returns the ids of the processes other than nodes that connect to control processes.
func (c *conductor) nonNodeProcesses() (pids []int) {
	processes := append([]*process{c.discovery}, c.controls...)
	if c.regionLinks != nil {
		processes = append(processes, c.regionLinks)
	}
	for _, p := range processes {
		if pid := p.pid(); pid > 0 {
			pids = append(pids, pid)
		}
	}
	return pids
}

// reading is the traffic, CPU time and inputs of policies of all roles since the start of the run, and their present memory.
type reading struct {
	at         time.Time
	flows      map[role]flow
	use        map[role]usage
	deliveries deliveryCounts
}

func (c *conductor) reading() (r reading, err error) {
	if err := c.readTraffic(); err != nil {
		return r, err
	}
	c.mu.Lock()
	r = reading{at: time.Now(), flows: c.meter.flows(), use: map[role]usage{}, deliveries: c.ledger.deliveries()}
	c.mu.Unlock()
	for _, p := range c.all() {
		u, one := r.use[p.task.Role], p.use()
		u.CPU, u.Memory = u.CPU+one.CPU, u.Memory+one.Memory
		r.use[p.task.Role] = u
	}
	r.use[roleTools] = usageOf(os.Getpid())
	return r, nil
}

const roleTools role = "tools"

// phase returns the result of a phase from the readings before and after it.
func (c *conductor) phase(name string, from, to reading, latency *ChangeLatency) Phase {
	seconds := to.at.Sub(from.at).Seconds()
	p := Phase{Name: name, Seconds: seconds, Roles: map[string]Role{}, ChangeLatency: latency, Deliveries: deliveryCounts{
		Lists: to.deliveries.Lists - from.deliveries.Lists, Elements: to.deliveries.Elements - from.deliveries.Elements,
		Plans: to.deliveries.Plans - from.deliveries.Plans, RouteUpdates: to.deliveries.RouteUpdates - from.deliveries.RouteUpdates}}
	members := map[role]int{roleNodes: c.Size.Nodes, roleDiscovery: 1, roleTools: 1, roleControl: len(c.controls)}
	if c.Size.Membership {
		members[roleMembership] = c.Size.Nodes
	}
	if c.regionLinks != nil {
		members[roleRegionLinks] = 1
	}
	for r, n := range members {
		if n == 0 {
			continue
		}
		f := to.flows[r].minus(from.flows[r])
		p.Roles[string(r)] = Role{Members: n, BytesIn: f.BytesIn / seconds, BytesOut: f.BytesOut / seconds, MessagesIn: f.SegmentsIn / seconds,
			MessagesOut: f.SegmentsOut / seconds, CPU: (to.use[r].CPU - from.use[r].CPU) / seconds, Memory: to.use[r].Memory}
	}
	return p
}
