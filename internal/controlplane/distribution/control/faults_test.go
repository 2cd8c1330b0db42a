package control

import (
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/testbed/standin/faultproxy"
)

const (
	longCut  = 7 * time.Second // past the ends of pings, of slow peers and of starts
	shortCut = time.Second
)

// Faults between processes of the program, each amid changes at all of them. Afterwards all hold the same, nothing that was
// acknowledged is lost, and no node went back.
func TestFaults(t *testing.T) {
	t.Parallel()
	cut := func(span time.Duration, directions []faultproxy.Direction, names ...string) func(*testing.T, *fleet) {
		return func(t *testing.T, f *fleet) {
			for _, cut := range []bool{true, false} {
				for _, name := range names {
					for _, d := range directions {
						f.proxies[name].Cut(d, cut)
					}
				}
				if cut {
					time.Sleep(span) // the fault's length
				}
			}
		}
	}
	both := []faultproxy.Direction{faultproxy.Up, faultproxy.Down}
	stopped := func(of func(*fleet) *process, span time.Duration) func(*testing.T, *fleet) {
		return func(t *testing.T, f *fleet) {
			of(f).signal(syscall.SIGSTOP)
			time.Sleep(span)
			of(f).signal(syscall.SIGCONT)
		}
	}
	root, relay := func(f *fleet) *process { return f.a }, func(f *fleet) *process { return f.r }
	for name, fault := range map[string]func(*testing.T, *fleet){
		"root killed":                  func(t *testing.T, f *fleet) { f.a.kill(); f.a.start(t) },
		"relay killed":                 func(t *testing.T, f *fleet) { f.r.kill(); f.r.start(t) },
		"root killed for long":         func(t *testing.T, f *fleet) { f.a.kill(); f.writer.reach(t, 100); f.a.start(t) },
		"root killed repeatedly":       killedAgain,
		"all killed at once":           allKilled,
		"root shut down":               func(t *testing.T, f *fleet) { f.a.end(t); f.writer.reach(t, 20); f.a.start(t) },
		"root stopped":                 stopped(root, longCut),
		"relay stopped":                stopped(relay, longCut),
		"root stopped briefly":         stopped(root, shortCut),
		"relay cut off upwards":        cut(longCut, both[:1], "ra"),
		"relay cut off downwards":      cut(longCut, both[1:], "ra"),
		"relay cut off":                cut(longCut, both, "ra", "rb"),
		"relay cut off briefly":        cut(shortCut, both, "ra", "rb"),
		"nodes cut off":                cut(longCut, both, "nr", "mb"),
		"regions partitioned":          cut(longCut, both, "ab", "ba"),
		"regions partitioned one way":  cut(longCut, both[1:], "ab", "ba"),
		"disk old":                     oldDisk,
		"disk empty":                   emptyDisk,
		"disk damaged":                 garbledDisk,
		"disk full":                    fullDisk,
		"bytes damaged on the network": garbledWire,
		"killed in a large change":     killedInAChange,
		"killed while alone":           killedAlone,
		"relay ahead of its roots":     relayAhead,
		"relay killed catching up":     killedCatchingUp,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			fault(t, f)
			ended := time.Now()
			f.writer.end()
			f.settleSince(t, "from the fault's end", ended)
			f.writer.begin()
			f.writer.reach(t, 50)
			f.checkConverged(t)
		})
	}
}

func killedAgain(t *testing.T, f *fleet) {
	for n := range 5 {
		f.a.kill()
		f.a.start(t)
		wait(t, "it takes writes", func() bool {
			_, err := tryWriteWithin(f.a.at, time.Second, route("s", fmt.Sprint("again-", n)))
			return err == nil
		})
	}
}

func allKilled(t *testing.T, f *fleet) {
	for _, p := range f.all() {
		p.kill()
	}
	for _, p := range f.all() {
		p.start(t)
	}
}

// oldDisk puts a copy back that is older than what the others have had from this process.
func oldDisk(t *testing.T, f *fleet) {
	old, err := os.ReadFile(f.a.disk)
	if err != nil {
		t.Fatal(err)
	}
	f.writer.reach(t, 300)
	f.a.kill()
	if err := os.WriteFile(f.a.disk, old, 0o600); err != nil {
		t.Fatal(err)
	}
	f.a.start(t)
}

func emptyDisk(t *testing.T, f *fleet) {
	f.a.kill()
	if err := os.Remove(f.a.disk); err != nil {
		t.Fatal(err)
	}
	f.a.start(t)
}

func garbledDisk(t *testing.T, f *fleet) {
	f.a.kill()
	file, err := os.OpenFile(f.a.disk, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	size, err := file.Seek(0, io.SeekEnd)
	if err != nil {
		t.Fatal(err)
	}
	noise := []byte(strings.Repeat("noise", 100))
	for at := int64(0); at < size; at += 4096 {
		if _, err := file.WriteAt(noise, at+200); err != nil {
			t.Fatal(err)
		}
	}
	file.Close()
	f.a.start(t)
	wait(t, "it takes writes", func() bool { _, err := tryWriteWithin(f.a.at, time.Second, route("s", "x")); return err == nil })
	if n := f.a.log.lines("set_aside"); n != 1 {
		t.Errorf("%d lines about the damaged file", n)
	}
	if kept, _ := os.ReadDir(strings.TrimSuffix(f.a.disk, "/a.db")); !strings.Contains(fmt.Sprint(kept), "a.db.damaged-") {
		t.Errorf("the damaged file is not kept: %v", kept)
	}
}

// fullDisk has a root's disk full amid changes: they are refused there or held in memory, and go on when there is room.
func fullDisk(t *testing.T, f *fleet) {
	f.a.end(t)
	f.configure(t, f.a, "disk_bytes = 300000\n")
	f.a.start(t)
	filled := func() bool {
		for n := range 10 {
			c := route("s", fmt.Sprint("large-", n))
			c.Value = []byte(strings.Repeat("v", 50_000))
			if _, err := tryWriteWithin(f.b.at, time.Second, c); err != nil {
				return false
			}
		}
		_, err := tryWriteWithin(f.a.at, 2*time.Second, route("s", "on-a-full-disk"))
		return err != nil && strings.Contains(err.Error(), "in effect from memory")
	}
	wait(t, "a full disk", filled)
	f.writer.reach(t, 50)
	if n := f.a.log.lines("disk not writable"); n != 1 {
		t.Errorf("%d lines about the full disk", n)
	}
	f.a.kill()
	f.configure(t, f.a, "")
	f.a.start(t)
}

func garbledWire(t *testing.T, f *fleet) {
	for _, name := range []string{"ra", "rb", "ab", "ba", "nr", "mb"} {
		f.proxies[name].Garble(faultproxy.Up, 3)
		f.proxies[name].Garble(faultproxy.Down, 3)
	}
	wait(t, "garbled", func() bool { return f.proxies["ab"].Garbled(faultproxy.Up) && f.proxies["ab"].Garbled(faultproxy.Down) })
	for _, c := range f.proxies {
		c.Garble(faultproxy.Up, 0)
		c.Garble(faultproxy.Down, 0)
	}
}

// killedInAChange kills a root while it takes a large change; nobody hears of it whether it holds.
func killedInAChange(t *testing.T, f *fleet) {
	done := make(chan error, 1)
	go func() {
		_, err := tryWriteWithin(f.a.at, 5*time.Second, routes("large", 0, distribution.MaxChanges)...)
		done <- err
	}()
	wait(t, "part of it is elsewhere", func() bool {
		d, err := digests(f.b.at)
		return err == nil && d["large"] != 0
	})
	f.a.kill()
	acknowledged := <-done == nil
	f.a.start(t)
	f.settleLarge(t, acknowledged)
}

// killedAlone kills a root that nobody hears, just as it has acknowledged changes: its disk is their only holder.
func killedAlone(t *testing.T, f *fleet) {
	f.writer.end()
	f.waitConverged(t, "before")
	alone := []string{"ab", "ba", "ra"}
	for _, name := range alone {
		f.proxies[name].Cut(faultproxy.Up, true)
		f.proxies[name].Cut(faultproxy.Down, true)
	}
	changes := routes("alone", 0, 20)
	for _, c := range changes {
		if _, err := tryWriteWithin(f.a.at, patience, c); err != nil {
			t.Fatal(err)
		}
	}
	f.a.kill()
	if d, err := digests(f.b.at); err != nil || d["alone"] != 0 {
		t.Fatalf("another has heard of it: %v", err)
	}
	f.a.start(t)
	for _, name := range alone {
		f.proxies[name].Break() // what was on its way went with the process
		f.proxies[name].Cut(faultproxy.Up, false)
		f.proxies[name].Cut(faultproxy.Down, false)
	}
	f.waitConverged(t, "after the kill")
	all := f.heldEntries(t, f.b)
	for _, c := range changes {
		if !all.holds(c) {
			t.Errorf("%s is lost", c.Key.Name)
		}
	}
	f.writer.begin()
}

func (f *fleet) settleLarge(t *testing.T, acknowledged bool) {
	t.Helper()
	f.writer.end()
	f.waitConverged(t, "after the kill")
	n := 0
	all := f.heldEntries(t, f.b)
	for _, c := range routes("large", 0, distribution.MaxChanges) {
		if all.holds(c) {
			n++
		}
	}
	t.Logf("acknowledged %t, %d of %d changes hold", acknowledged, n, distribution.MaxChanges)
	if acknowledged && n != distribution.MaxChanges {
		t.Errorf("%d of %d acknowledged changes hold", n, distribution.MaxChanges)
	}
	f.writer.begin()
}

// relayAhead has both roots lose their disks: the relay and the nodes hold all that there was.
func relayAhead(t *testing.T, f *fleet) {
	f.writer.end()
	f.waitConverged(t, "before")
	for _, p := range []*process{f.a, f.b} {
		p.kill()
		if err := os.Remove(p.disk); err != nil {
			t.Fatal(err)
		}
	}
	f.a.start(t)
	f.b.start(t)
	f.writer.begin()
}

// killedCatchingUp kills a relay while it fills a new disk.
func killedCatchingUp(t *testing.T, f *fleet) {
	for n := range 4 {
		changes := routes("large", n*500, n*500+500)
		for i := range changes {
			changes[i].Value = []byte(strings.Repeat("v", 1500))
		}
		if _, err := tryWriteWithin(f.b.at, 5*time.Second, changes...); err != nil {
			t.Fatal(err)
		}
	}
	f.r.kill()
	if err := os.Remove(f.r.disk); err != nil {
		t.Fatal(err)
	}
	f.configure(t, f.r, "control_bytes = 200000\n")
	f.r.start(t)
	wait(t, "some of it", func() bool { d, err := digests(f.r.at); return err == nil && d["large"] != 0 })
	f.r.kill()
	f.configure(t, f.r, "")
	f.r.start(t)
}

// What all control processes have lost is received back from the nodes.
func TestNodesAheadOfAllControlProcesses(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.writer.end()
	f.waitConverged(t, "before")
	for _, n := range []*subscriber{f.near, f.far} {
		wait(t, "all at "+n.name, func() bool { return f.writer.lacking(n, n.services) == nil })
	}
	for _, p := range f.all() {
		p.kill()
		if err := os.Remove(p.disk); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range f.all() {
		p.start(t)
	}
	wait(t, "all that nodes hold", func() bool {
		_, err := digests(f.a.at)
		return err == nil && f.writer.lacking(f.heldEntries(t, f.a), f.near.services) == nil
	})
	f.waitConverged(t, "after the loss")
	for _, p := range f.all() {
		f.writer.check(t, p.name, f.heldEntries(t, p), f.near.services)
	}
}

// SIGTERM ends a process also while its peers are stopped.
func TestShutdownBesideStoppedPeers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.a.signal(syscall.SIGSTOP)
	f.r.signal(syscall.SIGSTOP)
	f.b.end(t)
	f.a.signal(syscall.SIGCONT)
	f.r.signal(syscall.SIGCONT)
	f.b.start(t)
	f.checkConverged(t)
}
