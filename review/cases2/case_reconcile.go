package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// lateRun lets bookings wait in the waiting room of a slow server, settles the journal by the servers' lists of what ran, as the
// operators' page says, and checks that no booking that ran is shown as not sent.
func lateRun(r *rig) (broken []string) {
	const (
		settle = 6 * time.Second
		wait   = 10 * time.Second // in the waiting room of the slow server
		pause  = 6 * time.Second  // until the lists are taken; bindings.md asks for 5 s
	)
	f := r.newFleet(5, 60*time.Millisecond)
	d := r.startDiscovery(f)
	journal := r.directory("bindings")
	n := r.startNode(0, 1, d.address, d.known(), "PROXY_BINDINGS="+r.file("bindings.toml",
		fmt.Sprintf("dir = %q\npromise = \"machine\"\nwhen_failing = \"deny\"\n", journal)))
	if !r.awaitReady(n) {
		r.fail(fmt.Errorf("%s has ended", n.name))
	}
	from := time.Now().Add(-time.Minute)
	l := r.startLoad([]*node{n}, 25*time.Millisecond, func(i int) (method, path string, timeout time.Duration) {
		return http.MethodPost, fmt.Sprintf("/hire-book/baler-%d", i), 2 * time.Second
	})
	time.Sleep(settle)
	slow := f.busiest()
	if r.hasTrouble {
		r.logf("%s is slow: what comes waits %s before it is begun", slow.id, wait)
		slow.setWait(wait)
	}
	time.Sleep(time.Second)
	slow.setWait(0)
	answers := l.end()
	time.Sleep(pause)
	lists, to := "", time.Now()
	ran := f.runs()
	for _, s := range f.servers {
		lists += fmt.Sprintf("{\"server\":%q,\"from\":%q,\"to\":%q}\n", s.id, from.UTC().Format(time.RFC3339Nano), to.UTC().Format(time.RFC3339Nano))
		for id, runs := range ran {
			if runs[0].server == s.id {
				lists += fmt.Sprintf("{\"id\":%q}\n", id)
			}
		}
	}
	answer, ok := r.output("bindings", "--dir", journal, "reconcile", "--against", r.file("dockets.jsonl", lists))
	r.logf("bindings reconcile: success %v: %s", ok, strings.TrimSpace(answer))
	if !ok {
		r.fail(fmt.Errorf("reconcile: %s", answer))
	}
	time.Sleep(wait)
	ran = f.runs()
	wrong := 0
	for _, s := range answers {
		answer, _ := r.output("bindings", "--dir", journal, "show", s.id)
		head, _, _ := strings.Cut(answer, "\n")
		if len(ran[s.id]) > 0 && strings.HasSuffix(head, ": not-sent") {
			if wrong++; wrong <= 3 {
				broken = append(broken, fmt.Sprintf("booking %s ran at %s at %.3f, was answered %d, and the journal says: %s", s.id, ran[s.id][0].server,
					ran[s.id][0].at.Seconds(), s.status, head))
			}
		}
	}
	r.logf("%d bookings, %d ran and are shown as not sent", len(answers), wrong)
	return broken
}
