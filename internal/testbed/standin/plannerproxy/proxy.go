// Package plannerproxy stands between forwarders and a planner: it passes their frames on, late or not at all where it is told
// so, and tells what each forwarder has been told of servers.
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

const queued = 256 // frames on their way in one direction; more wait with their sender

// Watcher is told what a forwarder has been told, once it has been written whole.
type Watcher interface {
	Planned(forwarder string, lives []incarnation.Entry, at time.Time)
}

// Proxy listens for forwarders and leads each to the planner.
type Proxy struct {
	to    string
	watch Watcher
	ln    net.Listener

	mu    sync.Mutex
	delay time.Duration
	cut   chan struct{} // closed while frames pass
	conns map[net.Conn]bool
	bytes int
	done  bool
	wg    sync.WaitGroup
}

// Listen starts a relay to a planner's address.
func Listen(address, to string, w Watcher) (*Proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Proxy{to: to, watch: w, ln: ln, cut: make(chan struct{}), conns: map[net.Conn]bool{}}
	close(r.cut)
	r.wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			r.wg.Go(func() { r.lead(nc) })
		}
	})
	return r, nil
}

// Address is where it listens.
func (r *Proxy) Address() string { return r.ln.Addr().String() }

// Close ends it with all connections.
func (r *Proxy) Close() {
	r.ln.Close()
	r.mu.Lock()
	r.done = true
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.Cut(false)
	r.wg.Wait()
}

// Delay has each frame come so much later.
func (r *Proxy) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Cut has nothing pass, without a word to either side, or lets what waits pass again.
func (r *Proxy) Cut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.cut:
		if cut {
			r.cut = make(chan struct{})
		}
	default:
		if !cut {
			close(r.cut)
		}
	}
}

// Bytes that planners have sent to forwarders.
func (r *Proxy) Bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

func (r *Proxy) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done {
		c.Close()
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Proxy) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

func (r *Proxy) lead(down net.Conn) {
	if !r.keep(down) {
		return
	}
	defer r.drop(down)
	up, err := net.DialTimeout("tcp", r.to, time.Second)
	if err != nil || !r.keep(up) {
		return
	}
	defer r.drop(up)
	var name string // of the forwarder, from its greeting
	var mu sync.Mutex
	var both sync.WaitGroup
	both.Go(func() {
		r.pass(down, up, func(k planwire.Kind, body []byte) {
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
		r.pass(up, down, func(k planwire.Kind, body []byte) {
			r.mu.Lock()
			r.bytes += len(body)
			r.mu.Unlock()
			var c plan.Change
			if k != planwire.ChangeKind || planwire.Decode(body, &c) != nil || len(c.Incarnations) == 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			r.watch.Planned(name, c.Incarnations, time.Now())
		})
		down.Close()
		up.Close()
	})
	both.Wait()
}

type frame struct {
	kind planwire.Kind
	body []byte
	due  time.Time
}

// pass hands frames on in one direction, each at its time; written is called behind each.
func (r *Proxy) pass(from, to net.Conn, written func(planwire.Kind, []byte)) {
	frames, in := make(chan frame, queued), bufio.NewReader(from)
	var writing sync.WaitGroup
	writing.Go(func() {
		for f := range frames {
			if wait := time.Until(f.due); wait > 0 {
				time.Sleep(wait)
			}
			r.mu.Lock()
			cut := r.cut
			r.mu.Unlock()
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
		r.mu.Lock()
		due := time.Now().Add(r.delay)
		r.mu.Unlock()
		frames <- frame{k, body, due}
	}
	close(frames)
	writing.Wait()
}
