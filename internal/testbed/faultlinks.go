package testbed

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"fernvane/internal/testbed/scenario"
	"fernvane/internal/testbed/standin/mesh"
)

// linkFaults are the faults of links between nodes, by name.
var linkFaults = map[string]faultFunc{
	"cut-links":     linkFault(true, true, func(link *mesh.Direction, _ float64) { link.Cut = true }),
	"cut-links-out": linkFault(true, false, func(link *mesh.Direction, _ float64) { link.Cut = true }),
	"cut-links-in":  linkFault(false, true, func(link *mesh.Direction, _ float64) { link.Cut = true }),
	"late-links":    linkFault(true, true, func(link *mesh.Direction, size float64) { link.Delay = time.Duration(size * float64(time.Second)) }),
	"narrow-links":  linkFault(true, true, func(link *mesh.Direction, size float64) { link.BytesPerSecond = size * 1000 }),
	"garbled-links": linkFault(true, true, func(link *mesh.Direction, size float64) { link.Garble = size }),
	"lossy-links":   linkFault(true, true, func(link *mesh.Direction, size float64) { link.Loss, link.Duplication, link.Reorder = size, size, size }),
	"split-site": func(env *environment, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		var nodes []int
		for n := range env.nodes {
			if env.Scenario.Sites[n%len(env.Scenario.Sites)] == f.Site {
				nodes = append(nodes, n)
			}
		}
		env.setLinks(nodes, f.For.Std(), true, true, func(link *mesh.Direction) { link.Cut = true })
	},
}

// setLinks changes the links between the given nodes and all others for a time. out selects the links from the given
// nodes, in the links to them.
func (env *environment) setLinks(nodes []int, duration time.Duration, out, in bool, change func(*mesh.Direction)) {
	set := func(change func(*mesh.Direction)) {
		for _, n := range nodes {
			for other := range env.nodes {
				if slices.Contains(nodes, other) {
					continue
				}
				if out {
					env.mesh.Set(n, other, change)
				}
				if in {
					env.mesh.Set(other, n, change)
				}
			}
		}
	}
	set(change)
	env.after(duration, func() { set(func(link *mesh.Direction) { *link = mesh.Direction{} }) })
}

// linkFault returns a fault that changes the links of the chosen nodes by the size of the fault.
func linkFault(out, in bool, change func(*mesh.Direction, float64)) faultFunc {
	return func(env *environment, _ context.Context, f *scenario.Fault, rng *rand.Rand) {
		env.setLinks(env.chosenNodes(f, rng), f.For.Std(), out, in, func(link *mesh.Direction) { change(link, f.Size) })
	}
}
