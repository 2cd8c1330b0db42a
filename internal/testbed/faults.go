package testbed

import (
	"context"
	"math/rand/v2"
	"time"

	"fernvane/internal/testbed/scenario"
)

// faultFunc applies a fault and returns at once; what comes later is left to environment.after. chance chooses what the
// fault does not name, by the scenario's seed.
type faultFunc = func(env *environment, ctx context.Context, f *scenario.Fault, chance *rand.Rand)

// faultGroups hold all faults by their names in scenario files.
var faultGroups = []map[string]faultFunc{serverFaults, nodeFaults, plannerFaults, linkFaults, discoveryFaults, clientFaults}

// scheduleFaults has each fault applied at its time, and starts the pauses of servers.
func (env *environment) scheduleFaults(ctx context.Context, shift time.Duration) {
	begin := env.start.Add(shift)
	for i := range env.Scenario.Faults {
		f := &env.Scenario.Faults[i]
		chance := rand.New(rand.NewPCG(env.Scenario.Seed, uint64(1000+i)))
		if f.Kind == "old-disk" { // the disk that nodes come back with is of an earlier time
			env.after(time.Until(begin.Add(f.At.Std()-seconds(f))), func() { env.backUpDisks(f, chance) })
		}
		env.after(time.Until(begin.Add(f.At.Std())), func() {
			if f.When != "" {
				env.onFrame(f, func() { env.applyFault(ctx, f, chance) })
				return
			}
			env.applyFault(ctx, f, chance)
		})
	}
	for _, m := range env.servers {
		if m.spec.PauseEvery > 0 {
			env.wg.Go(func() { env.pauseRepeatedly(m) })
		}
	}
}

// clientFaults are those of clients. Some are a part of the schedule and do nothing here.
var clientFaults = map[string]faultFunc{
	"rude":     func(env *environment, _ context.Context, f *scenario.Fault, _ *rand.Rand) { env.sendMalformed(f) },
	"hot-key":  func(*environment, context.Context, *scenario.Fault, *rand.Rand) {},
	"overload": func(*environment, context.Context, *scenario.Fault, *rand.Rand) {},
}

// applyFault applies a fault when no other is being applied. scenario.Parse has checked its kind.
func (env *environment) applyFault(ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
	env.faultMu.Lock()
	defer env.faultMu.Unlock()
	for _, group := range faultGroups {
		if apply, ok := group[f.Kind]; ok {
			apply(env, ctx, f, chance)
			return
		}
	}
	panic("no fault of kind " + f.Kind)
}
