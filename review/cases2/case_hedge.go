package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// fallbackCopies limits one route, whose fallback allows second copies, and checks that no node ends and every request is answered
// while two of five servers stand still for a moment every few seconds.
func fallbackCopies(r *rig) (broken []string) {
	const (
		operator = `[[routes]]
name = "counter"
path = "/part-lookup/**"
headers = { X-Counter = "1" }
rate = 10.0
fallback = "lookups"

[[routes]]
name = "lookups"
type = "part-lookup"
copy_after = "250ms"
copy_share = 0.2
`
		settle = 6 * time.Second
		length = 12 * time.Second
		every  = 3 * time.Second
		still  = 450 * time.Millisecond
	)
	r.settings = partsSettings
	file := r.file("operator.toml", operator)
	f := r.newFleet(5, 60*time.Millisecond)
	d := r.startDiscovery(f)
	var nodes []*node
	for i := range 2 {
		nodes = append(nodes, r.startNode(i, 2, d.address, d.known(), "PROXY_OPERATOR="+file))
	}
	for _, n := range nodes {
		if !r.awaitReady(n) {
			r.fail(fmt.Errorf("%s has ended before the disruption", n.name))
		}
	}
	l := r.startLoad(nodes, 20*time.Millisecond, func(i int) (method, path string, timeout time.Duration) {
		return http.MethodGet, fmt.Sprintf("/part-lookup/header-%d", i), 2500 * time.Millisecond
	}, "X-Counter", "1")
	time.Sleep(settle)
	for began := r.now(); r.now()-began < length; time.Sleep(every) {
		if r.hasTrouble {
			r.logf("s1 and s2 stand still for %s", still)
			f.servers[0].standStill(still)
			f.servers[1].standStill(still)
		}
	}
	answers := l.end()
	unanswered := 0
	for _, s := range answers {
		if s.isTaken && !s.isWhole {
			unanswered++
		}
	}
	for _, n := range nodes {
		if n.hasEnded() {
			text, _ := os.ReadFile(filepath.Join(r.folder, n.name+".log"))
			cause := ""
			for line := range strings.SplitSeq(string(text), "\n") {
				if strings.HasPrefix(line, "panic") {
					cause = line
					break
				}
			}
			broken = append(broken, fmt.Sprintf("%s has ended by itself: %s", n.name, cause))
		}
	}
	r.logf("%d requests, %d taken and without an answer", len(answers), unanswered)
	if unanswered > 0 {
		broken = append(broken, fmt.Sprintf("%d of %d requests were taken and got no answer", unanswered, len(answers)))
	}
	return broken
}
