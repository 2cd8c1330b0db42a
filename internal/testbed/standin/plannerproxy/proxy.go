// Package plannerproxy is a stand-in for the network between nodes and a planner. It forwards frames, can delay or cut them,
// and reports to a Watcher the entries that the planner sent to each node.
package plannerproxy

import (
	"bufio"
	"net"
	"sync"
	"time"

	"fernvane/internal/controlplane/plan"
	"fernvane/internal/controlplane/planwire"
	"fernvane/internal/discovery/incarnation"
)

const maxQueuedFrames = 256 // per direction; a full queue blocks the sender

// Watcher is notified of entries that planners send to nodes. It is called from many goroutines.
type Watcher interface {
	// Planned reports the entries of a change that was written completely to a node, which is given by its name.
	Planned(node string, entries []incarnation.Entry, at time.Time)
}

// Proxy forwards connections of nodes to a planner. It is safe for concurrent use.
type Proxy struct {
	target  string
	watcher Watcher
	ln      net.Listener

	mu       sync.Mutex
	delay    time.Duration
	cut      chan struct{} // closed while frames are forwarded
	conns    map[net.Conn]bool
	bytes    int
	isClosed bool
	wg       sync.WaitGroup
}

// Listen starts a proxy at an address to a planner.
func Listen(address, target string, w Watcher) (*Proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, watcher: w, ln: ln, cut: make(chan struct{}), conns: map[net.Conn]bool{}}
	close(p.cut)
	p.wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			p.wg.Go(func() { p.forward(nc) })
		}
	})
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// Close closes the proxy and all connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.ln.Close()
	p.mu.Lock()
	p.isClosed = true
	for c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.Cut(false)
	p.wg.Wait()
}

// Delay delays each frame that is received from now on.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Cut stops both directions without notifying either side, or resumes them, beginning with the frames that waited.
func (p *Proxy) Cut(isCut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.cut:
		if isCut {
			p.cut = make(chan struct{})
		}
	default:
		if !isCut {
			close(p.cut)
		}
	}
}

// Bytes returns how many bytes of frames the planner sent.
func (p *Proxy) Bytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

// addConn registers a connection for Close. After Close it closes the connection and returns false.
func (p *Proxy) addConn(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

// closeConn closes a registered connection.
func (p *Proxy) closeConn(c net.Conn) {
	c.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// forward connects a node to the planner and forwards both directions until either side ends.
func (p *Proxy) forward(down net.Conn) {
	if !p.addConn(down) {
		return
	}
	defer p.closeConn(down)
	up, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil || !p.addConn(up) {
		return
	}
	defer p.closeConn(up)
	var name string // of the node, from its hello frame; guarded by mu
	var mu sync.Mutex
	var both sync.WaitGroup
	both.Go(func() {
		p.forwardFrames(down, up, func(k planwire.Kind, body []byte) {
			var h planwire.Hello
			if k == planwire.HelloKind && planwire.Decode(body, &h) == nil {
				mu.Lock()
				name = h.Name
				mu.Unlock()
			}
		})
		down.Close()
		up.Close()
	})
	both.Go(func() {
		p.forwardFrames(up, down, func(k planwire.Kind, body []byte) {
			p.mu.Lock()
			p.bytes += len(body)
			p.mu.Unlock()
			var c plan.Change
			if k != planwire.ChangeKind || planwire.Decode(body, &c) != nil || len(c.Incarnations) == 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			p.watcher.Planned(name, c.Incarnations, time.Now())
		})
		down.Close()
		up.Close()
	})
	both.Wait()
}

// frame is a frame that is forwarded at a given time.
type frame struct {
	kind planwire.Kind
	body []byte
	due  time.Time
}

// forwardFrames forwards frames in one direction, each at its time, and calls written after each.
func (p *Proxy) forwardFrames(from, to net.Conn, written func(planwire.Kind, []byte)) {
	frames, in := make(chan frame, maxQueuedFrames), bufio.NewReader(from)
	var writing sync.WaitGroup
	writing.Go(func() {
		for f := range frames {
			if wait := time.Until(f.due); wait > 0 {
				time.Sleep(wait)
			}
			p.mu.Lock()
			cut := p.cut
			p.mu.Unlock()
			<-cut
			head := []byte{byte(len(f.body) >> 24), byte(len(f.body) >> 16), byte(len(f.body) >> 8), byte(len(f.body)), byte(f.kind)}
			if _, err := to.Write(append(head, f.body...)); err != nil {
				from.Close()
				for range frames {
				}
				return
			}
			written(f.kind, f.body)
		}
	})
	for {
		k, body, err := planwire.Read(in, nil)
		if err != nil {
			break
		}
		p.mu.Lock()
		due := time.Now().Add(p.delay)
		p.mu.Unlock()
		frames <- frame{k, body, due}
	}
	close(frames)
	writing.Wait()
}
