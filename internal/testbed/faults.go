package testbed

import (
	"context"
	"math/rand/v2"
	"time"

	"fernvane/internal/testbed/scenario"
)

// faultFunc applies a fault and schedules later steps, such as the end of the fault, with environment.after. It may wait for
// the exit of processes that it kills, but not for later steps, because faults are applied one at a time. It draws targets
// that the fault does not name from rng, which is seeded by the scenario.
type faultFunc = func(env *environment, ctx context.Context, f *scenario.Fault, rng *rand.Rand)

// faultGroups holds all faults by their names in scenario files.
var faultGroups = []map[string]faultFunc{serverFaults, nodeFaults, plannerFaults, linkFaults, discoveryFaults, clientFaults}

// scheduleFaults schedules each fault at its time and starts the periodic pauses of servers.
func (env *environment) scheduleFaults(ctx context.Context, shift time.Duration) {
	loadStart := env.start.Add(shift)
	for i := range env.Scenario.Faults {
		f := &env.Scenario.Faults[i]
		rng := rand.New(rand.NewPCG(env.Scenario.Seed, uint64(1000+i)))
		if f.Kind == "old-disk" { // nodes restart with a backup that is older than the fault by its size
			env.after(time.Until(loadStart.Add(f.At.Std()-seconds(f))), func() { env.backUpDisks(f, rng) })
		}
		env.after(time.Until(loadStart.Add(f.At.Std())), func() {
			if f.When != "" {
				env.onFrame(f, func() { env.applyFault(ctx, f, rng) })
				return
			}
			env.applyFault(ctx, f, rng)
		})
	}
	for _, m := range env.servers {
		if m.spec.PauseEvery > 0 {
			env.wg.Go(func() { env.pauseRepeatedly(m) })
		}
	}
}

// clientFaults are the faults of clients, by name. The schedule implements hot-key and overload, so they do nothing here.
var clientFaults = map[string]faultFunc{
	"rude":     func(env *environment, _ context.Context, f *scenario.Fault, _ *rand.Rand) { env.sendMalformed(f) },
	"hot-key":  func(*environment, context.Context, *scenario.Fault, *rand.Rand) {},
	"overload": func(*environment, context.Context, *scenario.Fault, *rand.Rand) {},
}

// applyFault applies a fault, one at a time. scenario.Parse has checked that its kind exists.
func (env *environment) applyFault(ctx context.Context, f *scenario.Fault, rng *rand.Rand) {
	env.faultMu.Lock()
	defer env.faultMu.Unlock()
	for _, group := range faultGroups {
		if apply, ok := group[f.Kind]; ok {
			apply(env, ctx, f, rng)
			return
		}
	}
	panic("unknown fault kind " + f.Kind)
}
