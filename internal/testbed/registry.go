package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path"
	"strings"
	"time"

	"fernvane/internal/testbed/audit"
	"fernvane/internal/testbed/scenario"
	"fernvane/internal/testbed/standin/discovery"
	"fernvane/internal/testbed/standin/zookeeper"
)

const longUp = time.Hour // how long servers have run that are there from the start

const registryPort = 13000 // and one more for each node; addresses of the ensemble differ by host

func (w *world) registryAddress(n, which int) string {
	return fmt.Sprintf("%s.222.%d:%d", w.net, which+1, registryPort+n)
}

// registryPath is where servers stand for nodes of a site: each site reaches them elsewhere.
func (w *world) registryPath(site int) string { return "/services/" + w.Scenario.Sites[site] }

// enrols starts the registry, with addresses of its own for each node, so that it is known who was told what.
func (w *world) enrols() error {
	s := w.Scenario
	if s.Registry.Addresses == 0 {
		return nil
	}
	w.registry = zookeeper.New(w.observer)
	for n, p := range w.nodes {
		var addresses []string
		for which := range s.Registry.Addresses {
			server, err := w.registry.Listen(w.registryAddress(n, which), n)
			if err != nil {
				return err
			}
			w.ensemble = append(w.ensemble, server)
			addresses = append(addresses, fmt.Sprintf("%q", server.Address()))
		}
		text := fmt.Sprintf("servers = [%s]\npath = %q\nsession = %q\n", strings.Join(addresses, ", "), w.registryPath(n%len(s.Sites)), s.Registry.Session.Std())
		if err := os.WriteFile(p.registry(), []byte(text), 0o644); err != nil {
			return err
		}
	}
	for _, m := range w.servers {
		w.enrol(m, time.Time{})
	}
	return nil
}

// data is what a server says of itself at its place for a site.
func (w *world) data(m *machine, site int, status string) []byte {
	host, port, _ := strings.Cut(m.Address(site), ":")
	n := 0
	fmt.Sscan(port, &n)
	up := m.up
	if up.IsZero() {
		up = w.start.Add(-longUp)
	}
	started := up.UnixMilli()
	b, _ := json.Marshal(object{"serviceEndpoint": object{"host": host, "port": n}, "status": status, "zone": w.Scenario.Sites[m.Site], "cell": m.Cell,
		"flavor": m.kind.Kind, "size": 1, "started_ms": started})
	return b
}

// enrol has a server register itself by a session of its own.
func (w *world) enrol(m *machine, up time.Time) {
	nodes := map[string][]byte{}
	m.up = up
	for site := range w.Scenario.Sites {
		nodes[path.Join(w.registryPath(site), m.Name)] = w.data(m, site, "ALIVE")
	}
	m.owned = w.registry.Own(w.Scenario.Registry.Session.Std(), nodes)
}

// register has the registry learn of what befalls a server, as announce has discovery.
func (w *world) register(m *machine, phase string, up time.Time) {
	switch phase {
	case discovery.Serving:
		w.enrol(m, up)
	case discovery.Draining:
		for site := range w.Scenario.Sites {
			m.owned.Set(path.Join(w.registryPath(site), m.Name), w.data(m, site, "DRAINING"))
		}
	case discovery.Deleted:
		m.owned.End()
	}
}

// Announced reports what the registry has told a node of who is there.
func (o *observer) Announced(reader int, at string, children []zookeeper.Child, when time.Time) {
	o.record(func(a *audit.Audit, _ time.Duration) {
		there := map[int]bool{}
		for _, c := range children {
			if b, ok := o.servers[c.Name]; ok {
				there[b] = true
				a.NodeNotified(reader, b, audit.Serving, c.Czxid, when.Sub(o.start))
			}
		}
		// What vanishes with most others within two seconds is the registry's fault, not the fleet's: the last list is to
		// hold then, but for servers that were told to drain.
		at := when.Sub(o.start)
		missing := o.missing[reader]
		if missing == nil {
			missing = map[int]time.Duration{}
			o.missing[reader] = missing
		}
		for b := range o.listed[reader] {
			if !there[b] {
				missing[b] = at
				a.NodeNotified(reader, b, audit.Removed, 0, at)
			}
		}
		lately := 0
		for b, since := range missing {
			if there[b] {
				delete(missing, b)
			} else if at-since <= 2*time.Second {
				lately++
			}
		}
		if lately >= 3 && 2*lately > lately+len(there) {
			for b := range missing {
				if !o.drained[[2]int{reader, b}] {
					a.NotificationsDiscarded(reader, b, at)
				}
			}
		}
		o.listed[reader] = there
	})
}

// Data tells what it has told of a server.
func (o *observer) Data(reader int, at string, data []byte, when time.Time) {
	if !strings.Contains(string(data), `"DRAINING"`) {
		return
	}
	o.record(func(a *audit.Audit, _ time.Duration) {
		if b, ok := o.servers[path.Base(at)]; ok {
			a.NodeNotified(reader, b, audit.Draining, 0, when.Sub(o.start))
			o.drained[[2]int{reader, b}] = true
		}
	})
}

// ensembleFault has all addresses of the registry behave in some way for a while.
func ensembleFault(begin, end func(w *world, f *scenario.Fault, s *zookeeper.Server)) func(*world, context.Context, *scenario.Fault, *rand.Rand) {
	return func(w *world, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		for _, s := range w.ensemble {
			begin(w, f, s)
		}
		w.after(f.For.Std(), func() {
			for _, s := range w.ensemble {
				end(w, f, s)
			}
		})
	}
}

func seconds(f *scenario.Fault) time.Duration { return time.Duration(f.Size * float64(time.Second)) }

// badRecords has entries stand beside the servers' own for a while that cannot be used: huge, empty, noise, of another form.
func (w *world) badRecords(f *scenario.Fault) {
	nodes := map[string][]byte{}
	for site := range w.Scenario.Sites {
		for name, data := range map[string][]byte{"bad-huge": bytes.Repeat([]byte("x"), 900<<10), "bad-empty": nil, "bad-noise": []byte("\xff\x00{"),
			"bad-form": []byte(`{"address":[7],"port":"much"}`), "bad-host": []byte("nowhere.example:80")} {
			nodes[path.Join(w.registryPath(site), name)] = data
		}
	}
	own := w.registry.Own(w.Scenario.Registry.Session.Std(), nodes)
	w.after(f.For.Std(), own.End)
}

// flap ends the sessions of a share of the servers and has them register anew after a while, alive all along.
func (w *world) flap(f *scenario.Fault, chance *rand.Rand) {
	for _, m := range w.chosen(f, chance) {
		again := func(do func()) {
			m.mu.Lock()
			defer m.mu.Unlock()
			if !m.isLost {
				do()
			}
		}
		again(func() { m.owned.End() })
		w.after(f.For.Std(), func() { again(func() { w.enrol(m, m.up) }) })
	}
}
