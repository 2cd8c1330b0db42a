package proxy

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/proxy/engine"
	"fernvane/internal/route"
	"fernvane/policy"
)

func routes(t testing.TB, cfg *Config, text string) *route.Table {
	t.Helper()
	table, err := route.Parse("f", []byte(text), &cfg.Settings)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

const checks = "[[routes]]\nname = \"checks\"\ntype = \"check\"\n"

// Requests are matched with routes, whose limits apply to them.
func TestRoutes(t *testing.T) {
	t.Parallel()
	const err500 = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		file     string
		script   []string
		requests []string // path, and a body after a space
		want     []int
	}{
		"no more than its rate":   {checks + "rate = 0.001\nburst = 2", []string{okResponse}, []string{"/check/1", "/check/1", "/check/1", "/book/1"}, []int{200, 200, 503, 200}},
		"no larger body":          {checks + "body_bytes = 3", []string{okResponse}, []string{"/check/1 abc", "/check/1 abcd"}, []int{200, 413}},
		"a retry":                 {checks + "hops = 2", []string{err500, okResponse}, []string{"/check/1"}, []int{200}},
		"no retry":                {checks + "hops = 1", []string{err500, okResponse}, []string{"/check/1"}, []int{503}},
		"not after an error":      {checks + "further = [\"refused\"]", []string{err500, okResponse}, []string{"/check/1"}, []int{503}},
		"a class for other paths": {"[[routes]]\nname = \"old\"\npath = \"/legacy/**\"\nclass = \"book\"\nrate = 0.001\nburst = 1", []string{okResponse}, []string{"/legacy/x", "/legacy/y", "/other/x"}, []int{200, 503, 404}},
		"a fallback":              {checks + "rate = 0.001\nburst = 1\nfallback = \"rest\"\n[[routes]]\nname = \"rest\"\npath = \"/check/rest/**\"\nrate = 0.001\nburst = 1", []string{okResponse}, []string{"/check/1", "/check/1", "/check/1"}, []int{200, 200, 503}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			serverEndpoints, _ := servers(t, 3, c.script...)
			cfg := config(serverEndpoints...)
			cfg.Routes = routes(t, &cfg, c.file)
			at, _ := startNode(t, cfg)
			for i, request := range c.requests {
				path, body, _ := strings.Cut(request, " ")
				conn := dial(t, at)
				fmt.Fprintf(conn, "PUT %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\nContent-Length: %d\r\n\r\n%s", path, ids.Add(1), len(body), body)
				if r := readReply(t, conn); r.Status != c.want[i] {
					t.Errorf("%s: got status %d, want %d", request, r.Status, c.want[i])
				}
			}
		})
	}
}

// The first server does not respond. The hedged request gets the answer, the first attempt is abandoned, and the close of its connection
// notifies its server.
func TestHedgedRequest(t *testing.T) {
	t.Parallel()
	testHedgedRequest(t, checks+"copy_after = \"60ms\"\ncopy_share = 1.0", 1)
}

// The route of a request has no hedging, but the fallback that admits the request does: the node ended with a nil dereference.
func TestHedgedRequestOfFallback(t *testing.T) {
	t.Parallel()
	testHedgedRequest(t, checks+"rate = 0.001\nburst = 1\nfallback = \"rest\"\n"+
		"[[routes]]\nname = \"rest\"\npath = \"/check/rest/**\"\ncopy_after = \"60ms\"\ncopy_share = 1.0", 2)
}

// testHedgedRequest sends requests under the routes of an operator's file until the one of the given number, counted from 1, which the
// server that receives it first does not answer.
func testHedgedRequest(t *testing.T, file string, unanswered int32) {
	var received atomic.Int32
	disconnected := make(chan bool, 1)
	serve := func(nc net.Conn) {
		defer nc.Close()
		c := http1.NewConn(nc)
		var r http1.Request
		for c.ReadRequest(&r) == nil {
			if received.Add(1) == unanswered {
				disconnected <- c.WaitDisconnected()
				return
			}
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(r.Target)+len(r.Body), r.Target, r.Body)
		}
	}
	cfg := config(http1.Endpoint{ID: "a", Address: standIn(t, serve), Weight: 1}, http1.Endpoint{ID: "b", Address: standIn(t, serve), Weight: 1})
	cfg.Settings.HedgingAllowed = true
	cfg.Settings.TrafficTypes[0].LatencyObjective, cfg.Settings.TrafficTypes[0].ClientTimeout = 20*time.Second, 30*time.Second
	cfg.Routes = routes(t, &cfg, file)
	at, _ := startNode(t, cfg)
	conn := dial(t, at)
	for range unanswered - 1 {
		if r := get(t, conn, "/check/0"); r.Status != 200 {
			t.Fatalf("request before: got status %d, want 200", r.Status)
		}
	}
	fmt.Fprintf(conn, "PUT /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\nContent-Length: 4\r\n\r\nbody", ids.Add(1))
	if r := readReply(t, conn); r.Status != 200 || string(r.Body) != "/check/1body" {
		t.Errorf("got status %d, body %q, want 200 with path and body of the request", r.Status, r.Body)
	}
	if !<-disconnected {
		t.Error("first server received more bytes, want a closed connection")
	}
	if r := get(t, conn, "/book/1"); r.Status != 200 { // the client's connection stays usable
		t.Errorf("next request: got status %d, want 200", r.Status)
	}
}

// A reload reads the routes again. An invalid file leaves the old routes in effect, and requests that wait in a route that is removed are
// answered.
func TestRoutesReload(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	var received atomic.Int32
	at := standIn(t, func(nc net.Conn) {
		defer nc.Close()
		c := http1.NewConn(nc)
		for c.ReadRequest(&http1.Request{}) == nil {
			received.Add(1)
			<-release
			io.WriteString(nc, okResponse)
		}
	})
	cfg := config(http1.Endpoint{ID: "s", Address: at, Weight: 1})
	for i := range cfg.Settings.TrafficTypes {
		cfg.Settings.TrafficTypes[i].LatencyObjective, cfg.Settings.TrafficTypes[i].ClientTimeout = 20*time.Second, 30*time.Second
	}
	cfg.OperatorFile = filepath.Join(t.TempDir(), "operator.toml")
	file := func(text string) {
		if err := os.WriteFile(cfg.OperatorFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const requestCount = 20
	file(checks + fmt.Sprintf("at_once = 1\nwaiting = %d\nwait = \"10s\"", requestCount-1))
	var err error
	if cfg.Routes, err = route.Load(cfg.OperatorFile, &cfg.Settings); err != nil {
		t.Fatal(err)
	}
	s := &Server{cfg: cfg, logger: zerolog.Nop(), dispatcher: dispatch.New(cfg.Settings, 1, cfg.Limits, engine.NewPolicy)}
	defer s.dispatcher.Stop()
	s.dispatcher.SetRoutes(cfg.Routes)
	s.applyInitialList()
	statuses := make(chan int, requestCount)
	send := func() int {
		server := standIn(t, func(nc net.Conn) { s.serveHTTPConn(nc.(*net.TCPConn)) })
		return get(t, dial(t, server.String()), "/check/1").Status
	}
	for range requestCount {
		go func() { statuses <- send() }()
	}
	for s.dispatcher.Counts().OpenRequests < requestCount { // one is sent, the others wait
		time.Sleep(time.Millisecond)
	}
	if got := send(); got != 503 {
		t.Errorf("request beyond the queue: got status %d, want 503", got)
	}
	file("[[routes]]\nname = ")
	s.reloadRoutes()
	if got := send(); got != 503 {
		t.Errorf("after an invalid file: got status %d, want 503", got)
	}
	for received.Load() == 0 { // until the admitted request was sent
		time.Sleep(time.Millisecond)
	}
	if n := received.Load(); n != 1 {
		t.Errorf("got %d requests sent, want 1", n)
	}
	file("")
	s.reloadRoutes()
	close(release)
	for range requestCount {
		if got := <-statuses; got != 200 {
			t.Errorf("request that waited in the removed route: got status %d, want 200", got)
		}
	}
	if got := send(); got != 200 {
		t.Errorf("without routes: got status %d, want 200", got)
	}
}

// limitsChecker is a decision module that checks at each arrival that the limits are those of the file that the request was matched with.
// The timeout of the request, in hours, is the number of attempts that the file allows.
type limitsChecker struct {
	t     *testing.T
	types []policy.TrafficType
}

func (m *limitsChecker) Handle(_ time.Duration, in *policy.Input, e []policy.Effect) []policy.Effect {
	switch in.Kind {
	case policy.TrafficTypesChanged:
		m.types = in.TrafficTypes
	case policy.RequestArrived:
		if got := m.types[in.TrafficType].MaxAttempts; got != int(in.Timeout/time.Hour) {
			m.t.Errorf("request matched with a file that allows %d attempts, got a limit of %d attempts", in.Timeout/time.Hour, got)
		}
		return append(e, policy.Effect{Kind: policy.Reject, Request: in.Request})
	}
	return e
}

// Routes are replaced continuously while requests arrive. No request is matched with one file and limited by another.
func TestRoutesAndLimitsOfOneFile(t *testing.T) {
	t.Parallel()
	cfg := config()
	dispatcher := dispatch.New(cfg.Settings, 1, cfg.Limits, func(s policy.Settings, _ uint32) engine.Decider { return &limitsChecker{t: t, types: s.TrafficTypes} })
	defer dispatcher.Stop()
	var tables []*route.Table
	attemptLimits := map[*route.Table]int{}
	for n := 1; n <= 4; n++ {
		table := routes(t, &cfg, checks+fmt.Sprintf("hops = %d", n))
		tables, attemptLimits[table] = append(tables, table), n
	}
	dispatcher.SetRoutes(tables[0])
	done := make(chan struct{})
	var wg sync.WaitGroup
	rematched := atomic.Int64{}
	for range 4 {
		wg.Go(func() {
			for n := 0; n < 3000; n++ {
				table := dispatcher.Routes()
				routeIndex, trafficType := table.Match(&route.Request{Path: []byte("/check/1")})
				request, err := dispatcher.Submit(dispatch.Arrival{ID: fmt.Append(nil, ids.Add(1)), Routes: table, RouteIndex: routeIndex, TrafficType: trafficType, Timeout: time.Duration(attemptLimits[table]) * time.Hour})
				if err == dispatch.ErrRoutesChanged {
					rematched.Add(1)
				} else if err == nil {
					request.NextDecision(func() {})
				}
			}
		})
	}
	go func() { wg.Wait(); close(done) }()
	for i := 0; ; i++ {
		select {
		case <-done:
			t.Logf("%d files applied, %d requests matched again", i, rematched.Load())
			return
		default:
			dispatcher.SetRoutes(tables[i%len(tables)])
		}
	}
}
