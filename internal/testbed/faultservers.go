package testbed

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fernvane/internal/testbed/audit"
	"fernvane/internal/testbed/scenario"
	"fernvane/internal/testbed/standin/discovery"
	"fernvane/internal/testbed/standin/server"
)

// serverFaults are the faults of servers and sites, by name.
var serverFaults = map[string]faultFunc{
	"slow": eachServer(func(env *environment, f *scenario.Fault, m *standinServer) {
		setSlowdown := func(factor float64) {
			m.WithModel(func(model *server.Model, _ time.Duration, _ func(server.Event)) { model.SetSlowdown(factor) })
		}
		setSlowdown(f.Size)
		env.after(f.For.Std(), func() { setSlowdown(1) })
	}),
	"hang": eachServer(func(env *environment, f *scenario.Fault, m *standinServer) {
		m.WithModel(func(model *server.Model, now time.Duration, report func(server.Event)) { model.Pause(now, report) })
		env.after(f.For.Std(), func() {
			m.WithModel(func(model *server.Model, now time.Duration, report func(server.Event)) { model.Resume(now, report) })
		})
	}),
	"pause": eachServer(func(env *environment, f *scenario.Fault, m *standinServer) {
		m.SetPaused(true)
		env.after(f.For.Std(), func() { m.SetPaused(false) })
	}),
	"crash": eachServer(func(env *environment, f *scenario.Fault, m *standinServer) {
		m.Crash()
		env.serverCrashed(m, f.For.Std())
	}),
	"cut-before":    requestShare(func(faults *server.Faults, share float64) { faults.CutBefore = share }),
	"cut-within":    requestShare(func(faults *server.Faults, share float64) { faults.CutWithin = share }),
	"cut-after":     requestShare(func(faults *server.Faults, share float64) { faults.CutAfter = share }),
	"refuse":        requestShare(func(faults *server.Faults, share float64) { faults.Reject = share }),
	"error":         requestShare(func(faults *server.Faults, share float64) { faults.ErrorResponse = share }),
	"spoil":         requestShare(func(faults *server.Faults, share float64) { faults.GarbleResponse = share }),
	"late-copies":   copyFault(func(faults *server.Faults, share float64) { faults.CopyResponse = share }),
	"late-refusals": copyFault(func(faults *server.Faults, share float64) { faults.CopyRejection = share }),
	"cut-site": func(env *environment, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		cut := slices.Index(env.Scenario.Sites, f.Site)
		servers := slices.Clone(env.servers)
		eachCutLink := func(do func(m *standinServer, site int)) {
			for _, m := range servers {
				for site := range env.Scenario.Sites {
					if (m.Site == cut) != (site == cut) {
						do(m, site)
					}
				}
			}
		}
		eachCutLink(func(m *standinServer, site int) { m.CutOff(site) })
		env.after(f.For.Std(), func() { eachCutLink(func(m *standinServer, site int) { m.EndCutOff(site) }) })
	},
	"lose-site": func(env *environment, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		for _, m := range env.servers {
			if env.Scenario.Sites[m.Site] == f.Site {
				m.LosePower()
				env.serverCrashed(m, f.For.Std())
			}
		}
	},
	"shrink": func(env *environment, _ context.Context, f *scenario.Fault, rng *rand.Rand) {
		drainCount := int(math.Round((1 - f.Size) * float64(len(env.servers))))
		for i, n := range rng.Perm(len(env.servers))[:drainCount] {
			env.after(f.For.Std()*time.Duration(i)/time.Duration(max(drainCount, 1)), func() { env.drainServer(env.servers[n]) })
		}
	},
	"replace": func(env *environment, _ context.Context, f *scenario.Fault, rng *rand.Rand) {
		replaced := env.chosenServers(f, rng)
		for i, m := range replaced {
			added, err := env.addServer(m.spec, fmt.Sprintf("%s-new-%d", m.Name, i))
			if err != nil {
				env.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(-1, err.Error()) })
				return
			}
			added.Crash() // it stays down until it replaces m
			env.after(f.For.Std()*time.Duration(i)/time.Duration(len(replaced)), func() {
				env.drainServer(m)
				env.startServer(added)
			})
		}
	},
}

// eachServer returns a fault that calls do for each chosen server.
func eachServer(do func(*environment, *scenario.Fault, *standinServer)) faultFunc {
	return func(env *environment, _ context.Context, f *scenario.Fault, rng *rand.Rand) {
		for _, m := range env.chosenServers(f, rng) {
			do(env, f, m)
		}
	}
}

// requestShare returns a fault that affects a share of the requests at the servers that the fault names, or at all. The end
// of the fault sets the share to 0.
func requestShare(set func(*server.Faults, float64)) faultFunc {
	return func(env *environment, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		for _, m := range env.servers {
			if len(f.Servers) > 0 && !slices.Contains(f.Servers, m.Name) {
				continue
			}
			m.ChangeFaults(func(faults *server.Faults) { set(faults, f.Share) })
			env.after(f.For.Std(), func() { m.ChangeFaults(func(faults *server.Faults) { set(faults, 0) }) })
		}
	}
}

// copyFault returns a fault like requestShare that also sets the delay of second copies to the size of the fault, in milliseconds.
func copyFault(set func(*server.Faults, float64)) faultFunc {
	setShare := requestShare(set)
	return func(env *environment, ctx context.Context, f *scenario.Fault, rng *rand.Rand) {
		delay := time.Duration(f.Size * float64(time.Millisecond))
		for _, m := range env.servers {
			m.ChangeFaults(func(faults *server.Faults) { faults.CopyDelay = delay })
		}
		setShare(env, ctx, f, rng)
	}
}

// chosenServers returns the servers that a fault names, or a random share of all.
func (env *environment) chosenServers(f *scenario.Fault, rng *rand.Rand) (chosen []*standinServer) {
	if len(f.Servers) == 0 {
		n := int(math.Ceil(f.Share * float64(len(env.servers))))
		for _, i := range rng.Perm(len(env.servers))[:n] {
			chosen = append(chosen, env.servers[i])
		}
		return chosen
	}
	for _, m := range env.servers {
		if slices.Contains(f.Servers, m.Name) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// serverCrashed makes discovery and the registry detect that a server exited without announcing it, and restarts the
// server after its downtime.
func (env *environment) serverCrashed(m *standinServer, downtime time.Duration) {
	if env.registry != nil { // without heartbeats the session expires
		m.mu.Lock()
		m.session.StopHeartbeats()
		m.mu.Unlock()
	}
	env.announce(m, discovery.Deleted, env.Scenario.Discovery.SilentNotice.Std(), time.Time{})
	env.after(downtime, func() { env.startServer(m) })
}

// startServer starts a server that has exited, in slow start, and announces it.
func (env *environment) startServer(m *standinServer) {
	ok, err := m.Start()
	if err != nil {
		env.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(-1, err.Error()) })
	}
	if ok {
		env.announce(m, discovery.Serving, env.Scenario.Discovery.Add.Std(), time.Now())
	}
}

// drainServer shuts a server down gracefully: discovery announces the drain, the server starts to reject new requests
// drainDelay later, and exits exitDelay after that.
func (env *environment) drainServer(m *standinServer) {
	notice := env.Scenario.Discovery.Notice.Std()
	m.mu.Lock()
	m.isLeaving = true
	m.mu.Unlock()
	env.announce(m, discovery.Draining, notice, time.Time{})
	env.after(notice+drainDelay, func() { m.SetDraining(true) })
	env.after(notice+drainDelay+exitDelay, func() {
		m.Crash()
		env.announce(m, discovery.Deleted, notice, time.Time{})
	})
}

// pauseRepeatedly pauses a server periodically until the run ends. Servers start at different phases of the period.
func (env *environment) pauseRepeatedly(m *standinServer) {
	first := m.spec.PauseEvery.Std() * time.Duration(m.Number%7) / 7
	for wait := first; ; wait = m.spec.PauseEvery.Std() - m.spec.PauseFor.Std() {
		for i, d := range []time.Duration{wait, m.spec.PauseFor.Std()} {
			select {
			case <-time.After(d):
				m.WithModel(func(model *server.Model, now time.Duration, report func(server.Event)) {
					if i == 0 {
						model.Pause(now, report)
					} else {
						model.Resume(now, report)
					}
				})
			case <-env.stopped:
				return
			}
		}
	}
}
