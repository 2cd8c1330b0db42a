// Package discovery is a stand-in for the service that lists servers: full lists and watches by revision, late by a
// stated time, with the capacity of one service for all nodes. It can be out of reach, and it can move.
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
	goesOn  = 200 * time.Millisecond // within which the next call goes on with a watch
	maxIdle = 30 * time.Second
	maxWait = 60 * time.Second
	leaves  = 1500 * time.Millisecond // after a move, until the old address closes its connections
)

// Phase of an entry, as on the wire.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Entry is a line of the list.
type Entry struct {
	ID          string
	Site        string
	Cell        int
	MachineKind string // kind of machine
	Phase       string
	UpSince     time.Time // zero: for long
	Addresses   []string  // as callers of each site reach it
	revision    uint64
}

// Figures of the service.
type Figures struct {
	LinesPerS float64
	CallLines float64 // what a call costs beside its entries
	Timeout   time.Duration
	Spread    time.Duration // over which watchers hear of a change
}

// Watcher is told what a node has been told. Times are the wall clock's.
type Watcher interface {
	Announced(node int, id, phase string, up int64, at time.Time)
}

// Service is the stand-in.
type Service struct {
	f     Figures
	watch Watcher

	mu        sync.Mutex
	revision  uint64
	entries   map[string]*Entry
	order     []string
	changed   chan struct{} // closed at each change
	busy      time.Time     // until when the calls that wait take
	down      bool
	chance    *rand.Rand
	lines     float64
	calls     int
	turned    int
	addresses []*endpoint
}

// place is where one node finds the service.
type endpoint struct {
	node int
	site int
	l    *link.Listener
	old  bool
}

// New starts the service; it listens nowhere yet.
func New(f Figures, seed uint64, w Watcher) *Service {
	return &Service{f: f, watch: w, entries: map[string]*Entry{}, changed: make(chan struct{}), chance: rand.New(rand.NewPCG(seed, 9))}
}

// Close ends it.
func (s *Service) Close() {
	s.mu.Lock()
	places := s.addresses
	s.addresses = nil
	s.mu.Unlock()
	for _, p := range places {
		p.l.Close()
	}
}

// Serve listens for one node of a site.
func (s *Service) Serve(node, site int, address string) error {
	p := &endpoint{node: node, site: site}
	l, err := link.Listen(address, func(c *link.Conn) { s.lead(c, p) })
	if err != nil {
		return err
	}
	p.l = l
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses = append(s.addresses, p)
	return nil
}

// Moved has the places up to now take no new connection, and close the open ones after a while.
func (s *Service) Moved() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.addresses {
		if !p.old {
			p.old = true
			time.AfterFunc(leaves, p.l.Stop)
		}
	}
}

// Set makes an entry known, or changes it, at once.
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

// Down takes the service out of reach, or brings it back. Watches end with it.
func (s *Service) Down(down bool) {
	s.mu.Lock()
	s.down = down
	places := append([]*endpoint(nil), s.addresses...)
	s.mu.Unlock()
	for _, p := range places {
		if down {
			p.l.Stop()
		} else if !p.old {
			p.l.Reopen()
		}
	}
}

// Use tells how many calls came, the lines they cost, and how many were rejected.
func (s *Service) Use() (calls int, lines float64, turned int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.lines, s.turned
}

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

type list struct {
	Revision uint64 `json:"revision"`
	Complete bool   `json:"complete"`
	Members  []line `json:"members"`
}

func (e *Entry) line(site int) line {
	l := line{ID: e.ID, HostPort: e.Addresses[site], Locality: e.Site, Flavor: e.MachineKind, Cell: e.Cell, Phase: e.Phase, Size: 1}
	if !e.UpSince.IsZero() {
		l.UpSinceMS = e.UpSince.UnixMilli()
	}
	return l
}

// List is the full list as a node of a site gets it, for a configuration.
func (s *Service) List(site int) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, _ := json.Marshal(s.list(site, 0, true))
	return b
}

func (s *Service) list(site int, after uint64, whole bool) list {
	l := list{Revision: s.revision, Complete: whole, Members: []line{}}
	for _, id := range s.order {
		e := s.entries[id]
		if whole && e.Phase != Deleted || !whole && e.revision > after {
			l.Members = append(l.Members, e.line(site))
		}
	}
	return l
}

func (s *Service) lead(nc *link.Conn, p *endpoint) {
	c := http1.NewConn(nc)
	var req http1.Request
	answered := time.Time{}
	for {
		c.SetReadDeadline(time.Now().Add(maxIdle))
		if c.ReadRequest(&req) != nil {
			return
		}
		after, wait, watch := parse(string(req.Target))
		on := watch && time.Since(answered) < goesOn
		if watch && !s.await(c, after, wait) {
			return
		}
		if !s.queue(p, after, watch, on) {
			c.Send(http1.AppendAnswer(nil, http1.Answer{Status: 503, Close: true}))
			return
		}
		s.mu.Lock()
		l := s.list(p.site, after, !watch)
		s.mu.Unlock()
		b, _ := json.Marshal(l)
		if whole, _ := c.Send(http1.AppendAnswer(nil, http1.Answer{Status: 200, Body: b})); !whole {
			return
		}
		answered = time.Now()
		for _, m := range l.Members {
			s.watch.Announced(p.node, m.ID, m.Phase, m.UpSinceMS, answered)
		}
	}
}

// parse reads the target of a call: a watch after a revision, or the full list.
func parse(target string) (after uint64, wait time.Duration, watch bool) {
	_, query, _ := strings.Cut(target, "?")
	q, err := url.ParseQuery(query)
	if err != nil || !q.Has("index") {
		return 0, 0, false
	}
	after, err = strconv.ParseUint(q.Get("index"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait"))
	return after, min(time.Duration(ms)*time.Millisecond, maxWait), err == nil
}

// await returns once there is something newer than a revision, spread over the watchers, or the wait is over.
func (s *Service) await(c *http1.Conn, after uint64, wait time.Duration) bool {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		newer, changed := s.revision > after, s.changed
		spread := time.Duration(0)
		if newer && s.f.Spread > 0 {
			spread = time.Duration(s.chance.Int64N(int64(s.f.Spread)))
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

// queue has a call wait for its turn; it is false where that would take too long.
func (s *Service) queue(p *endpoint, after uint64, watch, on bool) bool {
	s.mu.Lock()
	cost := 0.0
	if !on {
		cost = s.f.CallLines
	}
	for _, e := range s.entries {
		if !watch || e.revision > after {
			cost++
		}
	}
	now := time.Now()
	if s.busy.Before(now) {
		s.busy = now
	}
	done := s.busy.Add(time.Duration(cost / s.f.LinesPerS * float64(time.Second)))
	s.calls++
	late := s.down || p.old && !on || done.Sub(now) > s.f.Timeout
	if late {
		s.turned++
	} else {
		s.busy = done
		s.lines += cost
	}
	s.mu.Unlock()
	if late {
		return false
	}
	time.Sleep(time.Until(done))
	return true
}
