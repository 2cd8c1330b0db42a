package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Figures of the case.
const (
	classNodes    = 4
	classBoxes    = 12
	classBookings = 40
	resetShare    = 4 // one booking in so many has its connection reset after it has run
)

// operatorFile routes all bookings to the traffic type that may run again.
const operatorFile = "[[routes]]\nname = \"counter\"\npath = \"/hire-book/**\"\nclass = \"hire-check\"\n"

// weakerClass starts nodes with an operator's file that gives bookings the traffic type of checks. The file is refused, or no booking runs
// twice, also when connections are reset under bookings that have run.
func weakerClass(l *lab) (broken bool, err error) {
	file := filepath.Join(l.dir, "operator.toml")
	if err := os.WriteFile(file, []byte(operatorFile), 0o644); err != nil {
		return false, err
	}
	l.note("operator's file:\n%s", operatorFile)
	d, err := l.newDiscovery(classNodes)
	if err != nil {
		return false, err
	}
	var boxes []*box
	for i := range classBoxes {
		b, err := l.newBox(fmt.Sprintf("s-%02d", i), i, classNodes, []float64{1.8, 0.9}[i%2])
		if err != nil {
			return false, err
		}
		if l.trouble != "0" {
			b.resetOneIn(resetShare)
		}
		boxes = append(boxes, b)
		d.set(b, "SERVING")
	}
	if err := d.up(false); err != nil {
		return false, err
	}
	var clients []*client
	for i := range classNodes {
		listen, err := freeAddress(l.ip(10 + i))
		if err != nil {
			return false, err
		}
		known, _ := d.list(i, 0, true)
		config := map[string]any{"seed": fmt.Sprintf("%016x", 77+i), "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
			"settings": settings(classNodes, i)}
		n, err := l.newNode(fmt.Sprintf("n%d", i), listen, d.addresses[i], config, "PROXY_OPERATOR="+file)
		if err != nil {
			return false, err
		}
		if err := n.start(); err != nil {
			return false, err
		}
		select {
		case <-n.exited:
			text, _ := os.ReadFile(filepath.Join(l.dir, n.name+".log"))
			l.note("the node refuses the file: %s", strings.TrimSpace(string(text)))
			return false, nil
		case <-time.After(2 * time.Second):
		}
		if err := n.awaitReady(); err != nil {
			return false, err
		}
		clients = append(clients, l.newClient(i, listen))
	}
	for range classBookings {
		for _, c := range clients {
			c.send(true)
		}
	}
	for i, c := range clients {
		l.note("answers of node %d: %s", i, c.answers())
	}
	return l.judgeRuns(boxes), nil
}

// judgeRuns reports whether a booking ran twice.
func (l *lab) judgeRuns(boxes []*box) (broken bool) {
	ran := map[string][]string{}
	for _, b := range boxes {
		for _, a := range b.received() {
			if a.isBook && a.ran {
				ran[a.id] = append(ran[a.id], b.id)
			}
		}
	}
	twice := 0
	for id, at := range ran {
		if len(at) > 1 {
			twice++
			l.log("booking %s ran at %s", id, strings.Join(at, " and "))
		}
	}
	l.note("%d bookings ran, %d of them more than once", len(ran), twice)
	return twice > 0
}
