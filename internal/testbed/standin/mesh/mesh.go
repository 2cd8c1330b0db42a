// Package mesh are the links between the processes of a tier: each process is reached by the others at a place of this
// package's, which passes on what they send, late, spoilt or not at all where it is told so. Who sends is known by the
// address from which it does. Each direction between each two has its own troubles.
package mesh

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Direction is what befalls one direction between two processes. Its zero is a link without trouble.
type Direction struct {
	Cut     bool          // nothing passes; connections stay, and what was sent waits or is lost with them
	Delay   time.Duration // each piece comes so much later
	PerS    float64       // bytes a second that pass; 0: all
	Garble  float64       // share of pieces of which one byte comes as another
	Lose    float64       // share of datagrams that do not come
	Twice   float64       // share of datagrams that come a second time
	Reorder float64       // share of datagrams that come behind the next ones
}

const (
	maxPieceBytes = 16 << 10
	pollInterval  = 5 * time.Millisecond // at a link that is cut
	behind        = 20 * time.Millisecond
	headBytes     = 5 // of a frame: its length, and a byte for its kind
	unknownWay    = -1
)

// Mesh is all links of a tier.
type Mesh struct {
	mu        sync.Mutex
	ways      map[[2]int]*Direction
	who       map[string]int // by IP
	addresses []net.Listener
	packets   []net.PacketConn
	conns     map[net.Conn]bool
	sockets   map[int]net.PacketConn // by process: where its datagrams come out
	done      bool
	wg        sync.WaitGroup
	bytes     int64
	// Frame is notified of each frame on a connection before it is passed on, by its kind; nil: frames are not looked for.
	Frame func(from, to int, kind byte)
}

// New has no links.
func New() *Mesh {
	return &Mesh{ways: map[[2]int]*Direction{}, who: map[string]int{}, conns: map[net.Conn]bool{}, sockets: map[int]net.PacketConn{}}
}

// Set changes what befalls a direction.
func (f *Mesh) Set(from, to int, change func(*Direction)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.ways[[2]int{from, to}]
	if w == nil {
		w = &Direction{}
		f.ways[[2]int{from, to}] = w
	}
	change(w)
}

func (f *Mesh) way(from, to int) Direction {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.ways[[2]int{from, to}]; w != nil {
		return *w
	}
	return Direction{}
}

// Bytes that have passed on connections.
func (f *Mesh) Bytes() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytes
}

// Join has a process, which sends from an IP, reached at place; what comes there goes on to where it listens.
func (f *Mesh) Join(n int, ip, place, listens string) error {
	ln, err := net.Listen("tcp", place)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.who[ip] = n
	f.addresses = append(f.addresses, ln)
	f.mu.Unlock()
	f.wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			f.wg.Go(func() { f.lead(nc, n, listens) })
		}
	})
	return nil
}

// JoinPackets does the same for datagrams. Their receiver sees them come from the sender's place.
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
	f.who[ip] = n
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
			f.packet(from, n, to, append([]byte(nil), buffer[:size]...))
		}
	})
	return nil
}

// packet passes a datagram on, as often as it comes.
func (f *Mesh) packet(from net.Addr, n int, to net.Addr, text []byte) {
	sender := f.sender(from)
	w := f.way(sender, n)
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
		wait += behind
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
	if n, ok := f.who[host]; ok && err == nil {
		return n
	}
	return unknownWay
}

func (f *Mesh) keep(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.done {
		c.Close()
		return false
	}
	f.conns[c] = true
	return true
}

func (f *Mesh) drop(c net.Conn) {
	c.Close()
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
}

func (f *Mesh) lead(down net.Conn, n int, listens string) {
	if !f.keep(down) {
		return
	}
	defer f.drop(down)
	from := f.sender(down.RemoteAddr())
	for f.way(from, n).Cut { // who connects to what is cut hears nothing of it
		time.Sleep(pollInterval)
		f.mu.Lock()
		done := f.done
		f.mu.Unlock()
		if done {
			return
		}
	}
	up, err := net.DialTimeout("tcp", listens, time.Second)
	if err != nil || !f.keep(up) {
		return
	}
	defer f.drop(up)
	var both sync.WaitGroup
	both.Go(func() { f.pass(down, up, from, n) })
	both.Go(func() { f.pass(up, down, n, from) })
	both.Wait()
}

type piece struct {
	text []byte
	due  time.Time
}

// pass hands on one direction, piece by piece, each at its time.
func (f *Mesh) pass(a, b net.Conn, from, to int) {
	pieces := make(chan piece, 64)
	var writing sync.WaitGroup
	writing.Go(func() {
		defer b.Close()
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			for f.way(from, to).Cut && !f.over(a) {
				time.Sleep(pollInterval)
			}
			w := f.way(from, to)
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
				look.at(buffer[:n], func(kind byte) { f.Frame(from, to, kind) })
			}
			pieces <- piece{append([]byte(nil), buffer[:n]...), time.Now().Add(f.way(from, to).Delay)}
		}
		if err != nil {
			break
		}
	}
	close(pieces)
	writing.Wait()
}

// over reports whether a connection was let go of.
func (f *Mesh) over(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done || !f.conns[c]
}

// Close ends all links.
func (f *Mesh) Close() {
	f.mu.Lock()
	f.done = true
	for _, ln := range f.addresses {
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

// frameLook finds the heads of frames in a stream.
type frameScanner struct {
	head []byte
	skip int
}

func (l *frameScanner) at(b []byte, each func(kind byte)) {
	for len(b) > 0 {
		if l.skip > 0 {
			n := min(l.skip, len(b))
			b, l.skip = b[n:], l.skip-n
			continue
		}
		n := min(headBytes-len(l.head), len(b))
		l.head, b = append(l.head, b[:n]...), b[n:]
		if len(l.head) == headBytes {
			l.skip = int(binary.BigEndian.Uint32(l.head))
			each(l.head[4])
			l.head = l.head[:0]
		}
	}
}
