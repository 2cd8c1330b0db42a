package load

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/testbed/scenario"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func parseScenario(t *testing.T, more string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("x.toml", []byte("name = \"x\"\nbase = \"calm\"\n"+more))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// The expected counts were calculated by hand from the rate and shape of the load.
func TestPlan(t *testing.T) {
	for name, c := range map[string]struct {
		more       string
		width      time.Duration
		want       []int
		deviations float64 // allowed, in standard deviations of a Poisson count; 0: exact
	}{
		"20,000 requests per second": {"length=\"1s\"\n[load]\nrate=20000\nshape=\"constant\"", 100 * time.Millisecond, []int{2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000}, 0},
		"bursts":                     {"length=\"2s\"\n[load]\nrate=1000\nshape=\"bursts\"\nswing=0.5\nperiod=\"2s\"", time.Second, []int{1500, 500}, 5},
		"ramp":                       {"length=\"4s\"\n[load]\nrate=1000\nshape=\"ramp\"\nswing=0.4", time.Second, []int{700, 900, 1100, 1300}, 5},
		"wave":                       {"length=\"2s\"\n[load]\nrate=1000\nshape=\"wave\"\nswing=0.5\nperiod=\"2s\"", time.Second, []int{1318, 682}, 5},
		"overload":                   {"length=\"3s\"\n[load]\nrate=1000\nshape=\"constant\"\n[[faults]]\nkind=\"overload\"\nat=\"1s\"\nfor=\"1s\"\nsize=3", time.Second, []int{1000, 3000, 1000}, 0},
		"shrinking traffic":          {"length=\"3s\"\n[load]\nrate=1000\nshape=\"constant\"\n[[faults]]\nkind=\"shrink\"\nat=\"1s\"\nfor=\"1s\"\nsize=0.5", time.Second, []int{1000, 750, 500}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := parseScenario(t, c.more)
			got := CountPerBin(Plan(s), c.width)
			if len(got) != len(c.want) {
				t.Fatalf("got %d bins: %v", len(got), got)
			}
			for i, want := range c.want {
				if slack := max(c.deviations*math.Sqrt(float64(want)), 1); math.Abs(float64(got[i]-want)) > slack {
					t.Errorf("bin %d: got %d requests, want %d", i, got[i], want)
				}
			}
		})
	}
}

func TestPlanShares(t *testing.T) {
	s := parseScenario(t, "length=\"20s\"\n[load]\nrate=2000\nkeys=100\nzipf=1.0\nskew=0.2\n[[faults]]\nkind=\"hot-key\"\nat=\"10s\"\nfor=\"10s\"\nshare=0.25")
	requests := Plan(s)
	n := float64(len(requests))
	var firstType, firstSite, firstTenant, firstKey, hotKey, duringFault, work float64
	for _, r := range requests {
		add := func(sum *float64, isCounted bool) {
			if isCounted {
				*sum++
			}
		}
		add(&firstType, r.Type == 0)
		add(&firstSite, r.Site == 0)
		add(&firstTenant, r.Tenant == 0)
		add(&firstKey, r.Key == 1 && r.At < 10*time.Second)
		add(&hotKey, r.Key == 101)
		add(&duringFault, r.At >= 10*time.Second)
		if r.Type == 1 {
			work += r.Work.Seconds()
		}
	}
	harmonic := 0.0
	for k := 1; k <= 100; k++ {
		harmonic += 1 / float64(k)
	}
	for name, c := range map[string]struct{ got, want float64 }{
		"type":   {firstType / n, 0.67},
		"site":   {firstSite / n, 0.4}, // a skew of 0.2 and a quarter of the rest
		"tenant": {firstTenant / n, 0.48},
		"key":    {firstKey / (n - duringFault), 1 / harmonic},
		"hot":    {hotKey / duringFault, 0.25},
		"work":   {work / (n - firstType), 0.066},
	} {
		if math.Abs(c.got-c.want) > 0.03*c.want+0.004 {
			t.Errorf("%s: got %.4f, want %.4f", name, c.got, c.want)
		}
	}
}

// An allowance of 100 per second admits a burst of 100 requests and then 100 per second; requests beyond it are marked.
func TestAllowance(t *testing.T) {
	s := parseScenario(t, "length=\"4s\"\n[load]\nrate=400\nshape=\"constant\"\n[[tenants]]\nname=\"a\"\nshare=1\nallowance=100")
	within := 0
	for _, r := range Plan(s) {
		if !r.OverAllowance {
			within++
		}
	}
	if math.Abs(float64(within)-500) > 2 {
		t.Errorf("got %d requests within the allowance, want 500", within)
	}
}

func TestSameSeedSameTrace(t *testing.T) {
	s := parseScenario(t, "length=\"2s\"")
	var a, b, c bytes.Buffer
	WriteTrace(&a, s, Plan(s))
	WriteTrace(&b, s, Plan(s))
	if !bytes.Equal(a.Bytes(), b.Bytes()) {
		t.Error("got different plans for the same seed")
	}
	requests, err := ReadTrace(bytes.NewReader(a.Bytes()), "t.csv", false, s)
	if err != nil {
		t.Fatal(err)
	}
	if WriteTrace(&c, s, requests); !bytes.Equal(a.Bytes(), c.Bytes()) {
		t.Error("got a different trace after reading and writing it")
	}
	s.Seed++
	c.Reset()
	if WriteTrace(&c, s, Plan(s)); bytes.Equal(a.Bytes(), c.Bytes()) {
		t.Error("got the same plan for another seed")
	}
}

func TestBadTraces(t *testing.T) {
	s := parseScenario(t, "")
	const head = "at_ms,type,tenant,site,key,work_ms\n1,hire-check,dairy,north,3,5\n"
	for name, c := range map[string]struct {
		text string
		json bool
		want string
	}{
		"unknown type":             {head + "2,hire-dance,,,0,5\n", false, "t:3: no type \"hire-dance\""},
		"too few fields":           {head + "2,hire-check\n", false, "t:3: wrong number of fields"},
		"negative time":            {head + "-1,hire-check,,,0,5\n", false, "t:3: at_ms"},
		"time not a number":        {head + "soon,hire-check,,,0,5\n", false, "t:3: "},
		"no header":                {"1,hire-check,,,0,5\n", false, "t:1: invalid header, want at_ms"},
		"no requests":              {"at_ms,type,tenant,site,key,work_ms\n", false, "trace contains no requests"},
		"JSON cut off":             {"{\"at_ms\":1,\"type\":\"hire-check\"}\n\n{\"at_ms\":", true, "t:3: "},
		"JSON without time":        {"{\"type\":\"hire-check\"}\n", true, "t:1: at_ms"},
		"JSON with an unknown key": {"{\"at_ms\":1,\"typ\":\"hire-check\"}\n", true, "t:1: "},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ReadTrace(strings.NewReader(c.text), "t", c.json, s)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v", err)
			}
		})
	}
}

// startServer starts a server that calls respond for each request, with the request's number from 1. The server closes the
// connection if respond returns false.
func startServer(t *testing.T, respond func(net.Conn, *http1.Request, int) bool) FixedEndpoint {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	n := 0
	var wg sync.WaitGroup
	t.Cleanup(func() { ln.Close(); wg.Wait() })
	wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer nc.Close()
				c := http1.NewConn(nc)
				var req http1.Request
				for c.ReadRequest(&req) == nil {
					mu.Lock()
					n++
					k := n
					mu.Unlock()
					if !respond(nc, &req, k) {
						return
					}
				}
			})
		}
	})
	return FixedEndpoint(ln.Addr().String())
}

func writeResponse(c net.Conn, status int, body string) bool {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	return true
}

// Tests the outcome of one request for different responses of the node. The client's timeout is 450 ms for a check and
// 900 ms for a booking; the latency objectives are 200 ms and 500 ms.
func TestOutcomes(t *testing.T) {
	echoID := func(c net.Conn, r *http1.Request) bool { return writeResponse(c, 200, string(r.Get(http1.RequestID))) }
	for name, c := range map[string]struct {
		kind    string
		respond func(net.Conn, *http1.Request, int) bool
		want    Outcome
		tries   int
		end     func(Try) bool
	}{
		"handled": {"hire-book", func(c net.Conn, r *http1.Request, n int) bool { return echoID(c, r) }, Handled, 1, nil},
		"rejected, then handled": {"hire-book", func(c net.Conn, r *http1.Request, n int) bool {
			return n == 1 && writeResponse(c, 503, "") || echoID(c, r)
		}, Handled, 2, nil},
		"rejected on each try":  {"hire-book", func(c net.Conn, r *http1.Request, n int) bool { return writeResponse(c, 429, "") }, Rejected, 3, nil},
		"non-idempotent failed": {"hire-book", func(c net.Conn, r *http1.Request, n int) bool { return writeResponse(c, 502, "") }, Failed, 1, nil},
		"idempotent failed":     {"hire-check", func(c net.Conn, r *http1.Request, n int) bool { return writeResponse(c, 502, "") }, Failed, 3, nil},
		"no response":           {"hire-book", func(c net.Conn, r *http1.Request, n int) bool { return true }, NoAnswer, 1, func(t Try) bool { return t.End == Unanswered }},
		"response cut off": {"hire-book", func(c net.Conn, r *http1.Request, n int) bool { c.Write([]byte("HTTP/1.1 200 OK\r\n")); return false }, Failed, 1,
			func(t Try) bool { return t.End == Dropped }},
		"response of another request": {"hire-book", func(c net.Conn, r *http1.Request, n int) bool { return writeResponse(c, 200, "0123") }, Handled, 1, func(t Try) bool { return t.IsForeign }},
		"two responses": {"hire-book", func(c net.Conn, r *http1.Request, n int) bool {
			a := "HTTP/1.1 200 X\r\nContent-Length: 16\r\n\r\n" + string(r.Get(http1.RequestID))
			c.Write([]byte(a + a))
			return true
		}, Handled, 1, func(t Try) bool { return t.HasExtra }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := parseScenario(t, "length=\"1s\"")
			kind := 0
			if c.kind == "hire-book" {
				kind = 1
			}
			tries := &tryRecorder{}
			g := &Generator{Scenario: s, Requests: []Request{{Type: kind}}, ChecksIDs: true}
			g.Run(context.Background(), time.Now(), startServer(t, c.respond), tries)
			if g.Tries != c.tries || g.Outcomes[c.want] != 1 {
				t.Errorf("got %d tries and outcomes %v", g.Tries, g.Outcomes)
			}
			if last := tries.all[len(tries.all)-1]; c.end != nil && !c.end(last) {
				t.Errorf("got last try %+v", last)
			}
		})
	}
}

// tryRecorder is a Watcher that records the ended tries.
type tryRecorder struct {
	NopWatcher
	mu  sync.Mutex
	all []Try
}

func (r *tryRecorder) Ended(t *Try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, *t)
}

// A request is sent again if the node closes the idle connection while the request is sent.
func TestCloseOfIdleConnection(t *testing.T) {
	closed := make(chan struct{}, 1)
	at := startServer(t, func(c net.Conn, r *http1.Request, n int) bool {
		writeResponse(c, 200, string(r.Get(http1.RequestID)))
		if n == 1 { // stops reading requests, though the connection still looks open
			c.Read(make([]byte, 1))
			closed <- struct{}{}
			return false
		}
		return true
	})
	s := parseScenario(t, "length=\"1s\"")
	g := &Generator{Scenario: s, Requests: []Request{{}, {At: 50 * time.Millisecond}}, ChecksIDs: true}
	g.Run(context.Background(), time.Now(), at, NopWatcher{})
	if <-closed; g.Outcomes[Handled] != 2 || g.Tries != 2 {
		t.Errorf("got outcomes %v after %d tries, want 2 handled requests after 2 tries", g.Outcomes, g.Tries)
	}
}

// Guards against counting a request as dropped by the node if the node closed the connection unread and the client had no
// time left to send the request again.
func TestCloseOfIdleConnectionAfterDeadline(t *testing.T) {
	s := parseScenario(t, "length=\"1s\"")
	s.Clients.Retries, s.Rules.Slack = 0, scenario.Duration(10*time.Second)
	at := startServer(t, func(c net.Conn, r *http1.Request, n int) bool {
		writeResponse(c, 200, string(r.Get(http1.RequestID)))
		c.Read(make([]byte, 1))
		time.Sleep(s.Types[0].AbandonTime.Std() + 50*time.Millisecond) // the client's timeout has expired
		return false
	})
	tries := &tryRecorder{}
	g := &Generator{Scenario: s, Requests: []Request{{}, {At: 50 * time.Millisecond}}, ChecksIDs: true}
	g.Run(context.Background(), time.Now(), at, tries)
	if last := tries.all[len(tries.all)-1]; len(tries.all) != 2 || last.End != Unsent {
		t.Errorf("got %d tries, the last one %+v, want 2 tries, the last one unsent", len(tries.all), last)
	}
}

// A generator that stalls for 300 ms reports its lateness, and the measured latencies include the stall.
func TestStallIsReported(t *testing.T) {
	s := parseScenario(t, "length=\"1s\"\n[load]\nrate=500\nshape=\"constant\"")
	at := startServer(t, func(c net.Conn, r *http1.Request, n int) bool { return writeResponse(c, 200, "") })
	const stall = 300 * time.Millisecond
	once := sync.Once{}
	g := &Generator{Scenario: s, Requests: Plan(s), Stall: func(at time.Duration) (d time.Duration) {
		if at > 400*time.Millisecond {
			once.Do(func() { d = stall })
		}
		return d
	}}
	late := g.Run(context.Background(), time.Now(), at, NopWatcher{})
	if !late.IsBehind || late.Max < stall*9/10 || late.LateShare < 0.2 {
		t.Errorf("got lateness %+v, want a generator that is behind, a maximum of at least 270ms and a late share of at least 0.2", late)
	}
	if worst := time.Duration(g.ByType[0].Latency.Max()) * time.Microsecond; worst < stall*9/10 {
		t.Errorf("got maximum latency %s, want at least 270ms", worst)
	}
}

// At 20,000 requests per second, the requests started in each bin of 100 ms match the schedule. On a busy machine a bin may
// differ, but only if requests started late.
func TestPaceAt20000PerSecond(t *testing.T) {
	s := parseScenario(t, "length=\"1s\"\n[load]\nrate=20000\nshape=\"constant\"")
	var mu sync.Mutex
	var started [10]int
	var late []time.Duration
	requests := Plan(s)
	start := time.Now()
	pace(start, requests, nil, nil, func(i int) {
		at := time.Since(start)
		mu.Lock()
		late = append(late, at-requests[i].At)
		started[min(int(at/(100*time.Millisecond)), 9)]++
		mu.Unlock()
	})
	behind := 0
	for _, d := range late {
		if d > time.Millisecond {
			behind++
		}
	}
	if len(late) != 20000 {
		t.Fatalf("got %d started requests, want 20000", len(late))
	}
	for i, n := range started {
		if n < 1980 || n > 2020 {
			if behind == 0 {
				t.Errorf("bin %d: got %d requests, want 1980 to 2020 because none was late", i, n)
			}
			t.Logf("bin %d: got %d requests; %d of 20,000 were late by more than 1 ms", i, n, behind)
		}
	}
}
