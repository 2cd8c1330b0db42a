// Package faultproxy is a stand-in for the network between two processes. It forwards connections and can cut either
// direction or corrupt bytes. Bytes of a direction that is cut wait, as they do during TCP retransmissions; none are lost.
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

// Direction is a direction in which bytes are forwarded.
type Direction uint8

// Directions, as seen by the dialing side.
const (
	Up Direction = iota
	Down
	directions
)

// Proxy forwards connections to one address. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	running  sync.WaitGroup

	mu       sync.Mutex
	target   string
	cut      [directions]chan struct{} // closed while the direction is not cut
	garble   [directions]int           // number of bytes that will be corrupted
	conns    map[net.Conn]bool
	isClosed bool
	bytes    [directions]int
}

// Listen starts a proxy to an address, on a free port of loopback.
func Listen(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	for d := range directions {
		p.cut[d] = make(chan struct{})
		close(p.cut[d])
	}
	p.running.Go(func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			p.running.Go(func() { p.forward(near) })
		}
	})
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close closes the proxy and all connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	p.isClosed = true
	p.mu.Unlock()
	p.CloseConnections()
	p.Cut(Up, false)
	p.Cut(Down, false)
	p.running.Wait()
}

// Cut stops a direction without notifying either side, or resumes it, beginning with the bytes that waited.
func (p *Proxy) Cut(d Direction, isCut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.cut[d]:
		if isCut {
			p.cut[d] = make(chan struct{})
		}
	default:
		if !isCut {
			close(p.cut[d])
		}
	}
}

// Garble corrupts the given number of bytes in a direction, one in each of the next pieces.
func (p *Proxy) Garble(d Direction, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.garble[d] = bytes
}

// IsGarbleDone reports whether all bytes that the last Garble requested have been corrupted.
func (p *Proxy) IsGarbleDone(d Direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.garble[d] == 0
}

// CloseConnections closes all connections; new ones are forwarded as before.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conn.Close()
	}
}

// Bytes returns how many bytes were received in a direction.
func (p *Proxy) Bytes(d Direction) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes[d]
}

// addConn registers a connection for CloseConnections and Close. After Close it closes the connection and returns false.
func (p *Proxy) addConn(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		conn.Close()
		return false
	}
	p.conns[conn] = true
	return true
}

// closeConn closes a registered connection.
func (p *Proxy) closeConn(conn net.Conn) {
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// forward connects to the target, which waits while Up is cut, and copies both directions.
func (p *Proxy) forward(near net.Conn) {
	if !p.addConn(near) {
		return
	}
	defer p.closeConn(near)
	p.mu.Lock()
	uncut := p.cut[Up]
	p.mu.Unlock()
	<-uncut
	far, err := net.DialTimeout("tcp", p.target, maxDialTime)
	if err != nil || !p.addConn(far) {
		return
	}
	defer p.closeConn(far)
	var both sync.WaitGroup
	both.Go(func() { p.copy(Up, near, far) })
	both.Go(func() { p.copy(Down, far, near) })
	both.Wait()
}

// copy copies a direction piece by piece until either side ends.
func (p *Proxy) copy(d Direction, from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			<-p.process(d, piece[:n])
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// process counts a piece, corrupts one byte of it if Garble asked for that, and returns a channel that is closed when the piece may
// be forwarded.
func (p *Proxy) process(d Direction, piece []byte) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes[d] += len(piece)
	if p.garble[d] > 0 {
		p.garble[d]--
		piece[len(piece)/2] ^= 0x55
	}
	return p.cut[d]
}
