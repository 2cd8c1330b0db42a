package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// WorkerCommand is the argument with which the tool's binary runs as a process of a scale run.
const WorkerCommand = "scale-worker"

// role is the task of a process in a run.
type role string

const (
	roleNodes       role = "nodes"
	roleControl     role = "control"
	roleDiscovery   role = "discovery"
	roleRegionLinks role = "ways" // forwards connections between regions
)

// task is the first line of a process's standard input.
type task struct {
	Role   role    `json:"role"`
	Number int     `json:"number"`
	Layout *Layout `json:"layout"`
}

// order is a later line of a process's standard input.
type order struct {
	Do       string `json:"do"`
	Server   int    `json:"server,omitempty"`
	Draining bool   `json:"draining,omitempty"`
	On       bool   `json:"on,omitempty"` // of doSetDown and doCutRegions: begin, or end
}

const (
	doReload     = "reload" // nodes reload the operator's file
	doChange     = "change" // a server is set to draining or serving
	doSetDown    = "away"   // discovery becomes unreachable, or reachable again
	doCutRegions = "cut"    // links between regions are cut, or restored
)

// announcement is a line of a process's standard output.
type announcement struct {
	Ready      bool            `json:"ready,omitempty"`
	Records    []record        `json:"records,omitempty"`
	Deliveries *deliveryCounts `json:"handed,omitempty"`
	Changed    int64           `json:"changed,omitempty"` // Unix ns: time of the change that an order asked for
	Done       bool            `json:"done,omitempty"`    // another order was executed
	Error      string          `json:"fault,omitempty"`
}

const flushInterval = 100 * time.Millisecond

// worker is the process's own side of a task.
type worker struct {
	task
	writeMu sync.Mutex
	encode  *json.Encoder
	orders  *json.Decoder
}

// Worker runs a process of a scale run until its standard input ends and returns the exit code.
func Worker(in io.Reader, out, errs io.Writer) int {
	signal.Ignore(syscall.SIGINT, syscall.SIGPIPE) // the tool stops its processes; signals of the terminal must not
	w := &worker{encode: json.NewEncoder(out), orders: json.NewDecoder(bufio.NewReader(in))}
	if err := w.orders.Decode(&w.task); err != nil || w.Layout == nil {
		fmt.Fprintln(errs, "decode task: this command is started by `testbed scale` only")
		return 2
	}
	if err := w.run(); err != nil {
		w.send(announcement{Error: err.Error()})
		fmt.Fprintln(errs, err)
		return 1
	}
	return 0
}

func (w *worker) send(a announcement) {
	w.writeMu.Lock()
	defer w.writeMu.Unlock()
	w.encode.Encode(a)
}

func (w *worker) run() error {
	switch w.Role {
	case roleNodes:
		return w.runNodes()
	case roleControl:
		return w.runControl()
	case roleDiscovery:
		return w.runDiscovery()
	case roleRegionLinks:
		return w.runRegionLinks()
	}
	return fmt.Errorf("unknown role %q", w.Role)
}

// processOrders executes orders and sends their results until standard input ends.
func (w *worker) processOrders(execute func(order) announcement) error {
	for {
		var o order
		if err := w.orders.Decode(&o); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		w.send(execute(o))
	}
}

func (w *worker) runNodes() error {
	r := newRecorder(w.Layout)
	var all []*hollow
	for _, n := range w.Layout.nodesOf(w.Number) {
		h, err := startHollow(w.Layout, n, r)
		if err != nil {
			return fmt.Errorf("node %d: %w", n, err)
		}
		all = append(all, h)
	}
	for _, h := range all { // the cause of a failure is in the process's log as well
		go func() {
			if err := <-h.done; err != nil {
				w.send(announcement{Error: fmt.Sprintf("node %d: %v", h.number, err)})
			}
		}()
	}
	w.send(announcement{Ready: true})
	go func() {
		for range time.Tick(flushInterval) {
			if records, counts := r.take(); len(records) > 0 {
				w.send(announcement{Records: records, Deliveries: &counts})
			}
		}
	}()
	return w.processOrders(func(o order) announcement {
		for _, h := range all {
			select {
			case h.reload <- syscall.SIGHUP:
			default: // a reload is already pending
			}
		}
		return announcement{Done: true}
	})
}

func (w *worker) runControl() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return planes[w.Layout.Size.Plane].Control(ctx, w.Layout, w.Number) })
	g.Go(func() error {
		if err := waitListening(ctx, w.Layout.controlAddress(w.Number)); err != nil {
			return err
		}
		w.send(announcement{Ready: true})
		return nil
	})
	g.Go(func() error {
		defer cancel()
		return w.processOrders(func(order) announcement { return announcement{Done: true} })
	})
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func (w *worker) runDiscovery() error {
	source, err := planes[w.Layout.Size.Plane].Source(w.Layout)
	if err != nil {
		return err
	}
	defer source.Close()
	w.send(announcement{Ready: true})
	return w.processOrders(func(o order) announcement {
		if o.Do == doSetDown {
			if err := source.SetDown(o.On); err != nil {
				return announcement{Error: err.Error()}
			}
			return announcement{Done: true}
		}
		at, err := source.Change(o.Server, o.Draining)
		if err != nil {
			return announcement{Error: err.Error()}
		}
		return announcement{Changed: at.UnixNano()}
	})
}

func (w *worker) runRegionLinks() error {
	links, err := newRegionLinks(w.Layout)
	if err != nil {
		return err
	}
	w.send(announcement{Ready: true})
	err = w.processOrders(func(o order) announcement {
		links.cut(o.On)
		return announcement{Done: true}
	})
	links.cut(false)
	links.close()
	return err
}

// environment returns the environment of a process: the tool's own and the number of threads.
func environment() []string { return append(os.Environ(), "GOMAXPROCS="+hollowThreads) }
