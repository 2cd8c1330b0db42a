package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// tierStop stops two nodes of a tier in good order, a node that has sent a booking and the one that holds its journal, and
// checks what the tier then answers about that booking: an entry, or that too few nodes answered, and not that there is none.
func tierStop(r *rig) (broken []string) {
	const count = 6
	f := r.newFleet(3, 60*time.Millisecond)
	d := r.startDiscovery(f)
	addresses, held := make([]string, count), make([]string, count)
	for i := range addresses {
		addresses[i] = r.freeAddress()
	}
	seeds := fmt.Sprintf("peers = [%q, %q]\n", addresses[count-2], addresses[count-1])
	var nodes []*node
	var peers string
	for i := range count {
		held[i] = r.directory(fmt.Sprintf("held-%d", i))
		peers = r.file(fmt.Sprintf("peers-%d.toml", i), fmt.Sprintf("listen = %q\n%sdeployment = \"hire-boxes\"\nsite = \"site-%d\"\nmachine = \"machine-%d\"\nreplicas = 1\nheld = %q\nheld_bytes = 1073741824\nrepair_bytes = 8388608\nslow_after = \"50ms\"\nplaintext = true\n",
			addresses[i], seeds, i, i, held[i]))
		bindings := r.file(fmt.Sprintf("bindings-%d.toml", i), fmt.Sprintf("dir = %q\npromise = \"machines\"\nwhen_failing = \"deny\"\n",
			r.directory(fmt.Sprintf("bindings-%d", i))))
		nodes = append(nodes, r.startNode(i, count, d.address, d.known(), "PROXY_PEERS="+peers, "PROXY_BINDINGS="+bindings))
	}
	for _, n := range nodes {
		if !r.awaitReady(n) {
			r.fail(fmt.Errorf("%s has ended", n.name))
		}
	}
	time.Sleep(4 * time.Second)
	l := r.startLoad(nodes[:1], time.Hour, hireMix)
	for i, n := range nodes[:count-2] {
		l.send(n, http.MethodPost, "/hire-book/baler-1", fmt.Sprint("booking-at-", n.name), 2*time.Second)
		if ran := f.runs()[fmt.Sprint("booking-at-n", i)]; len(ran) != 1 {
			r.fail(fmt.Errorf("the booking at n%d ran %d times before the disruption", i, len(ran)))
		}
	}
	time.Sleep(time.Second)
	origin, holder := holderOf(held)
	if origin < 0 {
		r.fail(fmt.Errorf("no node holds a journal"))
	}
	booked := fmt.Sprint("booking-at-n", origin)
	r.logf("n%d holds the journal of n%d", holder, origin)
	asked := count - 1
	if holder == asked {
		asked--
	}
	peers = filepath.Join(r.folder, fmt.Sprintf("peers-%d.toml", asked))
	if r.hasTrouble {
		r.logf("n%d and n%d get SIGTERM", origin, holder)
		nodes[origin].signal(syscall.SIGTERM)
		time.Sleep(300 * time.Millisecond)
		nodes[holder].signal(syscall.SIGTERM)
		<-nodes[origin].done
		<-nodes[holder].done
		r.logf("both have ended")
	}
	time.Sleep(500 * time.Millisecond)
	for _, command := range [][]string{{"show", booked}, {"find", "--id", booked}} {
		answer, ok := r.output(append([]string{"bindings", "--tier", "--peers", peers}, command...)...)
		r.logf("bindings --tier %s: success %v: %s", strings.Join(command, " "), ok, strings.ReplaceAll(strings.TrimSpace(answer), "\n", " | "))
		isFound := strings.Contains(answer, "ran") && strings.Contains(answer, "s"+strings.TrimPrefix(f.runs()[booked][0].server, "s"))
		isOpen := strings.Contains(answer, "too few nodes responded") || strings.Contains(answer, "not-known") || strings.Contains(answer, "possibly-sent")
		if !isFound && !isOpen {
			broken = append(broken, fmt.Sprintf("booking %s ran; `bindings --tier %s` answers: %s", booked, command[0], strings.ReplaceAll(strings.TrimSpace(answer), "\n", " | ")))
		}
	}
	if os.Getenv("KEEP") != "" {
		r.logf("folder %s", r.folder)
	}
	return broken
}

// holderOf returns a node that took a booking and the node that holds its journal, both no seeds if there is such a pair: the last
// two nodes are the seeds. origin is -1 if no journal is held.
func holderOf(held []string) (origin, holder int) {
	origin, holder = -1, -1
	for i := range len(held) - 2 {
		for j, folder := range held {
			if replicas, _ := filepath.Glob(filepath.Join(folder, fmt.Sprintf("n%d@*", i))); len(replicas) == 0 {
				continue
			}
			if j < len(held)-2 {
				return i, j
			}
			origin, holder = i, j
		}
	}
	return origin, holder
}
