// Package mesh is a stand-in for the network between nodes or other processes of a group. Each process is reached by the
// others at an address of the mesh, which forwards streams and datagrams and can delay, corrupt or cut them. The sender is
// known by its IP address. Each direction between two processes has faults of its own. A Mesh is safe for concurrent use.
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
	Cut     bool          // nothing is forwarded; connections stay open, datagrams are lost
	Delay   time.Duration // of each piece
	PerS    float64       // limit of bytes per second; 0: none
	Garble  float64       // share of pieces with one corrupted byte
	Lose    float64       // share of datagrams that are lost
	Twice   float64       // share of datagrams that are duplicated
	Reorder float64       // share of datagrams that are reordered
}

const (
	maxPieceBytes  = 16 << 10
	pollInterval   = 5 * time.Millisecond // at a link that is cut
	reorderDelay   = 20 * time.Millisecond
	frameHeadBytes = 5 // of a frame: its length, and a byte for its kind
	unknownProcess = -1
)

// Mesh holds all links of a group of processes.
type Mesh struct {
	mu          sync.Mutex
	faults      map[[2]int]*Direction
	processByIP map[string]int // by IP
	listeners   []net.Listener
	packets     []net.PacketConn
	conns       map[net.Conn]bool
	sockets     map[int]net.PacketConn // by process: where its datagrams come out
	closed      bool
	wg          sync.WaitGroup
	bytes       int64
	// Frame is notified of each frame on a connection before it is forwarded, by its kind. nil: frames are not scanned.
	Frame func(from, to int, kind byte)
}

// New returns a mesh without processes.
func New() *Mesh {
	return &Mesh{faults: map[[2]int]*Direction{}, processByIP: map[string]int{}, conns: map[net.Conn]bool{}, sockets: map[int]net.PacketConn{}}
}

// Set changes the faults of a direction.
func (f *Mesh) Set(from, to int, change func(*Direction)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.faults[[2]int{from, to}]
	if w == nil {
		w = &Direction{}
		f.faults[[2]int{from, to}] = w
	}
	change(w)
}

func (f *Mesh) direction(from, to int) Direction {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.faults[[2]int{from, to}]; w != nil {
		return *w
	}
	return Direction{}
}

// Bytes returns how many bytes were forwarded on connections.
func (f *Mesh) Bytes() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytes
}

// Join adds process n, which sends from an IP. Connections to place are forwarded to where it listens.
func (f *Mesh) Join(n int, ip, place, listens string) error {
	ln, err := net.Listen("tcp", place)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.processByIP[ip] = n
	f.listeners = append(f.listeners, ln)
	f.mu.Unlock()
	f.wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			f.wg.Go(func() { f.forward(nc, n, listens) })
		}
	})
	return nil
}

// JoinPackets is Join for datagrams. The receiver sees the sender's place as their source.
func (f *Mesh) JoinPackets(n int, ip, place, listens string) error {
	pc, err := net.ListenPacket("udp", place)
	if err != nil {
		return err
	}
	to, err := net.ResolveUDPAddr("udp", listens)
	if err != nil {
		pc.Close()
		return err
	}
	f.mu.Lock()
	f.processByIP[ip] = n
	f.packets = append(f.packets, pc)
	f.sockets[n] = pc
	f.mu.Unlock()
	f.wg.Go(func() {
		buffer := make([]byte, 64<<10)
		for {
			size, from, err := pc.ReadFrom(buffer)
			if err != nil {
				return
			}
			f.forwardPacket(from, n, to, append([]byte(nil), buffer[:size]...))
		}
	})
	return nil
}

// forwardPacket forwards a datagram with the faults of its direction.
func (f *Mesh) forwardPacket(from net.Addr, n int, to net.Addr, text []byte) {
	sender := f.sender(from)
	w := f.direction(sender, n)
	f.mu.Lock()
	out := f.sockets[sender]
	f.mu.Unlock()
	if out == nil || w.Cut || rand.Float64() < w.Lose {
		return
	}
	times, wait := 1, w.Delay
	if rand.Float64() < w.Twice {
		times = 2
	}
	if rand.Float64() < w.Reorder {
		wait += reorderDelay
	}
	if len(text) > 0 && rand.Float64() < w.Garble {
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
	f.wg.Go(func() {
		time.Sleep(wait)
		send()
	})
}

func (f *Mesh) sender(a net.Addr) int {
	host, _, err := net.SplitHostPort(a.String())
	f.mu.Lock()
	defer f.mu.Unlock()
	if n, ok := f.processByIP[host]; ok && err == nil {
		return n
	}
	return unknownProcess
}

func (f *Mesh) addConn(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		c.Close()
		return false
	}
	f.conns[c] = true
	return true
}

func (f *Mesh) closeConn(c net.Conn) {
	c.Close()
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
}

func (f *Mesh) forward(down net.Conn, n int, listens string) {
	if !f.addConn(down) {
		return
	}
	defer f.closeConn(down)
	from := f.sender(down.RemoteAddr())
	for f.direction(from, n).Cut { // who connects to what is cut hears nothing of it
		time.Sleep(pollInterval)
		f.mu.Lock()
		done := f.closed
		f.mu.Unlock()
		if done {
			return
		}
	}
	up, err := net.DialTimeout("tcp", listens, time.Second)
	if err != nil || !f.addConn(up) {
		return
	}
	defer f.closeConn(up)
	var both sync.WaitGroup
	both.Go(func() { f.forwardPieces(down, up, from, n) })
	both.Go(func() { f.forwardPieces(up, down, n, from) })
	both.Wait()
}

type piece struct {
	text []byte
	due  time.Time
}

// forwardPieces forwards one direction piece by piece, each at its time.
func (f *Mesh) forwardPieces(a, b net.Conn, from, to int) {
	pieces := make(chan piece, 64)
	var writing sync.WaitGroup
	writing.Go(func() {
		defer b.Close()
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			for f.direction(from, to).Cut && !f.isConnClosed(a) {
				time.Sleep(pollInterval)
			}
			w := f.direction(from, to)
			if w.PerS > 0 {
				time.Sleep(time.Duration(float64(len(p.text)) / w.PerS * float64(time.Second)))
			}
			if rand.Float64() < w.Garble {
				p.text[rand.IntN(len(p.text))] ^= byte(1 + rand.IntN(255))
			}
			if _, err := b.Write(p.text); err != nil {
				a.Close()
				break
			}
			f.mu.Lock()
			f.bytes += int64(len(p.text))
			f.mu.Unlock()
		}
		for range pieces {
		}
	})
	buffer := make([]byte, maxPieceBytes)
	var look frameScanner
	for {
		n, err := a.Read(buffer)
		if n > 0 {
			if f.Frame != nil {
				look.scan(buffer[:n], func(kind byte) { f.Frame(from, to, kind) })
			}
			pieces <- piece{append([]byte(nil), buffer[:n]...), time.Now().Add(f.direction(from, to).Delay)}
		}
		if err != nil {
			break
		}
	}
	close(pieces)
	writing.Wait()
}

// isConnClosed reports whether a connection was closed by closeConn or Close.
func (f *Mesh) isConnClosed(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed || !f.conns[c]
}

// Close closes all links and waits for their goroutines.
func (f *Mesh) Close() {
	f.mu.Lock()
	f.closed = true
	for _, ln := range f.listeners {
		ln.Close()
	}
	for _, pc := range f.packets {
		pc.Close()
	}
	for c := range f.conns {
		c.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

// frameScanner finds the heads of frames in a stream.
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
