// Package discovery is a stand-in for the discovery service, which lists servers. It serves full lists and watches by revision,
// with a delay and a capacity that all nodes share. It can be down, and it can move to new addresses. The testbed sets its
// entries; a Watcher is notified of the entries that each node received. A Service is safe for concurrent use.
package discovery

import (
	"encoding/json"
	"math/rand/v2"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/testbed/standin/link"
)

const (
	watchGap  = 200 * time.Millisecond // a watch call within this time after the previous response continues its watch
	maxIdle   = 30 * time.Second
	maxWait   = 60 * time.Second
	moveGrace = 1500 * time.Millisecond // from a move until the old address closes its connections
)

// Conditions of an entry, as on the wire.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Entry is an entry of the list.
type Entry struct {
	ID          string
	Site        string
	Cell        int
	MachineKind string
	Condition   string
	StartedAt   time.Time // zero: not stated
	Addresses   []string  // by the caller's site
	revision    uint64
}

// Settings are the settings of the service.
type Settings struct {
	LinesPerSecond float64       // capacity; the cost of a call is one line for each of its entries
	CallLines      float64       // cost of a call in addition to its entries, in lines
	Timeout        time.Duration // a call that would wait longer for capacity is rejected
	Spread         time.Duration // interval over which the notifications of a change are spread at random
}

// Watcher is notified of each entry that was written to a node, from many goroutines.
type Watcher interface {
	// Announced reports an entry that a node received. startedUnixMS is the server's start in Unix milliseconds, 0 if not
	// stated.
	Announced(node int, id, condition string, startedUnixMS int64, at time.Time)
}

// Service is the stand-in.
type Service struct {
	settings Settings
	watcher  Watcher

	mu        sync.Mutex
	revision  uint64
	entries   map[string]*Entry
	order     []string
	changed   chan struct{} // closed at each change
	busyUntil time.Time     // when the queued calls will be processed
	isDown    bool
	random    *rand.Rand
	lines     float64
	calls     int
	rejected  int
	endpoints []*endpoint
}

// endpoint is the address for one node.
type endpoint struct {
	node      int
	site      int
	listener  *link.Listener
	isRetired bool
}

// New returns a service without entries that does not listen yet.
func New(settings Settings, seed uint64, w Watcher) *Service {
	return &Service{settings: settings, watcher: w, entries: map[string]*Entry{}, changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 9))}
}

// Close closes all addresses and waits for their connections.
func (s *Service) Close() {
	s.mu.Lock()
	endpoints := s.endpoints
	s.endpoints = nil
	s.mu.Unlock()
	for _, p := range endpoints {
		p.listener.Close()
	}
}

// Serve listens at an address for one node of a site.
func (s *Service) Serve(node, site int, address string) error {
	p := &endpoint{node: node, site: site}
	l, err := link.Listen(address, func(c *link.Conn) { s.serve(c, p) })
	if err != nil {
		return err
	}
	p.listener = l
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints = append(s.endpoints, p)
	return nil
}

// Move retires the present addresses. They reject calls except those of running watches, and close after a grace period.
func (s *Service) Move() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.endpoints {
		if !p.isRetired {
			p.isRetired = true
			time.AfterFunc(moveGrace, p.listener.Stop)
		}
	}
}

// Set adds or changes an entry and wakes the watches.
func (s *Service) Set(e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e.revision = s.revision
	if s.entries[e.ID] == nil {
		s.order = append(s.order, e.ID)
	}
	s.entries[e.ID] = &e
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDown makes the service unreachable, which ends all connections, or reachable again, except at retired addresses.
func (s *Service) SetDown(isDown bool) {
	s.mu.Lock()
	s.isDown = isDown
	endpoints := append([]*endpoint(nil), s.endpoints...)
	s.mu.Unlock()
	for _, p := range endpoints {
		if isDown {
			p.listener.Stop()
		} else if !p.isRetired {
			p.listener.Reopen()
		}
	}
}

// Usage returns the number of calls including rejected ones, the cost in lines of those that were not rejected, and the number of
// rejected calls.
func (s *Service) Usage() (calls int, lines float64, rejected int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.lines, s.rejected
}

// line is an entry on the wire.
type line struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

// list is a response on the wire.
type list struct {
	Revision uint64 `json:"revision"`
	Complete bool   `json:"complete"`
	Members  []line `json:"members"`
}

// line returns the entry for callers of a site.
func (e *Entry) line(site int) line {
	l := line{ID: e.ID, HostPort: e.Addresses[site], Locality: e.Site, Flavor: e.MachineKind, Cell: e.Cell, Phase: e.Condition, Size: 1}
	if !e.StartedAt.IsZero() {
		l.UpSinceMS = e.StartedAt.UnixMilli()
	}
	return l
}

// List returns the full list on the wire for callers of a site, as a node's configuration contains it.
func (s *Service) List(site int) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, _ := json.Marshal(s.list(site, 0, true))
	return b
}

// list returns the full list or the entries changed after a revision. The caller holds the lock.
func (s *Service) list(site int, after uint64, isFull bool) list {
	l := list{Revision: s.revision, Complete: isFull, Members: []line{}}
	for _, id := range s.order {
		e := s.entries[id]
		if isFull && e.Condition != Deleted || !isFull && e.revision > after {
			l.Members = append(l.Members, e.line(site))
		}
	}
	return l
}

// serve processes the calls on one connection.
func (s *Service) serve(nc *link.Conn, p *endpoint) {
	c := http1.NewConn(nc)
	var req http1.Request
	answered := time.Time{}
	for {
		c.SetReadDeadline(time.Now().Add(maxIdle))
		if c.ReadRequest(&req) != nil {
			return
		}
		after, wait, isWatch := parse(string(req.Target))
		continues := isWatch && time.Since(answered) < watchGap
		if isWatch && !s.await(c, after, wait) {
			return
		}
		if !s.queue(p, after, isWatch, continues) {
			c.Send(http1.AppendAnswer(nil, http1.Answer{Status: 503, Close: true}))
			return
		}
		s.mu.Lock()
		l := s.list(p.site, after, !isWatch)
		s.mu.Unlock()
		b, _ := json.Marshal(l)
		if isComplete, _ := c.Send(http1.AppendAnswer(nil, http1.Answer{Status: 200, Body: b})); !isComplete {
			return
		}
		answered = time.Now()
		for _, m := range l.Members {
			s.watcher.Announced(p.node, m.ID, m.Phase, m.UpSinceMS, answered)
		}
	}
}

// parse reads the target of a call: a watch after a revision, or the full list.
func parse(target string) (after uint64, wait time.Duration, isWatch bool) {
	_, query, _ := strings.Cut(target, "?")
	q, err := url.ParseQuery(query)
	if err != nil || !q.Has("index") {
		return 0, 0, false
	}
	after, err = strconv.ParseUint(q.Get("index"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait"))
	return after, min(time.Duration(ms)*time.Millisecond, maxWait), err == nil
}

// await waits for a change after a revision, and then for a random part of Spread, or until the wait is over. It returns false
// if, at a change, the connection is closed or has further input.
func (s *Service) await(c *http1.Conn, after uint64, wait time.Duration) bool {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		newer, changed := s.revision > after, s.changed
		spread := time.Duration(0)
		if newer && s.settings.Spread > 0 {
			spread = time.Duration(s.random.Int64N(int64(s.settings.Spread)))
		}
		s.mu.Unlock()
		if newer {
			time.Sleep(min(spread, wait))
			return true
		}
		select {
		case <-changed:
		case <-deadline.C:
			return true
		}
		if !c.IsIdle() {
			return false
		}
	}
}

// queue delays a call by the service's capacity. It returns false if the call is rejected because it would wait too long or the
// service is down or has moved. continues means that the call continues a watch: it costs only its entries, and a retired address
// accepts it.
func (s *Service) queue(p *endpoint, after uint64, isWatch, continues bool) bool {
	s.mu.Lock()
	cost := 0.0
	if !continues {
		cost = s.settings.CallLines
	}
	for _, e := range s.entries {
		if !isWatch || e.revision > after {
			cost++
		}
	}
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	done := s.busyUntil.Add(time.Duration(cost / s.settings.LinesPerSecond * float64(time.Second)))
	s.calls++
	isRejected := s.isDown || p.isRetired && !continues || done.Sub(now) > s.settings.Timeout
	if isRejected {
		s.rejected++
	} else {
		s.busyUntil = done
		s.lines += cost
	}
	s.mu.Unlock()
	if isRejected {
		return false
	}
	time.Sleep(time.Until(done))
	return true
}
