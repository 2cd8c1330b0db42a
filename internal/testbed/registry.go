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

const (
	initialUptime = time.Hour // of servers that run before the nodes start
	registryPort  = 13000     // plus the number of the node
	// massRemovalWindow is in which removals count as one loss of the registry.
	massRemovalWindow = 2 * time.Second
)

// registryAddress returns an address of the ensemble for a node.
func (env *environment) registryAddress(n, which int) string {
	return env.network.Address(222, which+1, registryPort+n)
}

// registryPath returns the path under which nodes of a site find servers, whose addresses differ by site.
func (env *environment) registryPath(site int) string { return "/services/" + env.Scenario.Sites[site] }

// startRegistry starts the registry, if the scenario has one. Each node has addresses of its own, by which the observer
// knows which node was notified.
func (env *environment) startRegistry() error {
	s := env.Scenario
	if s.Registry.Addresses == 0 {
		return nil
	}
	env.registry = zookeeper.New(env.observer)
	for n, p := range env.nodes {
		var addresses []string
		for which := range s.Registry.Addresses {
			server, err := env.registry.Listen(env.registryAddress(n, which), n)
			if err != nil {
				return err
			}
			env.ensemble = append(env.ensemble, server)
			addresses = append(addresses, fmt.Sprintf("%q", server.Address()))
		}
		text := fmt.Sprintf("servers = [%s]\npath = %q\nsession = %q\n", strings.Join(addresses, ", "), env.registryPath(n%len(s.Sites)), s.Registry.Session.Std())
		if err := os.WriteFile(p.registryConfigPath(), []byte(text), 0o644); err != nil {
			return err
		}
	}
	for _, m := range env.servers {
		env.openSession(m, time.Time{})
	}
	return nil
}

// registryRecord returns a server's record for nodes of a site.
func (env *environment) registryRecord(m *standinServer, site int, status string) []byte {
	host, port, _ := strings.Cut(m.Address(site), ":")
	n := 0
	fmt.Sscan(port, &n)
	startedAt := m.startedAt
	if startedAt.IsZero() {
		startedAt = env.start.Add(-initialUptime)
	}
	b, _ := json.Marshal(object{"serviceEndpoint": object{"host": host, "port": n}, "status": status, "zone": env.Scenario.Sites[m.Site], "cell": m.Cell,
		"flavor": m.spec.Kind, "size": 1, "started_ms": startedAt.UnixMilli()})
	return b
}

// openSession registers a server in a session of its own.
func (env *environment) openSession(m *standinServer, startedAt time.Time) {
	nodes := map[string][]byte{}
	m.startedAt = startedAt
	for site := range env.Scenario.Sites {
		nodes[path.Join(env.registryPath(site), m.Name)] = env.registryRecord(m, site, "ALIVE")
	}
	m.session = env.registry.Own(env.Scenario.Registry.Session.Std(), nodes)
}

// updateRegistry registers a server's phase, as announce does in discovery. The caller holds the server's lock.
func (env *environment) updateRegistry(m *standinServer, phase string, startedAt time.Time) {
	switch phase {
	case discovery.Serving:
		env.openSession(m, startedAt)
	case discovery.Draining:
		for site := range env.Scenario.Sites {
			m.session.Set(path.Join(env.registryPath(site), m.Name), env.registryRecord(m, site, "DRAINING"))
		}
	case discovery.Deleted:
		m.session.End()
	}
}

// Announced records the list of servers that the registry sent to a node.
func (o *observer) Announced(reader int, at string, children []zookeeper.Child, when time.Time) {
	o.record(func(a *audit.Audit, _ time.Duration) {
		present := map[int]bool{}
		for _, c := range children {
			if b, ok := o.servers[c.Name]; ok {
				present[b] = true
				a.NodeNotified(reader, b, audit.Serving, c.Czxid, when.Sub(o.start))
			}
		}
		// Servers that vanish with most others within massRemovalWindow are the registry's fault: nodes keep the last
		// list then, except for servers that drain.
		at := when.Sub(o.start)
		missing := o.missing[reader]
		if missing == nil {
			missing = map[int]time.Duration{}
			o.missing[reader] = missing
		}
		for b := range o.lastListed[reader] {
			if !present[b] {
				missing[b] = at
				a.NodeNotified(reader, b, audit.Removed, 0, at)
			}
		}
		recent := 0
		for b, since := range missing {
			if present[b] {
				delete(missing, b)
			} else if at-since <= massRemovalWindow {
				recent++
			}
		}
		if recent >= 3 && 2*recent > recent+len(present) {
			for b := range missing {
				if !o.drained[[2]int{reader, b}] {
					a.NotificationsDiscarded(reader, b, at)
				}
			}
		}
		o.lastListed[reader] = present
	})
}

// Data records a server's record that the registry sent to a node.
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

// ensembleFault returns a fault of all addresses of the registry that ends after its time.
func ensembleFault(begin, end func(env *environment, f *scenario.Fault, s *zookeeper.Server)) faultFunc {
	return func(env *environment, _ context.Context, f *scenario.Fault, _ *rand.Rand) {
		for _, s := range env.ensemble {
			begin(env, f, s)
		}
		env.after(f.For.Std(), func() {
			for _, s := range env.ensemble {
				end(env, f, s)
			}
		})
	}
}

// seconds returns the size of a fault as a duration.
func seconds(f *scenario.Fault) time.Duration { return time.Duration(f.Size * float64(time.Second)) }

// addBadRecords registers unusable records beside those of servers for a time: huge, empty, noise, of another form.
func (env *environment) addBadRecords(f *scenario.Fault) {
	nodes := map[string][]byte{}
	for site := range env.Scenario.Sites {
		for name, data := range map[string][]byte{"bad-huge": bytes.Repeat([]byte("x"), 900<<10), "bad-empty": nil, "bad-noise": []byte("\xff\x00{"),
			"bad-form": []byte(`{"address":[7],"port":"much"}`), "bad-host": []byte("nowhere.example:80")} {
			nodes[path.Join(env.registryPath(site), name)] = data
		}
	}
	own := env.registry.Own(env.Scenario.Registry.Session.Std(), nodes)
	env.after(f.For.Std(), own.End)
}

// flapSessions ends the sessions of a share of the servers, which keep running, and opens new ones after a time.
func (env *environment) flapSessions(f *scenario.Fault, chance *rand.Rand) {
	for _, m := range env.chosenServers(f, chance) {
		unlessLeaving := func(do func()) {
			m.mu.Lock()
			defer m.mu.Unlock()
			if !m.isLeaving {
				do()
			}
		}
		unlessLeaving(func() { m.session.End() })
		env.after(f.For.Std(), func() { unlessLeaving(func() { env.openSession(m, m.startedAt) }) })
	}
}
