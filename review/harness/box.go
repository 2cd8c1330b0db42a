package main

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// attempt is a request that a box received.
type attempt struct {
	node   int
	id     string
	at     time.Time
	isBook bool
	ran    bool
}

// box is a stand-in server: one core, first come, first served. It still answers while it drains, until it is taken away.
type box struct {
	id    string
	speed float64
	site  int
	views []string // its address as each node sees it
	core  sync.Mutex

	servers []*http.Server

	mu       sync.Mutex
	attempts []attempt
	resets   int // one booking in so many is reset after it has run; 0: none
}

// newBox starts a box that listens at an address of its own for each node.
func (l *lab) newBox(id string, number, nodes int, speed float64) (*box, error) {
	b := &box{id: id, speed: speed}
	for view := range nodes {
		ln, err := net.Listen("tcp", l.ip(100+number)+":0")
		if err != nil {
			return nil, err
		}
		b.views = append(b.views, ln.Addr().String())
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(l, view, w, r) }), IdleTimeout: 15 * time.Second}
		b.servers = append(b.servers, server)
		go server.Serve(ln)
	}
	return b, nil
}

func (b *box) serve(l *lab, view int, w http.ResponseWriter, r *http.Request) {
	a := attempt{node: view, id: r.Header.Get("Request-Id"), at: time.Now(), isBook: r.Method == http.MethodPost}
	if a.id == "" {
		http.Error(w, "no id", http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	b.mu.Lock()
	number := len(b.attempts)
	b.attempts = append(b.attempts, a)
	b.mu.Unlock()
	b.work(a.isBook)
	b.mu.Lock()
	b.attempts[number].ran = true
	b.mu.Unlock()
	l.log("%s ran %s of node %d", b.id, a.id, view)
	if a.isBook && b.isReset() {
		l.log("%s resets the connection of %s", b.id, a.id)
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
		return
	}
	io.WriteString(w, b.id+" "+a.id)
}

// resetOneIn makes the box reset the connection under one booking in so many, after it has run.
func (b *box) resetOneIn(share int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resets = share
}

func (b *box) isReset() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.resets > 0 && rand.IntN(b.resets) == 0
}

// takeAway ends the box's process: its connections are reset, and new ones are refused.
func (b *box) takeAway() {
	for _, s := range b.servers {
		s.Close()
	}
}

// received returns the attempts so far.
func (b *box) received() []attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]attempt(nil), b.attempts...)
}
