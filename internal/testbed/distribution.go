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
	distributedService       = "hire"
	distributedGiveUp        = 30 * time.Second // for a change to be in force everywhere, after which the trial has failed
	distributionPollInterval = 5 * time.Millisecond
)

// Distribution plays nodes' ends of the distribution under two roots and some relays, in this one process, over links that
// can be cut.
type Distribution struct {
	Nodes   int
	Relays  int
	Changes int    // after each fault
	Dir     string // for disks

	roots  []*playedControl
	relays []*playedControl
	nodes  []*playedNode
	last   int // number of the last change
}

// DistributionRow is what came of one fault.
type DistributionRow struct {
	Fault  string
	Median time.Duration // from a write's answer to in force at the last node
	Last   time.Duration // the slowest change
	Back   int           // values that a node went back to
}

// playedControl is a control process with the link on which all others reach it.
type playedControl struct {
	config *control.Config
	wires  *faultproxy.Proxy
	stop   func() error
}

// playedNode notes the changes that are in force at one node.
type playedNode struct {
	config *client.Config
	end    *client.Client
	stop   func() error

	mu      sync.Mutex
	entries int // number of the newest change
	back    int
}

// Servers takes what this trial never writes.
func (n *playedNode) ApplyServers([]distribution.Entry, bool) []distribution.Rejection { return nil }

// Tenants takes what this trial never writes.
func (n *playedNode) ApplyTenants([]distribution.Entry) []distribution.Rejection { return nil }

// Routes notes the newest change, and whether it is older than one before.
func (n *playedNode) ApplyRoutes(all []distribution.Entry) []distribution.Rejection {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range all {
		number, _ := strconv.Atoi(string(e.Value))
		if number < n.entries {
			n.back++
		}
		n.entries = number
	}
	return nil
}

func (n *playedNode) matches(number int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.entries >= number
}

// Run plays all faults, one after the other.
func (d *Distribution) Run(ctx context.Context, tell func(DistributionRow)) (err error) {
	defer func() { err = errors.Join(err, d.end()) }()
	if err := d.begin(ctx); err != nil {
		return err
	}
	var relay *playedControl // of the fault at hand: the one that most nodes follow
	cut := func(wires *faultproxy.Proxy, both, is bool) {
		wires.Cut(faultproxy.Down, is)
		if both {
			wires.Cut(faultproxy.Up, is)
		}
	}
	for _, fault := range []struct {
		name         string
		begin, after func() error
	}{
		{"none", nil, nil},
		{"a relay ends", func() error { relay = d.followed(); return relay.stop() }, func() error { return relay.start(ctx) }},
		{"a relay is cut off", func() error { relay = d.followed(); cut(relay.wires, true, true); return nil }, func() error { cut(relay.wires, true, false); return nil }},
		{"a relay is cut one way", func() error { relay = d.followed(); cut(relay.wires, false, true); return nil }, func() error { cut(relay.wires, false, false); return nil }},
		{"a relay loses its disk", func() error { return d.emptied(ctx, d.followed()) }, nil},
		{"a root ends", func() error { return d.roots[1].stop() }, func() error { return d.roots[1].start(ctx) }},
		{"all nodes start anew", func() error { return d.restart(ctx) }, nil},
		{"none again", nil, nil},
	} {
		row, err := d.play(ctx, fault.name, fault.begin)
		if err != nil {
			return fmt.Errorf("%s: %w", fault.name, err)
		}
		tell(row)
		if fault.after == nil {
			continue
		}
		if err := fault.after(); err != nil {
			return fmt.Errorf("after %s: %w", fault.name, err)
		}
	}
	return nil
}

// play makes changes under one fault and waits for each to be in force everywhere.
func (d *Distribution) play(ctx context.Context, name string, begin func() error) (DistributionRow, error) {
	row := DistributionRow{Fault: name}
	if begin != nil {
		if err := begin(); err != nil {
			return row, err
		}
	}
	var took []time.Duration
	for range d.Changes {
		span, err := d.change(ctx)
		if err != nil {
			return row, err
		}
		took = append(took, span)
	}
	slices.Sort(took)
	row.Median, row.Last = took[len(took)/2], took[len(took)-1]
	for _, n := range d.nodes {
		n.mu.Lock()
		row.Back += n.back
		n.back = 0
		n.mu.Unlock()
	}
	return row, nil
}

// change writes one at the first root and waits until it is in force at all nodes.
func (d *Distribution) change(ctx context.Context) (time.Duration, error) {
	d.last++
	change := distribution.Change{Key: distribution.Key{Service: distributedService, Kind: distribution.KindRoute, Name: "checks"}, Value: []byte(strconv.Itoa(d.last))}
	session, err := client.Open(ctx, asked(d.roots[0].wires.Address()))
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
		for !n.matches(d.last) {
			if time.Since(began) > distributedGiveUp {
				return 0, fmt.Errorf("a change is not in force at %s after %s", n.config.Name, distributedGiveUp)
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

// asked is what a session or a node needs to reach control processes.
func asked(addresses ...string) *client.Config {
	c := &client.Config{Control: addresses, Plaintext: true}
	for _, at := range addresses {
		c.Addresses = append(c.Addresses, netip.MustParseAddrPort(at))
	}
	return c
}

// begin starts the roots, the relays and the nodes.
func (d *Distribution) begin(ctx context.Context) error {
	for i := range 2 + d.Relays {
		c, err := d.control(i)
		if err != nil {
			return err
		}
		if i < 2 {
			d.roots = append(d.roots, c)
		} else {
			d.relays = append(d.relays, c)
		}
	}
	at := func(c *playedControl) netip.AddrPort { return netip.MustParseAddrPort(c.wires.Address()) }
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
		n := &playedNode{config: asked(first.wires.Address(), second.wires.Address())}
		n.config.Name, n.config.Services = fmt.Sprint("node-", i), []string{distributedService}
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

// followed is the relay that most nodes follow.
func (d *Distribution) followed() *playedControl {
	count := map[string]int{}
	for _, n := range d.nodes {
		count[n.end.Status().Upstream]++
	}
	return slices.MaxFunc(d.relays, func(a, b *playedControl) int { return count[a.wires.Address()] - count[b.wires.Address()] })
}

// control is a control process that is not started yet, behind its link.
func (d *Distribution) control(i int) (*playedControl, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	at := ln.Addr().(*net.TCPAddr).AddrPort()
	ln.Close()
	wires, err := faultproxy.Listen(at.String())
	if err != nil {
		return nil, err
	}
	name := fmt.Sprint("control-", i)
	return &playedControl{wires: wires, stop: func() error { return nil }, config: &control.Config{Name: name, ListenAddress: at,
		Disk: filepath.Join(d.Dir, name+".db"), Follow: "one", TotalBytesPerSecond: 8 << 20, NodeBytesPerSecond: 16 << 10, ControlBytesPerSecond: 4 << 20, MaxConnections: 8192,
		DeletionRetention: tomlfile.Duration(time.Hour)}}, nil
}

func (c *playedControl) start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- control.Run(ctx, c.config, zerolog.Nop()) }()
	c.stop = sync.OnceValue(func() error {
		cancel()
		c.wires.Break()
		return <-done
	})
	return nil
}

// awaitRoot waits until the first root takes writes.
func (d *Distribution) awaitRoot(ctx context.Context) error {
	for by := time.Now().Add(distributedGiveUp); ; {
		session, err := client.Open(ctx, asked(d.roots[0].wires.Address()))
		if err == nil {
			self, _, failed := session.Status()
			session.Close()
			if failed == nil && self.HasAcknowledged {
				return nil
			}
		}
		if time.Now().After(by) || ctx.Err() != nil {
			return errors.Join(errors.New("the first root is never current"), err)
		}
		time.Sleep(distributionPollInterval)
	}
}

// emptied has a control process go on with a new disk.
func (d *Distribution) emptied(ctx context.Context, c *playedControl) error {
	if err := c.stop(); err != nil {
		return err
	}
	if err := os.Remove(c.config.Disk); err != nil {
		return err
	}
	return c.start(ctx)
}

// restart ends all nodes and starts them from their disks.
func (d *Distribution) restart(ctx context.Context) error {
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

func (n *playedNode) start(ctx context.Context) error {
	end, err := client.New(n.config, n, zerolog.Nop())
	if err != nil {
		return err
	}
	n.end = end
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- end.Run(ctx) }()
	n.stop = sync.OnceValue(func() error {
		cancel()
		return <-done
	})
	return nil
}

// end stops all that runs.
func (d *Distribution) end() (err error) {
	for _, n := range d.nodes {
		err = errors.Join(err, n.stop())
	}
	for _, c := range slices.Concat(d.relays, d.roots) {
		err = errors.Join(err, c.stop())
		c.wires.Close()
	}
	return err
}
