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
	initialUptime = time.Hour // uptime at the start of the run of the servers that start with it
	registryPort  = 13000     // plus the number of the node
	// massRemovalWindow is the time within which removals count as one mass removal by the registry.
	massRemovalWindow = 2 * time.Second
)

// registryAddress returns the address of one server of the registry for a node.
func (env *environment) registryAddress(n, member int) string {
	return env.network.Address(222, member+1, registryPort+n)
}

// registryPath returns the registry path that lists the servers for nodes of a site. Each site has its own list, because
// the addresses of servers differ by site.
func (env *environment) registryPath(site int) string { return "/services/" + env.Scenario.Sites[site] }

// startRegistry starts the registry, if the scenario has one. Each node connects to its own addresses, by which the
// observer identifies the node that was notified.
func (env *environment) startRegistry() error {
	s := env.Scenario
	if s.Registry.Addresses == 0 {
		return nil
	}
	env.registry = zookeeper.New(env.observer)
	for n, p := range env.nodes {
		var addresses []string
		for member := range s.Registry.Addresses {
			server, err := env.registry.Listen(env.registryAddress(n, member), n)
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

// registryRecord returns the registry record of a server for nodes of a site.
func (env *environment) registryRecord(m *standinServer, site int, status string) []byte {
	host, port, _ := strings.Cut(m.Address(site), ":")
	portNumber := 0
	fmt.Sscan(port, &portNumber)
	startedAt := m.startedAt
	if startedAt.IsZero() {
		startedAt = env.start.Add(-initialUptime)
	}
	b, _ := json.Marshal(object{"serviceEndpoint": object{"host": host, "port": portNumber}, "status": status, "zone": env.Scenario.Sites[m.Site], "cell": m.Cell,
		"flavor": m.spec.Kind, "size": 1, "started_ms": startedAt.UnixMilli()})
	return b
}

// openSession registers a server in a new session, with one ephemeral node for each site.
func (env *environment) openSession(m *standinServer, startedAt time.Time) {
	nodes := map[string][]byte{}
	m.startedAt = startedAt
	for site := range env.Scenario.Sites {
		nodes[path.Join(env.registryPath(site), m.Name)] = env.registryRecord(m, site, "ALIVE")
	}
	m.session = env.registry.OpenSession(env.Scenario.Registry.Session.Std(), nodes)
}

// updateRegistry updates the registry for a server's new condition. The caller holds the server's lock.
func (env *environment) updateRegistry(m *standinServer, condition string, startedAt time.Time) {
	switch condition {
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

// Announced records that the registry sent a list of servers to a node.
func (o *observer) Announced(node int, listPath string, children []zookeeper.Child, sentAt time.Time) {
	o.record(func(a *audit.Audit, _ time.Duration) {
		present := map[int]bool{}
		for _, c := range children {
			if server, ok := o.servers[c.Name]; ok {
				present[server] = true
				// Each registration has a later creation transaction, which serves as the start time of the server.
				a.NodeNotified(node, server, audit.Serving, c.Czxid, sentAt.Sub(o.start))
			}
		}
		// If most servers, and at least 3, disappear within massRemovalWindow, nodes attribute this to the registry: they
		// keep using their last list, except for servers that are draining. So the audit discards these removals, and
		// earlier ones of servers that are still missing.
		at := sentAt.Sub(o.start)
		missing := o.missingSince[node]
		if missing == nil {
			missing = map[int]time.Duration{}
			o.missingSince[node] = missing
		}
		for server := range o.lastListed[node] {
			if !present[server] {
				missing[server] = at
				a.NodeNotified(node, server, audit.Removed, 0, at)
			}
		}
		recent := 0
		for server, since := range missing {
			if present[server] {
				delete(missing, server)
			} else if at-since <= massRemovalWindow {
				recent++
			}
		}
		if recent >= 3 && 2*recent > recent+len(present) {
			for server := range missing {
				if !o.drained[[2]int{node, server}] {
					a.NotificationsDiscarded(node, server, at)
				}
			}
		}
		o.lastListed[node] = present
	})
}

// Data records that the registry sent a server's record to a node. Only the drain of a server matters to the audit.
func (o *observer) Data(node int, recordPath string, data []byte, sentAt time.Time) {
	if !strings.Contains(string(data), `"DRAINING"`) {
		return
	}
	o.record(func(a *audit.Audit, _ time.Duration) {
		if server, ok := o.servers[path.Base(recordPath)]; ok {
			a.NodeNotified(node, server, audit.Draining, 0, sentAt.Sub(o.start))
			o.drained[[2]int{node, server}] = true
		}
	})
}

// ensembleFault returns a fault that calls begin for each server of the registry, and end when the fault's duration has
// passed.
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

// seconds returns the size of a fault, in seconds, as a duration.
func seconds(f *scenario.Fault) time.Duration { return time.Duration(f.Size * float64(time.Second)) }

// addBadRecords registers invalid records beside those of servers for a time: huge, empty, random bytes, of the wrong
// structure, with a host name that does not resolve.
func (env *environment) addBadRecords(f *scenario.Fault) {
	nodes := map[string][]byte{}
	for site := range env.Scenario.Sites {
		for name, data := range map[string][]byte{"bad-huge": bytes.Repeat([]byte("x"), 900<<10), "bad-empty": nil, "bad-noise": []byte("\xff\x00{"),
			"bad-form": []byte(`{"address":[7],"port":"much"}`), "bad-host": []byte("nowhere.example:80")} {
			nodes[path.Join(env.registryPath(site), name)] = data
		}
	}
	session := env.registry.OpenSession(env.Scenario.Registry.Session.Std(), nodes)
	env.after(f.For.Std(), session.End)
}

// flapSessions ends the registry sessions of the servers that a fault names or of a share of all, and opens new ones after a
// time. The servers continue to run and register with the same start times. Servers that are draining are left out.
func (env *environment) flapSessions(f *scenario.Fault, rng *rand.Rand) {
	for _, m := range env.chosenServers(f, rng) {
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
