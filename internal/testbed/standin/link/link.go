// Package link is a listener whose network can fail: it can go silent, as when a site is cut off, or away, as when a
// process dies. Silence means that connections stay open and bring nothing, and that new ones never come up; nobody is
// sent a reset.
package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	fillFor    = 30 * time.Millisecond // in which a connection to a listener that is not full comes up
	fullAfter  = 3                     // connections in a row that do not: one may be late on a busy machine
	maxFillers = 8
)

// Listener leads its connections while it is there.
type Listener struct {
	address string
	lead    func(*Conn)
	wg      sync.WaitGroup

	mu      sync.Mutex
	ln      *net.TCPListener
	conns   map[*Conn]bool
	silent  chan struct{} // closed when the silence is over; nil without one
	fillers []net.Conn
}

// Conn is a connection that shares its listener's silence.
type Conn struct {
	*net.TCPConn
	l        *Listener
	ended    chan struct{}
	once     sync.Once
	received time.Time
}

// Listen takes connections at an address and gives each to lead, which owns and closes it.
func Listen(address string, lead func(*Conn)) (*Listener, error) {
	l := &Listener{address: address, lead: lead, conns: map[*Conn]bool{}}
	return l, l.Reopen()
}

// Address is where it listens, also while it is away.
func (l *Listener) Address() string { return l.address }

// Reopen listens again after Leave.
func (l *Listener) Reopen() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.ln, l.address = ln.(*net.TCPListener), ln.Addr().String()
	l.wg.Add(1)
	go l.accept(l.ln)
	return nil
}

func (l *Listener) accept(ln *net.TCPListener) {
	defer l.wg.Done()
	for {
		nc, err := ln.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // a deadline: the silence begins or ends
			l.mu.Lock()
			silent := l.silent
			l.mu.Unlock()
			if silent != nil {
				<-silent
			}
			continue
		}
		c := &Conn{TCPConn: nc, l: l, ended: make(chan struct{})}
		l.mu.Lock()
		here := l.ln == ln
		if here {
			l.conns[c] = true
			l.wg.Add(1)
		}
		l.mu.Unlock()
		if !here {
			c.Reset()
			continue
		}
		go func() {
			defer l.wg.Done()
			defer c.Close()
			l.lead(c)
		}()
	}
}

// Stop ends the listening and resets all connections: new ones are refused.
func (l *Listener) Stop() {
	l.EndSilence()
	l.mu.Lock()
	ln, conns := l.ln, l.conns
	l.ln, l.conns = nil, map[*Conn]bool{}
	l.mu.Unlock()
	if ln != nil {
		shut(ln)
	}
	for c := range conns {
		c.Reset()
	}
}

// shut ends a listener at once, also where a process that is just being started shares it until it runs its program:
// its address would be in use for as long.
func shut(ln *net.TCPListener) {
	if rc, err := ln.SyscallConn(); err == nil {
		rc.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RD) })
	}
	ln.Close()
}

// Close leaves for good and waits for what was led.
func (l *Listener) Close() {
	l.Stop()
	l.wg.Wait()
}

// Silence begins a silence. New connections fill the short queue that is left to them and then never come up.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent != nil || l.ln == nil {
		return
	}
	l.silent = make(chan struct{})
	l.ln.SetDeadline(time.Unix(1, 0))
	l.backlog(0)
	for refused := 0; refused < fullAfter && len(l.fillers) < maxFillers; {
		c, err := net.DialTimeout("tcp", l.address, fillFor)
		if err != nil {
			refused++
			continue
		}
		refused = 0
		l.fillers = append(l.fillers, c)
	}
}

// EndSilence ends a silence: what was written meanwhile arrives.
func (l *Listener) EndSilence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent == nil {
		return
	}
	for _, c := range l.fillers {
		c.Close()
	}
	l.fillers = nil
	for l.ln != nil { // what came up just as the silence began is reset: nobody could date what lies in it
		l.ln.SetDeadline(time.Now().Add(time.Millisecond))
		c, err := l.ln.AcceptTCP()
		if err != nil {
			break
		}
		c.SetLinger(0)
		c.Close()
	}
	if l.ln != nil {
		l.backlog(syscall.SOMAXCONN)
		l.ln.SetDeadline(time.Time{})
	}
	close(l.silent)
	l.silent = nil
}

func (l *Listener) backlog(n int) {
	if rc, err := l.ln.SyscallConn(); err == nil {
		rc.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

// pass waits for the end of a silence, if there is one. It is false if the connection ends first.
func (c *Conn) pass() bool {
	c.l.mu.Lock()
	silent := c.l.silent
	c.l.mu.Unlock()
	if silent == nil {
		return true
	}
	select {
	case <-silent:
		return true
	case <-c.ended:
		return false
	}
}

// Read holds back what comes in a silence.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.received = time.Now()
	if !c.pass() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Received is when what was read last reached this side, which in a silence is before it was passed on.
func (c *Conn) Received() time.Time { return c.received }

// Write waits while there is a silence.
func (c *Conn) Write(b []byte) (int, error) {
	if !c.pass() {
		return 0, net.ErrClosed
	}
	return c.TCPConn.Write(b)
}

// WriteTo and ReadFrom are what io.Copy uses in place of Read and Write. Those of the connection below know of no silence.

// WriteTo passes on what comes, as Read does.
func (c *Conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, struct{ io.Reader }{c}) }

// ReadFrom sends what a reader has, as Write does.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// Close ends the connection, in a silence only after it: the other side hears nothing before.
func (c *Conn) Close() error {
	c.pass()
	return c.end()
}

// Reset breaks it.
func (c *Conn) Reset() {
	c.SetLinger(0)
	c.end()
}

func (c *Conn) end() error {
	c.once.Do(func() { close(c.ended) })
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.TCPConn.Close()
}
