package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

// Figures of the case, inside the ranges of hire-northeast.
const (
	wholeListNodes  = 4
	wholeListBoxes  = 13
	boxesThatStay   = 5 // 38% of 13: the fleet shrinks to 36 to 67%
	trafficPerNode  = 85.0
	drainAllowance  = 550 * time.Millisecond // 500 ms, and 50 ms more on sockets
	nodeDeadFor     = 1500 * time.Millisecond
	shrinkBegins    = 9 * time.Second
	shrinkFor       = 10 * time.Second
	listOutOfReach  = 22 * time.Second
	boxesEndAfter   = 4 * time.Second // after the list: the grace, the abandon time, and 1.4 s more
	observedAfterIt = 15 * time.Second
)

// wholeList kills a node while the box list is out of reach and the fleet shrinks. When the list is back, its first answer is the whole list,
// which leaves out the boxes that drain. From 550 ms after that answer the node may send them nothing new.
func wholeList(l *lab) (broken bool, err error) {
	d, err := l.newDiscovery(wholeListNodes)
	if err != nil {
		return false, err
	}
	var boxes []*box
	for i := range wholeListBoxes {
		b, err := l.newBox(fmt.Sprintf("s-%02d", i), i, wholeListNodes, []float64{1.8, 0.9}[i%2])
		if err != nil {
			return false, err
		}
		boxes = append(boxes, b)
	}
	for _, b := range boxes[:wholeListBoxes-1] {
		d.set(b, "SERVING")
	}
	var nodes []*node
	var clients []*client
	for i := range wholeListNodes {
		n, err := l.newSnapshotNode(i, d)
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
		clients = append(clients, l.newClient(i, n.listen))
	}
	d.set(boxes[wholeListBoxes-1], "SERVING") // the node's configuration does not know this one
	if err := d.up(false); err != nil {
		return false, err
	}
	for _, n := range nodes {
		if err := n.start(); err != nil {
			return false, err
		}
	}
	for _, n := range nodes {
		if err := n.awaitReady(); err != nil {
			return false, err
		}
	}
	var percent atomic.Int64
	percent.Store(100)
	stop, stopped := make(chan struct{}), make(chan struct{})
	for _, c := range clients {
		go func() {
			c.load(func() float64 { return trafficPerNode * float64(percent.Load()) / 100 }, stop)
			stopped <- struct{}{}
		}()
	}
	time.Sleep(6 * time.Second)

	outage := time.Now()
	if l.trouble != "0" {
		d.down()
		time.Sleep(time.Second)
		nodes[0].kill()
		d.forget(0)
		time.Sleep(nodeDeadFor)
		if err := nodes[0].start(); err != nil {
			return false, err
		}
		if err := nodes[0].awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(outage.Add(shrinkBegins)))
	for i, b := range boxes[boxesThatStay:] { // the fleet shrinks, and traffic falls
		if i > 0 {
			time.Sleep(shrinkFor / time.Duration(wholeListBoxes-boxesThatStay-1))
		}
		d.set(b, "DRAINING")
		l.log("%s begins to drain", b.id)
		percent.Store(int64(100 * (wholeListBoxes - i - 1) / wholeListBoxes))
	}
	time.Sleep(time.Until(outage.Add(listOutOfReach)))
	if l.trouble != "0" {
		if err := d.up(true); err != nil {
			return false, err
		}
	}
	time.Sleep(boxesEndAfter) // nothing sent in time is open any more
	for _, b := range boxes[boxesThatStay:] {
		b.takeAway()
		l.log("%s is taken away", b.id)
	}
	time.Sleep(observedAfterIt - boxesEndAfter)
	close(stop)
	for range clients {
		<-stopped
	}
	for i, c := range clients {
		l.note("answers of node %d: %s", i, c.answers())
	}
	return l.judgeDrains(d, boxes), nil
}

// newSnapshotNode configures a node that keeps its list on disk. The list in its configuration is the one of now.
func (l *lab) newSnapshotNode(i int, d *discovery) (*node, error) {
	listen, err := freeAddress(l.ip(10 + i))
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("n%d", i)
	dir := filepath.Join(l.dir, name, "lists")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	file := filepath.Join(l.dir, name+"-snapshot.toml")
	text := fmt.Sprintf("dir = %q\ndeployment = \"hire-northeast\"\nevery = \"2s\"\nkeep = 3\noldest = \"168h\"\n", dir)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return nil, err
	}
	known, _ := d.list(i, 0, true)
	config := map[string]any{"seed": fmt.Sprintf("%016x", 77+i), "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
		"settings": settings(wholeListNodes, i)}
	return l.newNode(name, listen, d.addresses[i], config, "PROXY_SNAPSHOT="+file)
}

// judgeDrains reports whether a node sent a box anything new later than the rule allows after it was told that the box drains or is gone.
func (l *lab) judgeDrains(d *discovery, boxes []*box) (broken bool) {
	late, first, last := map[int]int{}, map[int]time.Duration{}, map[int]time.Duration{}
	for _, b := range boxes {
		for _, a := range b.received() {
			told, ok := d.toldAt(a.node, b.id)
			if !ok || a.at.Sub(told) <= drainAllowance {
				continue
			}
			after := a.at.Sub(told)
			late[a.node]++
			if late[a.node] == 1 || after < first[a.node] {
				first[a.node] = after
			}
			last[a.node] = max(last[a.node], after)
			l.log("late: node %d sent %s to %s %s after it was told", a.node, a.id, b.id, after.Round(time.Millisecond))
		}
	}
	for n := range d.addresses {
		l.note("node %d: %d requests sent to boxes over 550 ms after it was told that they drain or are gone (first %s, last %s after it)", n, late[n],
			first[n].Round(time.Millisecond), last[n].Round(time.Millisecond))
	}
	return len(late) > 0
}
