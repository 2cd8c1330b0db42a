package testbed

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
	"fernvane/internal/testbed/audit"
	"fernvane/internal/testbed/load"
	"fernvane/internal/testbed/standin/memdisk"
)

// diskVar names the file that says how long each write of a node's journal takes.
const diskVar = "FERNLAB_DISK"

const diskPollInterval = 20 * time.Millisecond // between two looks at that file

const fullDisk = "full" // in that file: no write succeeds

// Disk is the disk beneath what a node keeps in the testbed, slow or full when a fault says so; nil without one.
func Disk(getenv func(string) string) wal.FileSystem {
	path := getenv(diskVar)
	if path == "" {
		return nil
	}
	var looked, takes atomic.Int64
	var full atomic.Bool
	look := func() {
		if now := time.Now().UnixNano(); now-looked.Load() > int64(diskPollInterval) {
			looked.Store(now)
			text, _ := os.ReadFile(path)
			word := strings.TrimSpace(string(text))
			d, _ := time.ParseDuration(word)
			takes.Store(int64(d))
			full.Store(word == fullDisk)
		}
	}
	return memdisk.SlowFiles{Takes: func() time.Duration { look(); return time.Duration(takes.Load()) }, Full: func() bool { look(); return full.Load() }}
}

func (w *world) diskFile(n int) string { return w.nodes[n].file("disk", "txt") }

// disks has what befalls the disks of nodes said to them: a span, or fullDisk.
func (w *world) disks(nodes []int, word string) {
	for _, n := range nodes {
		path := w.diskFile(n)
		if err := os.WriteFile(path+".new", []byte(word), 0o644); err == nil {
			os.Rename(path+".new", path)
		}
	}
}

// journals has each node keep one, where the scenario says so.
func (w *world) journals() error {
	j := w.Scenario.Journal
	if j.Promise == "" {
		return nil
	}
	if err := w.before(); err != nil {
		return err
	}
	for n, p := range w.nodes {
		p.env = append(append([]string{}, p.env...), diskVar+"="+w.diskFile(n))
		if err := os.MkdirAll(p.journal(), 0o755); err != nil {
			return err
		}
		text := fmt.Sprintf("dir = %q\npromise = %q\nwhen_failing = %q\nwait_most = %q\n", p.journal(), j.Promise, j.WhenFailing, j.MaxWait.Std())
		if err := os.WriteFile(p.bindings(), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// before gives the first node a journal of an earlier life.
func (w *world) before() error {
	n := w.Scenario.Peers.Before
	if n == 0 {
		return nil
	}
	dir := w.nodes[0].journal()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	const run = 1
	log, err := wal.Open(wal.Options{Dir: dir, FileSystem: wal.OSFileSystem{}, MaxSegmentBytes: 16 << 20, Incarnation: run, OnChunk: func(uint64, int, []byte, bool) {}, OnStored: func(uint64, int) {}})
	if err != nil {
		return err
	}
	defer log.Close()
	at := time.Now().UnixNano()
	for op := uint64(1); op <= uint64(n); op++ {
		r := intent.Record{Incarnation: run, RequestNumber: op, AtUnixNano: at, RequestID: fmt.Sprintf("before-%d", op), Tenant: "dairy", Type: "hire-book", Server: "quick-1", Count: 1, Proof: intent.Ran, Outcome: "answered"}
		three := [3]intent.Record{r, r, r}
		for i, kind := range []intent.Kind{intent.Intent, intent.AttemptEnded, intent.ClientNotified} {
			three[i].Kind = kind
		}
		three[0].Outcome, three[0].Proof, three[0].Count = "", 0, 0
		three[1].RequestID, three[1].Tenant, three[1].Type, three[1].Count = "", "", "", 0
		wait, err := log.Append(op%1000 == 0, three[:]...)
		if err != nil {
			return err
		}
		if wait != nil {
			<-wait.Done()
		}
	}
	return nil
}

// becomesWhole notes how long it takes until all stands as often as it should.
func (w *world) waitReplicated(ctx context.Context, into *float64) {
	began := time.Now()
	w.wg.Go(func() {
		for ctx.Err() == nil {
			select {
			case <-w.stopped:
				return
			case <-time.After(replicationPollInterval):
			}
			if c := w.ask(ctx); len(c.Answered) == len(w.nodes) && c.Shortfall() == "" {
				w.losses.mu.Lock()
				*into = time.Since(began).Seconds()
				w.losses.mu.Unlock()
				return
			}
		}
	})
}

// Journal is what the nodes' journals held in the end, beside the servers' execution records.
type Journal struct {
	Entries         int // requests in them
	Ran             int // execution records of non-idempotent requests
	Possibly        int // entries that were possibly sent when the nodes had ended
	Open            int // of those that execution records did not settle
	Gaps            int // words that were not kept, by the journals' own count
	Bytes           int64
	Losses          int     // of machines with their disks
	Cycles          int     // of losses, each from a whole tier to a whole one
	AnnouncedLost   int     // streams that were said before to be lost with the machines beyond the replicas
	Lost            int     // execution records of those that no journal has
	Linked          int64   // bytes between nodes
	RecoverySeconds float64 // seconds until an earlier life's entries stood as often as they should; 0: they did not
}

// entryKey is an entry of a node's journal.
type entryKey struct {
	node int
	id   uint64
}

// readJournals sets the journals beside what the servers have run, and settles by their execution records what was left open.
func (w *world) readJournals() (sum Journal, err error) {
	if w.Scenario.Journal.Promise == "" {
		return sum, nil
	}
	all := map[entryKey]*intent.Entry{}
	gaps := map[int]bool{}
	dirs := w.journalDirs()
	for n := range w.nodes {
		if err := readJournal(n, dirs[n], all, gaps, &sum); err != nil {
			return sum, err
		}
	}
	sum.Losses, sum.Cycles, sum.AnnouncedLost = w.losses.machines, w.losses.cycles, len(w.losses.notified)
	w.losses.mu.Lock()
	sum.RecoverySeconds = w.losses.replicated
	w.losses.mu.Unlock()
	if w.fabric != nil {
		sum.Linked = w.fabric.Bytes()
	}
	sum.Entries = len(all)
	dockets := map[string]*intent.ExecutionRecord{}
	for _, b := range w.servers {
		dockets[b.Name] = &intent.ExecutionRecord{Server: b.Name, FromUnixNano: 0, ToUnixNano: time.Now().Add(time.Hour).UnixNano(), RequestIDs: map[string]bool{}}
	}
	w.observer.record(func(a *audit.Audit, _ time.Duration) {
		ran := w.compareWithRun(a, all, gaps, dockets, &sum)
		for k, e := range all {
			if e.State() == intent.HasRun && !ran[k] && e.Incarnation != 1 {
				a.JournalError(fmt.Sprintf("node %d's journal says that %s ran, and no box has run it", k.node, e.RequestID))
			}
			if e.State() == intent.PossiblySent {
				sum.Possibly++
				if !settles(e, dockets) {
					sum.Open++
				}
			}
		}
	})
	return sum, nil
}

// journalDirs are the folders in which each node's entries may stand: its own, and those of who holds replicas.
func (w *world) journalDirs() map[int][]string {
	dirs := map[int][]string{}
	for n, p := range w.nodes {
		dirs[n] = append(dirs[n], p.journal())
		held, _ := os.ReadDir(p.dataDir())
		for _, dir := range held { // of others, under their names
			name, _, _ := strings.Cut(dir.Name(), "@")
			if of, err := strconv.Atoi(strings.TrimPrefix(name, "n")); err == nil {
				dirs[of] = append(dirs[of], filepath.Join(p.dataDir(), dir.Name()))
			}
		}
	}
	return dirs
}

// readJournal adds one node's entries, and notes where it says that some are missing.
func readJournal(n int, dirs []string, all map[entryKey]*intent.Entry, gaps map[int]bool, sum *Journal) error {
	fold := intent.NewMerger()
	keep := func(e *intent.Entry) {
		id, _ := strconv.ParseUint(e.RequestID, 16, 64)
		all[entryKey{n, id}] = e
	}
	for _, dir := range dirs {
		r, err := wal.Scan(wal.OSFileSystem{}, dir, time.Time{}, func(rec *intent.Record) error {
			if e := fold.Add(rec); e != nil {
				keep(e)
			}
			return nil
		}, nil)
		if err != nil {
			return err
		}
		fold.HasDamage = fold.HasDamage || r.CorruptCount() > 0
		sum.Bytes += r.Bytes
	}
	for _, e := range fold.Incomplete() {
		keep(e)
	}
	for _, g := range fold.Gaps {
		sum.Gaps += g.Count
		gaps[n] = true
	}
	return nil
}

// compareWithRun fills the execution records with what the servers have run, and tells the audit what the journals lack of it.
func (w *world) compareWithRun(a *audit.Audit, all map[entryKey]*intent.Entry, gaps map[int]bool, dockets map[string]*intent.ExecutionRecord, sum *Journal) map[entryKey]bool {
	ran := map[entryKey]bool{}
	a.EachExecution(func(kind int) bool { return w.Scenario.Types[kind].Repeat == "binding" }, func(id uint64, node, box int) {
		sum.Ran++
		k := entryKey{node, id}
		ran[k] = true
		name := string(load.AppendID(nil, id))
		dockets[w.servers[box].Name].RequestIDs[name] = true
		switch e := all[k]; {
		case e == nil && w.losses.notified[node]:
			sum.Lost++
		case e == nil && !gaps[node]:
			a.JournalError(fmt.Sprintf("%s ran at %s, and node %d's journal has no entry of it", name, w.servers[box].Name, node))
		case e != nil && e.State() == intent.NotSent:
			a.JournalError(fmt.Sprintf("%s ran at %s, and node %d's journal says that it was not sent", name, w.servers[box].Name, node))
		}
	})
	return ran
}

// settles reports whether execution records settle all that is open of an entry.
func settles(e *intent.Entry, dockets map[string]*intent.ExecutionRecord) bool {
	settled := 0
	for _, r := range intent.Reconcile(e, dockets, 0, time.Now().UnixNano()) {
		if r.Proof == intent.Ran {
			settled = len(e.Attempts)
		} else {
			settled++
		}
	}
	open := 0
	for _, h := range e.Attempts {
		if h.Proof() == intent.PossiblyRan {
			open++
		}
	}
	return settled >= max(open, 1)
}
