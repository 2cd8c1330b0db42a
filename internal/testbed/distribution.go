package testbed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/client"
	"fernvane/internal/controlplane/distribution/control"
	"fernvane/internal/testbed/standin/faultproxy"
)

const (
	distributionService      = "hire"
	changeTimeout            = 30 * time.Second // for all nodes to apply a change
	distributionPollInterval = 5 * time.Millisecond
)

// Distribution measures how long changes take to reach nodes through two root control processes and several relays while
// faults are applied. All of them run in this process and are connected by links that can be cut. Run may be called once.
type Distribution struct {
	Nodes   int
	Relays  int
	Changes int    // measured under each fault
	Dir     string // holds the disk files

	roots      []*controlProcess
	relays     []*controlProcess
	nodes      []*distributionNode
	lastChange int // number of the last change
}

// DistributionRow is the result of the changes under one fault.
type DistributionRow struct {
	Fault     string
	Median    time.Duration // from the response to a write until the last node has applied the change
	Max       time.Duration // of the slowest change
	Rollbacks int           // times that a node replaced a value by an older one
}

// controlProcess is a control process and the link through which nodes and other control processes reach it.
type controlProcess struct {
	config *control.Config
	link   *faultproxy.Proxy
	stop   func() error
}

// distributionNode is the distribution client of a node. It records the changes that it applies.
type distributionNode struct {
	config *client.Config
	client *client.Client
	stop   func() error

	mu        sync.Mutex
	newest    int // number of the last applied change
	rollbacks int
}

// ApplyServers ignores server entries; Distribution writes none.
func (n *distributionNode) ApplyServers([]distribution.Entry, bool) []distribution.Rejection {
	return nil
}

// ApplyTenants ignores tenant entries; Distribution writes none.
func (n *distributionNode) ApplyTenants([]distribution.Entry) []distribution.Rejection { return nil }

// ApplyRoutes records the applied change, and counts a rollback if it is older than the previous one.
func (n *distributionNode) ApplyRoutes(all []distribution.Entry) []distribution.Rejection {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range all {
		number, _ := strconv.Atoi(string(e.Value))
		if number < n.newest {
			n.rollbacks++
		}
		n.newest = number
	}
	return nil
}

// hasApplied reports whether the node has applied a change.
func (n *distributionNode) hasApplied(number int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newest >= number
}

// Run measures changes under each fault, one after the other, and calls report with each result.
func (d *Distribution) Run(ctx context.Context, report func(DistributionRow)) (err error) {
	defer func() { err = errors.Join(err, d.stop()) }()
	if err := d.start(ctx); err != nil {
		return err
	}
	var relay *controlProcess // affected by the current fault
	cut := func(link *faultproxy.Proxy, both, isCut bool) {
		link.Cut(faultproxy.Down, isCut)
		if both {
			link.Cut(faultproxy.Up, isCut)
		}
	}
	for _, fault := range []struct {
		name         string
		begin, after func() error
	}{
		{"none", nil, nil},
		{"a relay ends", func() error { relay = d.mostFollowedRelay(); return relay.stop() }, func() error { return relay.start(ctx) }},
		{"a relay is cut off", func() error { relay = d.mostFollowedRelay(); cut(relay.link, true, true); return nil }, func() error { cut(relay.link, true, false); return nil }},
		{"a relay is cut one way", func() error { relay = d.mostFollowedRelay(); cut(relay.link, false, true); return nil }, func() error { cut(relay.link, false, false); return nil }},
		{"a relay loses its disk", func() error { return d.loseDisk(ctx, d.mostFollowedRelay()) }, nil},
		{"a root ends", func() error { return d.roots[1].stop() }, func() error { return d.roots[1].start(ctx) }},
		{"all nodes start anew", func() error { return d.restartNodes(ctx) }, nil},
		{"none again", nil, nil},
	} {
		row, err := d.runFault(ctx, fault.name, fault.begin)
		if err != nil {
			return fmt.Errorf("measure changes under fault \"%s\": %w", fault.name, err)
		}
		report(row)
		if fault.after == nil {
			continue
		}
		if err := fault.after(); err != nil {
			return fmt.Errorf("end fault \"%s\": %w", fault.name, err)
		}
	}
	return nil
}

// runFault makes changes under one fault and measures each.
func (d *Distribution) runFault(ctx context.Context, name string, begin func() error) (DistributionRow, error) {
	row := DistributionRow{Fault: name}
	if begin != nil {
		if err := begin(); err != nil {
			return row, err
		}
	}
	var took []time.Duration
	for range d.Changes {
		elapsed, err := d.measureChange(ctx)
		if err != nil {
			return row, err
		}
		took = append(took, elapsed)
	}
	slices.Sort(took)
	row.Median = took[len(took)/2]
	row.Max = took[len(took)-1]
	for _, n := range d.nodes {
		n.mu.Lock()
		row.Rollbacks += n.rollbacks
		n.rollbacks = 0
		n.mu.Unlock()
	}
	return row, nil
}

// measureChange writes a change to the first root and returns the time from the response to the write until all nodes have
// applied it.
func (d *Distribution) measureChange(ctx context.Context) (time.Duration, error) {
	d.lastChange++
	change := distribution.Change{Key: distribution.Key{Service: distributionService, Kind: distribution.KindRoute, Name: "checks"}, Value: []byte(strconv.Itoa(d.lastChange))}
	session, err := client.Open(ctx, clientConfig(d.roots[0].link.Address()))
	if err != nil {
		return 0, err
	}
	_, err = session.Write([]distribution.Change{change})
	session.Close()
	if err != nil {
		return 0, err
	}
	writtenAt := time.Now()
	for _, n := range d.nodes {
		for !n.hasApplied(d.lastChange) {
			if time.Since(writtenAt) > changeTimeout {
				return 0, fmt.Errorf("change not applied by %s within %s", n.config.Name, changeTimeout)
			}
			select {
			case <-ctx.Done():
				return 0, ctx.Err()
			case <-time.After(distributionPollInterval):
			}
		}
	}
	return time.Since(writtenAt), nil
}

// clientConfig returns the configuration of a session or node that connects to control processes at the addresses.
func clientConfig(addresses ...string) *client.Config {
	c := &client.Config{Control: addresses, Plaintext: true}
	for _, address := range addresses {
		c.Addresses = append(c.Addresses, netip.MustParseAddrPort(address))
	}
	return c
}

// start starts the roots, the relays and the nodes.
func (d *Distribution) start(ctx context.Context) error {
	for i := range 2 + d.Relays {
		c, err := d.newControl(i)
		if err != nil {
			return err
		}
		if i < 2 {
			d.roots = append(d.roots, c)
		} else {
			d.relays = append(d.relays, c)
		}
	}
	addrPort := func(c *controlProcess) netip.AddrPort { return netip.MustParseAddrPort(c.link.Address()) }
	for i, c := range d.roots {
		c.config.Follow, c.config.UpstreamAddresses = "all", []netip.AddrPort{addrPort(d.roots[1-i])}
	}
	for i, c := range d.relays {
		c.config.UpstreamAddresses = []netip.AddrPort{addrPort(d.roots[i%2]), addrPort(d.roots[1-i%2])}
	}
	for _, c := range slices.Concat(d.roots, d.relays) {
		if err := c.start(ctx); err != nil {
			return err
		}
	}
	if err := d.awaitRoot(ctx); err != nil {
		return err
	}
	for i := range d.Nodes {
		first, second := d.relays[i%d.Relays], d.relays[(i+1)%d.Relays]
		n := &distributionNode{config: clientConfig(first.link.Address(), second.link.Address())}
		n.config.Name, n.config.Services = fmt.Sprint("node-", i), []string{distributionService}
		n.config.StartTimeout = tomlfile.Duration(time.Second)
		n.config.Directory = filepath.Join(d.Dir, n.config.Name)
		if err := os.Mkdir(n.config.Directory, 0o700); err != nil {
			return err
		}
		if err := n.start(ctx); err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
	}
	return nil
}

// mostFollowedRelay returns the relay with the most nodes connected.
func (d *Distribution) mostFollowedRelay() *controlProcess {
	count := map[string]int{}
	for _, n := range d.nodes {
		count[n.client.Status().Upstream]++
	}
	return slices.MaxFunc(d.relays, func(a, b *controlProcess) int { return count[a.link.Address()] - count[b.link.Address()] })
}

// newControl returns a control process behind its link, without starting it.
func (d *Distribution) newControl(i int) (*controlProcess, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := ln.Addr().(*net.TCPAddr).AddrPort()
	ln.Close()
	link, err := faultproxy.Listen(address.String())
	if err != nil {
		return nil, err
	}
	name := fmt.Sprint("control-", i)
	return &controlProcess{link: link, stop: func() error { return nil }, config: &control.Config{Name: name, ListenAddress: address,
		Disk: filepath.Join(d.Dir, name+".db"), Follow: "one", TotalBytesPerSecond: 8 << 20, NodeBytesPerSecond: 16 << 10, ControlBytesPerSecond: 4 << 20, MaxConnections: 8192,
		DeletionRetention: tomlfile.Duration(time.Hour)}}, nil
}

func (c *controlProcess) start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- control.Run(ctx, c.config, zerolog.Nop()) }()
	c.stop = sync.OnceValue(func() error {
		cancel()
		c.link.CloseConnections()
		return <-done
	})
	return nil
}

// awaitRoot waits until the first root accepts writes.
func (d *Distribution) awaitRoot(ctx context.Context) error {
	for deadline := time.Now().Add(changeTimeout); ; {
		session, err := client.Open(ctx, clientConfig(d.roots[0].link.Address()))
		if err == nil {
			self, _, failed := session.Status()
			session.Close()
			if failed == nil && self.HasAcknowledged {
				return nil
			}
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errors.Join(errors.New("first root control process does not accept writes"), err)
		}
		time.Sleep(distributionPollInterval)
	}
}

// loseDisk stops a control process, deletes its disk file and starts it again.
func (d *Distribution) loseDisk(ctx context.Context, c *controlProcess) error {
	if err := c.stop(); err != nil {
		return err
	}
	if err := os.Remove(c.config.Disk); err != nil {
		return err
	}
	return c.start(ctx)
}

// restartNodes stops all nodes and starts them again from their stored entries.
func (d *Distribution) restartNodes(ctx context.Context) error {
	for _, n := range d.nodes {
		if err := n.stop(); err != nil {
			return err
		}
	}
	for _, n := range d.nodes {
		if err := n.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (n *distributionNode) start(ctx context.Context) error {
	c, err := client.New(n.config, n, zerolog.Nop())
	if err != nil {
		return err
	}
	n.client = c
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	n.stop = sync.OnceValue(func() error {
		cancel()
		return <-done
	})
	return nil
}

// stop stops all nodes and control processes and closes the links.
func (d *Distribution) stop() (err error) {
	for _, n := range d.nodes {
		err = errors.Join(err, n.stop())
	}
	for _, c := range slices.Concat(d.relays, d.roots) {
		err = errors.Join(err, c.stop())
		c.link.Close()
	}
	return err
}
