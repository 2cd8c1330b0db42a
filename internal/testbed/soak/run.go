package soak

import (
	"context"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
	"fernvane/internal/testbed/standin/discovery"
	"fernvane/internal/testbed/standin/loopback"
)

// Ports of a run. Each run has its own addresses.
const (
	httpPort      = 8443
	fastCGIPort   = 8500
	serverPort    = 9000
	discoveryPort = 10000
)

// Options configures a run.
type Options struct {
	Command   []string // command line of a node; PROXY_CONFIG names its configuration
	Directory string   // for the node's files and log; "": a temporary directory
}

// Result is the result of a run.
type Result struct {
	Plan Plan
	Counts
	StopDuration time.Duration // from the stop until the node had exited
}

// run holds the stand-ins, the node process and the state of one run.
type run struct {
	plan      Plan
	audit     *Audit
	start     time.Time // times reported to the audit count from it
	network   *loopback.Network
	servers   []*server
	discovery *discovery.Service
	node      *node

	stoppedAt atomic.Pointer[time.Time] // time of the stop signal; nil: not sent yet
	isKilled  atomic.Bool

	mu     sync.Mutex
	unread []string // requests on connections that ended without a byte of an answer
}

func sortSignals(signals []timedSignal) {
	slices.SortStableFunc(signals, func(a, b timedSignal) int { return int(a.At - b.At) })
}

// Run executes one plan. An error means that the run could not be completed; the Result lists violations of rules.
func Run(ctx context.Context, plan Plan, o Options) (result Result, err error) {
	r := &run{plan: plan, audit: NewAudit(plan.HasIdleClients), start: time.Now()}
	if r.network, err = loopback.Reserve(); err != nil {
		return result, err
	}
	defer r.network.Release()
	if o.Directory == "" {
		if o.Directory, err = os.MkdirTemp("", "soak-"); err != nil {
			return result, err
		}
		defer os.RemoveAll(o.Directory)
	} else if err := os.MkdirAll(o.Directory, 0o755); err != nil {
		return result, err
	}
	r.node = &node{dir: o.Directory, command: o.Command}
	defer r.close()
	if err := r.build(); err != nil {
		return result, err
	}
	took, err := r.execute(ctx)
	if err != nil {
		return result, err
	}
	return Result{Plan: r.plan, Counts: r.audit.Counts(), StopDuration: took}, nil
}

func (r *run) httpAddress() string    { return r.network.Address(0, 1, httpPort) }
func (r *run) fastCGIAddress() string { return r.network.Address(0, 1, fastCGIPort) }

// discoveryAddress returns the address of discovery after it has moved a number of times.
func (r *run) discoveryAddress(moves int) string {
	return r.network.Address(200+moves, 1, discoveryPort)
}

// build starts the servers, discovery and the node.
func (r *run) build() error {
	var addresses []string
	for i := range r.plan.Servers {
		address := r.network.Address(100, i+1, serverPort)
		s, err := newServer(address, &r.plan, r.start, r.audit)
		if err != nil {
			return err
		}
		r.servers, addresses = append(r.servers, s), append(addresses, address)
	}
	r.discovery = newDiscovery(&r.plan, addresses)
	if err := r.discovery.Serve(0, 0, r.discoveryAddress(0)); err != nil {
		return err
	}
	if err := r.configure(0); err != nil {
		return err
	}
	return r.node.start(&r.plan, r.httpAddress(), r.fastCGIAddress())
}

func (r *run) configure(moves int) error {
	return r.node.configure(&r.plan, r.httpAddress(), r.fastCGIAddress(), r.discoveryAddress(moves), r.discovery.List(0))
}

func (r *run) close() {
	r.node.kill()
	for _, s := range r.servers {
		s.listener.Close()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
}

// execute runs the load, sends the signals, kills the node if it does not exit in time, and checks the results. took is the time from the
// stop until the node had exited.
func (r *run) execute(ctx context.Context) (took time.Duration, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var clients sync.WaitGroup
	for i := range r.plan.Clients {
		clients.Go(func() { newClient(r, i).serve(ctx) })
	}
	if r.plan.HasIdleClients {
		clients.Go(func() { runIdleClients(ctx, r.httpAddress()) })
	}
	stopAt := time.Now().Add(warmUp + maxSignalLead)
	if err := r.sendSignals(ctx, stopAt); err != nil {
		return 0, err
	}
	r.awaitExit()
	took = r.sinceStop()
	clients.Wait()
	r.checkNode()
	r.audit.Finish(r.unread)
	if r.plan.HasJournal {
		err = r.checkJournal()
	}
	return took, err
}

// sendSignals applies the faults and sends all signals. It returns after the stop signal; a goroutine sends the later ones.
func (r *run) sendSignals(ctx context.Context, stopAt time.Time) error {
	if !sleepUntil(ctx, stopAt.Add(-maxSignalLead)) {
		return ctx.Err()
	}
	if r.plan.MovesDiscovery {
		if err := r.discovery.Serve(0, 0, r.discoveryAddress(1)); err != nil {
			return err
		}
		if err := r.configure(1); err != nil {
			return err
		}
	}
	signals := r.plan.Signals
	for len(signals) > 0 && signals[0].At <= 0 {
		next := signals[0]
		signals = signals[1:]
		if !sleepUntil(ctx, stopAt.Add(next.At)) {
			return ctx.Err()
		}
		if next.At == 0 {
			r.applyFaults()
			now := time.Now()
			r.stoppedAt.Store(&now)
		}
		r.node.signal(next.Signal)
	}
	go func() {
		for _, next := range signals {
			if !sleepUntil(ctx, r.stoppedAt.Load().Add(next.At)) || r.node.hasExited() {
				return
			}
			r.node.signal(next.Signal)
		}
	}()
	return nil
}

// applyFaults starts the faults that begin with the stop: the drain of a server and the outage of discovery.
func (r *run) applyFaults() {
	if r.plan.DrainServer {
		r.servers[0].isDraining.Store(true)
		r.discovery.Set(discovery.Entry{ID: serverName(0), Site: "a", MachineKind: "m", Condition: discovery.Draining, Addresses: []string{r.servers[0].listener.Address()}})
	}
	if r.plan.DiscoveryDown {
		r.discovery.SetDown(true)
	}
}

// awaitExit waits until the node has exited, and kills it after Plan.KillAfter.
func (r *run) awaitExit() {
	select {
	case <-r.node.exited:
	case <-time.After(time.Until(r.stoppedAt.Load().Add(r.plan.KillAfter()))):
		r.audit.Violation(ExitsInTime, "node still running %s after the stop", r.plan.KillAfter().Round(time.Millisecond))
		r.isKilled.Store(true)
		r.node.kill()
	}
}

// checkNode checks the exit code and the log of the process.
func (r *run) checkNode() {
	if code := r.node.cmd.ProcessState.ExitCode(); code != 0 && !r.wasKilled() {
		r.audit.Violation(ExitsCleanly, "exit code %d: %s", code, r.node.log())
	}
	if r.node.hasPanicked() {
		r.audit.Violation(ExitsCleanly, "node log contains a panic")
	}
}

// checkJournal reads the node's journal and compares it with the executions.
func (r *run) checkJournal() error {
	merger, entries := intent.NewMerger(), map[string]*intent.Entry{}
	report, err := wal.Scan(wal.OSFileSystem{}, r.node.journalDir(), time.Time{}, func(record *intent.Record) error {
		if e := merger.Add(record); e != nil {
			entries[e.RequestID] = e
		}
		return nil
	}, nil)
	if err != nil {
		return err
	}
	for _, e := range merger.Incomplete() {
		entries[e.RequestID] = e
	}
	if n := report.CorruptCount(); n > 0 {
		r.audit.Violation(JournalComplete, "journal has %d corrupt ranges", n)
	}
	r.audit.CheckJournal(entries, len(merger.Gaps) > 0)
	return nil
}

// sinceStop returns the time since the stop signal; it is negative before the signal.
func (r *run) sinceStop() time.Duration {
	if at := r.stoppedAt.Load(); at != nil {
		return time.Since(*at)
	}
	return -time.Nanosecond
}

func (r *run) wasKilled() bool { return r.isKilled.Load() }

func (r *run) addUnread(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unread = append(r.unread, ids...)
}

// sleepUntil waits until a time and returns true. It returns false if ctx ends before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}
