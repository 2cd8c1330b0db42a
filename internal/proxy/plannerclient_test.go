package proxy

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"fernvane/internal/controlplane/plan"
	"fernvane/internal/controlplane/planconfig"
	"fernvane/internal/controlplane/planwire"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/journal/wal"
	"fernvane/internal/protocol/http1"
)

// testPlanner is a stand-in planner that sends changes on request of the test and records reports.
type testPlanner struct {
	t  *testing.T
	ln net.Listener

	mu        sync.Mutex
	conn      *planwire.Conn
	connected chan struct{}
	reports   chan plan.Report
}

func newTestPlanner(t *testing.T) *testPlanner {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	planner := &testPlanner{t: t, ln: ln, connected: make(chan struct{}, 99), reports: make(chan plan.Report, 999)}
	t.Cleanup(planner.stop)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			c := planwire.NewConn(nc)
			if _, err := c.Handshake("p", time.Now().Add(5*time.Second)); err != nil {
				continue
			}
			planner.mu.Lock()
			planner.conn = c
			planner.mu.Unlock()
			planner.connected <- struct{}{}
			go func() {
				for {
					k, body, err := c.Receive(time.Now().Add(time.Minute))
					if err != nil {
						return
					}
					var r plan.Report
					if k == planwire.ReportKind && planwire.Decode(body, &r) == nil {
						planner.reports <- r
					}
				}
			}()
		}
	}()
	return planner
}

func (planner *testPlanner) stop() {
	planner.ln.Close()
	planner.mu.Lock()
	defer planner.mu.Unlock()
	if planner.conn != nil {
		planner.conn.Close()
	}
}

// sendChange sends a change of the plan, based on the next report.
func (planner *testPlanner) sendChange(c plan.Change) {
	planner.t.Helper()
	r := <-planner.reports
	c.Number, c.ReportSentAt, c.ReportingForwarders, c.Nodes, c.AdmittedShare = 1, r.SentAt, 1, 1, 1
	planner.mu.Lock()
	defer planner.mu.Unlock()
	if err := planner.conn.Send(planwire.ChangeKind, c); err != nil {
		planner.t.Error(err)
	}
}

func (planner *testPlanner) at() netip.AddrPort {
	return netip.MustParseAddrPort(planner.ln.Addr().String())
}

func serving(id string, at netip.AddrPort) incarnation.Entry {
	return incarnation.Entry{ID: id, Address: at.String(), Weight: 1, Revision: 5}
}

// A forwarder without a list gets its servers from a planner and does not poll discovery. A stale planner does not revive a draining server.
// When all planners are lost, the forwarder continues to serve and polls discovery for newer revisions.
func TestPlannerClient(t *testing.T) {
	t.Parallel()
	serverEndpoints, received := servers(t, 2, okResponse)
	polls := make(chan string, 99)
	answers := make(chan string, 9)
	cfg := config()
	cfg.Discovery = standIn(t, func(nc net.Conn) {
		defer nc.Close()
		var r http1.Request
		for c := http1.NewConn(nc); c.ReadRequest(&r) == nil; {
			polls <- string(r.Target)
			body, ok := <-answers
			if !ok {
				return
			}
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	})
	first, second := newTestPlanner(t), newTestPlanner(t)
	cfg.Planners = &planconfig.Forwarder{Addresses: []netip.AddrPort{first.at(), second.at()}}
	at, _ := startNode(t, cfg)
	<-first.connected
	<-second.connected
	a, b := serving(serverEndpoints[0].ID, serverEndpoints[0].Address), serving(serverEndpoints[1].ID, serverEndpoints[1].Address)
	first.sendChange(plan.Change{Incarnations: []incarnation.Entry{a, b}, Servers: []plan.ServerShare{{ID: a.ID, Share: 0.5}, {ID: b.ID, Share: 0.5}}})
	await(t, "an answer", func() bool { return get(t, dial(t, at), "/check/1").Status == 200 })
	if len(polls) > 0 {
		t.Errorf("got discovery poll %s, want none", <-polls)
	}
	drained := a
	drained.Condition, drained.Revision = incarnation.Draining, 6
	first.sendChange(plan.Change{Incarnations: []incarnation.Entry{drained}})
	second.sendChange(plan.Change{Incarnations: []incarnation.Entry{b}})
	// The second planner has not received the drain; its announcement of that server is stale, whatever its plan.
	await(t, "report of the drain to the second planner", func() bool { return slices.Contains((<-second.reports).NewerIncarnations, drained) })
	second.sendChange(plan.Change{Incarnations: []incarnation.Entry{a}, Servers: []plan.ServerShare{{ID: a.ID, Share: 1}}})
	first.stop()
	second.sendChange(plan.Change{Incarnations: []incarnation.Entry{a}})
	before := received.Load()
	for range 20 {
		if r := get(t, dial(t, at), "/check/1"); r.Status != 200 {
			t.Errorf("got status %d, want 200", r.Status)
		}
	}
	if got := received.Load() - before; got != 20 {
		t.Errorf("got %d attempts, want 20", got)
	}
	second.stop()
	poll := <-polls // polls for revisions that planners have not announced
	if want := "/discovery/hosts?index=6&wait=100"; poll != want {
		t.Errorf("got poll %s, want %s", poll, want)
	}
	answers <- fmt.Sprintf(`{"revision":7,"members":[{"id":%q,"host_port":"%s","phase":"SERVING","size":1}]}`, a.ID, serverEndpoints[0].Address)
	if poll := <-polls; poll != "/discovery/hosts?index=7&wait=2000" {
		t.Errorf("got poll %s, want revision 7", poll)
	}
	close(answers)
	if r := get(t, dial(t, at), "/check/1"); r.Status != 200 {
		t.Errorf("got status %d, want 200", r.Status)
	}
}

// A draining server gets no new requests although a stale planner announces it as serving.
func TestStalePlanner(t *testing.T) {
	t.Parallel()
	one, drainingReceived := servers(t, 1, okResponse)
	two, _ := servers(t, 1, okResponse)
	planner := newTestPlanner(t)
	cfg := config()
	cfg.Planners = &planconfig.Forwarder{Addresses: []netip.AddrPort{planner.at()}}
	at, _ := startNode(t, cfg)
	<-planner.connected
	a, b := serving("a", one[0].Address), serving("b", two[0].Address)
	drained := a
	drained.Condition = incarnation.Draining
	planner.sendChange(plan.Change{Incarnations: []incarnation.Entry{drained, b}})
	await(t, "an answer", func() bool { return get(t, dial(t, at), "/check/1").Status == 200 })
	planner.sendChange(plan.Change{Incarnations: []incarnation.Entry{a}, Servers: []plan.ServerShare{{ID: "a", Share: 1}}})
	for range 3 { // reports: the plan was applied after them
		<-planner.reports
	}
	for range 10 {
		get(t, dial(t, at), "/check/1")
	}
	if n := drainingReceived.Load(); n > 0 {
		t.Errorf("got %d attempts to a draining server, want none", n)
	}
}

// A node that was killed starts with the list on its disk. A planner that announces the same list confirms all of it, although nothing has
// changed, and a later drain of one server does not remove the others.
func TestPlannersConfirmCachedList(t *testing.T) {
	t.Parallel()
	const serverCount = 12
	backends := make([]*countingServer, serverCount)
	var listed []snapshot.Server
	var announced []incarnation.Entry
	for i := range backends {
		backends[i] = newCountingServer(t, "")
		id := fmt.Sprint("s", i)
		listed = append(listed, backends[i].server(id, incarnation.Up))
		announced = append(announced, serving(id, backends[i].at))
	}
	const drainingIndex = serverCount - 1 // draining since before the node's start
	listed[drainingIndex].Condition, announced[drainingIndex].Condition = uint8(incarnation.Draining), incarnation.Draining
	planner := newTestPlanner(t)
	cfg := config()
	cfg.Planners = &planconfig.Forwarder{Addresses: []netip.AddrPort{planner.at()}}
	cfg.Snapshot = cachedList(t, func(s *snapshot.Snapshot) { s.ConfirmedUnixMS -= (10 * time.Minute).Milliseconds() }, listed...)
	at, _ := startNode(t, cfg)
	<-planner.connected
	if unconfirmed := (<-planner.reports).NewerIncarnations; len(unconfirmed) > 1 || len(unconfirmed) == 1 && unconfirmed[0].Condition == incarnation.Up {
		t.Errorf("got a report with %d incarnations, want at most that of the draining server", len(unconfirmed))
	}
	planner.sendChange(plan.Change{Incarnations: announced})
	store, err := snapshot.Open(cfg.Snapshot.Dir, 3, wal.OSFileSystem{})
	if err != nil {
		t.Fatal(err)
	}
	await(t, "confirmed list on disk", func() bool {
		stored, _, err := store.Newest()
		return err == nil && time.Since(time.UnixMilli(stored.ConfirmedUnixMS)) < time.Minute
	})
	drained := announced[0]
	drained.Condition, drained.Revision = incarnation.Draining, 9
	planner.sendChange(plan.Change{Incarnations: []incarnation.Entry{drained}})
	await(t, "list on disk with two draining servers and all others up", func() bool {
		stored, _, err := store.Newest()
		conditions := map[uint8]int{}
		if err == nil {
			for _, server := range stored.Servers {
				conditions[server.Condition]++
			}
		}
		return conditions[uint8(incarnation.Up)] == serverCount-2 && conditions[uint8(incarnation.Draining)] == 2
	})
	if r := get(t, dial(t, at), "/check/1"); r.Status != 200 {
		t.Errorf("got status %d, want 200", r.Status)
	}
}
