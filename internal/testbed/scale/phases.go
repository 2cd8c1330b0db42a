package scale

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// phases runs all phases that the size asks for, in order.
func (c *conductor) phases(ctx context.Context) (all []Phase, err error) {
	for _, phase := range []struct {
		name      string
		isEnabled bool
		run       func(context.Context) (*ChangeLatency, error)
	}{
		{"start", true, c.startPhase},
		{"rest", true, c.restPhase},
		{"changes", c.Size.Churn > 0, c.changesPhase},
		{"restarts", c.Size.Restarts > 0, c.restartsPhase},
		{"reload", c.Size.Routes > 0, c.reloadPhase},
		{c.Size.Event, c.Size.Event != NoEvent, c.eventPhase},
	} {
		if !phase.isEnabled {
			continue
		}
		if phase.name == "rest" {
			pause(ctx, settleTime)
		}
		before, err := c.reading()
		if err != nil {
			return nil, err
		}
		latency, err := phase.run(ctx)
		if err != nil || ctx.Err() != nil {
			return nil, err
		}
		after, err := c.reading()
		if err != nil {
			return nil, err
		}
		p := c.phase(phase.name, before, after, latency)
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

// waitUntil polls a condition until it is true or the timeout has passed, and returns its last value.
func waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); ctx.Err() == nil && time.Now().Before(deadline); pause(ctx, conditionPollInterval) {
		if condition() {
			return true
		}
	}
	return condition()
}

// startPhase starts discovery and the control processes, and then all nodes concurrently.
func (c *conductor) startPhase(ctx context.Context) (*ChangeLatency, error) {
	c.logProgress("%d processes, about %.2f GB", c.Size.Processes(), c.Size.Memory()/1e9)
	services := slices.Concat([]*process{c.discovery}, c.controls)
	if c.regionLinks != nil {
		services = append(services, c.regionLinks)
	}
	for _, p := range services {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	for _, p := range services {
		if err := p.await(maxReadyTime); err != nil {
			return nil, err
		}
	}
	c.logProgress("discovery and %d control processes are ready", len(c.controls))
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
	errs := make([]error, len(workers))
	for i, w := range workers {
		all.Go(func() {
			if errs[i] = w.start(); errs[i] == nil {
				errs[i] = w.await(maxReadyTime)
			}
		})
	}
	all.Wait()
	for _, err := range errs {
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
	c.logProgress("idle for %s", c.Size.PhaseDuration)
	pause(ctx, c.Size.PhaseDuration)
	return nil, nil
}

// changesPhase sets servers to draining and serving for the duration of a phase.
func (c *conductor) changesPhase(ctx context.Context) (*ChangeLatency, error) {
	c.logProgress("%g changes per second for %s", c.Size.Churn, c.Size.PhaseDuration)
	from := c.ledger.count()
	if err := c.churn(ctx, c.Size.PhaseDuration); err != nil {
		return nil, err
	}
	return c.awaitChanges(ctx, from), nil
}

// awaitChanges waits until all nodes have applied the changes from the given index on, or a timeout, and returns their latency.
func (c *conductor) awaitChanges(ctx context.Context, from int) *ChangeLatency {
	waitUntil(ctx, maxChangeWait, func() bool { return c.ledger.changeLatency(from).Missing == 0 })
	latency := c.ledger.changeLatency(from)
	c.logProgress("%d changes: applied after %.0f ms (p50), %.0f ms (p99), %.0f ms (last); %d not applied", latency.Changes, latency.P50, latency.P99, latency.Last, latency.Missing)
	return latency
}

// churn makes changes for a given time, one after the other. The pause between them is that of the size's rate; the time to make a
// change adds to it, so that the actual rate is lower.
func (c *conductor) churn(ctx context.Context, length time.Duration) error {
	gap := time.Duration(float64(time.Second) / c.Size.Churn)
	for end := time.Now().Add(length); ctx.Err() == nil && time.Now().Before(end); pause(ctx, gap) {
		if _, err := c.change(); err != nil {
			return err
		}
	}
	return nil
}

// restartsPhase kills node processes one after the other and starts them again immediately, at a constant rate unless a restart
// takes longer. No servers change meanwhile, so that the difference to the idle phase is the cost of restarts alone.
func (c *conductor) restartsPhase(ctx context.Context) (*ChangeLatency, error) {
	c.logProgress("%g node processes per second restart for %s", c.Size.Restarts, c.Size.PhaseDuration)
	gap := time.Duration(float64(time.Second) / c.Size.Restarts)
	began, restarted := time.Now(), map[int]bool{}
	for n := 0; ctx.Err() == nil && time.Since(began) < c.Size.PhaseDuration; n++ {
		due := began.Add(time.Duration(n) * gap)
		pause(ctx, time.Until(due))
		victim := []*process{c.workers[n%len(c.workers)]}
		c.killNodes(victim)
		if err := c.startNodes(victim); err != nil {
			return nil, err
		}
		for _, node := range c.nodesOf(victim) {
			restarted[node] = true
		}
	}
	c.waitComplete(ctx)
	latency := c.ledger.restartLatency(slices.Sorted(maps.Keys(restarted)))
	c.logProgress("%d nodes restarted: all servers known after %.0f ms (p50), %.0f ms (last); %d nodes do not know all", len(restarted), latency.P50, latency.Last, latency.Missing)
	return latency, nil
}

// change sets the next marker server to draining, or to serving in every second round over the markers.
func (c *conductor) change() (*change, error) {
	n, markers := c.ledger.count(), c.layout.markers()
	marker, draining := n%markers, n/markers%2 == 0
	made := c.ledger.addChange(marker, draining, time.Now()) // before the change is made: nodes may apply it before the response arrives
	response, err := c.sendAndWait(c.discovery, order{Do: doChange, Server: marker, Draining: draining})
	if err != nil {
		return nil, err
	}
	c.ledger.setMadeAt(made, response.Changed)
	return made, nil
}

// sendAndWait sends an order to the discovery process, the only one whose results handle passes on, and waits for its result.
func (c *conductor) sendAndWait(p *process, o order) (announcement, error) {
	if err := p.send(o); err != nil {
		return announcement{}, err
	}
	select {
	case response := <-c.responses:
		if response.Error != "" {
			return response, fmt.Errorf("%s: %s", p.name(), response.Error)
		}
		return response, nil
	case <-time.After(maxOrderTime):
		return announcement{}, fmt.Errorf("send order to %s: response timed out", p.name())
	}
}

// reloadPhase has all nodes reload a new revision of the operator's file.
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
	latency := c.ledger.reloadLatency(began)
	c.logProgress("operator's file applied after %.0f ms (p50), %.0f ms (last); %d nodes have not applied it", latency.P50, latency.Last, latency.Missing)
	return latency, nil
}

// eventPhase runs the event while changes continue, which DiscoveryDown makes impossible, and waits until all nodes know all
// servers and have applied all changes.
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
	if churnErr := <-done; err == nil {
		err = churnErr
	}
	if err != nil {
		return nil, err
	}
	if c.restartLatency == nil {
		c.waitComplete(ctx)
	}
	return c.awaitChanges(ctx, from), nil
}

// runEvent begins the event and, if it lasts for some time, ends it.
func (c *conductor) runEvent(ctx context.Context) error {
	half := c.Size.PhaseDuration / 2
	switch c.Size.Event {
	case RegionPartition:
		if err := c.regionLinks.send(order{Do: doCutRegions, On: true}); err != nil {
			return err
		}
		pause(ctx, half)
		c.logProgress("partition between regions ended")
		c.ledger.partitionEnded(time.Now())
		return c.regionLinks.send(order{Do: doCutRegions})
	case ControlKilled:
		c.controls[0].kill()
		pause(ctx, half)
		c.logProgress("control process starts again")
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
	c.logProgress("%d node processes start again", len(killed))
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

// discoveryDown makes discovery unreachable for a given time and makes a change at the end of it, which counts from discovery's
// return.
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
	c.logProgress("discovery reachable again")
	c.ledger.setMadeAt(made, time.Now().UnixNano())
	return nil
}
