package testbed

import (
	"context"
	"math"
	"math/rand/v2"
	"syscall"
	"time"

	"fernvane/internal/testbed/audit"
	"fernvane/internal/testbed/scenario"
)

// nodeFaults are the faults of nodes, their disks and machines, by name.
var nodeFaults = map[string]faultFunc{
	"kill-nodes": func(env *environment, ctx context.Context, f *scenario.Fault, rng *rand.Rand) {
		for _, n := range env.chosenNodes(f, rng) {
			env.killNode(n)
			env.after(f.For.Std(), func() { env.startNode(ctx, n) })
		}
	},
	"restart-nodes": func(env *environment, ctx context.Context, f *scenario.Fault, rng *rand.Rand) {
		for _, n := range env.chosenNodes(f, rng) {
			env.balancer.NodeEnded(n, plannedStopDelay)
			env.wg.Go(func() {
				if err := env.nodes[n].stop(syscall.SIGTERM); err != nil {
					env.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(n, err.Error()) })
				}
				env.observer.nodeDown(n, false)
				env.writeNodeConfig(n)
				env.startNode(ctx, n)
			})
		}
	},
	"stop-nodes": func(env *environment, ctx context.Context, f *scenario.Fault, rng *rand.Rand) {
		for _, n := range env.chosenNodes(f, rng) {
			env.pauseNode(ctx, n, f.For.Std())
		}
	},
	"slow-disk": func(env *environment, _ context.Context, f *scenario.Fault, rng *rand.Rand) {
		nodes := env.anyNodes(f, rng)
		env.writeDiskFiles(nodes, seconds(f).String())
		env.after(f.For.Std(), func() { env.writeDiskFiles(nodes, "0s") })
	},
	"full-disk": func(env *environment, _ context.Context, f *scenario.Fault, rng *rand.Rand) {
		nodes := env.anyNodes(f, rng)
		env.writeDiskFiles(nodes, fullDiskText)
		env.after(f.For.Std(), func() { env.writeDiskFiles(nodes, "0s") })
	},
	"lose-machines": func(env *environment, ctx context.Context, f *scenario.Fault, rng *rand.Rand) {
		for _, n := range env.chosenNodes(f, rng) {
			env.loseMachine(n)
			env.after(f.For.Std(), func() { env.startNode(ctx, n) })
		}
	},
	"old-disk": func(env *environment, ctx context.Context, f *scenario.Fault, rng *rand.Rand) {
		for _, n := range env.chosenNodes(f, rng) {
			env.killNode(n)
			env.restoreDisk(n)
			env.after(f.For.Std(), func() { env.startNode(ctx, n) })
		}
	},
	"losses": func(env *environment, ctx context.Context, f *scenario.Fault, rng *rand.Rand) {
		env.loseMachinesRepeatedly(ctx, f, rng)
	},
	"losses-beyond": func(env *environment, ctx context.Context, f *scenario.Fault, rng *rand.Rand) {
		env.loseAllHolders(ctx, f, rng)
	},
	"reload": func(env *environment, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		interval := time.Duration(float64(time.Minute) / f.Size)
		for i := 0; time.Duration(i)*interval < f.For.Std(); i++ {
			env.after(time.Duration(i)*interval, func() {
				if err := env.writeOperatorFiles(i + 1); err != nil {
					env.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(-1, err.Error()) })
				}
				for _, p := range env.nodes {
					p.reload()
				}
			})
		}
	},
}

// chosenNodes returns the nodes that a fault names, or a random share of all.
func (env *environment) chosenNodes(f *scenario.Fault, rng *rand.Rand) []int {
	if len(f.Nodes) > 0 {
		return f.Nodes
	}
	return rng.Perm(len(env.nodes))[:int(math.Ceil(f.Share*float64(len(env.nodes))))]
}
