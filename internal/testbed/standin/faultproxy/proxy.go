// Package faultproxy stands between two processes as the network does: it passes bytes on, in either direction not at all or
// changed where it is told so. Nothing that is cut is lost: it waits, as with the system's own retries.
package faultproxy

import (
	"net"
	"sync"
	"time"
)

const (
	pieceBytes  = 16 << 10
	maxDialTime = time.Second
)

// Direction of what passes.
type Direction uint8

// The directions, as seen from who dials.
const (
	Up Direction = iota
	Down
	directions
)

// Proxy listens, and leads each connection to one address.
type Proxy struct {
	listener net.Listener
	running  sync.WaitGroup

	mu     sync.Mutex
	to     string
	cut    [directions]chan struct{} // closed while bytes pass
	garble [directions]int           // bytes that are still to be changed
	conns  map[net.Conn]bool
	done   bool
	bytes  [directions]int
}

// Listen starts a cable to an address.
func Listen(to string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Proxy{listener: listener, to: to, conns: map[net.Conn]bool{}}
	for d := range directions {
		c.cut[d] = make(chan struct{})
		close(c.cut[d])
	}
	c.running.Go(func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			c.running.Go(func() { c.lead(near) })
		}
	})
	return c, nil
}

// Address is where it listens.
func (c *Proxy) Address() string { return c.listener.Addr().String() }

// Close ends it with all connections.
func (c *Proxy) Close() {
	c.listener.Close()
	c.mu.Lock()
	c.done = true
	c.mu.Unlock()
	c.Break()
	c.Cut(Up, false)
	c.Cut(Down, false)
	c.running.Wait()
}

// Cut has nothing pass in a direction, without a word to either side, or lets what waits pass again.
func (c *Proxy) Cut(d Direction, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.cut[d]:
		if cut {
			c.cut[d] = make(chan struct{})
		}
	default:
		if !cut {
			close(c.cut[d])
		}
	}
}

// Garble changes so many of the next bytes in a direction, one in each piece that passes.
func (c *Proxy) Garble(d Direction, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.garble[d] = bytes
}

// Garbled reports whether all that were to be changed have been.
func (c *Proxy) Garbled(d Direction) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.garble[d] == 0
}

// Break ends all connections; new ones are led as before.
func (c *Proxy) Break() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		conn.Close()
	}
}

// Bytes that have passed in a direction.
func (c *Proxy) Bytes(d Direction) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes[d]
}

func (c *Proxy) keep(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		conn.Close()
		return false
	}
	c.conns[conn] = true
	return true
}

func (c *Proxy) drop(conn net.Conn) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// lead connects further, once the way there is free: a dial over a cut cable does not come up.
func (c *Proxy) lead(near net.Conn) {
	if !c.keep(near) {
		return
	}
	defer c.drop(near)
	c.mu.Lock()
	way := c.cut[Up]
	c.mu.Unlock()
	<-way
	far, err := net.DialTimeout("tcp", c.to, maxDialTime)
	if err != nil || !c.keep(far) {
		return
	}
	defer c.drop(far)
	var both sync.WaitGroup
	both.Go(func() { c.pass(Up, near, far) })
	both.Go(func() { c.pass(Down, far, near) })
	both.Wait()
}

func (c *Proxy) pass(d Direction, from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			<-c.through(d, piece[:n])
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// through notes a piece, changes it if it is to be, and gives what to wait for.
func (c *Proxy) through(d Direction, piece []byte) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes[d] += len(piece)
	if c.garble[d] > 0 {
		c.garble[d]--
		piece[len(piece)/2] ^= 0x55
	}
	return c.cut[d]
}
