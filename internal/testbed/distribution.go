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
	changeTimeout            = 30 * time.Second // for a change to be applied by all nodes
	distributionPollInterval = 5 * time.Millisecond
)

// Distribution measures how long changes take to reach nodes through two root control processes and some relays while
// faults are applied. All run in this process, over links that can be cut. Run is called once.
type Distribution struct {
	Nodes   int
	Relays  int
	Changes int    // after each fault
	Dir     string // for disks

	roots      []*controlProcess
	relays     []*controlProcess
	nodes      []*distributionNode
	lastChange int // number of the last change
}

// DistributionRow is the result under one fault.
type DistributionRow struct {
	Fault     string
	Median    time.Duration // from the answer to a write until the last node applied it
	Max       time.Duration // of the slowest change
	Rollbacks int           // changes by a node to an older value
}

// controlProcess is a control process and the link by which all others reach it.
type controlProcess struct {
	config *control.Config
	link   *faultproxy.Proxy
	stop   func() error
}

// distributionNode is a node's client, which records the changes that it applies.
type distributionNode struct {
	config *client.Config
	client *client.Client
	stop   func() error

	mu        sync.Mutex
	newest    int // number of the newest change
	rollbacks int
}

// ApplyServers ignores servers, which are never written here.
func (n *distributionNode) ApplyServers([]distribution.Entry, bool) []distribution.Rejection {
	return nil
}

// ApplyTenants ignores tenants, which are never written here.
func (n *distributionNode) ApplyTenants([]distribution.Entry) []distribution.Rejection { return nil }

// ApplyRoutes records the change, and a rollback if it is older than one before.
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

// Run measures under each fault in turn and reports each row.
func (d *Distribution) Run(ctx context.Context, report func(DistributionRow)) (err error) {
	defer func() { err = errors.Join(err, d.stop()) }()
	if err := d.start(ctx); err != nil {
		return err
	}
	var relay *controlProcess // of the present fault
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
			return fmt.Errorf("%s: %w", fault.name, err)
		}
		report(row)
		if fault.after == nil {
			continue
		}
		if err := fault.after(); err != nil {
			return fmt.Errorf("after %s: %w", fault.name, err)
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

// measureChange writes a change at the first root and returns how long it takes until all nodes applied it.
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
	began := time.Now()
	for _, n := range d.nodes {
		for !n.hasApplied(d.lastChange) {
			if time.Since(began) > changeTimeout {
				return 0, fmt.Errorf("a change is not applied by %s after %s", n.config.Name, changeTimeout)
			}
			select {
			case <-ctx.Done():
				return 0, ctx.Err()
			case <-time.After(distributionPollInterval):
			}
		}
	}
	return time.Since(began), nil
}

// clientConfig returns the configuration of a session or node that uses control processes.
func clientConfig(addresses ...string) *client.Config {
	c := &client.Config{Control: addresses, Plaintext: true}
	for _, at := range addresses {
		c.Addresses = append(c.Addresses, netip.MustParseAddrPort(at))
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
	at := func(c *controlProcess) netip.AddrPort { return netip.MustParseAddrPort(c.link.Address()) }
	for i, c := range d.roots {
		c.config.Follow, c.config.UpstreamAddresses = "all", []netip.AddrPort{at(d.roots[1-i])}
	}
	for i, c := range d.relays {
		c.config.UpstreamAddresses = []netip.AddrPort{at(d.roots[i%2]), at(d.roots[1-i%2])}
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

// mostFollowedRelay returns the relay that most nodes follow.
func (d *Distribution) mostFollowedRelay() *controlProcess {
	count := map[string]int{}
	for _, n := range d.nodes {
		count[n.client.Status().Upstream]++
	}
	return slices.MaxFunc(d.relays, func(a, b *controlProcess) int { return count[a.link.Address()] - count[b.link.Address()] })
}

// newControl returns a control process that is not started yet, behind its link.
func (d *Distribution) newControl(i int) (*controlProcess, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	at := ln.Addr().(*net.TCPAddr).AddrPort()
	ln.Close()
	link, err := faultproxy.Listen(at.String())
	if err != nil {
		return nil, err
	}
	name := fmt.Sprint("control-", i)
	return &controlProcess{link: link, stop: func() error { return nil }, config: &control.Config{Name: name, ListenAddress: at,
		Disk: filepath.Join(d.Dir, name+".db"), Follow: "one", TotalBytesPerSecond: 8 << 20, NodeBytesPerSecond: 16 << 10, ControlBytesPerSecond: 4 << 20, MaxConnections: 8192,
		DeletionRetention: tomlfile.Duration(time.Hour)}}, nil
}

func (c *controlProcess) start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- control.Run(ctx, c.config, zerolog.Nop()) }()
	c.stop = sync.OnceValue(func() error {
		cancel()
		c.link.Break()
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
			return errors.Join(errors.New("the first root accepts no writes"), err)
		}
		time.Sleep(distributionPollInterval)
	}
}

// loseDisk restarts a control process with an empty disk.
func (d *Distribution) loseDisk(ctx context.Context, c *controlProcess) error {
	if err := c.stop(); err != nil {
		return err
	}
	if err := os.Remove(c.config.Disk); err != nil {
		return err
	}
	return c.start(ctx)
}

// restartNodes stops all nodes and starts them from their disks.
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
	end, err := client.New(n.config, n, zerolog.Nop())
	if err != nil {
		return err
	}
	n.client = end
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- end.Run(ctx) }()
	n.stop = sync.OnceValue(func() error {
		cancel()
		return <-done
	})
	return nil
}

// stop stops all that runs.
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
