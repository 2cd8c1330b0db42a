// Package link provides a listener whose network can fail. A silence simulates a site that is cut off: connections stay open
// and carry nothing, new ones do not open, and there are no resets. Stop simulates the end of a process. The stand-ins of
// servers and discovery listen with it. A Listener is safe for concurrent use.
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
	fillTimeout       = 30 * time.Millisecond // within this time a connection opens unless the backlog is full
	fullAfterFailures = 3                     // consecutive; a single one may be due to a busy machine
	maxFillers        = 8
)

// Listener accepts connections and serves each in a goroutine, unless it is stopped or silent.
type Listener struct {
	address string
	serve   func(*Conn)
	wg      sync.WaitGroup

	mu             sync.Mutex
	ln             *net.TCPListener
	conns          map[*Conn]bool
	silent         chan struct{} // closed when the silence ends; nil if there is none
	backlogFillers []net.Conn
}

// Conn is a connection that is silent while its listener is.
type Conn struct {
	*net.TCPConn
	listener *Listener
	ended    chan struct{}
	once     sync.Once
	received time.Time
}

// Listen accepts connections at an address and calls serve for each, in a goroutine of its own. The connection is closed
// when serve returns.
func Listen(address string, serve func(*Conn)) (*Listener, error) {
	l := &Listener{address: address, serve: serve, conns: map[*Conn]bool{}}
	return l, l.Reopen()
}

// Address returns where the listener listens, also while it is stopped.
func (l *Listener) Address() string { return l.address }

// Reopen listens again after Stop.
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

// accept accepts connections until the listener is stopped.
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
		c := &Conn{TCPConn: nc, listener: l, ended: make(chan struct{})}
		l.mu.Lock()
		isCurrent := l.ln == ln
		if isCurrent {
			l.conns[c] = true
			l.wg.Add(1)
		}
		l.mu.Unlock()
		if !isCurrent {
			c.Reset()
			continue
		}
		go func() {
			defer l.wg.Done()
			defer c.Close()
			l.serve(c)
		}()
	}
}

// Stop stops listening and resets all connections; new ones are refused.
func (l *Listener) Stop() {
	l.EndSilence()
	l.mu.Lock()
	ln, conns := l.ln, l.conns
	l.ln, l.conns = nil, map[*Conn]bool{}
	l.mu.Unlock()
	if ln != nil {
		closeNow(ln)
	}
	for c := range conns {
		c.Reset()
	}
}

// closeNow closes a listener and frees its address immediately. Without the shutdown, a process that is being forked would
// share the socket until its exec and keep the address in use.
func closeNow(ln *net.TCPListener) {
	if rc, err := ln.SyscallConn(); err == nil {
		rc.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RD) })
	}
	ln.Close()
}

// Close stops the listener and waits until all connections are served.
func (l *Listener) Close() {
	l.Stop()
	l.wg.Wait()
}

// Silence begins a silence. It shortens the backlog and fills it, so that new connections do not open.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent != nil || l.ln == nil {
		return
	}
	l.silent = make(chan struct{})
	l.ln.SetDeadline(time.Unix(1, 0))
	l.backlog(0)
	for failures := 0; failures < fullAfterFailures && len(l.backlogFillers) < maxFillers; {
		c, err := net.DialTimeout("tcp", l.address, fillTimeout)
		if err != nil {
			failures++
			continue
		}
		failures = 0
		l.backlogFillers = append(l.backlogFillers, c)
	}
}

// EndSilence ends a silence. Bytes that were written meanwhile arrive.
func (l *Listener) EndSilence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent == nil {
		return
	}
	for _, c := range l.backlogFillers {
		c.Close()
	}
	l.backlogFillers = nil
	for l.ln != nil { // reset connections that opened as the silence began: the arrival time of their bytes is unknown
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

// backlog sets the maximum number of connections that wait to be accepted.
func (l *Listener) backlog(n int) {
	if rc, err := l.ln.SyscallConn(); err == nil {
		rc.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

// awaitSilenceEnd waits for the end of a silence, if there is one. It returns false if the connection ends first.
func (c *Conn) awaitSilenceEnd() bool {
	c.listener.mu.Lock()
	silent := c.listener.silent
	c.listener.mu.Unlock()
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

// Read reads from the connection. Bytes that arrive during a silence are returned after it.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.received = time.Now()
	if !c.awaitSilenceEnd() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Received returns when the last bytes that Read returned had arrived. In a silence, that is before Read returned them.
func (c *Conn) Received() time.Time { return c.received }

// Write writes to the connection, during a silence only after its end.
func (c *Conn) Write(b []byte) (int, error) {
	if !c.awaitSilenceEnd() {
		return 0, net.ErrClosed
	}
	return c.TCPConn.Write(b)
}

// WriteTo copies the bytes that Read returns. It hides the method of the TCP connection, which io.Copy would use and which
// ignores silences.
func (c *Conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, struct{ io.Reader }{c}) }

// ReadFrom copies bytes to Write. It hides the TCP connection's method for the same reason.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// Close closes the connection, during a silence only after its end.
func (c *Conn) Close() error {
	c.awaitSilenceEnd()
	return c.end()
}

// Reset closes the connection with a reset.
func (c *Conn) Reset() {
	c.SetLinger(0)
	c.end()
}

// end closes the connection and removes it from its listener.
func (c *Conn) end() error {
	c.once.Do(func() { close(c.ended) })
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}
