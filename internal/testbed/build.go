package testbed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"fernvane/internal/testbed/audit"
	"fernvane/internal/testbed/scenario"
	"fernvane/internal/testbed/standin/connbalancer"
	"fernvane/internal/testbed/standin/discovery"
	"fernvane/internal/testbed/standin/server"
)

// build starts servers, discovery and nodes.
func (w *world) build(ctx context.Context) error {
	if err := w.reserve(); err != nil {
		return err
	}
	s := w.Scenario
	w.observer = newObserver(s, w.Requests, w.start)
	w.discovery = discovery.New(discovery.Figures{LinesPerS: s.Discovery.LinesPerS, CallLines: s.Discovery.CallLines,
		Timeout: s.Discovery.Timeout.Std(), Spread: s.Discovery.Spread.Std()}, s.Seed, discovered{w.observer})
	for i := range s.Servers {
		for n := range s.Servers[i].Count {
			m, err := w.add(&s.Servers[i], fmt.Sprintf("%s-%d", s.Servers[i].Kind, n))
			if err != nil {
				return err
			}
			w.announce(m, discovery.Serving, 0, time.Time{})
		}
	}
	var nodes []connbalancer.Node
	for n := range s.Nodes.Count {
		nodes = append(nodes, connbalancer.Node{Site: n % len(s.Sites), Address: w.nodeAddress(n), FastCGI: w.cgiAddress(n)})
	}
	w.balancer = connbalancer.New(len(s.Sites), nodes)
	if err := w.serveDiscovery(); err != nil {
		return err
	}
	ready, cancel := context.WithTimeoutCause(ctx, maxStartTime, errors.New("the nodes take too long to start"))
	defer cancel()
	g, ready := errgroup.WithContext(ready)
	g.SetLimit(startAtOnce)
	for n := range s.Nodes.Count {
		w.nodes = append(w.nodes, &process{number: n, command: w.Command, env: w.Env, dir: w.Keep})
	}
	if err := w.operator(0); err != nil {
		return err
	}
	if err := w.plan(); err != nil {
		return err
	}
	if err := w.journals(); err != nil {
		return err
	}
	if err := w.tier(); err != nil {
		return err
	}
	if err := w.enrols(); err != nil {
		return err
	}
	if err := w.keepLists(); err != nil {
		return err
	}
	for n := range s.Nodes.Count {
		g.Go(func() error {
			if err := w.configure(n); err != nil {
				return err
			}
			return w.launch(ready, n)
		})
	}
	return g.Wait()
}

// reserve finds a net of the loopback range that no other lab uses.
func (w *world) reserve() (err error) {
	from := os.Getpid()
	for i := range lastNet - firstNet {
		r := firstNet + (from+i)%(lastNet-firstNet)
		if w.lock, err = net.Listen("tcp", fmt.Sprintf("127.%d.254.254:%d", r, serverPort-1)); err == nil {
			w.net = fmt.Sprintf("127.%d", r)
			return nil
		}
	}
	return fmt.Errorf("no loopback net is free for a lab: %w", err)
}

func (w *world) nodeAddress(n int) string {
	return fmt.Sprintf("%s.%d.%d:%d", w.net, n/250, n%250+1, nodePort)
}

func (w *world) cgiAddress(n int) string {
	return fmt.Sprintf("%s.%d.%d:%d", w.net, n/250, n%250+1, cgiPort)
}

func (w *world) discoveryAddress(n, place int) string {
	return fmt.Sprintf("%s.%d.1:%d", w.net, 200+place, discoveryPort+n)
}

func (w *world) serveDiscovery() error {
	for n := range w.Scenario.Nodes.Count + w.Scenario.Planners.Count {
		if err := w.discovery.Serve(n, n%len(w.Scenario.Sites), w.discoveryAddress(n, w.addresses)); err != nil {
			return err
		}
	}
	return nil
}

// add builds a server; it is in no list yet.
func (w *world) add(k *scenario.Servers, name string) (*machine, error) {
	s, n := w.Scenario, len(w.servers)
	site := n % len(s.Sites)
	cell := 0
	if k.GroupSize > 0 {
		cell = n / k.GroupSize
	}
	addresses := make([]string, len(s.Sites))
	for i := range addresses {
		addresses[i] = fmt.Sprintf("%s.%d.%d:%d", w.net, 100+n/250, n%250+1, serverPort+i)
	}
	cross := func(from int) time.Duration {
		if from == site {
			return s.Net.Same.Std()
		}
		return s.Net.Cross.Std()
	}
	id := server.Identity{Number: n, Name: name, Site: site, Cell: cell}
	b, err := server.NewServer(id, server.Figures{Cores: k.Cores, Speed: k.Speed, Queue: k.Queue, ColdShare: k.ColdShare, ColdFor: k.ColdFor.Std(),
		KeyGain: k.KeyGain, KeyFor: k.KeyFor.Std(), Keys: k.Keys, Drops: k.Drops, FallMultiple: s.Rules.FallMultiple,
		FallWindow: s.Rules.FallWindow.Std(), Handshake: k.Handshake.Std(), Connections: k.Connections, FastCGI: k.FastCGI}, w.start, addresses, cross, w.observer)
	if err != nil {
		return nil, err
	}
	b.Set(func(f *server.Faults) { f.Err = k.ErrorRate })
	m := &machine{Server: b, kind: k}
	w.servers = append(w.servers, m)
	w.observer.record(func(a *audit.Audit, _ time.Duration) {
		w.observer.servers[name] = n
		a.Server(audit.Server{Name: name, Site: site, Cell: cell, Kind: k.Kind})
	})
	return m, nil
}

// cgi reports whether anything of the scenario speaks FastCGI, and which kinds of servers.
func (w *world) cgi() (any bool, kinds []string) {
	for _, b := range w.Scenario.Servers {
		if b.FastCGI {
			kinds = append(kinds, b.Kind)
		}
	}
	return w.Scenario.Clients.FastCGI || len(kinds) > 0, kinds
}

// operator writes the nodes' operator's files whole, so that none is ever read half.
func (w *world) operator(which int) error {
	any, kinds := w.cgi()
	if len(w.Scenario.Operators) == 0 && !any {
		return nil
	}
	for _, p := range w.nodes {
		text := ""
		if any {
			text = fmt.Sprintf("[fastcgi]\nlisten = %q\nflavors = %s\n", w.cgiAddress(p.number), strings.ReplaceAll(fmt.Sprintf("%q", kinds), " ", ", "))
		}
		if n := len(w.Scenario.Operators); n > 0 {
			text += w.Scenario.Operators[which%n]
		}
		if err := os.WriteFile(p.operator()+".new", []byte(text), 0o644); err != nil {
			return err
		}
		if err := os.Rename(p.operator()+".new", p.operator()); err != nil {
			return err
		}
	}
	return nil
}

// configure writes a node's file, with the list as discovery has it now.
func (w *world) configure(n int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	seed := fmt.Sprintf("%d-%d-%d", w.Scenario.Seed, n, time.Since(w.start)/time.Second)
	var known json.RawMessage
	if w.Scenario.Lists.Start == "known" {
		known = w.discovery.List(n % len(w.Scenario.Sites))
	}
	return w.nodes[n].configure(w.Scenario, w.nodeAddress(n), w.discoveryAddress(n, w.addresses), seed, known)
}

// launch starts a node on its file as it is, and waits until the connection balancer has taken it in.
func (w *world) launch(ctx context.Context, n int) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := w.age(n); err != nil {
		return err
	}
	err := w.nodes[n].start(w.processes, func(why string) {
		cancel(fmt.Errorf("node %d has ended: %s", n, why))
		w.observer.record(func(a *audit.Audit, _ time.Duration) { a.Crashed(n, why) })
		w.observer.nodeDown(n, true)
		w.balancer.Ended(n, w.Scenario.Nodes.Notice.Std())
	})
	if err != nil {
		return err
	}
	w.observer.nodeUp(n)
	return w.balancer.Started(ctx, n)
}
