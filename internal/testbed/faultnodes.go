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

// nodeFaults are the faults of nodes, their disks and machines.
var nodeFaults = map[string]faultFunc{
	"kill-nodes": func(env *environment, ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
		for _, n := range env.chosenNodes(f, chance) {
			env.killNode(n)
			env.after(f.For.Std(), func() { env.startNode(ctx, n) })
		}
	},
	"restart-nodes": func(env *environment, ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
		for _, n := range env.chosenNodes(f, chance) {
			env.balancer.Ended(n, plannedStopDelay)
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
	"stop-nodes": func(env *environment, ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
		for _, n := range env.chosenNodes(f, chance) {
			env.pauseNode(ctx, n, f.For.Std())
		}
	},
	"slow-disk": func(env *environment, _ context.Context, f *scenario.Fault, chance *rand.Rand) {
		nodes := env.anyNodes(f, chance)
		env.setDisks(nodes, seconds(f).String())
		env.after(f.For.Std(), func() { env.setDisks(nodes, "0s") })
	},
	"full-disk": func(env *environment, _ context.Context, f *scenario.Fault, chance *rand.Rand) {
		nodes := env.anyNodes(f, chance)
		env.setDisks(nodes, fullDiskText)
		env.after(f.For.Std(), func() { env.setDisks(nodes, "0s") })
	},
	"lose-machines": func(env *environment, ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
		for _, n := range env.chosenNodes(f, chance) {
			env.loseMachine(n)
			env.after(f.For.Std(), func() { env.startNode(ctx, n) })
		}
	},
	"old-disk": func(env *environment, ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
		for _, n := range env.chosenNodes(f, chance) {
			env.killNode(n)
			env.restoreDisk(n)
			env.after(f.For.Std(), func() { env.startNode(ctx, n) })
		}
	},
	"losses": func(env *environment, ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
		env.loseMachinesRepeatedly(ctx, f, chance)
	},
	"losses-beyond": func(env *environment, ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
		env.loseAllHolders(ctx, f, chance)
	},
	"reload": func(env *environment, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		every := time.Duration(float64(time.Minute) / f.Size)
		for i := 0; time.Duration(i)*every < f.For.Std(); i++ {
			env.after(time.Duration(i)*every, func() {
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

// chosenNodes returns the nodes that a fault names, or a share of all.
func (env *environment) chosenNodes(f *scenario.Fault, chance *rand.Rand) []int {
	if len(f.Nodes) > 0 {
		return f.Nodes
	}
	return chance.Perm(len(env.nodes))[:int(math.Ceil(f.Share*float64(len(env.nodes))))]
}
