package testbed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"fernvane/internal/testbed/audit"
	"fernvane/internal/testbed/scenario"
	"fernvane/internal/testbed/standin/connbalancer"
	"fernvane/internal/testbed/standin/discovery"
	"fernvane/internal/testbed/standin/loopback"
	"fernvane/internal/testbed/standin/server"
)

// build starts servers, discovery and nodes and returns when the connection balancer knows all nodes.
func (env *environment) build(ctx context.Context) error {
	var err error
	if env.network, err = loopback.Reserve(); err != nil {
		return err
	}
	s := env.Scenario
	env.observer = newObserver(s, env.Requests, env.start)
	env.discovery = discovery.New(discovery.Settings{LinesPerS: s.Discovery.LinesPerS, CallLines: s.Discovery.CallLines,
		Timeout: s.Discovery.Timeout.Std(), Spread: s.Discovery.Spread.Std()}, s.Seed, discovered{env.observer})
	for i := range s.Servers {
		for n := range s.Servers[i].Count {
			m, err := env.addServer(&s.Servers[i], fmt.Sprintf("%s-%d", s.Servers[i].Kind, n))
			if err != nil {
				return err
			}
			env.announce(m, discovery.Serving, 0, time.Time{})
		}
	}
	var nodes []connbalancer.Node
	for n := range s.Nodes.Count {
		nodes = append(nodes, connbalancer.Node{Site: n % len(s.Sites), Address: env.nodeAddress(n), FastCGI: env.fastCGIAddress(n)})
	}
	env.balancer = connbalancer.New(len(s.Sites), nodes)
	if err := env.serveDiscovery(); err != nil {
		return err
	}
	ready, cancel := context.WithTimeoutCause(ctx, maxStartTime, errors.New("the nodes take too long to start"))
	defer cancel()
	g, ready := errgroup.WithContext(ready)
	g.SetLimit(maxConcurrentStarts)
	for n := range s.Nodes.Count {
		env.nodes = append(env.nodes, &process{number: n, command: env.Command, env: env.Env, dir: env.Directory})
	}
	if err := env.writeOperatorFiles(0); err != nil {
		return err
	}
	if err := env.startPlanners(); err != nil {
		return err
	}
	if err := env.setUpJournals(); err != nil {
		return err
	}
	if err := env.setUpPeers(); err != nil {
		return err
	}
	if err := env.startRegistry(); err != nil {
		return err
	}
	if err := env.setUpSnapshots(); err != nil {
		return err
	}
	for n := range s.Nodes.Count {
		g.Go(func() error {
			if err := env.writeNodeConfig(n); err != nil {
				return err
			}
			return env.startNode(ready, n)
		})
	}
	return g.Wait()
}

// nodeAddress returns where a node listens for HTTP.
func (env *environment) nodeAddress(n int) string {
	return env.network.Address(n/250, n%250+1, nodePort)
}

// fastCGIAddress returns where a node listens for FastCGI.
func (env *environment) fastCGIAddress(n int) string {
	return env.network.Address(n/250, n%250+1, fastCGIPort)
}

// discoveryAddress returns where discovery listens for a node or planner after a number of moves.
func (env *environment) discoveryAddress(n, moves int) string {
	return env.network.Address(200+moves, 1, discoveryPort+n)
}

// serveDiscovery has discovery listen at its present addresses, one for each node and planner.
func (env *environment) serveDiscovery() error {
	for n := range env.Scenario.Nodes.Count + env.Scenario.Planners.Count {
		if err := env.discovery.Serve(n, n%len(env.Scenario.Sites), env.discoveryAddress(n, env.addresses)); err != nil {
			return err
		}
	}
	return nil
}

// addServer starts a server that discovery does not know yet.
func (env *environment) addServer(k *scenario.Servers, name string) (*standinServer, error) {
	s, n := env.Scenario, len(env.servers)
	site := n % len(s.Sites)
	cell := 0
	if k.GroupSize > 0 {
		cell = n / k.GroupSize
	}
	addresses := make([]string, len(s.Sites))
	for i := range addresses {
		addresses[i] = env.network.Address(100+n/250, n%250+1, serverPort+i)
	}
	latency := func(from int) time.Duration {
		if from == site {
			return s.Net.Same.Std()
		}
		return s.Net.Cross.Std()
	}
	id := server.Identity{Number: n, Name: name, Site: site, Cell: cell}
	b, err := server.NewServer(id, server.Settings{Cores: k.Cores, Speed: k.Speed, Queue: k.Queue, ColdShare: k.ColdShare, ColdFor: k.ColdFor.Std(),
		KeyGain: k.KeyGain, KeyFor: k.KeyFor.Std(), Keys: k.Keys, Drops: k.Drops, OverloadFactor: s.Rules.FallMultiple,
		OverloadWindow: s.Rules.FallWindow.Std(), Handshake: k.Handshake.Std(), Connections: k.Connections, FastCGI: k.FastCGI}, env.start, addresses, latency, env.observer)
	if err != nil {
		return nil, err
	}
	b.Set(func(f *server.Faults) { f.Err = k.ErrorRate })
	m := &standinServer{Server: b, spec: k}
	env.servers = append(env.servers, m)
	env.observer.record(func(a *audit.Audit, _ time.Duration) {
		env.observer.servers[name] = n
		a.Server(audit.Server{Name: name, Site: site, Cell: cell, Kind: k.Kind})
	})
	return m, nil
}

// fastCGIUse reports whether clients or servers of the scenario speak FastCGI, and which kinds of servers.
func (env *environment) fastCGIUse() (isUsed bool, kinds []string) {
	for _, b := range env.Scenario.Servers {
		if b.FastCGI {
			kinds = append(kinds, b.Kind)
		}
	}
	return env.Scenario.Clients.FastCGI || len(kinds) > 0, kinds
}

// writeOperatorFiles writes the version of the operator's file to all nodes, each by a rename, so that no node reads a part.
func (env *environment) writeOperatorFiles(version int) error {
	isUsed, kinds := env.fastCGIUse()
	if len(env.Scenario.Operators) == 0 && !isUsed {
		return nil
	}
	for _, p := range env.nodes {
		text := ""
		if isUsed {
			text = fmt.Sprintf("[fastcgi]\nlisten = %q\nflavors = %s\n", env.fastCGIAddress(p.number), strings.ReplaceAll(fmt.Sprintf("%q", kinds), " ", ", "))
		}
		if n := len(env.Scenario.Operators); n > 0 {
			text += env.Scenario.Operators[version%n]
		}
		if err := os.WriteFile(p.operatorPath()+".new", []byte(text), 0o644); err != nil {
			return err
		}
		if err := os.Rename(p.operatorPath()+".new", p.operatorPath()); err != nil {
			return err
		}
	}
	return nil
}

// writeNodeConfig writes a node's configuration, with discovery's present list if the scenario wants it.
func (env *environment) writeNodeConfig(n int) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	seed := fmt.Sprintf("%d-%d-%d", env.Scenario.Seed, n, time.Since(env.start)/time.Second)
	var known json.RawMessage
	if env.Scenario.Lists.Start == "known" {
		known = env.discovery.List(n % len(env.Scenario.Sites))
	}
	return env.nodes[n].writeConfig(env.Scenario, env.nodeAddress(n), env.discoveryAddress(n, env.addresses), seed, known)
}

// startNode starts a node on its present configuration and waits until the connection balancer knows it.
func (env *environment) startNode(ctx context.Context, n int) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := env.ageSnapshot(n); err != nil {
		return err
	}
	err := env.nodes[n].start(env.processes, func(why string) {
		cancel(fmt.Errorf("node %d has ended: %s", n, why))
		env.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(n, why) })
		env.observer.nodeDown(n, true)
		env.balancer.Ended(n, env.Scenario.Nodes.Notice.Std())
	})
	if err != nil {
		return err
	}
	env.observer.nodeUp(n)
	return env.balancer.Started(ctx, n)
}
