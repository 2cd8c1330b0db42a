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
	maxSeeds                 = 3 // nodes that each knows at its start
	maxReplicationWait       = 60 * time.Second
	replicationPollInterval  = 100 * time.Millisecond
	maxDowntime              = 700 * time.Millisecond // of a lost machine
	lossIntervalWithoutPeers = 2 * time.Second        // there is no replication to wait for
	lastLossBeforeEnd        = 8 * time.Second        // of a run; no loss begins later
)

// lossCounts counts machines that were lost with their disks. mu guards it.
type lossCounts struct {
	mu                 sync.Mutex
	machines           int
	cycles             int
	expectedLost       map[int]bool // nodes whose journals may be lost with all replicas
	replicationSeconds float64      // how long it took until the entries of an earlier run were replicated
}

// frameTriggers are faults that wait for a frame between nodes. mu guards them.
type frameTriggers struct {
	mu      sync.Mutex
	pending []*frameTrigger
	isOver  bool // the load is over; frames of stopping nodes trigger nothing
}

// frameTrigger calls action at the remaining-th frame of a kind from or to a node.
type frameTrigger struct {
	kind      byte
	node      int
	remaining int
	action    func()
}

// peerListen returns where a node listens for other nodes, behind their links.
func (env *environment) peerListen(n int) string {
	return env.network.Address(n/250, n%250+1, peerPort)
}

// peerAddress returns where other nodes reach a node, through the links between them.
func (env *environment) peerAddress(n int) string {
	return env.network.Address(230+n/250, n%250+1, peerPort)
}

// setUpPeers configures the nodes to know each other through links that can fail, if the scenario has replicas.
func (env *environment) setUpPeers() error {
	s := env.Scenario
	env.losses.expectedLost = map[int]bool{}
	if s.Peers.Replicas == 0 {
		return nil
	}
	env.mesh = mesh.New()
	env.mesh.Frame = env.frameForwarded
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

// frameForwarded is called for each frame between nodes before it is forwarded, and runs the triggers that it fires.
func (env *environment) frameForwarded(from, to int, kind byte) {
	env.frameTriggers.mu.Lock()
	var due []func()
	if env.frameTriggers.isOver {
		env.frameTriggers.pending = nil
	}
	env.frameTriggers.pending = slices.DeleteFunc(env.frameTriggers.pending, func(s *frameTrigger) bool {
		if s.kind != kind || s.node != from && s.node != to {
			return false
		}
		if s.remaining--; s.remaining > 0 {
			return false
		}
		due = append(due, s.action)
		return true
	})
	env.frameTriggers.mu.Unlock()
	for _, do := range due {
		do()
	}
}

// onFrame has do called when the frame that the fault names is forwarded.
func (env *environment) onFrame(f *scenario.Fault, do func()) {
	env.frameTriggers.mu.Lock()
	defer env.frameTriggers.mu.Unlock()
	env.frameTriggers.pending = append(env.frameTriggers.pending, &frameTrigger{peer.FrameKindByName(f.When), f.Nodes[0], f.Nth, do})
}

// anyNodes returns the nodes that a fault names, or all.
func (env *environment) anyNodes(f *scenario.Fault, chance *rand.Rand) []int {
	if len(f.Nodes) > 0 || f.Share > 0 {
		return env.chosenNodes(f, chance)
	}
	return chance.Perm(len(env.nodes))
}

// killNode kills a node's process.
func (env *environment) killNode(n int) {
	env.observer.nodeDown(n, true)
	env.nodes[n].stop(syscall.SIGKILL)
	env.balancer.Ended(n, env.Scenario.Nodes.Notice.Std())
	env.writeNodeConfig(n)
}

// pauseNode pauses a node's process for a time.
func (env *environment) pauseNode(ctx context.Context, n int, duration time.Duration) {
	env.observer.nodePaused(n)
	env.balancer.Ended(n, env.Scenario.Nodes.Notice.Std())
	env.nodes[n].signal(syscall.SIGSTOP)
	env.after(duration, func() {
		env.nodes[n].signal(syscall.SIGCONT)
		env.observer.nodeResumed(n)
		env.balancer.Started(ctx, n)
	})
}
