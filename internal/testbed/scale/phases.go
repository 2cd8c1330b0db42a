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
		play   func(context.Context) (*ChangeLatency, error)
	}{
		{"start", true, c.startPhase},
		{"rest", true, c.restPhase},
		{"changes", c.Size.Churn > 0, c.changesPhase},
		{"restarts", c.Size.Restarts > 0, c.restartsPhase},
		{"reload", c.Size.Routes > 0, c.reloadPhase},
		{c.Size.Event, c.Size.Event != NoEvent, c.eventPhase},
	} {
		if !part.wanted {
			continue
		}
		if part.name == "rest" {
			pause(ctx, settleTime)
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
		p.RestartLatency = c.restartLatency
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
func waitUntil(ctx context.Context, most time.Duration, is func() bool) bool {
	for by := time.Now().Add(most); ctx.Err() == nil && time.Now().Before(by); pause(ctx, conditionPollInterval) {
		if is() {
			return true
		}
	}
	return is()
}

// startAll starts what nodes need and then all nodes at once.
func (c *conductor) startPhase(ctx context.Context) (*ChangeLatency, error) {
	c.logProgress("%d processes, about %.2f GB", c.Size.Processes(), c.Size.Memory()/1e9)
	first := slices.Concat([]*process{c.discovery}, c.controls)
	if c.regionLinks != nil {
		first = append(first, c.regionLinks)
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
	c.logProgress("discovery's side and %d control processes are there", len(c.controls))
	began := time.Now()
	if err := c.startNodes(c.workers); err != nil {
		return nil, err
	}
	c.logProgress("%d nodes have started", c.Size.Nodes)
	c.waitComplete(ctx)
	return c.ledger.startLatency(began, c.nodesOf(c.workers)), nil
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
	if waitUntil(ctx, maxCompleteWait, c.ledger.allComplete) {
		c.logProgress("all nodes know all servers")
		return
	}
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	c.logProgress("%d of %d nodes know all servers after %s", c.ledger.countComplete(), c.Size.Nodes, maxCompleteWait)
}

func (c *conductor) restPhase(ctx context.Context) (*ChangeLatency, error) {
	c.logProgress("at rest for %s", c.Size.PhaseDuration)
	pause(ctx, c.Size.PhaseDuration)
	return nil, nil
}

// changes has servers drain and serve again, at an even pace.
func (c *conductor) changesPhase(ctx context.Context) (*ChangeLatency, error) {
	c.logProgress("%g changes a second for %s", c.Size.Churn, c.Size.PhaseDuration)
	from := c.ledger.count()
	if err := c.churn(ctx, c.Size.PhaseDuration); err != nil {
		return nil, err
	}
	return c.awaitChanges(ctx, from), nil
}

// trail waits for the last node, and tells how long all took.
func (c *conductor) awaitChanges(ctx context.Context, from int) *ChangeLatency {
	waitUntil(ctx, maxChangeWait, func() bool { return c.ledger.changeLatency(from).Missing == 0 })
	in := c.ledger.changeLatency(from)
	c.logProgress("%d changes: in force after %.0f ms (p50), %.0f (p99), %.0f (last); %d not taken", in.Changes, in.P50, in.P99, in.Last, in.Missing)
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
func (c *conductor) restartsPhase(ctx context.Context) (*ChangeLatency, error) {
	c.logProgress("%g processes of nodes a second start again for %s", c.Size.Restarts, c.Size.PhaseDuration)
	gap := time.Duration(float64(time.Second) / c.Size.Restarts)
	began, nodes := time.Now(), map[int]bool{}
	for n := 0; ctx.Err() == nil && time.Since(began) < c.Size.PhaseDuration; n++ {
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
	in := c.ledger.restartLatency(slices.Sorted(maps.Keys(nodes)))
	c.logProgress("%d nodes have started again: they know all servers after %.0f ms (p50), %.0f (last); %d do not", len(nodes), in.P50, in.Last, in.Missing)
	return in, nil
}

// change has the next server drain, or serve again where all have drained.
func (c *conductor) change() (*change, error) {
	n, markers := c.ledger.count(), c.layout.markers()
	marker, draining := n%markers, n/markers%2 == 0
	made := c.ledger.addChange(marker, draining, time.Now()) // before it is made: nodes may tell of it at once
	answer, err := c.sendAndWait(c.discovery, order{Do: doChange, Server: marker, Draining: draining})
	if err != nil {
		return nil, err
	}
	c.ledger.setMadeAt(made, answer.Changed)
	return made, nil
}

// ask gives discovery's side an order and waits until it was carried out.
func (c *conductor) sendAndWait(p *process, o order) (announcement, error) {
	if err := p.send(o); err != nil {
		return announcement{}, err
	}
	select {
	case t := <-c.responses:
		if t.Error != "" {
			return t, fmt.Errorf("%s: %s", p.name(), t.Error)
		}
		return t, nil
	case <-time.After(maxOrderTime):
		return announcement{}, fmt.Errorf("%s does not answer", p.name())
	}
}

// reload has all nodes read a new revision of the operator's file.
func (c *conductor) reloadPhase(ctx context.Context) (*ChangeLatency, error) {
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
	waitUntil(ctx, maxCompleteWait, func() bool { return c.ledger.reloadLatency(began).Missing == 0 })
	in := c.ledger.reloadLatency(began)
	c.logProgress("the operator's file is in force after %.0f ms (p50), %.0f (last); %d nodes have not taken it", in.P50, in.Last, in.Missing)
	return in, nil
}

// event has what was asked for befall, while changes go on, and waits until all is well.
func (c *conductor) eventPhase(ctx context.Context) (*ChangeLatency, error) {
	from := c.ledger.count()
	stop, stopChurn := context.WithCancel(ctx)
	defer stopChurn()
	done := make(chan error, 1)
	go func() {
		if c.Size.Churn == 0 || c.Size.Event == DiscoveryDown {
			done <- nil
			return
		}
		done <- c.churn(stop, c.Size.PhaseDuration)
	}()
	pause(ctx, eventDelay)
	c.logProgress("%s", c.Size.Event)
	err := c.runEvent(ctx)
	if err != nil {
		stopChurn()
	}
	if fault := <-done; err == nil {
		err = fault
	}
	if err != nil {
		return nil, err
	}
	if c.restartLatency == nil {
		c.waitComplete(ctx)
	}
	return c.awaitChanges(ctx, from), nil
}

// befall brings an event about, and its end.
func (c *conductor) runEvent(ctx context.Context) error {
	half := c.Size.PhaseDuration / 2
	switch c.Size.Event {
	case RegionPartition:
		if err := c.regionLinks.send(order{Do: doCutRegions, On: true}); err != nil {
			return err
		}
		pause(ctx, half)
		c.logProgress("regions reach each other again")
		c.ledger.partitionEnded(time.Now())
		return c.regionLinks.send(order{Do: doCutRegions})
	case ControlKilled:
		c.controls[0].kill()
		pause(ctx, half)
		c.logProgress("the control process is back")
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
	c.logProgress("%d processes of nodes start again", len(killed))
	began := time.Now()
	if err := c.startNodes(killed); err != nil {
		return err
	}
	c.waitComplete(ctx)
	c.restartLatency = c.ledger.startLatency(began, c.nodesOf(killed))
	return nil
}

func (c *conductor) killNodes(workers []*process) {
	var all sync.WaitGroup
	for _, w := range workers {
		all.Go(w.kill)
	}
	all.Wait()
	for _, w := range workers {
		c.ledger.nodesKilled(w.task.Number, c.layout.nodesOf(w.task.Number))
	}
}

// away takes discovery out of reach, with a change meanwhile, which counts from its return.
func (c *conductor) discoveryDown(ctx context.Context, length time.Duration) error {
	if _, err := c.sendAndWait(c.discovery, order{Do: doSetDown, On: true}); err != nil {
		return err
	}
	pause(ctx, length)
	made, err := c.change()
	if err != nil {
		return err
	}
	if _, err := c.sendAndWait(c.discovery, order{Do: doSetDown}); err != nil {
		return err
	}
	c.logProgress("discovery is back")
	c.ledger.setMadeAt(made, time.Now().UnixNano())
	return nil
}
