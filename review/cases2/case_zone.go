package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// unknownZone has nodes follow a registry whose entries name no zone, and checks that a fingerprinted request that may have
// run is not run again at another site, where its mark is not known.
func unknownZone(r *rig) (broken []string) {
	const settle, trouble = 12 * time.Second, 10 * time.Second
	r.settings = warrantySettings
	f := r.newFleet(4, 30*time.Millisecond)
	sites := map[string]string{"s1": "wynyard", "s2": "smithton", "s3": "ulverstone", "s4": "penguin"}
	g := r.startRegistry(f, plainEntry)
	file := g.file()
	var nodes []*node
	for i := range 2 {
		nodes = append(nodes, r.startNode(i, 2, r.freeAddress(), object{"revision": 0, "complete": true, "members": []object{}}, "PROXY_REGISTRY="+file))
	}
	for _, n := range nodes {
		if !r.awaitReady(n) {
			r.logf("%s refused the configuration", n.name)
			return nil
		}
	}
	l := r.startLoad(nodes, 25*time.Millisecond, func(i int) (method, path string, timeout time.Duration) {
		if i%2 == 0 {
			return http.MethodPost, fmt.Sprintf("/claim-update/header-%d", i), time.Second
		}
		return http.MethodGet, fmt.Sprintf("/claim-lookup/header-%d", i), 2 * time.Second
	})
	time.Sleep(settle)
	if r.hasTrouble {
		s := f.busiest()
		r.logf("%s resets the connection of every claim-update after it has run, for %s", s.id, trouble)
		s.cut(func(path string) bool { return strings.HasPrefix(path, "/claim-update/") })
	}
	time.Sleep(trouble)
	f.cutEvery(0, "")
	time.Sleep(time.Second)
	updates, doubled := 0, 0
	runs := f.runs()
	for _, s := range l.end() {
		if !strings.HasPrefix(s.path, "/claim-update/") {
			continue
		}
		updates++
		ranAt := map[string]bool{}
		for _, a := range runs[s.id] {
			ranAt[sites[a.server]] = true
		}
		if len(ranAt) > 1 {
			if doubled++; doubled <= 3 {
				broken = append(broken, fmt.Sprintf("claim-update %s ran at %d sites: %v", s.id, len(ranAt), ranAt))
			}
		}
	}
	r.logf("%d requests of claim-update, %d ran at more than one site", updates, doubled)
	if doubled > 0 {
		broken = append(broken, fmt.Sprintf("of %d requests of claim-update %d ran at more than one site", updates, doubled))
	}
	return broken
}
