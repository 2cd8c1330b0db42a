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

func play(t *testing.T, more string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("x.toml", []byte("name = \"x\"\nbase = \"calm\"\n"+more))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// The schedule is checked against figures worked out by hand, not by the code that drew it.
func TestPlan(t *testing.T) {
	for name, c := range map[string]struct {
		more  string
		width time.Duration
		want  []int
		off   float64 // in standard deviations of a Poisson count; 0: exact
	}{
		"20,000 a second":   {"length=\"1s\"\n[load]\nrate=20000\nshape=\"constant\"", 100 * time.Millisecond, []int{2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000, 2000}, 0},
		"bursts":            {"length=\"2s\"\n[load]\nrate=1000\nshape=\"bursts\"\nswing=0.5\nperiod=\"2s\"", time.Second, []int{1500, 500}, 5},
		"a ramp":            {"length=\"4s\"\n[load]\nrate=1000\nshape=\"ramp\"\nswing=0.4", time.Second, []int{700, 900, 1100, 1300}, 5},
		"a wave":            {"length=\"2s\"\n[load]\nrate=1000\nshape=\"wave\"\nswing=0.5\nperiod=\"2s\"", time.Second, []int{1318, 682}, 5},
		"overload":          {"length=\"3s\"\n[load]\nrate=1000\nshape=\"constant\"\n[[faults]]\nkind=\"overload\"\nat=\"1s\"\nfor=\"1s\"\nsize=3", time.Second, []int{1000, 3000, 1000}, 0},
		"traffic that fell": {"length=\"3s\"\n[load]\nrate=1000\nshape=\"constant\"\n[[faults]]\nkind=\"shrink\"\nat=\"1s\"\nfor=\"1s\"\nsize=0.5", time.Second, []int{1000, 750, 500}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := play(t, c.more)
			got := Bins(Plan(s), c.width)
			if len(got) != len(c.want) {
				t.Fatalf("%d bins: %v", len(got), got)
			}
			for i, want := range c.want {
				if slack := max(c.off*math.Sqrt(float64(want)), 1); math.Abs(float64(got[i]-want)) > slack {
					t.Errorf("bin %d holds %d, not %d", i, got[i], want)
				}
			}
		})
	}
}

func TestSharesOfThePlan(t *testing.T) {
	s := play(t, "length=\"20s\"\n[load]\nrate=2000\nkeys=100\nzipf=1.0\nskew=0.2\n[[faults]]\nkind=\"hot-key\"\nat=\"10s\"\nfor=\"10s\"\nshare=0.25")
	ops := Plan(s)
	n := float64(len(ops))
	var check, first, dairy, top, hot, late, work float64
	for _, o := range ops {
		add := func(sum *float64, is bool) {
			if is {
				*sum++
			}
		}
		add(&check, o.Type == 0)
		add(&first, o.Site == 0)
		add(&dairy, o.Tenant == 0)
		add(&top, o.Key == 1 && o.At < 10*time.Second)
		add(&hot, o.Key == 101)
		add(&late, o.At >= 10*time.Second)
		if o.Type == 1 {
			work += o.Work.Seconds()
		}
	}
	harmonic := 0.0
	for k := 1; k <= 100; k++ {
		harmonic += 1 / float64(k)
	}
	for name, c := range map[string]struct{ got, want float64 }{
		"type":   {check / n, 0.67},
		"site":   {first / n, 0.4}, // a quarter of 0.8, and 0.2
		"tenant": {dairy / n, 0.48},
		"key":    {top / (n - late), 1 / harmonic},
		"hot":    {hot / late, 0.25},
		"work":   {work / (n - check), 0.066},
	} {
		if math.Abs(c.got-c.want) > 0.03*c.want+0.004 {
			t.Errorf("%s: %.4f, not %.4f", name, c.got, c.want)
		}
	}
}

// An allowance of 100 a second lets 100 pass at once and 100 a second; what a tenant sends beyond is marked.
func TestAllowance(t *testing.T) {
	s := play(t, "length=\"4s\"\n[load]\nrate=400\nshape=\"constant\"\n[[tenants]]\nname=\"a\"\nshare=1\nallowance=100")
	within := 0
	for _, o := range Plan(s) {
		if !o.Beyond {
			within++
		}
	}
	if math.Abs(float64(within)-500) > 2 {
		t.Errorf("%d are within, not 500", within)
	}
}

func TestSameSeedSameTrace(t *testing.T) {
	s := play(t, "length=\"2s\"")
	var a, b, c bytes.Buffer
	WriteTrace(&a, s, Plan(s))
	WriteTrace(&b, s, Plan(s))
	if !bytes.Equal(a.Bytes(), b.Bytes()) {
		t.Error("two plans of one seed differ")
	}
	ops, err := ReadTrace(bytes.NewReader(a.Bytes()), "t.csv", false, s)
	if err != nil {
		t.Fatal(err)
	}
	if WriteTrace(&c, s, ops); !bytes.Equal(a.Bytes(), c.Bytes()) {
		t.Error("a trace that was written and read is another")
	}
	s.Seed++
	c.Reset()
	if WriteTrace(&c, s, Plan(s)); bytes.Equal(a.Bytes(), c.Bytes()) {
		t.Error("another seed gives the same plan")
	}
}

func TestBadTraces(t *testing.T) {
	s := play(t, "")
	const head = "at_ms,type,tenant,site,key,work_ms\n1,hire-check,dairy,north,3,5\n"
	for name, c := range map[string]struct {
		text  string
		lines bool
		want  string
	}{
		"an unknown type":      {head + "2,hire-dance,,,0,5\n", false, "t:3: no type \"hire-dance\""},
		"too few fields":       {head + "2,hire-check\n", false, "t:3: wrong number of fields"},
		"a moment before all":  {head + "-1,hire-check,,,0,5\n", false, "t:3: at_ms"},
		"no number":            {head + "soon,hire-check,,,0,5\n", false, "t:3: "},
		"no header":            {"1,hire-check,,,0,5\n", false, "t:1: the first line must be"},
		"nothing":              {"at_ms,type,tenant,site,key,work_ms\n", false, "no operations"},
		"JSON that breaks off": {"{\"at_ms\":1,\"type\":\"hire-check\"}\n\n{\"at_ms\":", true, "t:3: "},
		"JSON without moment":  {"{\"type\":\"hire-check\"}\n", true, "t:1: at_ms"},
		"JSON, a key unknown":  {"{\"at_ms\":1,\"typ\":\"hire-check\"}\n", true, "t:1: "},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ReadTrace(strings.NewReader(c.text), "t", c.lines, s)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("refused with %v", err)
			}
		})
	}
}

// server answers each request with what lead makes of it.
func server(t *testing.T, lead func(net.Conn, *http1.Request, int) bool) Fixed {
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
					if !lead(nc, &req, k) {
						return
					}
				}
			})
		}
	})
	return Fixed(ln.Addr().String())
}

func say(c net.Conn, status int, body string) bool {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	return true
}

// What becomes of one request, by what the node does with each try. The client's time is 450 ms for a check and 900
// ms for a booking, and the target times 200 and 500 ms.
func TestOutcomes(t *testing.T) {
	own := func(c net.Conn, r *http1.Request) bool { return say(c, 200, string(r.Get(http1.RequestID))) }
	for name, c := range map[string]struct {
		kind  string
		lead  func(net.Conn, *http1.Request, int) bool
		want  Outcome
		tries int
		end   func(Try) bool
	}{
		"handled":           {"hire-book", func(c net.Conn, r *http1.Request, n int) bool { return own(c, r) }, Handled, 1, nil},
		"denied, then not":  {"hire-book", func(c net.Conn, r *http1.Request, n int) bool { return n == 1 && say(c, 503, "") || own(c, r) }, Handled, 2, nil},
		"denied throughout": {"hire-book", func(c net.Conn, r *http1.Request, n int) bool { return say(c, 429, "") }, Rejected, 3, nil},
		"booking lost":      {"hire-book", func(c net.Conn, r *http1.Request, n int) bool { return say(c, 502, "") }, Failed, 1, nil},
		"check lost":        {"hire-check", func(c net.Conn, r *http1.Request, n int) bool { return say(c, 502, "") }, Failed, 3, nil},
		"silence":           {"hire-book", func(c net.Conn, r *http1.Request, n int) bool { return true }, NoAnswer, 1, func(t Try) bool { return t.End == Unanswered }},
		"half an answer": {"hire-book", func(c net.Conn, r *http1.Request, n int) bool { c.Write([]byte("HTTP/1.1 200 OK\r\n")); return false }, Failed, 1,
			func(t Try) bool { return t.End == Dropped }},
		"another's answer": {"hire-book", func(c net.Conn, r *http1.Request, n int) bool { return say(c, 200, "0123") }, Handled, 1, func(t Try) bool { return t.Foreign }},
		"two answers": {"hire-book", func(c net.Conn, r *http1.Request, n int) bool {
			a := "HTTP/1.1 200 X\r\nContent-Length: 16\r\n\r\n" + string(r.Get(http1.RequestID))
			c.Write([]byte(a + a))
			return true
		}, Handled, 1, func(t Try) bool { return t.Extra }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := play(t, "length=\"1s\"")
			kind := 0
			if c.kind == "hire-book" {
				kind = 1
			}
			tries := &ends{}
			g := &Generator{Scenario: s, Requests: []Request{{Type: kind}}, Checked: true}
			g.Run(context.Background(), time.Now(), server(t, c.lead), tries)
			if g.Tries != c.tries || g.Outcomes[c.want] != 1 {
				t.Errorf("%d tries, outcomes %v", g.Tries, g.Outcomes)
			}
			if last := tries.all[len(tries.all)-1]; c.end != nil && !c.end(last) {
				t.Errorf("the last try ended as %+v", last)
			}
		})
	}
}

type ends struct {
	Nobody
	mu  sync.Mutex
	all []Try
}

func (e *ends) Ended(t *Try) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.all = append(e.all, *t)
}

// A idle connection that the node closes as the request crosses is no lost request: it is sent once more.
func TestCrossedClose(t *testing.T) {
	closed := make(chan struct{}, 1)
	at := server(t, func(c net.Conn, r *http1.Request, n int) bool {
		say(c, 200, string(r.Get(http1.RequestID)))
		if n == 1 { // reads no more, though the connection looks open
			c.Read(make([]byte, 1))
			closed <- struct{}{}
			return false
		}
		return true
	})
	s := play(t, "length=\"1s\"")
	g := &Generator{Scenario: s, Requests: []Request{{}, {At: 50 * time.Millisecond}}, Checked: true}
	g.Run(context.Background(), time.Now(), at, Nobody{})
	if <-closed; g.Outcomes[Handled] != 2 || g.Tries != 2 {
		t.Errorf("outcomes %v after %d tries", g.Outcomes, g.Tries)
	}
}

// A generator that stands still for 300 ms says so, and its latencies hold the wait, for clients waited it.
func TestOwnStallIsReported(t *testing.T) {
	s := play(t, "length=\"1s\"\n[load]\nrate=500\nshape=\"constant\"")
	at := server(t, func(c net.Conn, r *http1.Request, n int) bool { return say(c, 200, "") })
	const stall = 300 * time.Millisecond
	once := sync.Once{}
	g := &Generator{Scenario: s, Requests: Plan(s), Stall: func(at time.Duration) (d time.Duration) {
		if at > 400*time.Millisecond {
			once.Do(func() { d = stall })
		}
		return d
	}}
	late := g.Run(context.Background(), time.Now(), at, Nobody{})
	if !late.Behind || late.Max < stall*9/10 || late.Share < 0.2 {
		t.Errorf("it says %+v", late)
	}
	if worst := time.Duration(g.ByType[0].Latency.Max()) * time.Microsecond; worst < stall*9/10 {
		t.Errorf("the worst latency is %s", worst)
	}
}

// 20,000 a second on one machine: the moments at which requests began, against the schedule worked out by hand, in
// every 100 ms. What a busy machine cannot do it must say; only silence about it is a failure.
func TestTwentyThousandASecond(t *testing.T) {
	s := play(t, "length=\"1s\"\n[load]\nrate=20000\nshape=\"constant\"")
	var mu sync.Mutex
	var begun [10]int
	var late []time.Duration
	ops := Plan(s)
	start := time.Now()
	pace(start, ops, nil, nil, func(i int) {
		at := time.Since(start)
		mu.Lock()
		late = append(late, at-ops[i].At)
		begun[min(int(at/(100*time.Millisecond)), 9)]++
		mu.Unlock()
	})
	behind := 0
	for _, d := range late {
		if d > time.Millisecond {
			behind++
		}
	}
	if len(late) != 20000 {
		t.Fatalf("%d begun", len(late))
	}
	for i, n := range begun {
		if n < 1980 || n > 2020 {
			if behind == 0 {
				t.Errorf("bin %d holds %d, and nothing was late", i, n)
			}
			t.Logf("bin %d holds %d; %d of 20,000 were late by over 1 ms", i, n, behind)
		}
	}
}
