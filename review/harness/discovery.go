package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is an entry of the list.
type member struct {
	box      *box
	phase    string
	revision int
}

// discovery is the stand-in for the box list. It answers when asked: the whole list, or a watch on changes. The first answer after an outage
// is the whole list. A whole list leaves out the boxes that drain.
type discovery struct {
	lab       *lab
	addresses []string // by caller: nodes, and planners behind them
	isOneView bool     // all callers see the boxes at the same addresses

	mu       sync.Mutex
	members  []*member
	revision int
	changed  chan struct{}          // closed at each change
	servers  []*http.Server         // nil while it is out of reach
	isWhole  []bool                 // by node: the next answer is the whole list
	told     []map[string]time.Time // by node and box: since when the node knows that the box drains or is gone
}

// newDiscovery reserves an address for each node. up starts the service.
func (l *lab) newDiscovery(nodes int) (*discovery, error) {
	d := &discovery{lab: l, changed: make(chan struct{}), isWhole: make([]bool, nodes)}
	for range nodes {
		address, err := freeAddress(l.ip(90))
		if err != nil {
			return nil, err
		}
		d.addresses = append(d.addresses, address)
		d.told = append(d.told, map[string]time.Time{})
	}
	return d, nil
}

// up starts the service. Nodes get the whole list first if isWhole is set.
func (d *discovery) up(isWhole bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for node, address := range d.addresses {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		d.isWhole[node] = isWhole
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(node, w, r) })}
		d.servers = append(d.servers, server)
		go server.Serve(ln)
	}
	d.lab.note("the box list is in reach")
	return nil
}

// down ends the service: open calls end, new ones are refused.
func (d *discovery) down() {
	d.mu.Lock()
	servers := d.servers
	d.servers = nil
	d.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
	d.lab.note("the box list is out of reach")
}

// set adds a box or changes its phase.
func (d *discovery) set(b *box, phase string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	close(d.changed)
	d.changed = make(chan struct{})
	for _, m := range d.members {
		if m.box == b {
			m.phase, m.revision = phase, d.revision
			return
		}
	}
	d.members = append(d.members, &member{box: b, phase: phase, revision: d.revision})
}

// forget is called when a node is killed: its next process has been told nothing.
func (d *discovery) forget(node int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told[node] = map[string]time.Time{}
}

// toldAt returns since when a node knows that a box drains or is gone.
func (d *discovery) toldAt(node int, id string) (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok = d.told[node][id]
	return at, ok
}

// list returns the list as a node sees it, in the form of the protocol, and the boxes that it says to be drained or gone.
func (d *discovery) list(node, after int, isWhole bool) (list map[string]any, left []string) {
	members := []map[string]any{}
	for _, m := range d.members {
		if isWhole && m.phase != "SERVING" {
			left = append(left, m.box.id)
			continue
		}
		if !isWhole && m.revision <= after {
			continue
		}
		if m.phase != "SERVING" {
			left = append(left, m.box.id)
		}
		view := node
		if d.isOneView {
			view = 0
		}
		members = append(members, map[string]any{"id": m.box.id, "host_port": m.box.views[view], "locality": sites[m.box.site], "flavor": "fast-box", "cell": 0,
			"phase": m.phase, "size": 1.0, "up_since_ms": 0})
	}
	return map[string]any{"revision": d.revision, "complete": isWhole, "members": members}, left
}

func (d *discovery) serve(node int, w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("index"))
	isWhole := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	d.mu.Lock()
	isWhole = isWhole || d.isWhole[node]
	d.isWhole[node] = false
	for isWaiting := !isWhole; isWaiting && d.revision <= after; {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			isWaiting = false
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	list, left := d.list(node, after, isWhole)
	d.mu.Unlock()
	text, _ := json.Marshal(list)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := w.Write(text); err != nil {
		return
	}
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	if isWhole || len(left) > 0 {
		d.lab.log("list to node %d: %s", node, text)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range left {
		if _, isKnown := d.told[node][id]; !isKnown {
			d.told[node][id] = time.Now()
			d.lab.log("node %d is told that %s drains or is gone", node, id)
		}
	}
}
