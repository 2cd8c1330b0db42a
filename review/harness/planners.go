package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

// Figures of the case, inside the ranges of hire-northeast.
const (
	planForwarders  = 4
	planPlanners    = 3
	planBoxes       = 13
	planBoxesStay   = 7 // 54% of 13: the fleet shrinks to 36 to 67%
	planTraffic     = 50.0
	planShrinkFor   = 10 * time.Second
	plannersLostAt  = 4 * time.Second // after the shrink has begun
	plannersLostFor = 1500 * time.Millisecond
	planObserved    = 26 * time.Second                          // from the begin of the shrink
	planAllowance   = 10*time.Second + 550*time.Millisecond     // askWithin, and the grace
	plannerCommand  = "exec bin/fernvane plan --file '%s' 2>&1" // as in docs/operators/planners.md
)

// lostPlanners kills all planners while the fleet shrinks, and starts them again after 1.5 s. No drain may be missed.
func lostPlanners(l *lab) (broken bool, err error) {
	d, err := l.newDiscovery(planForwarders + planPlanners)
	if err != nil {
		return false, err
	}
	d.isOneView = true
	var boxes []*box
	for i := range planBoxes {
		b, err := l.newBox(fmt.Sprintf("s-%02d", i), i, 1, []float64{1.8, 0.9}[i%2])
		if err != nil {
			return false, err
		}
		boxes = append(boxes, b)
		d.set(b, "SERVING")
	}
	if err := d.up(true); err != nil {
		return false, err
	}
	planners, file, err := l.newPlanners(d)
	if err != nil {
		return false, err
	}
	var clients []*client
	for i := range planForwarders {
		listen, err := freeAddress(l.ip(10 + i))
		if err != nil {
			return false, err
		}
		known, _ := d.list(i, 0, true)
		config := map[string]any{"seed": fmt.Sprintf("%016x", 77+i), "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
			"settings": settings(planForwarders, i)}
		n, err := l.newNode(fmt.Sprintf("n%d", i), listen, d.addresses[i], config, "PROXY_PLANNERS="+file)
		if err != nil {
			return false, err
		}
		if err := n.start(); err != nil {
			return false, err
		}
		if err := n.awaitReady(); err != nil {
			return false, err
		}
		clients = append(clients, l.newClient(i, listen))
	}
	var percent atomic.Int64
	percent.Store(100)
	stop, stopped := make(chan struct{}), make(chan struct{})
	for _, c := range clients {
		go func() {
			c.load(func() float64 { return planTraffic * float64(percent.Load()) / 100 }, stop)
			stopped <- struct{}{}
		}()
	}
	time.Sleep(8 * time.Second)

	began := time.Now()
	drained := map[*box]time.Time{}
	restarted := make(chan error, 1)
	go func() { restarted <- l.losePlanners(planners) }()
	for i, b := range boxes[planBoxesStay:] {
		time.Sleep(time.Until(began.Add(time.Duration(i) * planShrinkFor / (planBoxes - planBoxesStay - 1))))
		drained[b] = time.Now()
		d.set(b, "DRAINING")
		l.note("%s begins to drain", b.id)
		percent.Store(int64(100 * (planBoxes - i - 1) / planBoxes))
	}
	if err := <-restarted; err != nil {
		return false, err
	}
	time.Sleep(time.Until(began.Add(planObserved)))
	close(stop)
	for i, c := range clients {
		<-stopped
		l.note("answers of node %d: %s", i, c.answers())
	}
	for _, b := range boxes[planBoxesStay:] {
		late, last := 0, time.Duration(0)
		for _, a := range b.received() {
			if after := a.at.Sub(drained[b]); after > planAllowance {
				late++
				last = max(last, after)
			}
		}
		l.note("%s: %d requests over 10.55 s after it began to drain (last %s after it)", b.id, late, last.Round(time.Millisecond))
		broken = broken || late > 0
	}
	return broken, nil
}

// newPlanners configures and starts the planners, and returns the file of the nodes that names them.
func (l *lab) newPlanners(d *discovery) (planners []*node, file string, err error) {
	var addresses []string
	for i := range planPlanners {
		listen, err := freeAddress(l.ip(60 + i))
		if err != nil {
			return nil, "", err
		}
		name := fmt.Sprintf("planner-%d", i)
		path := filepath.Join(l.dir, name+".toml")
		text := fmt.Sprintf("name = %q\nlisten = %q\ndiscovery = %q\nevery = \"500ms\"\nplaintext = true\n", name, listen, d.addresses[planForwarders+i])
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return nil, "", err
		}
		p, err := l.newNode(name, listen, d.addresses[planForwarders+i], map[string]any{})
		if err != nil {
			return nil, "", err
		}
		p.run = fmt.Sprintf(plannerCommand, path)
		if err := p.start(); err != nil {
			return nil, "", err
		}
		planners, addresses = append(planners, p), append(addresses, fmt.Sprintf("%q", listen))
	}
	time.Sleep(time.Second)
	file = filepath.Join(l.dir, "planners.toml")
	text := fmt.Sprintf("planners = [%s]\nplaintext = true\n", strings.Join(addresses, ", "))
	return planners, file, os.WriteFile(file, []byte(text), 0o644)
}

// losePlanners kills all planners, and starts them again a while later.
func (l *lab) losePlanners(planners []*node) error {
	if l.trouble == "0" {
		return nil
	}
	time.Sleep(plannersLostAt - plannersLostFor/4)
	for _, p := range planners {
		p.kill()
	}
	l.note("all planners are killed")
	time.Sleep(plannersLostFor)
	for _, p := range planners {
		if err := p.start(); err != nil {
			return err
		}
	}
	l.note("all planners are started again")
	return nil
}
