package main

import (
	"fmt"
	"time"

	"fernvane/internal/testbed/standin/zookeeper"
)

const registryPath = "/services/hire"

// registry is the project's stand-in for a ZooKeeper-style registry, with a session for each server.
type registry struct {
	rig      *rig
	registry *zookeeper.Registry
	address  string
	sessions map[string]*zookeeper.OwnedSession
	servers  []*zookeeper.Server
	entry    func(s *server) string // data of a server's entry
}

// Announced records a list that a reader received.
func (g *registry) Announced(reader int, path string, children []zookeeper.Child, _ time.Time) {
	names := []string{}
	for _, c := range children {
		names = append(names, c.Name)
	}
	g.rig.logf("registry tells reader %d the children of %s: %v", reader, path, names)
}

// Data records the data of an entry that a reader received.
func (g *registry) Data(reader int, path string, data []byte, _ time.Time) {
	g.rig.logf("registry tells reader %d the data of %s: %s", reader, path, data)
}

// startRegistry starts a registry with a session for each server of a fleet.
func (r *rig) startRegistry(f *fleet, entry func(s *server) string) *registry {
	g := &registry{rig: r, entry: entry, sessions: map[string]*zookeeper.OwnedSession{}}
	g.registry = zookeeper.New(g)
	s, err := g.registry.Listen("127.0.0.1:0", 0)
	if err != nil {
		r.fail(err)
	}
	g.address = s.Address()
	g.servers = append(g.servers, s)
	for _, s := range f.servers {
		g.register(s)
	}
	return g
}

// register opens the session of a server.
func (g *registry) register(s *server) {
	g.sessions[s.id] = g.registry.OpenSession(6*time.Second, map[string][]byte{registryPath + "/" + s.id: []byte(g.entry(s))})
}

// startedEntry returns a server set entry with the zone and the start of the process.
func startedEntry(s *server) string {
	return fmt.Sprintf(`{"serviceEndpoint":{"host":"127.0.0.1","port":%s},"additionalEndpoints":{},"status":"ALIVE","zone":"scottsdale","started_ms":%d}`,
		s.address[len("127.0.0.1:"):], s.fleet.rig.startedAt.Add(-time.Hour).UnixMilli())
}

// plainEntry returns a server set entry in its published format, which names no zone.
func plainEntry(s *server) string {
	return fmt.Sprintf(`{"serviceEndpoint":{"host":"127.0.0.1","port":%s},"additionalEndpoints":{},"status":"ALIVE"}`, s.address[len("127.0.0.1:"):])
}

// file writes the registry's configuration file and returns its path.
func (g *registry) file() string {
	return g.rig.file("registry.toml", fmt.Sprintf("servers = [%q]\npath = %q\nsession = \"6s\"\n", g.address, registryPath))
}

// leave closes the session of a server.
func (g *registry) leave(id string) {
	g.rig.logf("%s closes its session", id)
	g.sessions[id].End()
}

// setReachable sets whether connections to the registry can be made. Those that are open are closed.
func (g *registry) setReachable(isReachable bool) {
	g.registry.SetRefusing(!isReachable)
	if !isReachable {
		for _, s := range g.servers {
			s.CloseConnections()
		}
	}
}
