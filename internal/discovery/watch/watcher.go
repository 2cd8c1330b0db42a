package watch

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"fernvane/internal/protocol/http1"
)

const (
	// pollWait is how long discovery may hold back its response while nothing changes. A silent connection is noticed only
	// when a response is overdue, so the wait is short; continuing a watch costs discovery nothing.
	pollWait = 2 * time.Second
	// responseSlack is how long beyond the wait the response to a watch that continues may take.
	responseSlack = 1500 * time.Millisecond
	// firstPollWait is the wait of the first call on a connection.
	firstPollWait = 100 * time.Millisecond
	// queuedResponseSlack is the slack of such a call, which waits in discovery's queue.
	queuedResponseSlack = 4 * time.Second
	// replacedSlack is for how long a response is awaited after the target has been replaced.
	replacedSlack = 300 * time.Millisecond
	// dialTimeout is for a connection to discovery.
	dialTimeout = time.Second
	// maxListBytes limits a response.
	maxListBytes = 1 << 20

	// MinPollInterval is the least time between the beginnings of two polls. Discovery wants a watch to be continued within
	// 200 ms.
	MinPollInterval = 25 * time.Millisecond
)

var pastDeadline = time.Unix(1, 0) // ends reads and writes that are under way

// Target is an address of discovery.
type Target struct {
	Address  netip.AddrPort
	Replaced context.Context    // done when another address has been configured
	Replace  context.CancelFunc // ends Replaced
}

// NewTarget returns a target that is not replaced yet.
func NewTarget(address netip.AddrPort) *Target {
	t := &Target{Address: address}
	t.Replaced, t.Replace = context.WithCancel(context.Background())
	return t
}

// Watcher polls one target. The caller sets its fields between polls; their zero values mean the changes after revision 0.
type Watcher struct {
	Target        *Target
	HasMoved      bool   // for the caller only: the target was replaced and the new one has not responded yet
	WantsFullList bool   // else the changes after Revision
	IsPushed      bool   // discovery is an agent without a queue: it responds to a first call at once
	Revision      uint64 // of the last list
	conn          *http1.Conn
}

// Close ends the connection; the next poll opens another.
func (w *Watcher) Close() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

// timeouts returns how long discovery may hold back its response, and how long the response may take beyond that.
func (w *Watcher) timeouts() (wait, slack time.Duration) {
	switch {
	case w.conn != nil:
		return pollWait, responseSlack
	case w.IsPushed:
		return firstPollWait, responseSlack
	}
	return firstPollWait, queuedResponseSlack
}

// Poll returns the list, or its changes, as soon as there are any or the wait is over. The first poll on a connection waits
// only briefly, to learn soon whether discovery responds and, at a new target, whether Revision means anything there. On an
// error the connection is closed, and the caller polls again after a pause.
func (w *Watcher) Poll(ctx context.Context) (http1.EndpointList, error) {
	if w.conn != nil && !w.conn.IsIdle() {
		w.Close()
	}
	wait, slack := w.timeouts()
	deadline := time.Now().Add(wait + slack) // the connect is part of it
	if w.conn == nil {
		if err := w.connect(ctx); err != nil {
			return http1.EndpointList{}, err
		}
	}
	conn := w.conn
	conn.SetDeadline(deadline)
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(pastDeadline) })()
	defer context.AfterFunc(w.Target.Replaced, func() { conn.SetDeadline(time.Now().Add(replacedSlack)) })()
	call := http1.EndpointListCall{Whole: w.WantsFullList, After: w.Revision, Wait: wait}
	list, isReusable, err := exchange(conn, w.Target.Address.String(), call)
	if err != nil || !isReusable {
		w.Close()
	}
	return list, err
}

func (w *Watcher) connect(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(w.Target.Replaced, cancel)()
	conn, err := dialer.DialContext(ctx, "tcp", w.Target.Address.String())
	if err != nil {
		return err
	}
	w.conn = http1.NewConn(conn)
	return nil
}

// exchange makes one call; isReusable reports whether the connection can be used for the next.
func exchange(conn *http1.Conn, host string, call http1.EndpointListCall) (
	list http1.EndpointList, isReusable bool, err error,
) {
	if _, err = conn.Send(http1.AppendEndpointListCall(conn.Scratch(), host, call)); err != nil {
		return list, false, err
	}
	var response http1.Response
	if err = conn.ReadResponse(&response, maxListBytes); err != nil {
		return list, false, err
	}
	if response.Status != 200 {
		return list, false, fmt.Errorf("discovery responded with status %d", response.Status)
	}
	list, err = http1.ParseEndpointList(response.Body)
	return list, !response.Close, err
}
