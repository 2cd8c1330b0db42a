package main

import (
	"io"
	"net"
	"sync"
)

// links is the network between nodes: a proxy in front of each node's address for other nodes. A machine that vanishes says nothing: its
// open connections stay open and silent at their other ends, and new ones to it are held until it is back, and reset then.
type links struct {
	lab   *lab
	hosts []string // IP address of each node's machine, from which it connects

	mu       sync.Mutex
	vanished []bool
	held     [][]*net.TCPConn
	pipes    []*pipe
}

// pipe is a connection from one node to another, with the two sockets of the proxy.
type pipe struct {
	links    *links
	from, to int
	ends     [2]*net.TCPConn // at the dialing node, at the accepting node

	mu       sync.Mutex
	isSilent bool // one of the nodes has vanished: nothing passes any more
}

// newLinks starts the proxies. Node i is reached at fronts[i], and listens at backs[i].
func (l *lab) newLinks(fronts, backs []string) (*links, error) {
	n := &links{lab: l, vanished: make([]bool, len(fronts)), held: make([][]*net.TCPConn, len(fronts))}
	for _, back := range backs {
		host, _, err := net.SplitHostPort(back)
		if err != nil {
			return nil, err
		}
		n.hosts = append(n.hosts, host)
	}
	for to, front := range fronts {
		ln, err := net.Listen("tcp", front)
		if err != nil {
			return nil, err
		}
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go n.connect(c.(*net.TCPConn), to, backs[to])
			}
		}()
	}
	return n, nil
}

// connect passes a new connection on to a node, or holds it while the node's machine is gone.
func (n *links) connect(c *net.TCPConn, to int, back string) {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	from := -1 // a command
	for i, h := range n.hosts {
		if h == host {
			from = i
		}
	}
	n.mu.Lock()
	if n.vanished[to] {
		n.held[to] = append(n.held[to], c)
		n.mu.Unlock()
		return
	}
	n.mu.Unlock()
	there, err := net.Dial("tcp", back)
	if err != nil {
		c.SetLinger(0)
		c.Close()
		return
	}
	p := &pipe{links: n, from: from, to: to, ends: [2]*net.TCPConn{c, there.(*net.TCPConn)}}
	n.mu.Lock()
	n.pipes = append(n.pipes, p)
	n.mu.Unlock()
	n.lab.log("connection from node %d to node %d", from, to)
	go p.pass(0)
	p.pass(1)
}

// pass copies what one end sends to the other one. When an end closes, the other is closed too, unless the machine behind it has vanished.
func (p *pipe) pass(source int) {
	b := make([]byte, 64<<10)
	for {
		n, err := p.ends[source].Read(b)
		p.mu.Lock()
		isSilent := p.isSilent
		p.mu.Unlock()
		switch {
		case isSilent && err != nil:
			p.ends[source].Close()
			p.links.lab.log("silent connection from node %d to node %d closed by an end", p.from, p.to)
			return
		case isSilent:
			continue // what is sent to a machine that is gone is lost
		case err != nil:
			if err != io.EOF {
				p.ends[1-source].SetLinger(0)
			}
			p.ends[1-source].Close()
			p.ends[source].Close()
			return
		}
		if _, err := p.ends[1-source].Write(b[:n]); err != nil {
			p.ends[source].Close()
			return
		}
	}
}

// vanish makes the machine of a node say nothing from now on.
func (n *links) vanish(node int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vanished[node] = true
	for _, p := range n.pipes {
		if p.from == node || p.to == node {
			p.mu.Lock()
			p.isSilent = true
			p.mu.Unlock()
		}
	}
	n.lab.note("the machine of node %d vanishes", node)
}

// back connects the machine of a node again. The connections that it had before stay silent; those that were held are reset.
func (n *links) back(node int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vanished[node] = false
	for _, c := range n.held[node] {
		c.SetLinger(0)
		c.Close()
	}
	n.held[node] = nil
	n.lab.note("the machine of node %d is back", node)
}
