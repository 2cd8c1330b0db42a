package main

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"
)

const (
	toldWithin = 6 * time.Second        // a change counts as told at the latest so long after discovery had it and could be reached
	grace      = 500 * time.Millisecond // rules.stopSendingWithin
	slack      = 50 * time.Millisecond  // of each time limit on sockets
)

// controlRestart restarts the control process that follows a registry while a server leaves the registry, and checks that no new
// work goes to that server later than the rule on drains allows.
func controlRestart(r *rig) (broken []string) {
	f := r.newFleet(5, 30*time.Millisecond)
	g := r.startRegistry(f, startedEntry)
	address := r.freeAddress()
	control := r.file("control.toml", fmt.Sprintf("name = \"root-1\"\nregion = \"north\"\nzone = \"north-a\"\nlisten = %q\ndisk = %q\nregistry = %q\nservice = \"hire\"\nplaintext = true\n",
		address, filepath.Join(r.directory("control"), "control.db"), g.file()))
	startControl := func() *process { return r.start("control", "exec bin/fernvane control --file "+control) }
	process := startControl()
	time.Sleep(6 * time.Second) // a new control process is current 5 s after its start
	unused := r.freeAddress()   // discovery is out of reach; with a distribution it is not asked
	var nodes []*node
	for i := range 2 {
		file := r.file(fmt.Sprintf("distribution-%d.toml", i), fmt.Sprintf("control = [%q]\nservices = [\"hire\"]\nregion = \"north\"\nzone = \"north-1\"\ndirectory = %q\nplaintext = true\n",
			address, r.directory(fmt.Sprint("distribution-", i))))
		nodes = append(nodes, r.startNode(i, 2, unused, object{"revision": 0, "complete": true, "members": []object{}}, "PROXY_DISTRIBUTION="+file))
	}
	for _, n := range nodes {
		if !r.awaitReady(n) {
			r.fail(fmt.Errorf("%s has ended", n.name))
		}
	}
	l := r.startLoad(nodes, 20*time.Millisecond, hireMix)
	time.Sleep(5 * time.Second)
	leaving := f.busiest()
	if r.hasTrouble {
		process.signal(syscall.SIGTERM)
		<-process.done
		r.logf("control process stopped")
	}
	g.leave(leaving.id)
	if r.hasTrouble {
		time.Sleep(time.Second)
		startControl()
		time.Sleep(5 * time.Second) // until it is current at the latest
	}
	return r.judgeDrain(l, f, leaving)
}

// judgeDrain goes on for some seconds, switches off the server that has drained or left, and returns how the rule on drains was
// broken since now.
func (r *rig) judgeDrain(l *load, f *fleet, s *server) (broken []string) {
	limit := r.now() + toldWithin + grace + slack
	r.logf("%s gets nothing new after %.3f", s.id, limit.Seconds())
	r.sleepUntil(limit + 4*time.Second)
	s.switchOff()
	time.Sleep(3 * time.Second)
	answers := l.end()
	late := f.since(s.id, limit)
	r.logf("%d requests, %d begun by %s after the limit, %d sent to it after its end and lost", len(answers), len(late), s.id, f.lostCount())
	if len(late) > 0 {
		broken = append(broken, fmt.Sprintf("%s got %d new requests after %.3f; the first is %s at %.3f", s.id, len(late), limit.Seconds(), late[0].id,
			late[0].at.Seconds()))
	}
	if n := f.lostCount(); n > 0 {
		broken = append(broken, fmt.Sprintf("%d requests were sent to %s after its end and lost", n, s.id))
	}
	return broken
}
