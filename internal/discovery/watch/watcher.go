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
	// pollWait is how long discovery may delay its response while nothing changes. An unresponsive connection is detected only
	// when a response is overdue, so the wait is short; continuing a watch costs discovery nothing.
	pollWait = 2 * time.Second
	// responseSlack is the time beyond the wait within which the response to a continued watch must arrive.
	responseSlack = 1500 * time.Millisecond
	// firstPollWait replaces pollWait for the first poll on a connection.
	firstPollWait = 100 * time.Millisecond
	// queuedResponseSlack replaces responseSlack for the first poll on a connection, which waits in discovery's queue.
	queuedResponseSlack = 4 * time.Second
	// replacedSlack is how long a poll waits for a response after its target has been replaced.
	replacedSlack = 300 * time.Millisecond
	// dialTimeout limits the time to connect to discovery.
	dialTimeout = time.Second
	// maxListBytes limits the size of a response.
	maxListBytes = 1 << 20

	// MinPollInterval is the minimum time between the starts of two polls. Discovery requires that a watch is continued within
	// 200 ms.
	MinPollInterval = 25 * time.Millisecond
)

var pastDeadline = time.Unix(1, 0) // as a deadline, ends reads and writes in progress

// Target is a configured address of discovery.
type Target struct {
	Address  netip.AddrPort
	Replaced context.Context    // done when another address has been configured
	Replace  context.CancelFunc // ends Replaced
}

// NewTarget returns a target that has not been replaced.
func NewTarget(address netip.AddrPort) *Target {
	t := &Target{Address: address}
	t.Replaced, t.Replace = context.WithCancel(context.Background())
	return t
}

// Watcher polls one target. The caller sets its fields between polls; their zero values request the changes after revision 0.
type Watcher struct {
	Target        *Target
	HasNewTarget  bool   // used by the caller only: the target was replaced and the new one has not responded yet
	WantsFullList bool   // request the full list instead of the changes after Revision
	HasNoQueue    bool   // discovery is an agent without a queue, which responds to a first request immediately
	Revision      uint64 // revision of the last received list
	conn          *http1.Conn
}

// Close closes the connection; the next poll opens a new one.
func (w *Watcher) Close() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

// timeouts returns how long discovery may delay its response, and the additional time within which it must arrive.
func (w *Watcher) timeouts() (wait, slack time.Duration) {
	switch {
	case w.conn != nil:
		return pollWait, responseSlack
	case w.HasNoQueue:
		return firstPollWait, responseSlack
	}
	return firstPollWait, queuedResponseSlack
}

// Poll returns the list or its changes as soon as there are changes or the wait has expired. The first poll on a connection
// waits only briefly, to detect early whether discovery responds and, at a new target, whether Revision is valid there. On an
// error the connection is closed, and the caller retries after a pause.
func (w *Watcher) Poll(ctx context.Context) (http1.EndpointList, error) {
	if w.conn != nil && !w.conn.IsIdle() {
		w.Close()
	}
	wait, slack := w.timeouts()
	deadline := time.Now().Add(wait + slack) // includes the connect
	if w.conn == nil {
		if err := w.connect(ctx); err != nil {
			return http1.EndpointList{}, err
		}
	}
	conn := w.conn
	conn.SetDeadline(deadline)
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(pastDeadline) })()
	defer context.AfterFunc(w.Target.Replaced, func() { conn.SetDeadline(time.Now().Add(replacedSlack)) })()
	request := http1.EndpointListRequest{WantsFullList: w.WantsFullList, After: w.Revision, Wait: wait}
	list, isReusable, err := exchange(conn, w.Target.Address.String(), request)
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

// exchange sends one request and reads its response. isReusable reports whether the connection can be used for another
// request.
func exchange(conn *http1.Conn, host string, request http1.EndpointListRequest) (
	list http1.EndpointList, isReusable bool, err error,
) {
	if _, err = conn.Send(http1.AppendEndpointListRequest(conn.Scratch(), host, request)); err != nil {
		return list, false, err
	}
	var response http1.Response
	if err = conn.ReadResponse(&response, maxListBytes); err != nil {
		return list, false, err
	}
	if response.Status != 200 {
		return list, false, fmt.Errorf("discovery responded with status %d, want 200", response.Status)
	}
	list, err = http1.ParseEndpointList(response.Body)
	return list, !response.Close, err
}
