package testbed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"fernvane/internal/cluster/peer"
	"fernvane/internal/testbed/audit"
	"fernvane/internal/testbed/scenario"
	"fernvane/internal/testbed/standin/mesh"
)

// loseMachine kills a node and deletes its disk.
func (env *environment) loseMachine(n int) {
	env.killNode(n)
	env.losses.mu.Lock()
	env.losses.machines++
	env.losses.mu.Unlock()
	p := env.nodes[n]
	for _, dir := range []string{p.journalDir(), p.dataDir(), p.snapshotDir()} {
		if _, err := os.Stat(dir); err == nil {
			os.RemoveAll(dir)
			os.MkdirAll(dir, 0o755)
		}
	}
}

// backUpDisks copies the disks of the nodes that an old-disk fault names; restoreDisk restores the copies. For a share of
// the nodes it draws independently of the fault, and nodes without a copy restart with their current disks.
func (env *environment) backUpDisks(f *scenario.Fault, rng *rand.Rand) {
	for _, n := range env.chosenNodes(f, rand.New(rand.NewPCG(env.Scenario.Seed, uint64(rng.Uint32())))) {
		p := env.nodes[n]
		for _, dir := range []string{p.journalDir(), p.dataDir()} {
			os.RemoveAll(dir + ".old")
			os.CopyFS(dir+".old", os.DirFS(dir))
		}
	}
}

// restoreDisk replaces a node's disk by its backup.
func (env *environment) restoreDisk(n int) {
	p := env.nodes[n]
	for _, dir := range []string{p.journalDir(), p.dataDir()} {
		if _, err := os.Stat(dir + ".old"); err == nil {
			os.RemoveAll(dir)
			os.Rename(dir+".old", dir)
		}
	}
}

// queryPeers queries the nodes for their replication state, like the node's command.
func (env *environment) queryPeers(ctx context.Context) *peer.Client {
	cfg := &peer.Config{Deployment: "lab", Plaintext: true, Advertise: env.peerAddress(0), Replicas: env.Scenario.Peers.Replicas}
	for n := range min(len(env.nodes), maxSeeds+1) {
		cfg.Peers = append(cfg.Peers, env.peerAddress(n))
	}
	return peer.Query(ctx, cfg, false)
}

// awaitReplicated waits until all nodes respond and all their entries are replicated. Without replication it waits for
// lossIntervalWithoutPeers.
func (env *environment) awaitReplicated(ctx context.Context) error {
	if env.mesh == nil {
		select {
		case <-time.After(lossIntervalWithoutPeers):
		case <-ctx.Done():
		}
		return ctx.Err()
	}
	for deadline := time.Now().Add(maxReplicationWait); ; {
		c := env.queryPeers(ctx)
		shortfall := c.Shortfall()
		if len(c.Responses) < len(env.nodes) {
			shortfall = fmt.Sprintf("%d of %d nodes respond", len(c.Responses), len(env.nodes))
		}
		if shortfall == "" || ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("entries not replicated within %s: %s", maxReplicationWait, shortfall)
		}
		select {
		case <-time.After(replicationPollInterval):
		case <-ctx.Done():
		case <-env.stopped:
			return context.Canceled
		}
	}
}

// loseMachinesRepeatedly loses as many machines at nearly the same time as there are replicas, or one without replicas, and
// restarts them with empty disks, again and again; each round starts when all entries are replicated. In most rounds with
// replicas another node is partitioned, paused or gets a slow disk, or two get slow links.
func (env *environment) loseMachinesRepeatedly(ctx context.Context, f *scenario.Fault, rng *rand.Rand) {
	until := time.Now().Add(f.For.Std() - lastLossBeforeEnd)
	env.wg.Go(func() {
		for time.Now().Before(until) && ctx.Err() == nil {
			if err := env.awaitReplicated(ctx); err != nil {
				if !errors.Is(err, context.Canceled) {
					env.observer.record(func(a *audit.Audit, _ time.Duration) { a.JournalError(err.Error()) })
				}
				return
			}
			order := rng.Perm(len(env.nodes))
			n := max(env.Scenario.Peers.Replicas, 1)
			lost, others := order[:n], order[n:]
			var restarts sync.WaitGroup
			for _, n := range lost {
				delay := time.Duration(rng.Int64N(int64(200 * time.Millisecond)))
				downtime := time.Duration(rng.Int64N(int64(maxDowntime)))
				restarts.Go(func() {
					time.Sleep(delay)
					env.loseMachine(n)
					time.Sleep(downtime)
					env.startNode(ctx, n)
				})
			}
			duration := 100*time.Millisecond + time.Duration(rng.Int64N(int64(1500*time.Millisecond)))
			if env.mesh != nil {
				switch rng.IntN(6) {
				case 0:
					env.setLinks(others[:1], duration, true, true, func(link *mesh.Direction) { link.Cut = true })
				case 1:
					env.setLinks(others[:1], duration, rng.IntN(2) == 0, rng.IntN(2) == 0, func(link *mesh.Direction) { link.Cut = true })
				case 2:
					env.setLinks(others[:2], duration, true, true, func(link *mesh.Direction) { link.Delay = 50 * time.Millisecond })
				case 3:
					env.writeDiskFiles(others[:1], "300ms")
					env.after(duration, func() { env.writeDiskFiles(others[:1], "0s") })
				case 4:
					env.pauseNode(ctx, others[0], duration)
				}
			}
			restarts.Wait()
			select {
			case <-time.After(duration):
			case <-env.stopped:
				return
			}
			env.losses.mu.Lock()
			env.losses.cycles++
			env.losses.mu.Unlock()
		}
	})
}

// loseAllHolders loses a node and all replica holders of its journal at the same time, when all entries are replicated.
// Before that it records which journals the loss can destroy.
func (env *environment) loseAllHolders(ctx context.Context, f *scenario.Fault, rng *rand.Rand) {
	until := time.Now().Add(f.For.Std())
	env.wg.Go(func() {
		if err := env.awaitReplicated(ctx); err != nil {
			if !errors.Is(err, context.Canceled) {
				env.observer.record(func(a *audit.Audit, _ time.Duration) { a.JournalError(err.Error()) })
			}
			return
		}
		c := env.queryPeers(ctx)
		n := rng.IntN(len(env.nodes))
		if time.Now().After(until) { // on a slow machine, replication can take so long that the run would end before the loss
			return
		}
		lost := c.HoldersOf(fmt.Sprint("n", n))
		for node := range env.nodes {
			if !c.SurvivesLoss(fmt.Sprint("n", node), lost) {
				env.losses.expectedLost[node] = true
			}
		}
		var restarts sync.WaitGroup
		for _, name := range lost {
			var n int
			fmt.Sscanf(name, "n%d", &n)
			restarts.Go(func() {
				env.loseMachine(n)
				time.Sleep(maxDowntime)
				env.startNode(ctx, n)
			})
		}
		restarts.Wait()
	})
}
