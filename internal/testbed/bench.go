package testbed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/testbed/load"
	"fernvane/internal/testbed/scenario"
	"fernvane/internal/testbed/standin/connbalancer"
)

const benchServers = 8 // that answer at once

// BenchOptions of a comparison of one node with going direct.
type BenchOptions struct {
	Command     []string // runs one node
	Env         []string
	Connections []int // how many clients ask at a time, one after the other
	Each        time.Duration
	Rates       []float64 // requests a second, each with each number of clients; none: as fast as answers come
}

// BenchRow is one measurement. CPUEach is the node's CPU time for a request, in microseconds.
type BenchRow struct {
	Connections int           `json:"connections"`
	Rate        float64       `json:"rate,omitempty"` // that was asked for; 0: none
	Way         string        `json:"way"`
	PerSecond   float64       `json:"per_second"`
	P50         time.Duration `json:"p50_ns"`
	P99         time.Duration `json:"p99_ns"`
	Denied      int           `json:"denied"`
	CPUEach     float64       `json:"cpu_us_each"`
}

// Bench has clients ask one after the other (closed loop) by way of a node and directly, in turn, against servers that
// answer at once.
func Bench(ctx context.Context, o BenchOptions) (rows []BenchRow, err error) {
	dir, err := os.MkdirTemp("", "testbed-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	s, err := scenario.Load("calm")
	if err != nil {
		return nil, err
	}
	s.Nodes.Count, s.Sites = 1, []string{"one"}
	for i := range s.Types { // no window of the module is to bind
		s.Types[i].Target, s.Types[i].Abandon = scenario.Span(2*time.Second), scenario.Span(3*time.Second)
	}
	w := &world{Options: Options{Scenario: s}, processes: newProcessManager()}
	defer close(w.processes.starts)
	if err := w.reserve(); err != nil {
		return nil, err
	}
	defer w.lock.Close()
	members, addresses, closeAll, err := instant(benchServers)
	defer closeAll()
	if err != nil {
		return nil, err
	}
	known, _ := json.Marshal(object{"revision": 1, "complete": true, "members": members})
	p := &process{command: o.Command, env: o.Env, dir: dir}
	at := w.nodeAddress(0)
	if err := p.configure(s, at, w.discoveryAddress(0, 0), "1", known); err != nil {
		return nil, err
	}
	died := make(chan string, 1)
	if err := p.start(w.processes, func(why string) { died <- why }); err != nil {
		return nil, err
	}
	defer p.end(syscall.SIGTERM)
	f := connbalancer.New(1, []connbalancer.Node{{Address: at}})
	up, cancel := context.WithTimeout(ctx, maxStartTime)
	defer cancel()
	if err := f.Started(up, 0); err != nil {
		return nil, err
	}
	if rows, err = measureWays(ctx, o, p, at, addresses); err != nil {
		return nil, err
	}
	select {
	case why := <-died:
		return nil, errors.New("the node has ended: " + why)
	default:
		return rows, nil
	}
}

// measureWays measures the direct way and the one by the node, for each number of connections.
func measureWays(ctx context.Context, o BenchOptions, p *process, node string, servers []string) (rows []BenchRow, err error) {
	rates := o.Rates
	if len(rates) == 0 {
		rates = []float64{0}
	}
	for _, n := range o.Connections {
		for _, rate := range rates {
			both, err := bothWays(ctx, p, clients{n: n, each: o.Each, rate: rate}, servers, node)
			if err != nil {
				return nil, err
			}
			rows = append(rows, both...)
		}
	}
	return rows, nil
}

// bothWays has clients ask the servers directly, and then the node.
func bothWays(ctx context.Context, p *process, c clients, servers []string, node string) (rows []BenchRow, err error) {
	for _, way := range []struct {
		name string
		to   []string
	}{{"direct", servers}, {"node", []string{node}}} {
		before := p.cpu()
		row, err := c.ask(ctx, way.to)
		if err != nil {
			return nil, err
		}
		row.Way = way.name
		if way.name == "node" {
			row.CPUEach = float64((p.cpu() - before).Microseconds()) / (row.PerSecond * c.each.Seconds())
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// cpu is the time that the running process has used so far, by what the system keeps of it.
func (p *process) cpu() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond // a clock tick of the system
}

// Instant starts a server that answers at once, for a generator to be measured with.
func Instant() (address string, stop func(), err error) {
	_, addresses, stop, err := instant(1)
	if err != nil {
		return "", stop, err
	}
	return addresses[0], stop, nil
}

// instant starts servers that answer at once.
func instant(n int) (members []object, addresses []string, closeAll func(), err error) {
	var listeners []net.Listener
	closeAll = func() {
		for _, l := range listeners {
			l.Close()
		}
	}
	answer := http1.AppendAnswer(nil, http1.Answer{Status: 200, Body: []byte(strings.Repeat("x", 150))})
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, closeAll, err
		}
		listeners = append(listeners, ln)
		addresses = append(addresses, ln.Addr().String())
		members = append(members, object{"id": fmt.Sprint("s-", i), "host_port": ln.Addr().String(), "phase": "SERVING", "size": 1})
		go func() {
			for {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer nc.Close()
					c := http1.NewConn(nc)
					var req http1.Request
					for c.ReadRequest(&req) == nil {
						if whole, _ := c.Send(answer); !whole {
							return
						}
					}
				}()
			}
		}()
	}
	return members, addresses, closeAll, nil
}

// clients ask one after the other, each as soon as it has its answer, or at its moments of an even rate of all.
type clients struct {
	n    int
	each time.Duration
	rate float64 // a second, of all together; 0: as fast as answers come
}

// moment is when a client is due with its k-th request.
func (c clients) moment(began time.Time, client, k int) time.Time {
	return began.Add(time.Duration(float64(k*c.n+client) / c.rate * float64(time.Second)))
}

// ask has them ask for a while.
func (c clients) ask(ctx context.Context, to []string) (BenchRow, error) {
	began := time.Now()
	var mu sync.Mutex
	var all []time.Duration
	denied := 0
	g, ctx := errgroup.WithContext(ctx)
	for i := range c.n {
		g.Go(func() error {
			mine, turned, err := c.one(ctx, began, i, to[i%len(to)])
			mu.Lock()
			defer mu.Unlock()
			all = append(all, mine...)
			denied += turned
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return BenchRow{}, err
	}
	slices.Sort(all)
	if len(all) == 0 {
		return BenchRow{}, errors.New("nothing was answered")
	}
	return BenchRow{Connections: c.n, Rate: c.rate, PerSecond: float64(len(all)) / c.each.Seconds(), P50: all[len(all)/2], P99: all[len(all)*99/100],
		Denied: denied}, nil
}

// one is the life of a client. With a rate, an answer that comes after the next request was due delays that one, and the
// delay counts: latency is that from the moment it was due.
func (c clients) one(ctx context.Context, start time.Time, client int, to string) (took []time.Duration, denied int, err error) {
	nc, err := net.Dial("tcp", to)
	if err != nil {
		return nil, 0, err
	}
	defer func() { nc.Close() }()
	conn := http1.NewConn(nc)
	var r http1.Response
	for k := 0; time.Since(start) < c.each && ctx.Err() == nil; k++ {
		began := time.Now()
		if c.rate > 0 {
			due := c.moment(start, client, k)
			if wait := time.Until(due); wait > 0 {
				time.Sleep(wait)
				began = time.Now()
			} else {
				began = due
			}
		}
		b := append(conn.Scratch(), "GET /hire-check/1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: "...)
		b = load.AppendID(b, uint64(client+1)<<32|uint64(k))
		if _, err := conn.Send(append(b, "\r\nRequest-Timeout: 2.000\r\n\r\n"...)); err != nil {
			return took, denied, err
		}
		if err := conn.ReadResponse(&r, http1.MaxAnswer); err != nil {
			return took, denied, err
		}
		if took = append(took, time.Since(began)); r.Status != 200 {
			denied++
		}
		if r.Close {
			nc.Close()
			if nc, err = net.Dial("tcp", to); err != nil {
				return took, denied, err
			}
			conn = http1.NewConn(nc)
		}
	}
	return took, denied, nil
}
