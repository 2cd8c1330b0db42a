package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	toldWithin = 6 * time.Second        // a change counts as told at the latest so long after discovery had it and could be reached
	grace      = 500 * time.Millisecond // rules.stopSendingWithin
	slack      = 50 * time.Millisecond  // of each time limit on sockets
)

// plannerRestart restarts all planners while a server begins to drain, and checks that no new work goes to that server later
// than the rule on drains allows.
func plannerRestart(r *rig) (broken []string) {
	const downFor = time.Second
	f := r.newFleet(5, 30*time.Millisecond)
	d := r.startDiscovery(f)
	addresses := []string{r.freeAddress(), r.freeAddress(), r.freeAddress()}
	var files []string
	for i, address := range addresses {
		files = append(files, r.file(fmt.Sprintf("planner-%d.toml", i+1), fmt.Sprintf("name = \"planner-%d\"\nlisten = %q\ndiscovery = %q\nplaintext = true\n",
			i+1, address, d.address)))
	}
	startPlanners := func() (planners []*process) {
		for i, file := range files {
			planners = append(planners, r.start(fmt.Sprint("planner-", i+1), "exec bin/fernvane plan -file "+file))
		}
		return planners
	}
	planners := startPlanners()
	time.Sleep(time.Second)
	forwarders := r.file("planners.toml", fmt.Sprintf("planners = [%q, %q, %q]\nplaintext = true\n", addresses[0], addresses[1], addresses[2]))
	var nodes []*node
	for i := range 2 {
		nodes = append(nodes, r.startNode(i, 2, d.address, d.known(), "PROXY_PLANNERS="+forwarders))
	}
	for _, n := range nodes {
		if !r.awaitReady(n) {
			r.fail(fmt.Errorf("%s has ended", n.name))
		}
	}
	l := r.startLoad(nodes, 20*time.Millisecond, hireMix)
	time.Sleep(8 * time.Second)
	leaving := f.busiest()
	if r.hasTrouble {
		for _, p := range planners {
			p.signal(syscall.SIGTERM)
		}
		r.logf("planners stopped")
		time.Sleep(downFor / 2)
	}
	d.set(leaving.id, "DRAINING")
	if r.hasTrouble {
		time.Sleep(downFor / 2)
		startPlanners()
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
