package scale

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// phases plays all parts of a run, in order.
func (c *conductor) phases(ctx context.Context) (all []Phase, err error) {
	for _, part := range []struct {
		name   string
		wanted bool
		play   func(context.Context) (*InForce, error)
	}{
		{"start", true, c.startAll},
		{"rest", true, c.restPhase},
		{"changes", c.Size.Churn > 0, c.changes},
		{"restarts", c.Size.Restarts > 0, c.restarts},
		{"reload", c.Size.Routes > 0, c.reload},
		{c.Size.Event, c.Size.Event != NoEvent, c.event},
	} {
		if !part.wanted {
			continue
		}
		if part.name == "rest" {
			pause(ctx, settle)
		}
		before, err := c.reading()
		if err != nil {
			return nil, err
		}
		in, err := part.play(ctx)
		if err != nil || ctx.Err() != nil {
			return nil, err
		}
		after, err := c.reading()
		if err != nil {
			return nil, err
		}
		p := c.phase(part.name, before, after, in)
		p.Returned = c.returned
		all = append(all, p)
	}
	return all, nil
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// until waits for something to be so.
func until(ctx context.Context, most time.Duration, is func() bool) bool {
	for by := time.Now().Add(most); ctx.Err() == nil && time.Now().Before(by); pause(ctx, askEvery) {
		if is() {
			return true
		}
	}
	return is()
}

// startAll starts what nodes need and then all nodes at once.
func (c *conductor) startAll(ctx context.Context) (*InForce, error) {
	c.say("%d processes, about %.2f GB", c.Size.Processes(), c.Size.Memory()/1e9)
	first := slices.Concat([]*process{c.discovery}, c.controls)
	if c.ways != nil {
		first = append(first, c.ways)
	}
	for _, p := range first {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	for _, p := range first {
		if err := p.await(maxReadyTime); err != nil {
			return nil, err
		}
	}
	c.say("discovery's side and %d control processes are there", len(c.controls))
	began := time.Now()
	if err := c.startNodes(c.workers); err != nil {
		return nil, err
	}
	c.say("%d nodes have started", c.Size.Nodes)
	c.waitComplete(ctx)
	return c.ledger.start(began, c.nodesOf(c.workers)), nil
}

func (c *conductor) startNodes(workers []*process) error {
	var all sync.WaitGroup
	faults := make([]error, len(workers))
	for i, w := range workers {
		all.Go(func() {
			if faults[i] = w.start(); faults[i] == nil {
				faults[i] = w.await(maxReadyTime)
			}
		})
	}
	all.Wait()
	for _, err := range faults {
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *conductor) nodesOf(workers []*process) (nodes []int) {
	for _, w := range workers {
		nodes = append(nodes, c.layout.nodesOf(w.task.Number)...)
	}
	return nodes
}

func (c *conductor) waitComplete(ctx context.Context) {
	if until(ctx, maxCompleteWait, c.ledger.allComplete) {
		c.say("all nodes know all servers")
		return
	}
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	c.say("%d of %d nodes know all servers after %s", c.ledger.countComplete(), c.Size.Nodes, maxCompleteWait)
}

func (c *conductor) restPhase(ctx context.Context) (*InForce, error) {
	c.say("at rest for %s", c.Size.For)
	pause(ctx, c.Size.For)
	return nil, nil
}

// changes has servers drain and serve again, at an even pace.
func (c *conductor) changes(ctx context.Context) (*InForce, error) {
	c.say("%g changes a second for %s", c.Size.Churn, c.Size.For)
	from := c.ledger.count()
	if err := c.churn(ctx, c.Size.For); err != nil {
		return nil, err
	}
	return c.trail(ctx, from), nil
}

// trail waits for the last node, and tells how long all took.
func (c *conductor) trail(ctx context.Context, from int) *InForce {
	until(ctx, maxTrail, func() bool { return c.ledger.inForce(from).Missing == 0 })
	in := c.ledger.inForce(from)
	c.say("%d changes: in force after %.0f ms (p50), %.0f (p99), %.0f (last); %d not taken", in.Changes, in.P50, in.P99, in.Last, in.Missing)
	return in
}

// churn makes changes for a while.
func (c *conductor) churn(ctx context.Context, length time.Duration) error {
	gap := time.Duration(float64(time.Second) / c.Size.Churn)
	for end := time.Now().Add(length); ctx.Err() == nil && time.Now().Before(end); pause(ctx, gap) {
		if _, err := c.change(); err != nil {
			return err
		}
	}
	return nil
}

// restarts kills the processes of nodes in turn and starts them again at once, at a steady rate and without changes, so that
// what the phase costs beside rest is the restarts' own.
func (c *conductor) restarts(ctx context.Context) (*InForce, error) {
	c.say("%g processes of nodes a second start again for %s", c.Size.Restarts, c.Size.For)
	gap := time.Duration(float64(time.Second) / c.Size.Restarts)
	began, nodes := time.Now(), map[int]bool{}
	for n := 0; ctx.Err() == nil && time.Since(began) < c.Size.For; n++ {
		due := began.Add(time.Duration(n) * gap)
		pause(ctx, time.Until(due))
		victim := []*process{c.workers[n%len(c.workers)]}
		c.killNodes(victim)
		if err := c.startNodes(victim); err != nil {
			return nil, err
		}
		for _, node := range c.nodesOf(victim) {
			nodes[node] = true
		}
	}
	c.waitComplete(ctx)
	in := c.ledger.restarted(slices.Sorted(maps.Keys(nodes)))
	c.say("%d nodes have started again: they know all servers after %.0f ms (p50), %.0f (last); %d do not", len(nodes), in.P50, in.Last, in.Missing)
	return in, nil
}

// change has the next server drain, or serve again where all have drained.
func (c *conductor) change() (*change, error) {
	n, markers := c.ledger.count(), c.layout.markers()
	marker, draining := n%markers, n/markers%2 == 0
	made := c.ledger.changed(marker, draining, time.Now()) // before it is made: nodes may tell of it at once
	answer, err := c.ask(c.discovery, order{Do: doChange, Server: marker, Draining: draining})
	if err != nil {
		return nil, err
	}
	c.ledger.counts(made, answer.Changed)
	return made, nil
}

// ask gives discovery's side an order and waits until it was carried out.
func (c *conductor) ask(p *process, o order) (announcement, error) {
	if err := p.send(o); err != nil {
		return announcement{}, err
	}
	select {
	case t := <-c.answers:
		if t.Fault != "" {
			return t, fmt.Errorf("%s: %s", p.name(), t.Fault)
		}
		return t, nil
	case <-time.After(maxOrderTime):
		return announcement{}, fmt.Errorf("%s does not answer", p.name())
	}
}

// reload has all nodes read a new revision of the operator's file.
func (c *conductor) reload(ctx context.Context) (*InForce, error) {
	c.revision++
	if err := c.layout.writeRoutes(c.revision); err != nil {
		return nil, err
	}
	began := time.Now()
	for _, w := range c.workers {
		if err := w.send(order{Do: doReload}); err != nil {
			return nil, err
		}
	}
	until(ctx, maxCompleteWait, func() bool { return c.ledger.rerouted(began).Missing == 0 })
	in := c.ledger.rerouted(began)
	c.say("the operator's file is in force after %.0f ms (p50), %.0f (last); %d nodes have not taken it", in.P50, in.Last, in.Missing)
	return in, nil
}

// event has what was asked for befall, while changes go on, and waits until all is well.
func (c *conductor) event(ctx context.Context) (*InForce, error) {
	from := c.ledger.count()
	stop, stopChurn := context.WithCancel(ctx)
	defer stopChurn()
	done := make(chan error, 1)
	go func() {
		if c.Size.Churn == 0 || c.Size.Event == DiscoveryDown {
			done <- nil
			return
		}
		done <- c.churn(stop, c.Size.For)
	}()
	pause(ctx, killedAfter)
	c.say("%s", c.Size.Event)
	err := c.befall(ctx)
	if err != nil {
		stopChurn()
	}
	if fault := <-done; err == nil {
		err = fault
	}
	if err != nil {
		return nil, err
	}
	if c.returned == nil {
		c.waitComplete(ctx)
	}
	return c.trail(ctx, from), nil
}

// befall brings an event about, and its end.
func (c *conductor) befall(ctx context.Context) error {
	half := c.Size.For / 2
	switch c.Size.Event {
	case RegionsApart:
		if err := c.ways.send(order{Do: doCut, On: true}); err != nil {
			return err
		}
		pause(ctx, half)
		c.say("regions reach each other again")
		c.ledger.together(time.Now())
		return c.ways.send(order{Do: doCut})
	case ControlKilled:
		c.controls[0].kill()
		pause(ctx, half)
		c.say("the control process is back")
		return c.controls[0].start()
	case DiscoveryDown:
		return c.discoveryDown(ctx, half)
	}
	victims := c.victims()
	killed := []*process{}
	for _, v := range victims {
		killed = append(killed, c.workers[v])
	}
	c.killNodes(killed)
	if c.Size.Event == Rack || c.Size.Event == Zone {
		pause(ctx, half)
	}
	c.say("%d processes of nodes start again", len(killed))
	began := time.Now()
	if err := c.startNodes(killed); err != nil {
		return err
	}
	c.waitComplete(ctx)
	c.returned = c.ledger.start(began, c.nodesOf(killed))
	return nil
}

func (c *conductor) killNodes(workers []*process) {
	var all sync.WaitGroup
	for _, w := range workers {
		all.Go(w.kill)
	}
	all.Wait()
	for _, w := range workers {
		c.ledger.lost(w.task.Number, c.layout.nodesOf(w.task.Number))
	}
}

// away takes discovery out of reach, with a change meanwhile, which counts from its return.
func (c *conductor) discoveryDown(ctx context.Context, length time.Duration) error {
	if _, err := c.ask(c.discovery, order{Do: doSetDown, On: true}); err != nil {
		return err
	}
	pause(ctx, length)
	made, err := c.change()
	if err != nil {
		return err
	}
	if _, err := c.ask(c.discovery, order{Do: doSetDown}); err != nil {
		return err
	}
	c.say("discovery is back")
	c.ledger.counts(made, time.Now().UnixNano())
	return nil
}
