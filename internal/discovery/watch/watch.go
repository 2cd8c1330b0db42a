// Package watch follows discovery's list over its one connection, for nodes and planners alike.
package watch

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/protocol/http1"
)

const (
	// A silent connection is noticed when an answer is overdue, and what discovery had to tell counts as told 6 s after it
	// fell silent: a short wait finds out sooner, with time left for another connection, and going on with a watch costs
	// discovery no call. A new call waits in discovery's queue, so the answer to it is not waited for beyond that.
	pollWait            = 2 * time.Second
	responseSlack       = 1500 * time.Millisecond // beyond the wait, for an answer to a watch that goes on
	firstPollWait       = 100 * time.Millisecond  // of a call on a new connection
	queuedResponseSlack = 4 * time.Second         // beyond it
	replacedSlack       = 300 * time.Millisecond  // after another address was named, for what this one is just telling
	dialTimeout         = time.Second             // for a connection to discovery
	maxListBytes        = 1 << 20                 // bytes

	// Pace is the least time between two calls; a watch must be renewed within 200 ms.
	MinPollInterval = 25 * time.Millisecond
)

// Whatever call failed, was refused or given up in between, a change counts as told 6 s after discovery had it and could
// be reached. The worst case, from that moment: a call that began just before it is never answered and ends by its time
// (firstWait and queueSlack, the connect included: 4.1 s), the module pauses (fleet.askPauseMost: 1.125 s with its spread),
// and 0.75 s are left for the call that is answered. A refused call costs its pause only, so there are at least four in 6 s.

var pastDeadline = time.Unix(1, 0) // a deadline that ends what is under way

// Target is an address of discovery; Left is done when another has been named.
type Target struct {
	Address  netip.AddrPort
	Replaced context.Context
	Replace  context.CancelFunc
}

// NewTarget is one that is not left yet.
func NewTarget(at netip.AddrPort) *Target {
	p := &Target{Address: at}
	p.Replaced, p.Replace = context.WithCancel(context.Background())
	return p
}

// Watcher holds the one connection to discovery.
type Watcher struct {
	Target        *Target
	HasMoved      bool // and nothing heard at the new address yet
	WantsFullList bool // the whole list is wanted
	IsPushed      bool // by an agent that has no queue: a call on a new connection is answered at once
	Revision      uint64
	conn          *http1.Conn
}

// Close ends the connection; the next call opens another.
func (w *Watcher) Close() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

// patience is how long discovery may wait with its answer, and how long beyond that it is waited for.
func (w *Watcher) timeouts() (time.Duration, time.Duration) {
	switch {
	case w.conn != nil:
		return pollWait, responseSlack
	case w.IsPushed:
		return firstPollWait, responseSlack
	}
	return firstPollWait, queuedResponseSlack
}

// Poll waits for changes; the first call on a new connection hardly does, so as to learn soon whether it is silent, and at
// a new address whether ours is a revision there.
func (w *Watcher) Poll(ctx context.Context) (http1.EndpointList, error) {
	if w.conn != nil && !w.conn.IsIdle() {
		w.Close()
	}
	wait, slack := w.timeouts()
	by := time.Now().Add(wait + slack) // the connect is part of it
	if w.conn == nil {
		d := net.Dialer{Timeout: dialTimeout}
		dialing, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(w.Target.Replaced, cancel)()
		nc, err := d.DialContext(dialing, "tcp", w.Target.Address.String())
		if err != nil {
			return http1.EndpointList{}, err
		}
		w.conn = http1.NewConn(nc)
	}
	conn := w.conn
	conn.SetDeadline(by)
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(pastDeadline) })()
	defer context.AfterFunc(w.Target.Replaced, func() { conn.SetDeadline(time.Now().Add(replacedSlack)) })()
	list, again, err := call(conn, w.Target.Address.String(), http1.EndpointListCall{Whole: w.WantsFullList, After: w.Revision, Wait: wait})
	if err != nil || !again {
		w.Close()
	}
	return list, err
}

// ask makes one call; again tells whether the connection can be used for the next.
func call(conn *http1.Conn, host string, call http1.EndpointListCall) (l http1.EndpointList, again bool, err error) {
	if _, err = conn.Send(http1.AppendEndpointListCall(conn.Scratch(), host, call)); err != nil {
		return l, false, err
	}
	var resp http1.Response
	if err = conn.ReadResponse(&resp, maxListBytes); err != nil {
		return l, false, err
	}
	if resp.Status != 200 {
		return l, false, fmt.Errorf("discovery answers %d", resp.Status)
	}
	l, err = http1.ParseEndpointList(resp.Body)
	return l, !resp.Close, err
}

var conditions = [...]incarnation.Condition{http1.Serving: incarnation.Up, http1.Draining: incarnation.Draining, http1.Deleted: incarnation.Gone}
var phases = [...]http1.Condition{incarnation.Up: http1.Serving, incarnation.Draining: http1.Draining, incarnation.Gone: http1.Deleted}

// EntriesFromList are the lives that a list of discovery tells.
func EntriesFromList(l http1.EndpointList) []incarnation.Entry {
	entries := make([]incarnation.Entry, 0, len(l.Hosts))
	for _, h := range l.Hosts {
		e := incarnation.Entry{ID: h.ID, StartedUnixMS: h.UpSinceMS, Condition: conditions[h.Phase], Revision: l.Revision, Zone: h.Zone,
			MachineKind: h.Flavor, Cell: h.Cell, Weight: h.Size}
		if h.Address.IsValid() {
			e.Address = h.Address.String()
		}
		entries = append(entries, e)
	}
	return entries
}

// ListFromEntries is what a node takes lives in as: a change to its list. An entry of no use is told of as skipped.
func ListFromEntries(entries []incarnation.Entry) http1.EndpointList {
	l := http1.EndpointList{}
	for _, e := range entries {
		h := http1.Endpoint{ID: e.ID, Zone: e.Zone, Flavor: e.MachineKind, Cell: e.Cell, Size: e.Weight, UpSinceMS: e.StartedUnixMS}
		if e.Condition > incarnation.Gone || e.ID == "" {
			l.Skipped = append(l.Skipped, fmt.Errorf("server %.40q in unknown condition %d", e.ID, e.Condition))
			continue
		}
		h.Phase = phases[e.Condition]
		var err error
		if h.Address, err = netip.ParseAddrPort(e.Address); err != nil && h.Phase == http1.Serving {
			l.Skipped = append(l.Skipped, fmt.Errorf("server %.40q has no usable address", e.ID))
			continue
		}
		l.Revision = max(l.Revision, e.Revision)
		l.Hosts = append(l.Hosts, h)
	}
	return l
}
