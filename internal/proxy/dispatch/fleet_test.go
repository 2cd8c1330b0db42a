package dispatch

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/engine"
	"fernvane/internal/testbed/standin/connpair"
	"fernvane/policy"
)

var limits = Limits{MemoryMB: 192, Sockets: 1024}

func listed(hosts ...http1.Endpoint) http1.EndpointList {
	return http1.EndpointList{Complete: true, Hosts: hosts}
}

func host(id string, port uint16) http1.Endpoint {
	return http1.Endpoint{ID: id, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), Size: 1}
}

func fleet(t *testing.T, repeat policy.Idempotency, l Limits, hosts ...http1.Endpoint) *Dispatcher {
	s := settings.Settings{ConnIdle: time.Hour, TypeNames: []string{"check"}, Settings: policy.Settings{NodeCount: 1, MaxAttempts: 4,
		ConnectTimeout: time.Second, TrafficTypes: []policy.TrafficType{{Idempotency: repeat, LatencyObjective: time.Minute,
			ClientTimeout: time.Hour, PriorityWeight: 1}}}}
	f := New(s, 1, l, engine.NewPolicy)
	t.Cleanup(f.Stop)
	f.ApplyList(listed(hosts...), endpoints.SourceConfig)
	return f
}

var lastID int

// arrive has a fleet take an operation under an id of its own, nil if it does not.
func arrive(f *Dispatcher) *Request {
	lastID++
	op, _ := f.Submit(Arrival{ID: fmt.Append(nil, lastID), RouteIndex: -1, Timeout: time.Hour})
	return op
}

func TestEnds(t *testing.T) {
	// What the module takes for proof that nothing has run.
	proofs := []policy.Outcome{policy.Overloaded, policy.Unreachable, policy.NotStarted}
	for end, c := range map[AttemptResult]struct{ proof, handled bool }{
		Succeeded: {false, true}, ErrorResponse: {}, ConnectionLost: {}, MalformedResponse: {}, ResponseTimeout: {}, Abandoned: {},
		RequestFault: {}, NotStarted: {proof: true}, ConnectRefused: {proof: true}, ConnectTimeout: {proof: true}, WriteFailed: {proof: true}, StaleConnection: {proof: true},
		NoDescriptor: {proof: true}, ExpiredUnsent: {proof: true},
	} {
		t.Run(end.String(), func(t *testing.T) {
			if slices.Contains(proofs, end.Outcome()) != c.proof || (end.Outcome() == policy.Success) != c.handled {
				t.Errorf("is outcome %d", end.Outcome())
			}
		})
	}
}

// Whatever crosses, an operation gets one decision that ends it, and no hop after that.
func TestOneAnswer(t *testing.T) {
	const lose, deny, leave, settle = 100, 101, 102, 103
	for name, c := range map[string]struct {
		repeat policy.Idempotency
		steps  []int // an End, or one of the above from elsewhere
		want   Action
	}{
		"handled":                          {policy.NonIdempotent, []int{int(Succeeded)}, Respond},
		"left, then handled":               {policy.NonIdempotent, []int{leave, int(Succeeded)}, Drop},
		"left twice":                       {policy.NonIdempotent, []int{leave, leave, int(ConnectionLost)}, Drop},
		"handled, then left":               {policy.NonIdempotent, []int{int(Succeeded), leave}, Respond},
		"reset":                            {policy.NonIdempotent, []int{int(ConnectionLost)}, Fail},
		"reset, then left":                 {policy.NonIdempotent, []int{int(ConnectionLost), leave}, Fail},
		"garbled":                          {policy.NonIdempotent, []int{int(MalformedResponse)}, Fail},
		"denied while the hop is out":      {policy.Idempotent, []int{deny, int(Succeeded)}, Reject},
		"written off while the hop is out": {policy.NonIdempotent, []int{lose, int(Abandoned)}, Fail},
		"denied, then left":                {policy.Idempotent, []int{deny, leave, int(ResponseTimeout)}, Reject},
		"left, then denied":                {policy.Idempotent, []int{leave, deny, int(ResponseTimeout)}, Drop},
		"never ran, then handled":          {policy.NonIdempotent, []int{int(NotStarted), int(Succeeded)}, Respond},
		"unsent, then reset":               {policy.NonIdempotent, []int{int(WriteFailed), int(ConnectionLost)}, Fail},
		"never ran, no server left":        {policy.NonIdempotent, []int{int(ConnectRefused), int(ConnectRefused), int(ConnectRefused), int(ConnectRefused)}, Reject},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet(t, c.repeat, limits, host("a", 1), host("b", 2), host("c", 3), host("d", 4))
			op := arrive(f)
			given := false
			d := op.NextDecision(func() { given = true })
			for _, s := range c.steps {
				switch s {
				case leave:
					op.ClientDisconnected()
				case deny, lose:
					f.mu.Lock()
					if h := (*effectHandler)(f); s == deny {
						h.Reject(op.id, 0)
					} else {
						h.Fail(op.id)
					}
					f.unlock()
					if !given && !op.isSettled {
						t.Error("the hop was not given up")
					}
				default:
					if d.Action != SendAttempt {
						t.Fatalf("no hop where one was due, but %d", d.Action)
					}
					op.AttemptEnded(d.Attempt, AttemptResult(s), nil)
					if !op.isSettled && op.pending.Action == SendAttempt {
						d = op.NextDecision(func() {})
					}
				}
			}
			if d = op.NextDecision(func() {}); d.Action != c.want {
				t.Errorf("ended with %d", d.Action)
			}
			if n := f.Counts(); n.Responded+n.Rejected+n.Failed+n.Disconnected != 1 || n.OpenRequests != 0 {
				t.Errorf("counted %+v", n)
			}
			if len(op.inFlight) > 0 || op.pending.Action != undecided || len(f.requests.byID) != 0 {
				t.Error("something is left of it")
			}
		})
	}
}

// A hop that was decided on and overtaken by the client's leaving is never sent, and its server is free.
func TestOvertakenHop(t *testing.T) {
	f := fleet(t, policy.NonIdempotent, limits, host("a", 1))
	op := arrive(f)
	op.ClientDisconnected()
	if d := op.NextDecision(func() {}); d.Action != Drop || len(op.inFlight) > 0 {
		t.Errorf("decided %d, hops out %v", d.Action, op.inFlight)
	}
}

func TestClose(t *testing.T) {
	for name, steps := range map[string]func(*Request){
		"before a hop": func(*Request) {},
		"during a hop": func(op *Request) { op.NextDecision(func() {}) },
		"after its end": func(op *Request) {
			op.NextDecision(func() {})
			op.AttemptEnded(0, Succeeded, nil)
			op.NextDecision(func() {})
		},
		"after the leave": func(op *Request) { op.NextDecision(func() {}); op.ClientDisconnected() },
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet(t, policy.NonIdempotent, limits, host("a", 1))
			op := arrive(f)
			steps(op)
			op.Close()
			if n := f.Counts(); n.OpenRequests != 0 || len(op.inFlight) > 0 || n.Responded+n.Disconnected != 1 {
				t.Errorf("hops out %v, counted %+v", op.inFlight, n)
			}
		})
	}
}

func TestListedServers(t *testing.T) {
	with := func(h http1.Endpoint, change func(*http1.Endpoint)) http1.Endpoint {
		change(&h)
		return h
	}
	// These two ids have the same checksum.
	one, two := host("plumless", 1), host("buckeroo", 2)
	for name, c := range map[string]struct {
		lists []http1.EndpointList
		want  []uint16 // ports that hops go to
	}{
		"both":            {[]http1.EndpointList{listed(one, two)}, []uint16{1, 2}},
		"one drains":      {[]http1.EndpointList{listed(one, two), {Hosts: []http1.Endpoint{with(one, func(h *http1.Endpoint) { h.Phase = http1.Draining })}}}, []uint16{2}},
		"one is gone":     {[]http1.EndpointList{listed(one, two), {Hosts: []http1.Endpoint{{ID: one.ID, Phase: http1.Deleted}}}}, []uint16{2}},
		"one is not told": {[]http1.EndpointList{listed(one, two), listed(two)}, []uint16{2}},
		"one has moved":   {[]http1.EndpointList{listed(one, two), {Hosts: []http1.Endpoint{with(one, func(h *http1.Endpoint) { h.Address = host("", 9).Address })}}}, []uint16{2, 9}},
		"no changes":      {[]http1.EndpointList{listed(one, two), {}}, []uint16{1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet(t, policy.Idempotent, limits)
			for _, l := range c.lists {
				f.ApplyList(l, endpoints.SourceDiscovery)
			}
			got := map[uint16]bool{}
			for range 4 { // at the same time, so that one server is not enough
				op := arrive(f)
				if d := op.NextDecision(func() {}); d.Action == SendAttempt {
					got[d.Address.Port()] = true
				}
			}
			for _, p := range c.want {
				if !got[p] || len(got) != len(c.want) {
					t.Errorf("hops went to %v", got)
				}
			}
		})
	}
}

// Nodes that were told of the same servers in another order walk them alike.
func TestRotationIsShared(t *testing.T) {
	hosts := []http1.Endpoint{host("a", 1), host("b", 2), host("c", 3), host("d", 4), host("e", 5)}
	order := func(hosts []http1.Endpoint) (ports []uint16) {
		f := fleet(t, policy.Idempotent, limits, hosts...)
		for range hosts {
			d := arrive(f).NextDecision(func() {})
			ports = append(ports, d.Address.Port())
		}
		return ports
	}
	one := order(hosts)
	slices.Reverse(hosts)
	if other := order(hosts); !slices.Equal(one, other) {
		t.Errorf("walked %v and %v", one, other)
	}
}

func TestAskedAgain(t *testing.T) {
	f := fleet(t, policy.Idempotent, limits, host("a", 1)) // its settings do not say that the list must be asked for
	<-f.PollRequested()                                    // at the start
	f.DiscoveryFailed()
	<-f.PollRequested() // and after a failure, when the module says so
}

type closer struct {
	net.Conn
	name   string
	closed chan string
}

func (c *closer) Close() error {
	c.closed <- c.name
	return nil
}

func TestIdleConnections(t *testing.T) {
	for name, c := range map[string]struct {
		idle time.Duration // the settings' idle time
		do   func(*Dispatcher)
		back bool
	}{
		"used again":             {time.Hour, func(*Dispatcher) {}, true},
		"old":                    {0, func(*Dispatcher) {}, false},
		"old, and swept":         {0, (*Dispatcher).onTimer, false},
		"released by the module": {time.Hour, func(f *Dispatcher) { (*effectHandler)(f).CloseIdle("a") }, false},
		"its server drains": {time.Hour, func(f *Dispatcher) {
			f.ApplyList(http1.EndpointList{Hosts: []http1.Endpoint{{ID: "a", Phase: http1.Draining}}}, endpoints.SourceDiscovery)
		}, false},
		"its server has moved": {time.Hour, func(f *Dispatcher) {
			f.ApplyList(http1.EndpointList{Hosts: []http1.Endpoint{host("a", 7)}}, endpoints.SourceDiscovery)
		}, false},
		"the same list once more": {time.Hour, func(f *Dispatcher) { f.ApplyList(listed(host("a", 1)), endpoints.SourceDiscovery) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet(t, policy.Idempotent, limits, host("a", 1))
			f.settings.ConnIdle = c.idle
			free := f.budget.free
			f.AcquireServerDescriptor()
			conn := &closer{closed: make(chan string, 1)}
			f.PutIdle("a", false, http1.NewConn(conn))
			c.do(f)
			got := f.TakeIdle("a")
			if f.DiscoveryFailed(); (got != nil) != c.back || (len(conn.closed) == 0) != c.back || (f.budget.free == free) == c.back {
				t.Errorf("taken %v, closed %d times, %d of %d descriptors free", got != nil, len(conn.closed), f.budget.free, free)
			}
		})
	}
}

func TestConnectionsByLimits(t *testing.T) {
	for l, want := range map[Limits]int{
		{MemoryMB: 192, Sockets: 1024}: 1010,
		{MemoryMB: 192, Sockets: 100}:  86,
		{MemoryMB: 64, Sockets: 1024}:  416, // memory binds
		{MemoryMB: 32, Sockets: 256}:   160,
		{MemoryMB: 24, Sockets: 32}:    18,
		{MemoryMB: 1, Sockets: 1}:      minConnections,
	} {
		t.Run(fmt.Sprint(l), func(t *testing.T) {
			if got := l.MaxConnections(); got != want {
				t.Errorf("%d", got)
			}
		})
	}
}

// With all descriptors taken, room to accept is made by closing what is idle, never what is busy.
func TestRoom(t *testing.T) {
	l := Limits{MemoryMB: 192, Sockets: reservedDescriptors + minConnections}
	for name, c := range map[string]struct {
		idle, servers int // idle clients' and servers' connections, of leastSockets
		evicted       string
	}{
		"clients before servers": {2, 3, "client 0"},
		"never a server's":       {0, 3, ""},
		"nor what is theirs":     {0, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet(t, policy.Idempotent, l, host("a", 1))
			closed := make(chan string, minConnections)
			for i := range c.servers {
				if !f.AcquireServerDescriptor() {
					t.Fatal("no room for a server")
				}
				f.PutIdle("a", false, http1.NewConn(&closer{name: fmt.Sprint("server ", i), closed: closed}))
			}
			var first *Client
			for i := range minConnections - 3 { // the others are servers'
				f.AcquireClientDescriptor()
				if p := f.AddClient(http1.NewConn(&closer{name: fmt.Sprint("client ", i), closed: closed})); i < c.idle {
					p.ReadBlocked(false)
					p.hasSentRequest = true
					if i == 0 {
						first = p
					}
				}
			}
			admitted := make(chan struct{})
			go func() {
				f.AcquireClientDescriptor()
				close(admitted)
			}()
			if c.evicted == "" {
				f.ReleaseClientDescriptor() // one of the busy ends
			} else if got := <-closed; got != c.evicted {
				t.Errorf("closed %s", got)
			}
			if first != nil {
				if first.ReadReady() {
					t.Error("a closed connection may be used")
				}
				first.Release() // as its goroutine does
			}
			<-admitted
			if len(closed) != 0 {
				t.Errorf("also closed %s", <-closed)
			}
		})
	}
}

// What waits for a descriptor gets one as soon as a busy client has its answer, not only when one leaves.
func TestRoomByIdling(t *testing.T) {
	f := fleet(t, policy.Idempotent, Limits{MemoryMB: 192, Sockets: 1})
	closed := make(chan string, 1)
	var busy *Client
	for range minConnections - 3 {
		f.AcquireClientDescriptor()
		busy = f.AddClient(http1.NewConn(&closer{closed: closed}))
	}
	admitted := make(chan struct{})
	go func() {
		f.AcquireClientDescriptor()
		close(admitted)
	}()
	busy.RequestStarted()
	busy.RequestFinished()
	busy.ReadBlocked(false)
	<-closed
	<-admitted
}

// A client that sends half a first request makes room as one that is idle does, but not at once, nor one that has
// sent a whole request before.
func TestRoomFromHalves(t *testing.T) {
	for name, c := range map[string]struct {
		before, old bool
		want        bool
	}{
		"just begun":         {false, false, false},
		"begun long ago":     {false, true, true},
		"a later one":        {true, true, false},
		"a later, and young": {true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet(t, policy.Idempotent, limits)
			p := f.AddClient(http1.NewConn(&closer{closed: make(chan string, 1)}))
			if p.ReadBlocked(false); c.before {
				p.ReadReady()
				p.RequestStarted()
				p.RequestFinished()
				p.ReadBlocked(false)
			}
			p.ReadReady()
			if p.ReadBlocked(true); c.old {
				p.idleSince -= time.Minute
			}
			f.mu.Lock()
			got := f.evictIdleClient(firstRequestGrace)
			f.unlock()
			if got != c.want || p.ReadReady() == c.want {
				t.Errorf("closed for room %v, may go on %v", got, !c.want)
			}
		})
	}
}

// What was read of a connection is never met by a close for room, not even before its reader has said so: a node that
// stood still reads hundreds of requests at once while others are let in.
func TestRoomNotFromWhatWasRead(t *testing.T) {
	for name, before := range map[string]bool{"a first request": false, "a later one": true} {
		t.Run(name, func(t *testing.T) {
			f := fleet(t, policy.Idempotent, limits)
			nc, client := connpair.TCP(t)
			c := http1.NewPooled(nc, f.MessageBudget())
			p := f.AddClient(c)
			c.ObserveReads(p)
			p.ReadBlocked(false) // it has stood for long
			if p.hasSentRequest = before; p.ReadReady() {
				p.idleSince -= time.Minute
			}
			fmt.Fprint(client, "GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\n")
			if err := c.AwaitMessage(); err != nil {
				t.Fatal(err)
			}
			f.mu.Lock() // the reader has its bytes, and nothing of them is done yet
			got := f.evictIdleClient(firstRequestGrace)
			f.unlock()
			var req http1.Request
			if err := c.ReadRequest(&req); got || err != nil {
				t.Errorf("closed for room %v: %v", got, err)
			}
		})
	}
}

// asked counts the looks at a connection on which something has come.
type asked struct{ looks, closed int }

func (a *asked) Close() error    { a.closed++; return nil }
func (a *asked) HasUnread() bool { a.looks++; return true }

// A node that stood still has hundreds of connections with requests that its readers have not come to. Looking at all of
// them for each further one that is let in took half of its time, and it did not catch up.
func TestRoomLooksOnce(t *testing.T) {
	f := fleet(t, policy.Idempotent, limits)
	conn := &asked{}
	p := f.AddClient(conn)
	for wait := 1; wait <= 2; wait++ {
		p.ReadBlocked(false)
		p.idleSince -= time.Minute
		for range 3 {
			f.EvictIdle()
		}
		if conn.looks != wait || conn.closed > 0 || !p.ReadReady() {
			t.Errorf("looked at %d times in %d waits, closed %d times", conn.looks, wait, conn.closed)
		}
	}
}

// A connection that requests share may be closed for room only while its reader waits, nothing that was taken is open
// and no later request has come in part; in whichever order an answer and the next request come together.
func TestRoomFromShared(t *testing.T) {
	wait, half, came, taken, answered := "wait", "half", "came", "taken", "answered"
	for name, c := range map[string]struct {
		steps []string
		want  bool
	}{
		"new":                             {[]string{wait}, true},
		"something has come":              {[]string{wait, came}, false},
		"a first one in part":             {[]string{wait, came, half}, true},
		"taken":                           {[]string{wait, came, taken, wait}, false},
		"answered":                        {[]string{wait, came, taken, wait, answered}, true},
		"answered, and more has come":     {[]string{wait, came, taken, wait, came, answered}, false},
		"the next before the answer":      {[]string{wait, came, taken, wait, came, taken, answered, wait}, false},
		"the next ahead of the last step": {[]string{wait, came, taken, wait, came, taken, wait, answered}, false},
		"both answered":                   {[]string{wait, came, taken, wait, came, taken, wait, answered, answered}, true},
		"a later one in part":             {[]string{wait, came, taken, wait, answered, came, half}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet(t, policy.Idempotent, limits)
			p := f.AddClient(http1.NewConn(&closer{closed: make(chan string, 1)}))
			for _, step := range c.steps {
				switch step {
				case wait, half:
					p.ReadBlocked(step == half)
				case came:
					p.ReadReady()
				case taken:
					p.RequestStarted()
				case answered:
					p.RequestFinished()
				}
			}
			p.idleSince -= time.Minute
			f.mu.Lock()
			got := f.evictIdleClient(firstRequestGrace)
			f.unlock()
			if got != c.want || p.ReadReady() == c.want {
				t.Errorf("closed for room %v", got)
			}
		})
	}
}

// At a stop nothing presses: a client that is slow to ask for the first time is waited for longer than when room is wanted.
func TestStopIsPatient(t *testing.T) {
	f := fleet(t, policy.Idempotent, limits)
	closed := make(chan string, 2)
	p := f.AddClient(http1.NewConn(&closer{closed: closed}))
	p.ReadBlocked(false)
	p.idleSince -= 5 * firstRequestGrace
	if f.CloseIdleClients(); len(closed) > 0 {
		t.Error("closed at once")
	}
	p.idleSince -= firstRequestGraceAtStop
	if f.CloseIdleClients(); len(closed) != 1 {
		t.Error("never closed")
	}
}

// A client that leaves while it is idle gives its descriptor back once.
func TestRoomGivenBackOnce(t *testing.T) {
	f := fleet(t, policy.Idempotent, limits)
	f.AcquireClientDescriptor()
	p := f.AddClient(http1.NewConn(&closer{closed: make(chan string, 1)}))
	p.ReadBlocked(false)
	p.hasSentRequest = true
	p.Release()
	if f.EvictIdle(); f.budget.free != f.budget.total {
		t.Errorf("%d free of %d", f.budget.free, f.budget.total)
	}
}

// Servers replaced for ever, each at the address of the one before, which discovery tells to have gone only later.
func TestReplacedServers(t *testing.T) {
	f := fleet(t, policy.Idempotent, limits, host("first", 1))
	closed := make(chan string, 100)
	for i := range 100 {
		id, before := fmt.Sprint("next ", i), "first"
		if i > 0 {
			before = fmt.Sprint("next ", i-1)
		}
		f.AcquireServerDescriptor()
		f.PutIdle(before, false, http1.NewConn(&closer{name: before, closed: closed}))
		f.ApplyList(http1.EndpointList{Hosts: []http1.Endpoint{host(id, 1)}}, endpoints.SourceDiscovery)
		if got := <-closed; got != before || f.TakeIdle(before) != nil {
			t.Fatalf("closed %s, not %s", got, before)
		}
		op := arrive(f)
		if d := op.NextDecision(func() {}); d.Server != id {
			t.Fatalf("sent to %s after %s came", d.Server, id)
		}
		op.AttemptEnded(0, Succeeded, nil)
		op.NextDecision(nil)
		gone := host(before, 1)
		gone.Phase = http1.Deleted
		f.ApplyList(http1.EndpointList{Hosts: []http1.Endpoint{gone}}, endpoints.SourceDiscovery)
	}
	if len(f.servers.byID) != 1 {
		t.Errorf("%d servers are known", len(f.servers.byID))
	}
}

// Clients that ask once and stay do not use up what others need.
func TestCrowded(t *testing.T) {
	f := fleet(t, policy.Idempotent, Limits{MemoryMB: 192, Sockets: reservedDescriptors + minConnections})
	var clients []*Client
	for i := range 5 {
		p := f.AddClient(http1.NewConn(&closer{closed: make(chan string, 1)}))
		p.ReadBlocked(false)
		if i > 0 { // the first has asked nothing yet
			p.ReadReady()
			p.RequestStarted()
			p.RequestFinished()
			p.ReadBlocked(false)
		}
		if clients = append(clients, p); f.HasTooManyIdleClients() != (i > minConnections/idleClientDivisor) {
			t.Errorf("crowded %v after %d", f.HasTooManyIdleClients(), i)
		}
	}
	clients[1].ReadReady()
	clients[2].Release()
	clients[3].ReadReady()
	if f.budget.idleAfterRequest != 1 || f.HasTooManyIdleClients() {
		t.Errorf("%d are kept", f.budget.idleAfterRequest)
	}
}

// A server may close just behind its answer: of two idle connections the one that has seen this pass is taken.
func TestTakesTheSettled(t *testing.T) {
	for name, c := range map[string]struct {
		ages []time.Duration // in the order of use
		want string
	}{
		"the latest of the old":    {[]time.Duration{2 * time.Second, time.Second}, "1"},
		"not the one just used":    {[]time.Duration{2 * time.Second, time.Second, 0}, "1"},
		"the oldest of the young":  {[]time.Duration{time.Millisecond, 0}, "0"},
		"one just used, but alone": {[]time.Duration{0}, "0"},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet(t, policy.Idempotent, limits, host("a", 1))
			for i, age := range c.ages {
				f.AcquireServerDescriptor()
				f.PutIdle("a", false, http1.NewConn(&closer{name: fmt.Sprint(i)}))
				f.servers.byID["a"].idle[i].since -= age
			}
			if got := f.TakeIdle("a").(*http1.Conn).Conn.(*closer).name; got != c.want {
				t.Errorf("took %s", got)
			}
		})
	}
}

// A client that leaves ends a hop that is not written yet, such as a connect; one that is written goes on for what it tells,
// until others have no place.
func TestLeavingGivesUpWhatIsNotWritten(t *testing.T) {
	for name, written := range map[string]bool{"on its way": false, "written": true} {
		t.Run(name, func(t *testing.T) {
			f := fleet(t, policy.NonIdempotent, Limits{}, host("a", 1))
			given := 0
			var hops []int
			var ops []*Request
			for op := arrive(f); op != nil; op = arrive(f) {
				d := op.NextDecision(func() { given++ })
				if written && (d.Action != SendAttempt || !op.BeginWrite(d.Attempt)) {
					t.Fatalf("decided %d, not to be written", d.Action)
				}
				ops, hops = append(ops, op), append(hops, d.Attempt)
			}
			for _, op := range ops {
				op.ClientDisconnected()
			}
			if want := map[bool]int{true: 0, false: len(ops)}[written]; given != want {
				t.Errorf("%d hops of %d given up", given, len(ops))
			}
			if arrive(f) != nil || given < len(ops) {
				t.Errorf("with no place for another, %d hops of %d are given up", given, len(ops))
			}
			for i, op := range ops {
				if op.BeginWrite(hops[i]) {
					t.Error("still to be written")
				}
				op.AttemptEnded(hops[i], Abandoned, nil)
				if d := op.NextDecision(func() {}); d.Action != Drop {
					t.Errorf("decided %d", d.Action)
				}
			}
			if arrive(f) == nil {
				t.Error("there is still no place")
			}
		})
	}
}

// An id is free again as soon as its operation is answered, also while a hop is out.
func TestOpenIDs(t *testing.T) {
	f := fleet(t, policy.NonIdempotent, limits, host("a", 1))
	take := func(id string) (*Request, error) {
		return f.Submit(Arrival{ID: []byte(id), RouteIndex: -1, Timeout: time.Hour})
	}
	first, _ := take("x")
	first.NextDecision(func() {})
	if _, err := take("x"); err != ErrDuplicateID {
		t.Errorf("taken twice: %v", err)
	}
	if _, err := take("y"); err != nil {
		t.Errorf("another is not taken: %v", err)
	}
	first.ClientDisconnected()
	if _, err := take("x"); err != nil {
		t.Errorf("not taken again: %v", err)
	}
}

// Operations and connections to servers are bounded, so that there is room to accept and to deny.
func TestShares(t *testing.T) {
	f := fleet(t, policy.Idempotent, Limits{MemoryMB: 192, Sockets: reservedDescriptors + 10}, host("a", 1))
	n := 0
	for f.AcquireServerDescriptor() {
		n++
	}
	var op *Request
	for range 4 {
		if op = arrive(f); op == nil {
			t.Fatal("not taken")
		}
	}
	if n != 4 || arrive(f) != nil {
		t.Errorf("%d connections, or one operation too many", n)
	}
	op.ClientDisconnected()
	op.NextDecision(func() {})
	if arrive(f) == nil {
		t.Error("not taken after another's end")
	}
	if f.ReleaseServerDescriptor(); !f.AcquireServerDescriptor() {
		t.Error("what was given back cannot be had")
	}
}
