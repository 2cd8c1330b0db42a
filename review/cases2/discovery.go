package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is an entry of discovery's list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
	revision uint64
}

// discovery is a stand-in for the discovery service of the protocol page. Its whole list leaves out servers that drain.
type discovery struct {
	rig     *rig
	address string

	mu       sync.Mutex
	revision uint64
	members  []*member
	changed  chan struct{}
}

// startDiscovery starts discovery with all servers of a fleet.
func (r *rig) startDiscovery(f *fleet) *discovery {
	d := &discovery{rig: r, changed: make(chan struct{})}
	for _, s := range f.servers {
		d.revision++
		d.members = append(d.members, &member{ID: s.id, HostPort: s.address, Locality: "scottsdale", Flavor: "fast-box", Cell: 1, Phase: "SERVING", Size: 1,
			revision: d.revision})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.fail(err)
	}
	d.address = l.Addr().String()
	go http.Serve(l, d)
	return d
}

// list returns the whole list, or the changes after a revision.
func (d *discovery) list(isWhole bool, after uint64) (answer []byte, count int) {
	members := []*member{}
	for _, m := range d.members {
		if isWhole && m.Phase == "SERVING" || !isWhole && m.revision > after {
			members = append(members, m)
		}
	}
	answer, _ = json.Marshal(object{"revision": d.revision, "complete": isWhole, "members": members})
	return answer, len(members)
}

// ServeHTTP answers a call for the whole list, or a watch.
func (d *discovery) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/discovery/hosts" {
		http.NotFound(w, req)
		return
	}
	after, err := strconv.ParseUint(req.URL.Query().Get("index"), 10, 64)
	isWatch := err == nil
	wait, _ := strconv.Atoi(req.URL.Query().Get("wait"))
	deadline := time.After(time.Duration(min(wait, 60_000)) * time.Millisecond)
	for isWatch {
		d.mu.Lock()
		isNewer, changed := d.revision > after, d.changed
		d.mu.Unlock()
		if isNewer {
			break
		}
		select {
		case <-changed:
			continue
		case <-deadline:
		case <-req.Context().Done():
			return
		}
		break
	}
	d.mu.Lock()
	answer, count := d.list(!isWatch, after)
	d.mu.Unlock()
	if count > 0 {
		d.rig.logf("discovery tells %s: %s", req.RemoteAddr, answer)
	}
	w.Write(answer)
}

// known returns the whole list in the form of a node's configuration.
func (d *discovery) known() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	answer, _ := d.list(true, 0)
	return answer
}
