package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// sent is a request of a client with its answer.
type sent struct {
	id, path string
	status   int // 0: no answer
	isWhole  bool
	isTaken  bool // the node's machine accepted the connection
	at       time.Duration
	took     time.Duration
}

// load sends requests to nodes at a steady rate, open-loop: hire-check (GET) and hire-book (POST) by turns.
type load struct {
	rig    *rig
	client *http.Client
	header [2]string // one more field of each request; empty: none
	stop   chan struct{}
	wg     sync.WaitGroup

	mu   sync.Mutex
	sent []sent
}

// startLoad starts the clients. request returns method, path and client timeout of the i-th request; header is the name and the
// value of one more field.
func (r *rig) startLoad(nodes []*node, interval time.Duration, request func(i int) (method, path string, timeout time.Duration), header ...string) *load {
	l := &load{rig: r, stop: make(chan struct{}), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second}}}
	copy(l.header[:], header)
	l.wg.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-l.stop:
				return
			case <-tick.C:
			}
			method, path, timeout := request(i)
			n := nodes[i%len(nodes)]
			l.wg.Go(func() { l.send(n, method, path, fmt.Sprintf("%016x", i+1), timeout) })
		}
	})
	return l
}

// end stops sending and waits for the open requests.
func (l *load) end() []sent {
	close(l.stop)
	l.wg.Wait()
	return l.sent
}

func (l *load) send(n *node, method, path, id string, timeout time.Duration) {
	req, err := http.NewRequest(method, "http://"+n.address+path, nil)
	if err != nil {
		l.rig.fail(err)
	}
	req.Header.Set("Request-Id", id)
	req.Header.Set("Tenant", "dorset-dairy")
	req.Header.Set("Request-Timeout", fmt.Sprintf("%.3f", timeout.Seconds()))
	if l.header[0] != "" {
		req.Header.Set(l.header[0], l.header[1])
	}
	s := sent{id: id, path: path, at: l.rig.now()}
	l.rig.logf("send     %s to %s, %s %s", id, n.name, method, path)
	resp, err := l.client.Do(req)
	body := []byte(nil)
	if err == nil {
		s.status = resp.StatusCode
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	s.took, s.isWhole, s.isTaken = l.rig.now()-s.at, err == nil, !errors.Is(err, syscall.ECONNREFUSED)
	l.rig.logf("answer   %s: %d %s (%v)", id, s.status, strings.TrimSpace(string(body)), err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, s)
}

// hireMix returns the requests of hire-northeast: one booking in three.
func hireMix(i int) (method, path string, timeout time.Duration) {
	if i%3 == 0 {
		return http.MethodPost, fmt.Sprintf("/hire-book/baler-%d", i), 2 * time.Second
	}
	return http.MethodGet, fmt.Sprintf("/hire-check/baler-%d", i), time.Second
}
