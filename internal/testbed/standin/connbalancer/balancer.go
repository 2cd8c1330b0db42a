// Package connbalancer is a stand-in for the connection balancer in front of the nodes. It distributes the connections of a
// site over its serving nodes. A node counts as serving from its first successful probe until some time after its end. The
// testbed reports starts and ends of nodes; the load generator calls Pick.
package connbalancer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/testbed/load"
)

const (
	probeInterval = 20 * time.Millisecond // of a node that was started, until it serves
	maxProbeTime  = 500 * time.Millisecond
)

// Node is a node to which connections may be assigned.
type Node struct {
	Site    int
	Address string
	FastCGI string // address for FastCGI clients
}

// Balancer distributes connections. It is safe for concurrent use.
type Balancer struct {
	mu         sync.Mutex
	nodes      []Node
	isServing  []bool
	next       []int // by site, the round-robin position
	generation []int // by node, how often it was started
}

// New returns a balancer of nodes, none of which serves yet.
func New(sites int, nodes []Node) *Balancer {
	return &Balancer{nodes: nodes, isServing: make([]bool, len(nodes)), next: make([]int, sites), generation: make([]int, len(nodes))}
}

// Pick returns the node of a site's next connection, by round robin; ok is false if none serves.
func (b *Balancer) Pick(site int) (endpoint load.Endpoint, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.nodes {
		n := b.next[site] % len(b.nodes)
		b.next[site]++
		if b.isServing[n] && b.nodes[n].Site == site {
			return load.Endpoint{Node: n, Address: b.nodes[n].Address, FastCGI: b.nodes[n].FastCGI}, true
		}
	}
	return load.Endpoint{}, false
}

// NodeStarted probes a node that was started until it serves, and assigns connections to it from then on. It has no effect if the
// node is started again meanwhile.
func (b *Balancer) NodeStarted(ctx context.Context, n int) error {
	b.mu.Lock()
	b.generation[n]++
	generation := b.generation[n]
	b.mu.Unlock()
	for {
		if serves(ctx, b.nodes[n].Address) {
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.generation[n] == generation {
				b.isServing[n] = true
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait until node %d serves: %w", n, context.Cause(ctx))
		case <-time.After(probeInterval):
		}
	}
}

// NodeEnded reports that a node has ended or is about to end. notice is the time
// after which no connections are assigned to it until it is started again.
func (b *Balancer) NodeEnded(n int, notice time.Duration) {
	b.mu.Lock()
	generation := b.generation[n]
	b.mu.Unlock()
	time.AfterFunc(notice, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.generation[n] == generation {
			b.isServing[n] = false
		}
	})
}

// serves probes a node once.
func serves(ctx context.Context, address string) bool {
	d := net.Dialer{Timeout: maxProbeTime}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(maxProbeTime))
	c := http1.NewConn(nc)
	var r http1.Response
	_, err = c.Send([]byte("GET /up HTTP/1.1\r\nHost: origin.svc\r\n\r\n"))
	return err == nil && c.ReadResponse(&r, http1.MaxRequestBody) == nil && r.Status == 200
}
