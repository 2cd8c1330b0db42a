package testbed

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"fernvane/internal/testbed/audit"
	"fernvane/internal/testbed/scenario"
	"fernvane/internal/testbed/standin/discovery"
	"fernvane/internal/testbed/standin/mesh"
	"fernvane/internal/testbed/standin/server"
	"fernvane/internal/testbed/standin/zookeeper"
)

// schedule has every fault come at its moment. Which servers and nodes a share means follows from the seed.
func (w *world) schedule(ctx context.Context, shift time.Duration) {
	begin := w.start.Add(shift)
	for i := range w.Scenario.Faults {
		f := &w.Scenario.Faults[i]
		chance := rand.New(rand.NewPCG(w.Scenario.Seed, uint64(1000+i)))
		if f.Kind == "old-disk" { // what it comes back with is taken before
			w.after(time.Until(begin.Add(f.At.Std()-seconds(f))), func() { w.keepDisks(f, chance) })
		}
		w.after(time.Until(begin.Add(f.At.Std())), func() {
			if f.When != "" {
				w.step(f, func() { w.fault(ctx, f, chance) })
				return
			}
			w.fault(ctx, f, chance)
		})
	}
	for _, m := range w.servers {
		if m.kind.PauseEvery > 0 {
			w.wg.Go(func() { w.pauses(m) })
		}
	}
}

// pauses has a server stand still again and again, each at a moment of its own.
func (w *world) pauses(m *machine) {
	first := m.kind.PauseEvery.Std() * time.Duration(m.Number%7) / 7
	for wait := first; ; wait = m.kind.PauseEvery.Std() - m.kind.PauseFor.Std() {
		for i, d := range []time.Duration{wait, m.kind.PauseFor.Std()} {
			select {
			case <-time.After(d):
				m.Model(func(b *server.Model, now time.Duration, tell func(server.Event)) {
					if i == 0 {
						b.Pause(now, tell)
					} else {
						b.Resume(now, tell)
					}
				})
			case <-w.stopped:
				return
			}
		}
	}
}

// faults are what each kind does, to servers one by one or as a whole. They return at once; what comes later is left to
// w.after.
var faults = map[string]func(*world, context.Context, *scenario.Fault, *rand.Rand){
	"slow": each(func(w *world, f *scenario.Fault, m *machine) {
		slow := func(by float64) {
			m.Model(func(b *server.Model, _ time.Duration, _ func(server.Event)) { b.Slow(by) })
		}
		slow(f.Size)
		w.after(f.For.Std(), func() { slow(1) })
	}),
	"hang": each(func(w *world, f *scenario.Fault, m *machine) {
		m.Model(func(b *server.Model, now time.Duration, tell func(server.Event)) { b.Pause(now, tell) })
		w.after(f.For.Std(), func() {
			m.Model(func(b *server.Model, now time.Duration, tell func(server.Event)) { b.Resume(now, tell) })
		})
	}),
	"pause": each(func(w *world, f *scenario.Fault, m *machine) {
		m.Stop(true)
		w.after(f.For.Std(), func() { m.Stop(false) })
	}),
	"crash": each(func(w *world, f *scenario.Fault, m *machine) {
		m.Crash()
		w.dies(m, f.For.Std())
	}),
	"cut-before": share(func(b *server.Faults, s float64) { b.CutBefore = s }),
	"cut-within": share(func(b *server.Faults, s float64) { b.CutWithin = s }),
	"cut-after":  share(func(b *server.Faults, s float64) { b.CutAfter = s }),
	"refuse":     share(func(b *server.Faults, s float64) { b.Refuse = s }),
	"error":      share(func(b *server.Faults, s float64) { b.Err = s }),
	"spoil":      share(func(b *server.Faults, s float64) { b.Spoil = s }),
	"cut-site": func(w *world, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		cut := slices.Index(w.Scenario.Sites, f.Site)
		boxes := slices.Clone(w.servers)
		both := func(do func(m *machine, site int)) {
			for _, m := range boxes {
				for site := range w.Scenario.Sites {
					if (m.Site == cut) != (site == cut) {
						do(m, site)
					}
				}
			}
		}
		both(func(m *machine, site int) { m.Hush(site) })
		w.after(f.For.Std(), func() { both(func(m *machine, site int) { m.Speak(site) }) })
	},
	"lose-site": func(w *world, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		for _, m := range w.servers {
			if w.Scenario.Sites[m.Site] == f.Site {
				m.Vanish()
				w.dies(m, f.For.Std())
			}
		}
	},
	"shrink": func(w *world, _ context.Context, f *scenario.Fault, chance *rand.Rand) {
		leave := int(math.Round((1 - f.Size) * float64(len(w.servers))))
		for i, b := range chance.Perm(len(w.servers))[:leave] {
			w.after(f.For.Std()*time.Duration(i)/time.Duration(max(leave, 1)), func() { w.drain(w.servers[b]) })
		}
	},
	"replace": func(w *world, _ context.Context, f *scenario.Fault, chance *rand.Rand) {
		old := w.chosen(f, chance)
		for i, m := range old {
			fresh, err := w.add(m.kind, fmt.Sprintf("%s-new-%d", m.Name, i))
			if err != nil {
				w.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(-1, err.Error()) })
				return
			}
			fresh.Crash() // until its turn
			w.after(f.For.Std()*time.Duration(i)/time.Duration(len(old)), func() {
				w.drain(m)
				w.starts(fresh)
			})
		}
	},
	"discovery-down": func(w *world, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		w.discovery.Down(true)
		w.after(f.For.Std(), func() { w.discovery.Down(false) })
	},
	"discovery-move": func(w *world, _ context.Context, _ *scenario.Fault, _ *rand.Rand) {
		w.mu.Lock()
		w.discovery.Moved()
		w.addresses++
		err := w.serveDiscovery()
		w.mu.Unlock()
		for n, p := range w.nodes {
			if err == nil {
				err = w.configure(n)
			}
			p.reload()
		}
		if err != nil {
			w.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(-1, err.Error()) })
		}
	},
	"reload": func(w *world, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		every := time.Duration(float64(time.Minute) / f.Size)
		for i := 0; time.Duration(i)*every < f.For.Std(); i++ {
			w.after(time.Duration(i)*every, func() {
				if err := w.operator(i + 1); err != nil {
					w.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(-1, err.Error()) })
				}
				for _, p := range w.nodes {
					p.reload()
				}
			})
		}
	},
	"kill-nodes": func(w *world, ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
		for _, n := range w.chosenNodes(f, chance) {
			w.kill(n)
			w.after(f.For.Std(), func() { w.launch(ctx, n) })
		}
	},
	"restart-nodes": func(w *world, ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
		for _, n := range w.chosenNodes(f, chance) {
			w.balancer.Ended(n, planned)
			w.wg.Go(func() {
				if err := w.nodes[n].end(syscall.SIGTERM); err != nil {
					w.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(n, err.Error()) })
				}
				w.observer.nodeDown(n, false)
				w.configure(n)
				w.launch(ctx, n)
			})
		}
	},
	"kill-planners": eachPlanner(killPlanner, returnPlanner),
	"stop-planners": eachPlanner(
		func(w *world, _ *scenario.Fault, n int) { w.planners[n].signal(syscall.SIGSTOP) },
		func(w *world, _ *scenario.Fault, n int) { w.planners[n].signal(syscall.SIGCONT) }),
	"cut-planners": eachPlanner(
		func(w *world, f *scenario.Fault, n int) { w.relays[n][f.Half].Cut(true) },
		func(w *world, f *scenario.Fault, n int) { w.relays[n][f.Half].Cut(false) }),
	"slow-planners": eachPlanner(
		func(w *world, f *scenario.Fault, n int) {
			delayPlanner(w, n, time.Duration(f.Size*float64(time.Second)))
		},
		func(w *world, _ *scenario.Fault, n int) { delayPlanner(w, n, 0) }),
	"slow-disk": func(w *world, _ context.Context, f *scenario.Fault, chance *rand.Rand) {
		nodes := w.anyNodes(f, chance)
		w.disks(nodes, seconds(f).String())
		w.after(f.For.Std(), func() { w.disks(nodes, "0s") })
	},
	"full-disk": func(w *world, _ context.Context, f *scenario.Fault, chance *rand.Rand) {
		nodes := w.anyNodes(f, chance)
		w.disks(nodes, fullDisk)
		w.after(f.For.Std(), func() { w.disks(nodes, "0s") })
	},
	"lose-machines": func(w *world, ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
		for _, n := range w.chosenNodes(f, chance) {
			w.lose(n)
			w.after(f.For.Std(), func() { w.launch(ctx, n) })
		}
	},
	"old-disk": func(w *world, ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
		for _, n := range w.chosenNodes(f, chance) {
			w.kill(n)
			w.restoreDisk(n)
			w.after(f.For.Std(), func() { w.launch(ctx, n) })
		}
	},
	"stop-nodes": func(w *world, ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
		for _, n := range w.chosenNodes(f, chance) {
			w.pause(ctx, n, f.For.Std())
		}
	},
	"cut-links":     linkFault(true, true, func(way *mesh.Direction, _ float64) { way.Cut = true }),
	"cut-links-out": linkFault(true, false, func(way *mesh.Direction, _ float64) { way.Cut = true }),
	"cut-links-in":  linkFault(false, true, func(way *mesh.Direction, _ float64) { way.Cut = true }),
	"late-links":    linkFault(true, true, func(way *mesh.Direction, size float64) { way.Delay = time.Duration(size * float64(time.Second)) }),
	"narrow-links":  linkFault(true, true, func(way *mesh.Direction, size float64) { way.PerS = size * 1000 }),
	"garbled-links": linkFault(true, true, func(way *mesh.Direction, size float64) { way.Garble = size }),
	"lossy-links":   linkFault(true, true, func(way *mesh.Direction, size float64) { way.Lose, way.Twice, way.Reorder = size, size, size }),
	"split-site": func(w *world, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		var those []int
		for n := range w.nodes {
			if w.Scenario.Sites[n%len(w.Scenario.Sites)] == f.Site {
				those = append(those, n)
			}
		}
		w.links(those, f.For.Std(), true, true, func(way *mesh.Direction) { way.Cut = true })
	},
	"losses": func(w *world, ctx context.Context, f *scenario.Fault, chance *rand.Rand) { w.loseAgain(ctx, f, chance) },
	"losses-beyond": func(w *world, ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
		w.loseBeyond(ctx, f, chance)
	},
	"registry-flap": func(w *world, _ context.Context, f *scenario.Fault, chance *rand.Rand) {
		share := *f
		share.Share = f.Size
		w.flap(&share, chance)
	},
	"registry-lag": ensembleFault(
		func(_ *world, f *scenario.Fault, s *zookeeper.Server) { s.Set(seconds(f), 0, false) },
		func(_ *world, _ *scenario.Fault, s *zookeeper.Server) { s.Set(0, 0, false) }),
	"registry-slow-events": ensembleFault(
		func(_ *world, f *scenario.Fault, s *zookeeper.Server) { s.Set(0, seconds(f), false) },
		func(_ *world, _ *scenario.Fault, s *zookeeper.Server) { s.Set(0, 0, false) }),
	"registry-break": ensembleFault(
		func(w *world, _ *scenario.Fault, s *zookeeper.Server) { w.registry.Refuse(true); s.Break() },
		func(w *world, _ *scenario.Fault, _ *zookeeper.Server) { w.registry.Refuse(false) }),
	"registry-silent": ensembleFault(
		func(_ *world, _ *scenario.Fault, s *zookeeper.Server) { s.Set(0, 0, true) },
		func(_ *world, _ *scenario.Fault, s *zookeeper.Server) { s.Set(0, 0, false) }),
	"registry-garbled": ensembleFault(
		func(_ *world, f *scenario.Fault, s *zookeeper.Server) { s.Garble(max(int(1/f.Size), 1)) },
		func(_ *world, _ *scenario.Fault, s *zookeeper.Server) { s.Garble(0) }),
	"registry-records": func(w *world, _ context.Context, f *scenario.Fault, _ *rand.Rand) { w.badRecords(f) },
	"registry-late": func(w *world, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		w.registry.Late(seconds(f))
		w.after(f.For.Std(), func() { w.registry.Late(0) })
	},
	"rude": func(w *world, _ context.Context, f *scenario.Fault, _ *rand.Rand) { w.sendMalformed(f) },
	// The load's own: the schedule holds them.
	"hot-key":  func(*world, context.Context, *scenario.Fault, *rand.Rand) {},
	"overload": func(*world, context.Context, *scenario.Fault, *rand.Rand) {},
}

func (w *world) fault(ctx context.Context, f *scenario.Fault, chance *rand.Rand) {
	w.turn.Lock()
	defer w.turn.Unlock()
	faults[f.Kind](w, ctx, f, chance)
}

func each(do func(*world, *scenario.Fault, *machine)) func(*world, context.Context, *scenario.Fault, *rand.Rand) {
	return func(w *world, _ context.Context, f *scenario.Fault, chance *rand.Rand) {
		for _, m := range w.chosen(f, chance) {
			do(w, f, m)
		}
	}
}

// share has a share of the requests at the servers named meet something, at all servers where none is named.
func share(set func(*server.Faults, float64)) func(*world, context.Context, *scenario.Fault, *rand.Rand) {
	return func(w *world, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		for _, m := range w.servers {
			if len(f.Servers) > 0 && !slices.Contains(f.Servers, m.Name) {
				continue
			}
			m.Set(func(b *server.Faults) { set(b, f.Share) })
			w.after(f.For.Std(), func() { m.Set(func(b *server.Faults) { set(b, 0) }) })
		}
	}
}

// chosen are the servers that a fault names, or a share of all.
func (w *world) chosen(f *scenario.Fault, chance *rand.Rand) (chosen []*machine) {
	if len(f.Servers) == 0 {
		n := int(math.Ceil(f.Share * float64(len(w.servers))))
		for _, i := range chance.Perm(len(w.servers))[:n] {
			chosen = append(chosen, w.servers[i])
		}
		return chosen
	}
	for _, m := range w.servers {
		if slices.Contains(f.Servers, m.Name) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

func (w *world) chosenNodes(f *scenario.Fault, chance *rand.Rand) []int {
	if len(f.Nodes) > 0 {
		return f.Nodes
	}
	return chance.Perm(len(w.nodes))[:int(math.Ceil(f.Share*float64(len(w.nodes))))]
}

// dies has discovery learn of a death that nobody told, and the server come back cold after a while.
func (w *world) dies(m *machine, back time.Duration) {
	if w.registry != nil { // its session expires when nothing was heard of it for long enough
		m.mu.Lock()
		m.owned.Silence()
		m.mu.Unlock()
	}
	w.announce(m, discovery.Deleted, w.Scenario.Discovery.SilentNotice.Std(), time.Time{})
	w.after(back, func() { w.starts(m) })
}

func (w *world) starts(m *machine) {
	ok, err := m.Start()
	if err != nil {
		w.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(-1, err.Error()) })
	}
	if ok {
		w.announce(m, discovery.Serving, w.Scenario.Discovery.Add.Std(), time.Now())
	}
}

// drain has a server leave in good order: discovery tells so, it rejects what is new a while later, and ends.
func (w *world) drain(m *machine) {
	notice := w.Scenario.Discovery.Notice.Std()
	m.mu.Lock()
	m.isLost = true
	m.mu.Unlock()
	w.announce(m, discovery.Draining, notice, time.Time{})
	w.after(notice+lateDrain, func() { m.Drain(true) })
	w.after(notice+lateDrain+leaveAfter, func() {
		m.Crash()
		w.announce(m, discovery.Deleted, notice, time.Time{})
	})
}
