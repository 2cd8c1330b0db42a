package testbed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"fernvane/internal/cluster/peer"
	"fernvane/internal/testbed/audit"
	"fernvane/internal/testbed/scenario"
	"fernvane/internal/testbed/standin/mesh"
)

const (
	maxSeeds                = 3 // nodes that each is told of at its start
	maxReplicationWait      = 60 * time.Second
	replicationPollInterval = 100 * time.Millisecond
	maxDowntime             = 700 * time.Millisecond // a machine is away
	aloneFor                = 2 * time.Second        // between losses where no replicas tell when all is whole
	lastLossBeforeEnd       = 8 * time.Second        // before the end of a run: none begins
)

// losses are those of machines with their disks.
type losses struct {
	mu         sync.Mutex
	machines   int
	cycles     int
	notified   map[int]bool // nodes whose journals were said to be lost
	replicated float64      // seconds until what was there before stood as often as it should
}

// steps are faults that wait for a frame.
type steps struct {
	mu   sync.Mutex
	wait []*waiting
	over bool // the load is: what nodes say as they stop is no step
}

type waiting struct {
	kind      byte
	node      int
	remaining int
	do        func()
}

func (w *world) peerListen(n int) string {
	return fmt.Sprintf("%s.%d.%d:%d", w.net, n/250, n%250+1, peerPort)
}

// peerPlace is where other nodes reach one, by the links between them.
func (w *world) peerAddress(n int) string {
	return fmt.Sprintf("%s.%d.%d:%d", w.net, 230+n/250, n%250+1, peerPort)
}

// tier has nodes know each other, over links that can fail, where the scenario says so.
func (w *world) tier() error {
	s := w.Scenario
	w.losses.notified = map[int]bool{}
	if s.Peers.Replicas == 0 {
		return nil
	}
	w.fabric = mesh.New()
	w.fabric.Frame = w.passes
	for n, p := range w.nodes {
		ip, _, _ := net.SplitHostPort(w.peerListen(n))
		if err := w.fabric.Join(n, ip, w.peerAddress(n), w.peerListen(n)); err != nil {
			return err
		}
		if err := os.MkdirAll(p.dataDir(), 0o755); err != nil {
			return err
		}
		var seeds []string
		for i := 1; i <= min(maxSeeds, len(w.nodes)-1); i++ {
			seeds = append(seeds, fmt.Sprintf("%q", w.peerAddress((n+i*i)%len(w.nodes))))
		}
		text := fmt.Sprintf("listen = %q\nadvertise = %q\npeers = [%s]\ndeployment = \"lab\"\nsite = %q\nmachine = \"m%d\"\nreplicas = %d\nheld = %q\nslow_after = %q\nrepair_bytes = %d\nplaintext = true\n",
			w.peerListen(n), w.peerAddress(n), strings.Join(seeds, ", "), s.Sites[n%len(s.Sites)], n, s.Peers.Replicas, p.dataDir(), s.Peers.SlowAfter.Std(), s.Peers.RepairBytes)
		if err := os.WriteFile(p.peers(), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// passes is notified of each frame between nodes, before it is passed on.
func (w *world) passes(from, to int, kind byte) {
	w.steps.mu.Lock()
	var due []func()
	if w.steps.over {
		w.steps.wait = nil
	}
	w.steps.wait = slices.DeleteFunc(w.steps.wait, func(s *waiting) bool {
		if s.kind != kind || s.node != from && s.node != to {
			return false
		}
		if s.remaining--; s.remaining > 0 {
			return false
		}
		due = append(due, s.do)
		return true
	})
	w.steps.mu.Unlock()
	for _, do := range due {
		do()
	}
}

// step has something done when a frame of a fault's kind passes.
func (w *world) step(f *scenario.Fault, do func()) {
	w.steps.mu.Lock()
	defer w.steps.mu.Unlock()
	w.steps.wait = append(w.steps.wait, &waiting{peer.FrameKindByName(f.When), f.Nodes[0], f.Nth, do})
}

// links changes what befalls the links between nodes and all others, for a while.
func (w *world) links(nodes []int, lasts time.Duration, out, in bool, change func(*mesh.Direction)) {
	set := func(change func(*mesh.Direction)) {
		for _, n := range nodes {
			for other := range w.nodes {
				if slices.Contains(nodes, other) {
					continue
				}
				if out {
					w.fabric.Set(n, other, change)
				}
				if in {
					w.fabric.Set(other, n, change)
				}
			}
		}
	}
	set(change)
	w.after(lasts, func() { set(func(way *mesh.Direction) { *way = mesh.Direction{} }) })
}

func linkFault(out, in bool, change func(*mesh.Direction, float64)) func(*world, context.Context, *scenario.Fault, *rand.Rand) {
	return func(w *world, _ context.Context, f *scenario.Fault, chance *rand.Rand) {
		w.links(w.chosenNodes(f, chance), f.For.Std(), out, in, func(way *mesh.Direction) { change(way, f.Size) })
	}
}

// anyNodes are those that a fault names, or all.
func (w *world) anyNodes(f *scenario.Fault, chance *rand.Rand) []int {
	if len(f.Nodes) > 0 || f.Share > 0 {
		return w.chosenNodes(f, chance)
	}
	return chance.Perm(len(w.nodes))
}

// kill ends a node without a word.
func (w *world) kill(n int) {
	w.observer.nodeDown(n, true)
	w.nodes[n].end(syscall.SIGKILL)
	w.balancer.Ended(n, w.Scenario.Nodes.Notice.Std())
	w.configure(n)
}

// lose ends a node and takes its disk away.
func (w *world) lose(n int) {
	w.kill(n)
	w.losses.mu.Lock()
	w.losses.machines++
	w.losses.mu.Unlock()
	p := w.nodes[n]
	for _, dir := range []string{p.journal(), p.dataDir(), p.lists()} {
		if _, err := os.Stat(dir); err == nil {
			os.RemoveAll(dir)
			os.MkdirAll(dir, 0o755)
		}
	}
}

// keepDisks copies what nodes hold on disk, for them to come back with later.
func (w *world) keepDisks(f *scenario.Fault, chance *rand.Rand) {
	for _, n := range w.chosenNodes(f, rand.New(rand.NewPCG(w.Scenario.Seed, uint64(chance.Uint32())))) {
		p := w.nodes[n]
		for _, dir := range []string{p.journal(), p.dataDir()} {
			os.RemoveAll(dir + ".old")
			os.CopyFS(dir+".old", os.DirFS(dir))
		}
	}
}

func (w *world) restoreDisk(n int) {
	p := w.nodes[n]
	for _, dir := range []string{p.journal(), p.dataDir()} {
		if _, err := os.Stat(dir + ".old"); err == nil {
			os.RemoveAll(dir)
			os.Rename(dir+".old", dir)
		}
	}
}

// pause has a node stand still for a while.
func (w *world) pause(ctx context.Context, n int, lasts time.Duration) {
	w.observer.nodeStill(n)
	w.balancer.Ended(n, w.Scenario.Nodes.Notice.Std())
	w.nodes[n].signal(syscall.SIGSTOP)
	w.after(lasts, func() {
		w.nodes[n].signal(syscall.SIGCONT)
		w.observer.nodeOn(n)
		w.balancer.Started(ctx, n)
	})
}

// ask finds out how the tier stands, as the command does.
func (w *world) ask(ctx context.Context) *peer.Client {
	cfg := &peer.Config{Deployment: "lab", Plaintext: true, Advertise: w.peerAddress(0), Replicas: w.Scenario.Peers.Replicas}
	for n := range min(len(w.nodes), maxSeeds+1) {
		cfg.Peers = append(cfg.Peers, w.peerAddress(n))
	}
	return peer.Query(ctx, cfg, false)
}

// whole waits until all nodes are there and all that they hold stands as often as it should.
func (w *world) isReplicated(ctx context.Context) error {
	if w.fabric == nil {
		select {
		case <-time.After(aloneFor):
		case <-ctx.Done():
		}
		return ctx.Err()
	}
	for by := time.Now().Add(maxReplicationWait); ; {
		c := w.ask(ctx)
		why := c.Shortfall()
		if len(c.Answered) < len(w.nodes) {
			why = fmt.Sprintf("%d of %d nodes answer", len(c.Answered), len(w.nodes))
		}
		if why == "" || ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(by) {
			return fmt.Errorf("not whole within %s: %s", maxReplicationWait, why)
		}
		select {
		case <-time.After(replicationPollInterval):
		case <-ctx.Done():
		case <-w.stopped:
			return context.Canceled
		}
	}
}

// loseAgain loses as many machines at once as there are replicas, lets them come back empty, and goes on when all is whole;
// meanwhile other nodes are cut off, stand still or have slow disks.
func (w *world) loseAgain(ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
	until := time.Now().Add(f.For.Std() - lastLossBeforeEnd)
	w.wg.Go(func() {
		for time.Now().Before(until) && ctx.Err() == nil {
			if err := w.isReplicated(ctx); err != nil {
				if !errors.Is(err, context.Canceled) {
					w.observer.record(func(a *audit.Audit, _ time.Duration) { a.JournalError(err.Error()) })
				}
				return
			}
			order := chance.Perm(len(w.nodes))
			n := max(w.Scenario.Peers.Replicas, 1)
			lost, others := order[:n], order[n:]
			var back sync.WaitGroup
			for _, n := range lost {
				wait := time.Duration(chance.Int64N(int64(200 * time.Millisecond)))
				away := time.Duration(chance.Int64N(int64(maxDowntime)))
				back.Go(func() {
					time.Sleep(wait)
					w.lose(n)
					time.Sleep(away)
					w.launch(ctx, n)
				})
			}
			lasts := 100*time.Millisecond + time.Duration(chance.Int64N(int64(1500*time.Millisecond)))
			if w.fabric != nil {
				switch chance.IntN(6) {
				case 0:
					w.links(others[:1], lasts, true, true, func(way *mesh.Direction) { way.Cut = true })
				case 1:
					w.links(others[:1], lasts, chance.IntN(2) == 0, chance.IntN(2) == 0, func(way *mesh.Direction) { way.Cut = true })
				case 2:
					w.links(others[:2], lasts, true, true, func(way *mesh.Direction) { way.Delay = 50 * time.Millisecond })
				case 3:
					w.disks(others[:1], "300ms")
					w.after(lasts, func() { w.disks(others[:1], "0s") })
				case 4:
					w.pause(ctx, others[0], lasts)
				}
			}
			back.Wait()
			select {
			case <-time.After(lasts):
			case <-w.stopped:
				return
			}
			w.losses.mu.Lock()
			w.losses.cycles++
			w.losses.mu.Unlock()
		}
	})
}

// loseBeyond loses a node and all that hold its journal, at once. Which journals that may cost is found out before.
func (w *world) loseBeyond(ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
	until := time.Now().Add(f.For.Std())
	w.wg.Go(func() {
		if err := w.isReplicated(ctx); err != nil {
			if !errors.Is(err, context.Canceled) {
				w.observer.record(func(a *audit.Audit, _ time.Duration) { a.JournalError(err.Error()) })
			}
			return
		}
		c := w.ask(ctx)
		n := chance.IntN(len(w.nodes))
		if time.Now().After(until) { // the machine is slow, and the run would end within it
			return
		}
		lost := c.HoldersOf(fmt.Sprint("n", n))
		for of := range w.nodes {
			if !c.SurvivesLoss(fmt.Sprint("n", of), lost) {
				w.losses.notified[of] = true
			}
		}
		var back sync.WaitGroup
		for _, name := range lost {
			var n int
			fmt.Sscanf(name, "n%d", &n)
			back.Go(func() {
				w.lose(n)
				time.Sleep(maxDowntime)
				w.launch(ctx, n)
			})
		}
		back.Wait()
	})
}
