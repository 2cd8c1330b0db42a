// Package connbalancer is a stand-in for the plain layer before the nodes: it deals out connections among those of a site that
// it holds for alive, takes one in when it says that it can serve, and notices late that one has died.
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
	askEvery     = 20 * time.Millisecond // until a node that was started says that it serves
	maxProbeTime = 500 * time.Millisecond
)

// Node is one that the connection balancer may send to.
type Node struct {
	Site    int
	Address string
	FastCGI string // the same for clients that speak it
}

// Balancer deals out connections.
type Balancer struct {
	mu         sync.Mutex
	nodes      []Node
	in         []bool
	turn       []int // by site
	generation []int // by node, counts its starts
}

// New knows of nodes, none of which serves yet.
func New(sites int, nodes []Node) *Balancer {
	return &Balancer{nodes: nodes, in: make([]bool, len(nodes)), turn: make([]int, sites), generation: make([]int, len(nodes))}
}

// Pick deals out the next connection of a site.
func (f *Balancer) Pick(site int) (load.Endpoint, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.nodes {
		n := f.turn[site] % len(f.nodes)
		f.turn[site]++
		if f.in[n] && f.nodes[n].Site == site {
			return load.Endpoint{Node: n, Address: f.nodes[n].Address, FastCGI: f.nodes[n].FastCGI}, true
		}
	}
	return load.Endpoint{}, false
}

// Started asks a node until it serves, and then takes it in.
func (f *Balancer) Started(ctx context.Context, n int) error {
	f.mu.Lock()
	f.generation[n]++
	life := f.generation[n]
	f.mu.Unlock()
	for {
		if up(ctx, f.nodes[n].Address) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.generation[n] == life {
				f.in[n] = true
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("node %d does not serve: %w", n, context.Cause(ctx))
		case <-time.After(askEvery):
		}
	}
}

// Ended reports that a node has died or is about to; the connection balancer takes it out after a while.
func (f *Balancer) Ended(n int, notice time.Duration) {
	f.mu.Lock()
	life := f.generation[n]
	f.mu.Unlock()
	time.AfterFunc(notice, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.generation[n] == life {
			f.in[n] = false
		}
	})
}

func up(ctx context.Context, address string) bool {
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
	return err == nil && c.ReadResponse(&r, http1.MaxBody) == nil && r.Status == 200
}
