// Package mesh is a stand-in for the network between the processes of a group, such as nodes. Each process has an address in
// the mesh, to which the others connect. The mesh forwards streams and datagrams and can delay, corrupt or cut them. It
// identifies a sender by its IP address. Each direction between two processes has its own faults. A Mesh is safe for
// concurrent use.
package mesh

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Direction holds the faults of one direction between two processes. Its zero value has none.
type Direction struct {
	Cut            bool          // nothing is forwarded; connections stay open, datagrams are lost
	Delay          time.Duration // of each piece
	BytesPerSecond float64       // limit of bytes per second; 0: none
	Garble         float64       // share of pieces with one corrupted byte
	Loss           float64       // share of datagrams that are lost
	Duplication    float64       // share of datagrams that are duplicated
	Reorder        float64       // share of datagrams that are reordered
}

const (
	maxPieceBytes  = 16 << 10
	pollInterval   = 5 * time.Millisecond // of a link that is cut
	reorderDelay   = 20 * time.Millisecond
	frameHeadBytes = 5 // length and kind of a frame
	unknownProcess = -1
)

// Mesh holds all links of a group of processes.
type Mesh struct {
	mu          sync.Mutex
	faults      map[[2]int]*Direction
	processByIP map[string]int
	listeners   []net.Listener
	packets     []net.PacketConn
	conns       map[net.Conn]bool
	sockets     map[int]net.PacketConn // by process: the socket from which its datagrams are forwarded
	closed      bool
	wg          sync.WaitGroup
	bytes       int64
	// OnFrame is called with the kind of each frame on a connection before the frame is forwarded. nil: frames are not scanned.
	OnFrame func(from, to int, kind byte)
}

// New returns a mesh without processes.
func New() *Mesh {
	return &Mesh{faults: map[[2]int]*Direction{}, processByIP: map[string]int{}, conns: map[net.Conn]bool{}, sockets: map[int]net.PacketConn{}}
}

// Set changes the faults of a direction.
func (m *Mesh) Set(from, to int, change func(*Direction)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.faults[[2]int{from, to}]
	if d == nil {
		d = &Direction{}
		m.faults[[2]int{from, to}] = d
	}
	change(d)
}

func (m *Mesh) direction(from, to int) Direction {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d := m.faults[[2]int{from, to}]; d != nil {
		return *d
	}
	return Direction{}
}

// Bytes returns how many bytes were forwarded on connections.
func (m *Mesh) Bytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes
}

// Join adds process n, whose IP address is ip. Connections to address, its address in the mesh, are forwarded to target, where
// it listens.
func (m *Mesh) Join(n int, ip, address, target string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.processByIP[ip] = n
	m.listeners = append(m.listeners, ln)
	m.mu.Unlock()
	m.wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			m.wg.Go(func() { m.forward(nc, n, target) })
		}
	})
	return nil
}

// JoinPackets is Join for datagrams. Their source is the sender's address in the mesh.
func (m *Mesh) JoinPackets(n int, ip, address, target string) error {
	pc, err := net.ListenPacket("udp", address)
	if err != nil {
		return err
	}
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		pc.Close()
		return err
	}
	m.mu.Lock()
	m.processByIP[ip] = n
	m.packets = append(m.packets, pc)
	m.sockets[n] = pc
	m.mu.Unlock()
	m.wg.Go(func() {
		buffer := make([]byte, 64<<10)
		for {
			size, from, err := pc.ReadFrom(buffer)
			if err != nil {
				return
			}
			m.forwardPacket(from, n, to, append([]byte(nil), buffer[:size]...))
		}
	})
	return nil
}

// forwardPacket forwards a datagram with the faults of its direction.
func (m *Mesh) forwardPacket(from net.Addr, n int, to net.Addr, text []byte) {
	sender := m.sender(from)
	d := m.direction(sender, n)
	m.mu.Lock()
	out := m.sockets[sender]
	m.mu.Unlock()
	if out == nil || d.Cut || rand.Float64() < d.Loss {
		return
	}
	times, wait := 1, d.Delay
	if rand.Float64() < d.Duplication {
		times = 2
	}
	if rand.Float64() < d.Reorder {
		wait += reorderDelay
	}
	if len(text) > 0 && rand.Float64() < d.Garble {
		text[rand.IntN(len(text))] ^= byte(1 + rand.IntN(255))
	}
	send := func() {
		for range times {
			out.WriteTo(text, to)
		}
	}
	if wait <= 0 {
		send()
		return
	}
	m.wg.Go(func() {
		time.Sleep(wait)
		send()
	})
}

func (m *Mesh) sender(a net.Addr) int {
	host, _, err := net.SplitHostPort(a.String())
	m.mu.Lock()
	defer m.mu.Unlock()
	if n, ok := m.processByIP[host]; ok && err == nil {
		return n
	}
	return unknownProcess
}

func (m *Mesh) addConn(c net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		c.Close()
		return false
	}
	m.conns[c] = true
	return true
}

func (m *Mesh) closeConn(c net.Conn) {
	c.Close()
	m.mu.Lock()
	delete(m.conns, c)
	m.mu.Unlock()
}

func (m *Mesh) forward(down net.Conn, n int, target string) {
	if !m.addConn(down) {
		return
	}
	defer m.closeConn(down)
	from := m.sender(down.RemoteAddr())
	for m.direction(from, n).Cut { // a connection to a process that is cut off is accepted and carries nothing
		time.Sleep(pollInterval)
		m.mu.Lock()
		done := m.closed
		m.mu.Unlock()
		if done {
			return
		}
	}
	up, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil || !m.addConn(up) {
		return
	}
	defer m.closeConn(up)
	var both sync.WaitGroup
	both.Go(func() { m.forwardPieces(down, up, from, n) })
	both.Go(func() { m.forwardPieces(up, down, n, from) })
	both.Wait()
}

// piece is a part of a stream, to be forwarded at a given time.
type piece struct {
	text []byte
	due  time.Time
}

// forwardPieces forwards one direction piece by piece, each at its time.
func (m *Mesh) forwardPieces(a, b net.Conn, from, to int) {
	pieces := make(chan piece, 64)
	var writing sync.WaitGroup
	writing.Go(func() {
		defer b.Close()
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			for m.direction(from, to).Cut && !m.isConnClosed(a) {
				time.Sleep(pollInterval)
			}
			d := m.direction(from, to)
			if d.BytesPerSecond > 0 {
				time.Sleep(time.Duration(float64(len(p.text)) / d.BytesPerSecond * float64(time.Second)))
			}
			if rand.Float64() < d.Garble {
				p.text[rand.IntN(len(p.text))] ^= byte(1 + rand.IntN(255))
			}
			if _, err := b.Write(p.text); err != nil {
				a.Close()
				break
			}
			m.mu.Lock()
			m.bytes += int64(len(p.text))
			m.mu.Unlock()
		}
		for range pieces {
		}
	})
	buffer := make([]byte, maxPieceBytes)
	var scanner frameScanner
	for {
		n, err := a.Read(buffer)
		if n > 0 {
			if m.OnFrame != nil {
				scanner.scan(buffer[:n], func(kind byte) { m.OnFrame(from, to, kind) })
			}
			pieces <- piece{append([]byte(nil), buffer[:n]...), time.Now().Add(m.direction(from, to).Delay)}
		}
		if err != nil {
			break
		}
	}
	close(pieces)
	writing.Wait()
}

// isConnClosed reports whether a connection was closed by closeConn or Close.
func (m *Mesh) isConnClosed(c net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.closed || !m.conns[c]
}

// Close closes all links and waits for their goroutines.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	for _, ln := range m.listeners {
		ln.Close()
	}
	for _, pc := range m.packets {
		pc.Close()
	}
	for c := range m.conns {
		c.Close()
	}
	m.mu.Unlock()
	m.wg.Wait()
}

// frameScanner finds the heads of frames in the bytes of a stream.
type frameScanner struct {
	head []byte
	skip int
}

func (l *frameScanner) scan(b []byte, each func(kind byte)) {
	for len(b) > 0 {
		if l.skip > 0 {
			n := min(l.skip, len(b))
			b, l.skip = b[n:], l.skip-n
			continue
		}
		n := min(frameHeadBytes-len(l.head), len(b))
		l.head, b = append(l.head, b[:n]...), b[n:]
		if len(l.head) == frameHeadBytes {
			l.skip = int(binary.BigEndian.Uint32(l.head))
			each(l.head[4])
			l.head = l.head[:0]
		}
	}
}
