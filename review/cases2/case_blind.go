package main

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"slices"
	"syscall"
	"time"
)

// blindStart kills a node with a kept list, starts it again while the registry is out of reach and the fleet shrinks, and checks
// that servers that have left get nothing new once the registry has told the node its list.
func blindStart(r *rig) (broken []string) {
	const (
		leaving  = 7 // of 12 servers
		pace     = 1400 * time.Millisecond
		downFor  = 7500 * time.Millisecond
		outOfFor = 9500 * time.Millisecond
	)
	f := r.newFleet(12, 40*time.Millisecond)
	g := r.startRegistry(f, startedEntry)
	environment := []string{"PROXY_REGISTRY=" + g.file(), "PROXY_SNAPSHOT=" + r.file("snapshot.toml",
		fmt.Sprintf("dir = %q\ndeployment = \"hire-northeast\"\nevery = \"2s\"\nkeep = 3\noldest = \"168h\"\n", r.directory("lists")))}
	known, unused := object{"revision": 0, "complete": true, "members": []object{}}, r.freeAddress()
	start := func() *node {
		n := r.startNode(0, 1, unused, known, environment...)
		if !r.awaitReady(n) {
			r.fail(fmt.Errorf("%s has ended", n.name))
		}
		return n
	}
	n := start()
	l := r.startLoad([]*node{n}, 4*time.Millisecond, hireMix)
	time.Sleep(8 * time.Second)
	l.end()
	l = r.startLoad([]*node{n}, 40*time.Millisecond, hireMix)
	time.Sleep(4 * time.Second)
	order := slices.Clone(f.servers) // those that the node will try first leave last
	slices.SortFunc(order, func(a, b *server) int {
		return cmp.Compare(crc32.ChecksumIEEE([]byte("n0/"+a.id)), crc32.ChecksumIEEE([]byte("n0/"+b.id)))
	})
	gone := order[:leaving]
	slices.Reverse(gone)
	killAt := r.now()
	left := make(chan struct{})
	go func() {
		defer close(left)
		time.Sleep(pace / 10)
		for i, s := range gone {
			if i > 0 {
				time.Sleep(pace)
			}
			g.leave(s.id)
		}
	}()
	if r.hasTrouble {
		n.signal(syscall.SIGKILL)
		<-n.done
		g.setReachable(false)
		r.logf("n0 is killed, and the registry is out of reach")
		l.end()
		r.sleepUntil(killAt + downFor)
		n = start()
		l = r.startLoad([]*node{n}, 40*time.Millisecond, hireMix)
		r.sleepUntil(killAt + outOfFor)
		g.setReachable(true)
		r.logf("the registry is in reach")
	}
	<-left
	limit := r.now() + toldWithin + grace + slack
	r.logf("servers that have left get nothing new after %.3f", limit.Seconds())
	r.sleepUntil(limit + 8*time.Second)
	for _, s := range gone {
		s.switchOff()
	}
	time.Sleep(3 * time.Second)
	l.end()
	late, servers := 0, 0
	for _, s := range gone {
		if requests := f.since(s.id, limit); len(requests) > 0 {
			late += len(requests)
			servers++
		}
	}
	r.logf("%d requests begun after the limit by %d servers that have left, %d sent to them after their end and lost", late, servers, f.lostCount())
	if late > 0 {
		broken = append(broken, fmt.Sprintf("%d servers that have left got %d new requests after %.3f", servers, late, limit.Seconds()))
	}
	if lost := f.lostCount(); lost > 0 {
		broken = append(broken, fmt.Sprintf("%d requests were sent to them after their end and lost", lost))
	}
	return broken
}
