package testbed

import (
	"context"
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
	"fernvane/internal/testbed/scenario"
	"fernvane/internal/testbed/standin/mesh"
)

const (
	maxSeeds                 = 3 // peers in the configuration of each node
	maxReplicationWait       = 60 * time.Second
	replicationPollInterval  = 100 * time.Millisecond
	maxDowntime              = 700 * time.Millisecond // of a lost machine until its node restarts
	lossIntervalWithoutPeers = 2 * time.Second        // between losses, if nodes do not replicate
	lastLossBeforeEnd        = 8 * time.Second        // final part of the fault in which no new loss begins
)

// lossCounts counts machines that were lost with their disks. mu guards replicationSeconds and changes of machines and
// cycles. The goroutine of a losses-beyond fault changes expectedLost, which is read after the load.
type lossCounts struct {
	mu                 sync.Mutex
	machines           int
	cycles             int          // completed rounds of losses
	expectedLost       map[int]bool // nodes whose journal and replicas were all on lost machines
	replicationSeconds float64      // until the entries of an earlier run were replicated; 0: they were not
}

// frameTriggers holds faults that are applied when a frame between nodes is forwarded. mu guards the other fields.
type frameTriggers struct {
	mu      sync.Mutex
	pending []*frameTrigger
	isOver  bool // the load has ended: frames of stopping nodes trigger no fault
}

// frameTrigger calls action when the remaining-th frame of a kind from or to a node is forwarded.
type frameTrigger struct {
	kind      byte
	node      int
	remaining int
	action    func()
}

// peerListen returns the address on which a node accepts connections from its peers, behind the simulated links.
func (env *environment) peerListen(n int) string {
	return env.network.Address(n/250, n%250+1, peerPort)
}

// peerAddress returns the address at which peers reach a node through the simulated links.
func (env *environment) peerAddress(n int) string {
	return env.network.Address(230+n/250, n%250+1, peerPort)
}

// setUpPeers configures the nodes as peers over links that faults can disturb, if the scenario has replicas.
func (env *environment) setUpPeers() error {
	s := env.Scenario
	env.losses.expectedLost = map[int]bool{}
	if s.Peers.Replicas == 0 {
		return nil
	}
	env.mesh = mesh.New()
	env.mesh.OnFrame = env.frameForwarded
	for n, p := range env.nodes {
		ip, _, _ := net.SplitHostPort(env.peerListen(n))
		if err := env.mesh.Join(n, ip, env.peerAddress(n), env.peerListen(n)); err != nil {
			return err
		}
		if err := os.MkdirAll(p.dataDir(), 0o755); err != nil {
			return err
		}
		var seeds []string
		for i := 1; i <= min(maxSeeds, len(env.nodes)-1); i++ {
			seeds = append(seeds, fmt.Sprintf("%q", env.peerAddress((n+i*i)%len(env.nodes))))
		}
		text := fmt.Sprintf("listen = %q\nadvertise = %q\npeers = [%s]\ndeployment = \"lab\"\nsite = %q\nmachine = \"m%d\"\nreplicas = %d\nheld = %q\nslow_after = %q\nrepair_bytes = %d\nplaintext = true\n",
			env.peerListen(n), env.peerAddress(n), strings.Join(seeds, ", "), s.Sites[n%len(s.Sites)], n, s.Peers.Replicas, p.dataDir(), s.Peers.SlowAfter.Std(), s.Peers.RepairBytes)
		if err := os.WriteFile(p.peersPath(), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// frameForwarded runs the triggers that a frame between nodes fires. The mesh calls it before it forwards the frame.
func (env *environment) frameForwarded(from, to int, kind byte) {
	env.frameTriggers.mu.Lock()
	var due []func()
	if env.frameTriggers.isOver {
		env.frameTriggers.pending = nil
	}
	env.frameTriggers.pending = slices.DeleteFunc(env.frameTriggers.pending, func(t *frameTrigger) bool {
		if t.kind != kind || t.node != from && t.node != to {
			return false
		}
		if t.remaining--; t.remaining > 0 {
			return false
		}
		due = append(due, t.action)
		return true
	})
	env.frameTriggers.mu.Unlock()
	for _, action := range due {
		action()
	}
}

// onFrame calls action when the frame that the fault specifies is forwarded.
func (env *environment) onFrame(f *scenario.Fault, action func()) {
	env.frameTriggers.mu.Lock()
	defer env.frameTriggers.mu.Unlock()
	env.frameTriggers.pending = append(env.frameTriggers.pending, &frameTrigger{peer.FrameKindByName(f.When), f.Nodes[0], f.Nth, action})
}

// anyNodes returns the nodes that a fault names or a share of all; all in random order if the fault specifies neither.
func (env *environment) anyNodes(f *scenario.Fault, rng *rand.Rand) []int {
	if len(f.Nodes) > 0 || f.Share > 0 {
		return env.chosenNodes(f, rng)
	}
	return rng.Perm(len(env.nodes))
}

// killNode kills a node's process and writes the configuration for its restart.
func (env *environment) killNode(n int) {
	env.observer.nodeDown(n, true)
	env.nodes[n].stop(syscall.SIGKILL)
	env.balancer.NodeEnded(n, env.Scenario.Nodes.CrashNotice.Std())
	env.writeNodeConfig(n)
}

// pauseNode pauses a node's process with SIGSTOP and resumes it after duration.
func (env *environment) pauseNode(ctx context.Context, n int, duration time.Duration) {
	env.observer.nodePaused(n)
	env.balancer.NodeEnded(n, env.Scenario.Nodes.CrashNotice.Std())
	env.nodes[n].signal(syscall.SIGSTOP)
	env.after(duration, func() {
		env.nodes[n].signal(syscall.SIGCONT)
		env.observer.nodeResumed(n)
		env.balancer.NodeStarted(ctx, n)
	})
}
