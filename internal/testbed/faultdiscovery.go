package testbed

import (
	"context"
	"math/rand/v2"
	"time"

	"fernvane/internal/testbed/audit"
	"fernvane/internal/testbed/scenario"
	"fernvane/internal/testbed/standin/zookeeper"
)

// discoveryFaults are the faults of discovery and the registry, by name.
var discoveryFaults = map[string]faultFunc{
	"discovery-down": func(env *environment, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		env.discovery.SetDown(true)
		env.after(f.For.Std(), func() { env.discovery.SetDown(false) })
	},
	"discovery-move": func(env *environment, _ context.Context, _ *scenario.Fault, _ *rand.Rand) {
		env.mu.Lock()
		env.discovery.Move()
		env.discoveryMoves++
		err := env.serveDiscovery()
		env.mu.Unlock()
		for n, p := range env.nodes {
			if err == nil {
				err = env.writeNodeConfig(n)
			}
			p.reload()
		}
		if err != nil {
			env.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(-1, err.Error()) })
		}
	},
	"registry-flap": func(env *environment, _ context.Context, f *scenario.Fault, rng *rand.Rand) {
		sized := *f
		sized.Share = f.Size
		env.flapSessions(&sized, rng)
	},
	"registry-lag": ensembleFault(
		func(_ *environment, f *scenario.Fault, s *zookeeper.Server) { s.SetFaults(seconds(f), 0, false) },
		func(_ *environment, _ *scenario.Fault, s *zookeeper.Server) { s.SetFaults(0, 0, false) }),
	"registry-slow-events": ensembleFault(
		func(_ *environment, f *scenario.Fault, s *zookeeper.Server) { s.SetFaults(0, seconds(f), false) },
		func(_ *environment, _ *scenario.Fault, s *zookeeper.Server) { s.SetFaults(0, 0, false) }),
	"registry-break": ensembleFault(
		func(env *environment, _ *scenario.Fault, s *zookeeper.Server) {
			env.registry.SetRefusing(true)
			s.CloseConnections()
		},
		func(env *environment, _ *scenario.Fault, _ *zookeeper.Server) { env.registry.SetRefusing(false) }),
	"registry-silent": ensembleFault(
		func(_ *environment, _ *scenario.Fault, s *zookeeper.Server) { s.SetFaults(0, 0, true) },
		func(_ *environment, _ *scenario.Fault, s *zookeeper.Server) { s.SetFaults(0, 0, false) }),
	"registry-garbled": ensembleFault(
		func(_ *environment, f *scenario.Fault, s *zookeeper.Server) { s.Garble(max(int(1/f.Size), 1)) },
		func(_ *environment, _ *scenario.Fault, s *zookeeper.Server) { s.Garble(0) }),
	"registry-records": func(env *environment, _ context.Context, f *scenario.Fault, _ *rand.Rand) { env.addBadRecords(f) },
	"registry-late": func(env *environment, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		env.registry.DelayExpiry(seconds(f))
		env.after(f.For.Std(), func() { env.registry.DelayExpiry(0) })
	},
}
