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

// serverFaults are the faults of servers and sites.
var serverFaults = map[string]faultFunc{
	"slow": eachServer(func(env *environment, f *scenario.Fault, m *standinServer) {
		slow := func(by float64) {
			m.Model(func(b *server.Model, _ time.Duration, _ func(server.Event)) { b.Slow(by) })
		}
		slow(f.Size)
		env.after(f.For.Std(), func() { slow(1) })
	}),
	"hang": eachServer(func(env *environment, f *scenario.Fault, m *standinServer) {
		m.Model(func(b *server.Model, now time.Duration, tell func(server.Event)) { b.Pause(now, tell) })
		env.after(f.For.Std(), func() {
			m.Model(func(b *server.Model, now time.Duration, tell func(server.Event)) { b.Resume(now, tell) })
		})
	}),
	"pause": eachServer(func(env *environment, f *scenario.Fault, m *standinServer) {
		m.Stop(true)
		env.after(f.For.Std(), func() { m.Stop(false) })
	}),
	"crash": eachServer(func(env *environment, f *scenario.Fault, m *standinServer) {
		m.Crash()
		env.serverCrashed(m, f.For.Std())
	}),
	"cut-before": requestShare(func(b *server.Faults, s float64) { b.CutBefore = s }),
	"cut-within": requestShare(func(b *server.Faults, s float64) { b.CutWithin = s }),
	"cut-after":  requestShare(func(b *server.Faults, s float64) { b.CutAfter = s }),
	"refuse":     requestShare(func(b *server.Faults, s float64) { b.Refuse = s }),
	"error":      requestShare(func(b *server.Faults, s float64) { b.Err = s }),
	"spoil":      requestShare(func(b *server.Faults, s float64) { b.Spoil = s }),
	"cut-site": func(env *environment, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		cut := slices.Index(env.Scenario.Sites, f.Site)
		servers := slices.Clone(env.servers)
		both := func(do func(m *standinServer, site int)) {
			for _, m := range servers {
				for site := range env.Scenario.Sites {
					if (m.Site == cut) != (site == cut) {
						do(m, site)
					}
				}
			}
		}
		both(func(m *standinServer, site int) { m.Hush(site) })
		env.after(f.For.Std(), func() { both(func(m *standinServer, site int) { m.Speak(site) }) })
	},
	"lose-site": func(env *environment, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		for _, m := range env.servers {
			if env.Scenario.Sites[m.Site] == f.Site {
				m.Vanish()
				env.serverCrashed(m, f.For.Std())
			}
		}
	},
	"shrink": func(env *environment, _ context.Context, f *scenario.Fault, chance *rand.Rand) {
		leave := int(math.Round((1 - f.Size) * float64(len(env.servers))))
		for i, b := range chance.Perm(len(env.servers))[:leave] {
			env.after(f.For.Std()*time.Duration(i)/time.Duration(max(leave, 1)), func() { env.drainServer(env.servers[b]) })
		}
	},
	"replace": func(env *environment, _ context.Context, f *scenario.Fault, chance *rand.Rand) {
		old := env.chosenServers(f, chance)
		for i, m := range old {
			fresh, err := env.addServer(m.spec, fmt.Sprintf("%s-new-%d", m.Name, i))
			if err != nil {
				env.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(-1, err.Error()) })
				return
			}
			fresh.Crash() // until its turn
			env.after(f.For.Std()*time.Duration(i)/time.Duration(len(old)), func() {
				env.drainServer(m)
				env.startServer(fresh)
			})
		}
	},
}

// eachServer returns a fault of each of the chosen servers.
func eachServer(do func(*environment, *scenario.Fault, *standinServer)) faultFunc {
	return func(env *environment, _ context.Context, f *scenario.Fault, chance *rand.Rand) {
		for _, m := range env.chosenServers(f, chance) {
			do(env, f, m)
		}
	}
}

// requestShare returns a fault of a share of the requests at the servers that the scenario names, or at all.
func requestShare(set func(*server.Faults, float64)) faultFunc {
	return func(env *environment, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		for _, m := range env.servers {
			if len(f.Servers) > 0 && !slices.Contains(f.Servers, m.Name) {
				continue
			}
			m.Set(func(b *server.Faults) { set(b, f.Share) })
			env.after(f.For.Std(), func() { m.Set(func(b *server.Faults) { set(b, 0) }) })
		}
	}
}

// chosenServers returns the servers that a fault names, or a share of all.
func (env *environment) chosenServers(f *scenario.Fault, chance *rand.Rand) (chosen []*standinServer) {
	if len(f.Servers) == 0 {
		n := int(math.Ceil(f.Share * float64(len(env.servers))))
		for _, i := range chance.Perm(len(env.servers))[:n] {
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

// serverDied has discovery notice that a server ended without a notification, and restarts the server after a time.
func (env *environment) serverCrashed(m *standinServer, downtime time.Duration) {
	if env.registry != nil { // the session expires by itself
		m.mu.Lock()
		m.session.Silence()
		m.mu.Unlock()
	}
	env.announce(m, discovery.Deleted, env.Scenario.Discovery.SilentNotice.Std(), time.Time{})
	env.after(downtime, func() { env.startServer(m) })
}

// startServer starts a server that has ended, in slow start, and announces it.
func (env *environment) startServer(m *standinServer) {
	ok, err := m.Start()
	if err != nil {
		env.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(-1, err.Error()) })
	}
	if ok {
		env.announce(m, discovery.Serving, env.Scenario.Discovery.Add.Std(), time.Now())
	}
}

// drainServer shuts a server down gracefully: discovery announces the drain, the server rejects new requests drainDelay
// later and ends exitDelay after that.
func (env *environment) drainServer(m *standinServer) {
	notice := env.Scenario.Discovery.Notice.Std()
	m.mu.Lock()
	m.isLeaving = true
	m.mu.Unlock()
	env.announce(m, discovery.Draining, notice, time.Time{})
	env.after(notice+drainDelay, func() { m.Drain(true) })
	env.after(notice+drainDelay+exitDelay, func() {
		m.Crash()
		env.announce(m, discovery.Deleted, notice, time.Time{})
	})
}

// pauseRepeatedly pauses a server periodically, with a phase of its own, until the run is over.
func (env *environment) pauseRepeatedly(m *standinServer) {
	first := m.spec.PauseEvery.Std() * time.Duration(m.Number%7) / 7
	for wait := first; ; wait = m.spec.PauseEvery.Std() - m.spec.PauseFor.Std() {
		for i, d := range []time.Duration{wait, m.spec.PauseFor.Std()} {
			select {
			case <-time.After(d):
				m.Model(func(b *server.Model, now time.Duration, tell func(server.Event)) {
					if i == 0 {
						b.Pause(now, tell)
					} else {
						b.Resume(now, tell)
					}
				})
			case <-env.stopped:
				return
			}
		}
	}
}
