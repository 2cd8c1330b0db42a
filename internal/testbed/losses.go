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

// backUpDisks copies the disks of the nodes of an old-disk fault, for restoreDisk.
func (env *environment) backUpDisks(f *scenario.Fault, chance *rand.Rand) {
	for _, n := range env.chosenNodes(f, rand.New(rand.NewPCG(env.Scenario.Seed, uint64(chance.Uint32())))) {
		p := env.nodes[n]
		for _, dir := range []string{p.journalDir(), p.dataDir()} {
			os.RemoveAll(dir + ".old")
			os.CopyFS(dir+".old", os.DirFS(dir))
		}
	}
}

// restoreDisk puts a node's backed up disk in the place of its present one.
func (env *environment) restoreDisk(n int) {
	p := env.nodes[n]
	for _, dir := range []string{p.journalDir(), p.dataDir()} {
		if _, err := os.Stat(dir + ".old"); err == nil {
			os.RemoveAll(dir)
			os.Rename(dir+".old", dir)
		}
	}
}

// queryPeers queries the state of replication, as the node's command does.
func (env *environment) queryPeers(ctx context.Context) *peer.Client {
	cfg := &peer.Config{Deployment: "lab", Plaintext: true, Advertise: env.peerAddress(0), Replicas: env.Scenario.Peers.Replicas}
	for n := range min(len(env.nodes), maxSeeds+1) {
		cfg.Peers = append(cfg.Peers, env.peerAddress(n))
	}
	return peer.Query(ctx, cfg, false)
}

// awaitReplicated waits until all nodes answer and all their entries are replicated.
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
		why := c.Shortfall()
		if len(c.Answered) < len(env.nodes) {
			why = fmt.Sprintf("%d of %d nodes answer", len(c.Answered), len(env.nodes))
		}
		if why == "" || ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not replicated within %s: %s", maxReplicationWait, why)
		}
		select {
		case <-time.After(replicationPollInterval):
		case <-ctx.Done():
		case <-env.stopped:
			return context.Canceled
		}
	}
}

// loseMachinesRepeatedly loses as many machines at once as there are replicas, restarts them with empty disks and repeats
// this when all is replicated. Meanwhile other nodes are cut off, paused or have slow disks.
func (env *environment) loseMachinesRepeatedly(ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
	until := time.Now().Add(f.For.Std() - lastLossBeforeEnd)
	env.wg.Go(func() {
		for time.Now().Before(until) && ctx.Err() == nil {
			if err := env.awaitReplicated(ctx); err != nil {
				if !errors.Is(err, context.Canceled) {
					env.observer.record(func(a *audit.Audit, _ time.Duration) { a.JournalError(err.Error()) })
				}
				return
			}
			order := chance.Perm(len(env.nodes))
			n := max(env.Scenario.Peers.Replicas, 1)
			lost, others := order[:n], order[n:]
			var restarts sync.WaitGroup
			for _, n := range lost {
				delay := time.Duration(chance.Int64N(int64(200 * time.Millisecond)))
				downtime := time.Duration(chance.Int64N(int64(maxDowntime)))
				restarts.Go(func() {
					time.Sleep(delay)
					env.loseMachine(n)
					time.Sleep(downtime)
					env.startNode(ctx, n)
				})
			}
			duration := 100*time.Millisecond + time.Duration(chance.Int64N(int64(1500*time.Millisecond)))
			if env.mesh != nil {
				switch chance.IntN(6) {
				case 0:
					env.setLinks(others[:1], duration, true, true, func(link *mesh.Direction) { link.Cut = true })
				case 1:
					env.setLinks(others[:1], duration, chance.IntN(2) == 0, chance.IntN(2) == 0, func(link *mesh.Direction) { link.Cut = true })
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

// loseAllHolders loses a node and all holders of its journal at once, and records before which journals that may lose.
func (env *environment) loseAllHolders(ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
	until := time.Now().Add(f.For.Std())
	env.wg.Go(func() {
		if err := env.awaitReplicated(ctx); err != nil {
			if !errors.Is(err, context.Canceled) {
				env.observer.record(func(a *audit.Audit, _ time.Duration) { a.JournalError(err.Error()) })
			}
			return
		}
		c := env.queryPeers(ctx)
		n := chance.IntN(len(env.nodes))
		if time.Now().After(until) { // on a slow machine the run would end before the loss does
			return
		}
		lost := c.HoldersOf(fmt.Sprint("n", n))
		for of := range env.nodes {
			if !c.SurvivesLoss(fmt.Sprint("n", of), lost) {
				env.losses.expectedLost[of] = true
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
