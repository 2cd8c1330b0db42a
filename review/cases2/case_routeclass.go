package main

import (
	"fmt"
	"strings"
	"time"
)

// routeClass starts nodes with an operator's file whose route for all paths assigns the retriable class, and checks that the
// file is refused or that no booking runs twice while connections are reset under bookings that have run.
func routeClass(r *rig) (broken []string) {
	const (
		operator = "[[routes]]\nname = \"pages\"\npath = \"/**\"\nclass = \"hire-check\"\nhops = 3\n"
		settle   = 4 * time.Second
		trouble  = 10 * time.Second
	)
	file := r.file("operator.toml", operator)
	f := r.newFleet(4, 60*time.Millisecond)
	d := r.startDiscovery(f)
	check, isAccepted := r.output("check", "--operator", file, "--settings", "example")
	r.logf("fernvane check --operator: accepted %v: %s", isAccepted, strings.ReplaceAll(check, "\n", " | "))
	var nodes []*node
	for i := range 2 {
		nodes = append(nodes, r.startNode(i, 2, d.address, d.known(), "PROXY_OPERATOR="+file))
	}
	for _, n := range nodes {
		if !r.awaitReady(n) {
			r.logf("%s refused the operator's file", n.name)
			return nil
		}
	}
	l := r.startLoad(nodes, 25*time.Millisecond, hireMix)
	time.Sleep(settle)
	if r.hasTrouble {
		r.logf("the connection of one booking in five is reset after the booking has run, for %s", trouble)
		f.cutEvery(5, "/hire-book/")
	}
	time.Sleep(trouble)
	f.cutEvery(0, "")
	time.Sleep(time.Second)
	answers := l.end()
	runs := f.runs()
	bookings, twice, refusedAfterRun := 0, 0, 0
	for _, s := range answers {
		if !strings.HasPrefix(s.path, "/hire-book/") {
			continue
		}
		bookings++
		ran := runs[s.id]
		if len(ran) > 1 {
			twice++
			if twice <= 3 {
				broken = append(broken, fmt.Sprintf("booking %s ran %d times: at %s and at %s", s.id, len(ran), ran[0].server, ran[1].server))
			}
		}
		if len(ran) > 0 && (s.status == 503 || s.status == 429) {
			refusedAfterRun++
		}
	}
	r.logf("%d bookings, %d ran more than once, %d were refused although they had run", bookings, twice, refusedAfterRun)
	if twice > 0 || refusedAfterRun > 0 {
		broken = append(broken, fmt.Sprintf("of %d bookings %d ran more than once and %d were refused although they had run", bookings, twice, refusedAfterRun))
	}
	return broken
}
