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
	"fernvane/internal/testbed/standin/loopback"
)

const benchServers = 8

// BenchOptions configures a comparison of requests through one node with direct requests.
type BenchOptions struct {
	Command     []string // command line of a node process
	Env         []string // added to this process's environment
	Connections []int    // concurrent clients, one measurement for each number
	Duration    time.Duration
	Rates       []float64 // requests per second, combined with each number of clients; empty: closed loop
}

// BenchRow is the result of one measurement, as it is written to reports.
type BenchRow struct {
	Connections     int           `json:"connections"`
	Rate            float64       `json:"rate,omitempty"` // requests offered per second; 0: closed loop
	Route           string        `json:"way"`
	PerSecond       float64       `json:"per_second"`
	P50             time.Duration `json:"p50_ns"`
	P99             time.Duration `json:"p99_ns"`
	Rejected        int           `json:"rejected"`
	CPUMicroseconds float64       `json:"cpu_us_each"`
}

// Bench measures sequential clients directly and through a node, one after the other, against servers that respond
// immediately.
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
	for i := range s.Types { // long enough that no timeout limits the load
		s.Types[i].LatencyObjective, s.Types[i].AbandonTime = scenario.Duration(2*time.Second), scenario.Duration(3*time.Second)
	}
	env := &environment{Options: Options{Scenario: s}, processes: newProcessManager()}
	defer close(env.processes.commands)
	if env.network, err = loopback.Reserve(); err != nil {
		return nil, err
	}
	defer env.network.Release()
	members, addresses, closeAll, err := startInstantServers(benchServers)
	defer closeAll()
	if err != nil {
		return nil, err
	}
	endpointList, _ := json.Marshal(object{"revision": 1, "complete": true, "members": members})
	p := &process{command: o.Command, env: o.Env, dir: dir}
	address := env.nodeAddress(0)
	if err := p.writeConfig(s, address, env.discoveryAddress(0, 0), "1", endpointList); err != nil {
		return nil, err
	}
	exited := make(chan string, 1)
	if err := p.start(env.processes, func(reason string) { exited <- reason }); err != nil {
		return nil, err
	}
	defer p.stop(syscall.SIGTERM)
	balancer := connbalancer.New(1, []connbalancer.Node{{Address: address}})
	ready, cancel := context.WithTimeout(ctx, maxStartTime)
	defer cancel()
	if err := balancer.NodeStarted(ready, 0); err != nil {
		return nil, err
	}
	if rows, err = measureAll(ctx, o, p, address, addresses); err != nil {
		return nil, err
	}
	select {
	case reason := <-exited:
		return nil, errors.New("node process exited: " + reason)
	default:
		return rows, nil
	}
}

// measureAll measures both routes for each combination of a number of connections and a rate.
func measureAll(ctx context.Context, o BenchOptions, p *process, node string, servers []string) (rows []BenchRow, err error) {
	rates := o.Rates
	if len(rates) == 0 {
		rates = []float64{0}
	}
	for _, n := range o.Connections {
		for _, rate := range rates {
			pair, err := measureBoth(ctx, p, benchClients{count: n, duration: o.Duration, rate: rate}, servers, node)
			if err != nil {
				return nil, err
			}
			rows = append(rows, pair...)
		}
	}
	return rows, nil
}

// measureBoth measures the same load directly and through the node.
func measureBoth(ctx context.Context, p *process, c benchClients, servers []string, node string) (rows []BenchRow, err error) {
	for _, route := range []struct {
		name string
		to   []string
	}{{"direct", servers}, {"node", []string{node}}} {
		before := p.cpu()
		row, err := c.run(ctx, route.to)
		if err != nil {
			return nil, err
		}
		row.Route = route.name
		if route.name == "node" {
			row.CPUMicroseconds = float64((p.cpu() - before).Microseconds()) / (row.PerSecond * c.duration.Seconds())
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// cpu returns the CPU time that the running process has used.
func (p *process) cpu() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond // a kernel clock tick
}

// StartInstantServer starts a server that responds immediately, to measure a load generator against. The caller must
// call stop.
func StartInstantServer() (address string, stop func(), err error) {
	_, addresses, stop, err := startInstantServers(1)
	if err != nil {
		return "", stop, err
	}
	return addresses[0], stop, nil
}

// startInstantServers starts n servers that respond immediately. The caller must call closeAll, even after an error.
func startInstantServers(n int) (members []object, addresses []string, closeAll func(), err error) {
	var listeners []net.Listener
	closeAll = func() {
		for _, l := range listeners {
			l.Close()
		}
	}
	response := http1.AppendAnswer(nil, http1.Answer{Status: 200, Body: []byte(strings.Repeat("x", 150))})
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
						if isComplete, _ := c.Send(response); !isComplete {
							return
						}
					}
				}()
			}
		}()
	}
	return members, addresses, closeAll, nil
}

// benchClients are concurrent clients with one request in flight each. In a closed loop a client sends its next request
// when the previous response has arrived; with a rate, when the request is also due.
type benchClients struct {
	count    int
	duration time.Duration
	rate     float64 // requests per second over all clients; 0: closed loop
}

// dueAt returns the scheduled time of the k-th request of a client.
func (c benchClients) dueAt(startedAt time.Time, client, k int) time.Time {
	return startedAt.Add(time.Duration(float64(k*c.count+client) / c.rate * float64(time.Second)))
}

// run runs the clients for their duration and aggregates their results.
func (c benchClients) run(ctx context.Context, to []string) (BenchRow, error) {
	startedAt := time.Now()
	var mu sync.Mutex
	var all []time.Duration
	rejected := 0
	g, ctx := errgroup.WithContext(ctx)
	for i := range c.count {
		g.Go(func() error {
			latencies, rejections, err := c.runOne(ctx, startedAt, i, to[i%len(to)])
			mu.Lock()
			defer mu.Unlock()
			all = append(all, latencies...)
			rejected += rejections
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return BenchRow{}, err
	}
	slices.Sort(all)
	if len(all) == 0 {
		return BenchRow{}, errors.New("no responses received")
	}
	return BenchRow{Connections: c.count, Rate: c.rate, PerSecond: float64(len(all)) / c.duration.Seconds(), P50: all[len(all)/2], P99: all[len(all)*99/100],
		Rejected: rejected}, nil
}

// runOne runs one client and returns the latency of each request and the number of requests that were not handled. With
// a rate, latency counts from the scheduled time, so that a slow response also adds to the latency of the requests that
// it delays.
func (c benchClients) runOne(ctx context.Context, start time.Time, client int, to string) (latencies []time.Duration, rejected int, err error) {
	nc, err := net.Dial("tcp", to)
	if err != nil {
		return nil, 0, err
	}
	defer func() { nc.Close() }()
	conn := http1.NewConn(nc)
	var r http1.Response
	for k := 0; time.Since(start) < c.duration && ctx.Err() == nil; k++ {
		startedAt := time.Now()
		if c.rate > 0 {
			due := c.dueAt(start, client, k)
			if wait := time.Until(due); wait > 0 {
				time.Sleep(wait)
				startedAt = time.Now()
			} else {
				startedAt = due
			}
		}
		b := append(conn.Scratch(), "GET /hire-check/1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: "...)
		b = load.AppendID(b, uint64(client+1)<<32|uint64(k))
		if _, err := conn.Send(append(b, "\r\nRequest-Timeout: 2.000\r\n\r\n"...)); err != nil {
			return latencies, rejected, err
		}
		if err := conn.ReadResponse(&r, http1.MaxResponseBody); err != nil {
			return latencies, rejected, err
		}
		if latencies = append(latencies, time.Since(startedAt)); r.Status != 200 {
			rejected++
		}
		if r.Close {
			nc.Close()
			if nc, err = net.Dial("tcp", to); err != nil {
				return latencies, rejected, err
			}
			conn = http1.NewConn(nc)
		}
	}
	return latencies, rejected, nil
}
