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

// setUp starts the stand-ins and planners, then the nodes, and returns when the connection balancer routes to all nodes.
func (env *environment) setUp(ctx context.Context) error {
	var err error
	if env.network, err = loopback.Reserve(); err != nil {
		return err
	}
	s := env.Scenario
	env.observer = newObserver(s, env.Requests, env.start)
	env.discovery = discovery.New(discovery.Settings{LinesPerSecond: s.Discovery.LinesPerSecond, CallLines: s.Discovery.CallLines,
		Timeout: s.Discovery.Timeout.Std(), Spread: s.Discovery.Spread.Std()}, s.Seed, discoveryObserver{env.observer})
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
	ready, cancel := context.WithTimeoutCause(ctx, maxStartTime, errors.New("node start timed out"))
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

// nodeAddress returns the HTTP listen address of a node.
func (env *environment) nodeAddress(n int) string {
	return env.network.Address(n/250, n%250+1, nodePort)
}

// fastCGIAddress returns the FastCGI listen address of a node.
func (env *environment) fastCGIAddress(n int) string {
	return env.network.Address(n/250, n%250+1, fastCGIPort)
}

// discoveryAddress returns the address of discovery for a node or planner, after discovery has moved a number of times.
func (env *environment) discoveryAddress(n, moves int) string {
	return env.network.Address(200+moves, 1, discoveryPort+n)
}

// serveDiscovery makes discovery listen on its current addresses, one for each node and planner.
func (env *environment) serveDiscovery() error {
	for n := range env.Scenario.Nodes.Count + env.Scenario.Planners.Count {
		if err := env.discovery.Serve(n, n%len(env.Scenario.Sites), env.discoveryAddress(n, env.discoveryMoves)); err != nil {
			return err
		}
	}
	return nil
}

// addServer starts a server without announcing it to discovery.
func (env *environment) addServer(spec *scenario.Servers, name string) (*standinServer, error) {
	s, n := env.Scenario, len(env.servers)
	site := n % len(s.Sites)
	cell := 0
	if spec.GroupSize > 0 {
		cell = n / spec.GroupSize
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
	standin, err := server.NewServer(id, server.Settings{Cores: spec.Cores, Speed: spec.Speed, Queue: spec.Queue, ColdShare: spec.SlowStartCapacity, ColdFor: spec.SlowStartDuration.Std(),
		KeyGain: spec.CacheGain, KeyFor: spec.CacheDuration.Std(), Keys: spec.CacheSize, DropsExpired: spec.RejectsExpired, OverloadFactor: s.Rules.OverloadFactor,
		OverloadWindow: s.Rules.OverloadWindow.Std(), Handshake: spec.Handshake.Std(), Connections: spec.Connections, FastCGI: spec.FastCGI}, env.start, addresses, latency, env.observer)
	if err != nil {
		return nil, err
	}
	standin.ChangeFaults(func(f *server.Faults) { f.ErrorResponse = spec.ErrorRate })
	m := &standinServer{Server: standin, spec: spec}
	env.servers = append(env.servers, m)
	env.observer.record(func(a *audit.Audit, _ time.Duration) {
		env.observer.servers[name] = n
		a.Server(audit.Server{Name: name, Site: site, Cell: cell, Kind: spec.Kind})
	})
	return m, nil
}

// fastCGIUse reports whether clients or servers of the scenario speak FastCGI, and the kinds of servers that do.
func (env *environment) fastCGIUse() (isUsed bool, kinds []string) {
	for _, s := range env.Scenario.Servers {
		if s.FastCGI {
			kinds = append(kinds, s.Kind)
		}
	}
	return env.Scenario.Clients.FastCGI || len(kinds) > 0, kinds
}

// writeOperatorFiles writes a version of the operator's file for each node. It renames complete files into place, so that
// no node reads a partial one.
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

// writeNodeConfig writes a node's configuration, with discovery's current endpoint list if the scenario starts nodes
// with it.
func (env *environment) writeNodeConfig(n int) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	seed := fmt.Sprintf("%d-%d-%d", env.Scenario.Seed, n, time.Since(env.start)/time.Second)
	var endpointList json.RawMessage
	if env.Scenario.Lists.Start == "known" {
		endpointList = env.discovery.List(n % len(env.Scenario.Sites))
	}
	return env.nodes[n].writeConfig(env.Scenario, env.nodeAddress(n), env.discoveryAddress(n, env.discoveryMoves), seed, endpointList)
}

// startNode starts a node with its current configuration and waits until the connection balancer routes to it. If the
// process exits without being stopped, also after startNode has returned, the audit is notified of a crash and the balancer
// removes the node.
func (env *environment) startNode(ctx context.Context, n int) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := env.ageSnapshot(n); err != nil {
		return err
	}
	err := env.nodes[n].start(env.processes, func(reason string) {
		cancel(fmt.Errorf("node %d exited: %s", n, reason))
		env.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(n, reason) })
		env.observer.nodeDown(n, true)
		env.balancer.NodeEnded(n, env.Scenario.Nodes.CrashNotice.Std())
	})
	if err != nil {
		return err
	}
	env.observer.nodeUp(n)
	return env.balancer.NodeStarted(ctx, n)
}
