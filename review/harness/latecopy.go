package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Figures of the case.
const (
	copyNodes    = 4
	copyBoxes    = 12
	copyRate     = 85.0                    // requests a second to each node: 350 in all
	copyFor      = 40 * time.Second        // with traffic
	copyOneIn    = 20                      // answers have a second copy behind them
	copyLateMin  = 2 * time.Millisecond    // "some milliseconds"
	copyLateMax  = 4 * time.Millisecond    //
	oneWayMin    = 2800 * time.Microsecond // between sites
	oneWaySpread = 1700 * time.Microsecond // to 4.5 ms: with what the proxy itself takes, under 5.2 ms
)

// lateCopy plays boxes some of whose good answers are followed by a second copy, some milliseconds late, when nothing else waits on the
// connection. Between sites a link takes 2.8 to 5.2 ms one way; each site has a node and three boxes. No client may get an answer that was
// not made for its request.
func lateCopy(l *lab) (broken bool, err error) {
	d, err := l.newDiscovery(copyNodes)
	if err != nil {
		return false, err
	}
	for i := range copyBoxes {
		b := &box{id: fmt.Sprintf("s-%02d", i), speed: []float64{1.8, 0.9}[i/len(sites)%2], site: i % len(sites)}
		for view := range copyNodes {
			address, err := l.newCopyingBox(b, i, view)
			if err != nil {
				return false, err
			}
			b.views = append(b.views, address)
		}
		d.set(b, "SERVING")
	}
	if err := d.up(false); err != nil {
		return false, err
	}
	var clients []*client
	for i := range copyNodes {
		listen, err := freeAddress(l.ip(10 + i))
		if err != nil {
			return false, err
		}
		known, _ := d.list(i, 0, true)
		config := map[string]any{"seed": fmt.Sprintf("%016x", 77+i), "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
			"settings": settings(copyNodes, i)}
		n, err := l.newNode(fmt.Sprintf("n%d", i), listen, d.addresses[i], config)
		if err != nil {
			return false, err
		}
		if err := n.start(); err != nil {
			return false, err
		}
		if err := n.awaitReady(); err != nil {
			return false, err
		}
		clients = append(clients, l.newClient(i, listen))
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	for _, c := range clients {
		go func() {
			c.load(func() float64 { return copyRate }, stop)
			stopped <- struct{}{}
		}()
	}
	time.Sleep(copyFor)
	close(stop)
	foreign := 0
	for i, c := range clients {
		<-stopped
		l.note("answers of node %d: %s, foreign: %d", i, c.answers(), c.foreignAnswers())
		foreign += c.foreignAnswers()
	}
	l.note("%d answers with status 200 were not made for their request", foreign)
	return foreign > 0, nil
}

// newCopyingBox starts one view of a box behind a link with a delay, and returns the address of the link.
func (l *lab) newCopyingBox(b *box, number, view int) (address string, err error) {
	ln, err := net.Listen("tcp", l.ip(100+number)+":0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serveCopying(l, view, c.(*net.TCPConn))
		}
	}()
	if b.site == view%len(sites) {
		return ln.Addr().String(), nil
	}
	return l.delay(ln.Addr().String(), oneWayMin+rand.N(oneWaySpread))
}

// serveCopying serves a connection, one request at a time.
func (b *box) serveCopying(l *lab, view int, c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(15 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if id == "" {
			io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		b.work(r.Method == http.MethodPost)
		body := b.id + " " + id
		answer := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		l.log("%s ran %s of node %d", b.id, id, view)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if l.trouble == "0" || rand.IntN(copyOneIn) > 0 {
			continue
		}
		c.SetReadDeadline(time.Now().Add(copyLateMin + rand.N(copyLateMax-copyLateMin)))
		if _, err := in.Peek(1); err == nil { // another request waits: no copy
			continue
		} else if !strings.Contains(err.Error(), "timeout") {
			return
		}
		l.log("%s sends a second copy of its answer to %s to node %d", b.id, id, view)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// work takes the box's core for the time of a request.
func (b *box) work(isBook bool) {
	work := 26 * time.Millisecond
	if isBook {
		work = 66 * time.Millisecond
	}
	b.core.Lock()
	defer b.core.Unlock()
	time.Sleep(time.Duration(float64(work) / b.speed))
}
