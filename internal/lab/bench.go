package lab

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

	"fernvane/internal/http1"
	"fernvane/internal/load"
	"fernvane/internal/scenario"
	"fernvane/internal/standin/front"
)

const benchServers = 8 // that answer at once

// BenchOptions of a comparison of one node with going direct.
type BenchOptions struct {
	Command     []string // runs one node
	Env         []string
	Connections []int // how many clients ask at a time, one after the other
	Each        time.Duration
}

// BenchRow is one measurement. CPUEach is the node's CPU time for an operation, in microseconds.
type BenchRow struct {
	Connections int
	Way         string
	PerSecond   float64
	P50         time.Duration
	P99         time.Duration
	Denied      int
	CPUEach     float64
}

// Bench has clients ask one after the other (closed loop) by way of a node and directly, in turn, against servers that
// answer at once.
func Bench(ctx context.Context, o BenchOptions) (rows []BenchRow, err error) {
	dir, err := os.MkdirTemp("", "fernlab-")
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
	w := &world{Options: Options{Scenario: s}, keeper: newKeeper()}
	defer close(w.keeper.starts)
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
	if err := p.start(w.keeper, func(why string) { died <- why }); err != nil {
		return nil, err
	}
	defer p.end(syscall.SIGTERM)
	f := front.New(1, []front.Node{{Address: at}})
	up, cancel := context.WithTimeout(ctx, startMost)
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
	for _, n := range o.Connections {
		for _, way := range []struct {
			name string
			to   []string
		}{{"direct", servers}, {"node", []string{node}}} {
			before := p.cpu()
			row, err := closedLoop(ctx, n, o.Each, way.to)
			if err != nil {
				return nil, err
			}
			row.Way = way.name
			if way.name == "node" {
				row.CPUEach = float64((p.cpu() - before).Microseconds()) / (row.PerSecond * o.Each.Seconds())
			}
			rows = append(rows, row)
		}
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

// closedLoop has n clients ask one after the other for a while.
func closedLoop(ctx context.Context, n int, each time.Duration, to []string) (BenchRow, error) {
	until := time.Now().Add(each)
	var mu sync.Mutex
	var all []time.Duration
	denied := 0
	g, ctx := errgroup.WithContext(ctx)
	for i := range n {
		g.Go(func() error {
			nc, err := net.Dial("tcp", to[i%len(to)])
			if err != nil {
				return err
			}
			defer nc.Close()
			c := http1.NewConn(nc)
			var mine []time.Duration
			turned := 0
			var r http1.Response
			for k := 0; time.Now().Before(until) && ctx.Err() == nil; k++ {
				began := time.Now()
				b := append(c.Scratch(), "GET /hire-check/1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: "...)
				b = load.AppendID(b, uint64(i+1)<<32|uint64(k))
				if _, err := c.Send(append(b, "\r\nRequest-Timeout: 2.000\r\n\r\n"...)); err != nil {
					return err
				}
				if err := c.ReadResponse(&r, http1.MaxAnswer); err != nil {
					return err
				}
				if mine = append(mine, time.Since(began)); r.Status != 200 {
					turned++
				}
				if r.Close {
					nc.Close()
					if nc, err = net.Dial("tcp", to[i%len(to)]); err != nil {
						return err
					}
					c = http1.NewConn(nc)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, mine...)
			denied += turned
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return BenchRow{}, err
	}
	slices.Sort(all)
	if len(all) == 0 {
		return BenchRow{}, errors.New("nothing was answered")
	}
	return BenchRow{Connections: n, PerSecond: float64(len(all)) / each.Seconds(), P50: all[len(all)/2], P99: all[len(all)*99/100], Denied: denied}, nil
}
