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
	longCut  = 7 * time.Second // longer than the timeouts of pings, slow peers and starts
	shortCut = time.Second
)

// Each fault of processes, disks or the network occurs during continuous writes at all control processes. Afterwards all
// processes must have the same entries and all acknowledged writes, and no node may have received an older version of a key.
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
					time.Sleep(span) // duration of the fault
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
		"root killed for long":         func(t *testing.T, f *fleet) { f.a.kill(); f.writer.waitAcknowledged(t, 100); f.a.start(t) },
		"root killed repeatedly":       killRepeatedly,
		"all killed at once":           killAll,
		"root shut down":               func(t *testing.T, f *fleet) { f.a.end(t); f.writer.waitAcknowledged(t, 20); f.a.start(t) },
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
		"disk old":                     restoreOldDisk,
		"disk empty":                   deleteDisk,
		"disk damaged":                 damageDisk,
		"disk full":                    fillDisk,
		"bytes damaged on the network": damageTraffic,
		"killed in a large change":     killDuringChange,
		"killed while alone":           killPartitioned,
		"relay ahead of its roots":     deleteRootDisks,
		"relay killed catching up":     killCatchingUp,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			fault(t, f)
			ended := time.Now()
			f.writer.end()
			f.waitConvergedSince(t, "convergence after the end of the fault", ended)
			f.writer.begin()
			f.writer.waitAcknowledged(t, 50)
			f.checkConverged(t)
		})
	}
}

func killRepeatedly(t *testing.T, f *fleet) {
	for n := range 5 {
		f.a.kill()
		f.a.start(t)
		wait(t, "an accepted write", func() bool {
			_, err := tryWriteWithin(f.a.at, time.Second, route("s", fmt.Sprint("again-", n)))
			return err == nil
		})
	}
}

func killAll(t *testing.T, f *fleet) {
	for _, p := range f.all() {
		p.kill()
	}
	for _, p := range f.all() {
		p.start(t)
	}
}

// restoreOldDisk replaces the disk by a copy that lacks writes which other processes have received from this one.
func restoreOldDisk(t *testing.T, f *fleet) {
	old, err := os.ReadFile(f.a.disk)
	if err != nil {
		t.Fatal(err)
	}
	f.writer.waitAcknowledged(t, 300)
	f.a.kill()
	if err := os.WriteFile(f.a.disk, old, 0o600); err != nil {
		t.Fatal(err)
	}
	f.a.start(t)
}

func deleteDisk(t *testing.T, f *fleet) {
	f.a.kill()
	if err := os.Remove(f.a.disk); err != nil {
		t.Fatal(err)
	}
	f.a.start(t)
}

func damageDisk(t *testing.T, f *fleet) {
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
	wait(t, "an accepted write", func() bool { _, err := tryWriteWithin(f.a.at, time.Second, route("s", "x")); return err == nil })
	if n := f.a.log.lines("set_aside"); n != 1 {
		t.Errorf("got %d log lines about the damaged file, want 1", n)
	}
	if files, _ := os.ReadDir(strings.TrimSuffix(f.a.disk, "/a.db")); !strings.Contains(fmt.Sprint(files), "a.db.damaged-") {
		t.Errorf("got directory %v, want the renamed damaged file", files)
	}
}

// fillDisk fills a root's disk during writes: the root must reject them or apply them in memory, and resume when its disk may
// grow again.
func fillDisk(t *testing.T, f *fleet) {
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
	f.writer.waitAcknowledged(t, 50)
	if n := f.a.log.lines("disk not writable"); n != 1 {
		t.Errorf("got %d log lines about the full disk, want 1", n)
	}
	f.a.kill()
	f.configure(t, f.a, "")
	f.a.start(t)
}

func damageTraffic(t *testing.T, f *fleet) {
	for _, name := range []string{"ra", "rb", "ab", "ba", "nr", "mb"} {
		f.proxies[name].Garble(faultproxy.Up, 3)
		f.proxies[name].Garble(faultproxy.Down, 3)
	}
	wait(t, "damaged bytes in both directions", func() bool {
		return f.proxies["ab"].IsGarbleDone(faultproxy.Up) && f.proxies["ab"].IsGarbleDone(faultproxy.Down)
	})
	for _, c := range f.proxies {
		c.Garble(faultproxy.Up, 0)
		c.Garble(faultproxy.Down, 0)
	}
}

// killDuringChange kills a root during a large write, whose writer may receive no result.
func killDuringChange(t *testing.T, f *fleet) {
	done := make(chan error, 1)
	go func() {
		_, err := tryWriteWithin(f.a.at, 5*time.Second, routes("large", 0, distribution.MaxChanges)...)
		done <- err
	}()
	wait(t, "part of the write at another process", func() bool {
		d, err := digests(f.b.at)
		return err == nil && d["large"] != 0
	})
	f.a.kill()
	acknowledged := <-done == nil
	f.a.start(t)
	f.checkLargeChange(t, acknowledged)
}

// killPartitioned kills a partitioned root immediately after it has acknowledged writes, which are stored only on its disk.
func killPartitioned(t *testing.T, f *fleet) {
	f.writer.end()
	f.waitConverged(t, "convergence before the fault")
	alone := []string{"ab", "ba", "ra"}
	for _, name := range alone {
		f.proxies[name].Cut(faultproxy.Up, true)
		f.proxies[name].Cut(faultproxy.Down, true)
	}
	changes := routes("alone", 0, 20)
	for _, c := range changes {
		if _, err := tryWriteWithin(f.a.at, waitTimeout, c); err != nil {
			t.Fatal(err)
		}
	}
	f.a.kill()
	if d, err := digests(f.b.at); err != nil || d["alone"] != 0 {
		t.Fatalf("write reached another process, or digests failed: %v", err)
	}
	f.a.start(t)
	for _, name := range alone {
		f.proxies[name].CloseConnections() // data in flight is lost with the process
		f.proxies[name].Cut(faultproxy.Up, false)
		f.proxies[name].Cut(faultproxy.Down, false)
	}
	f.waitConverged(t, "convergence after the kill")
	all := f.storedEntries(t, f.b)
	for _, c := range changes {
		if !all.has(c) {
			t.Errorf("acknowledged write of %s is lost", c.Key.Name)
		}
	}
	f.writer.begin()
}

func (f *fleet) checkLargeChange(t *testing.T, acknowledged bool) {
	t.Helper()
	f.writer.end()
	f.waitConverged(t, "convergence after the kill")
	n := 0
	all := f.storedEntries(t, f.b)
	for _, c := range routes("large", 0, distribution.MaxChanges) {
		if all.has(c) {
			n++
		}
	}
	t.Logf("acknowledged %t, %d of %d changes stored", acknowledged, n, distribution.MaxChanges)
	if acknowledged && n != distribution.MaxChanges {
		t.Errorf("got %d of %d acknowledged changes, want all", n, distribution.MaxChanges)
	}
	f.writer.begin()
}

// deleteRootDisks deletes the disks of both roots: only the relay and the nodes still have the entries.
func deleteRootDisks(t *testing.T, f *fleet) {
	f.writer.end()
	f.waitConverged(t, "convergence before the fault")
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

// killCatchingUp kills a relay during its catch-up with an empty disk.
func killCatchingUp(t *testing.T, f *fleet) {
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
	wait(t, "a part of the entries at the relay", func() bool { d, err := digests(f.r.at); return err == nil && d["large"] != 0 })
	f.r.kill()
	f.configure(t, f.r, "")
	f.r.start(t)
}

// Entries that all control processes have lost are received back from the nodes.
func TestNodesAheadOfAllControlProcesses(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.writer.end()
	f.waitConverged(t, "convergence before the fault")
	for _, n := range []*subscriber{f.near, f.far} {
		wait(t, "all acknowledged writes at "+n.name, func() bool { return f.writer.missing(n, n.services) == nil })
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
	wait(t, "all entries of the nodes at a root", func() bool {
		_, err := digests(f.a.at)
		return err == nil && f.writer.missing(f.storedEntries(t, f.a), f.near.services) == nil
	})
	f.waitConverged(t, "convergence after the loss")
	for _, p := range f.all() {
		f.writer.check(t, p.name, f.storedEntries(t, p), f.near.services)
	}
}

// SIGTERM terminates a process even while its peers are suspended.
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
