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

const (
	diskVar          = "FERNLAB_DISK" // environment variable that names a node's disk file: how long each write takes
	diskPollInterval = 20 * time.Millisecond
	fullDiskText     = "full" // text of the disk file with which every write fails
)

// Disk returns the file system of a testbed node's data, slow or full as its disk file says; nil if the environment names
// no such file. A node's command calls it before it starts the node.
func Disk(getenv func(string) string) wal.FileSystem {
	path := getenv(diskVar)
	if path == "" {
		return nil
	}
	var readAt atomic.Int64 // nanoseconds
	var delay atomic.Int64  // nanoseconds
	var isFull atomic.Bool
	refresh := func() {
		if now := time.Now().UnixNano(); now-readAt.Load() > int64(diskPollInterval) {
			readAt.Store(now)
			content, _ := os.ReadFile(path)
			text := strings.TrimSpace(string(content))
			d, _ := time.ParseDuration(text)
			delay.Store(int64(d))
			isFull.Store(text == fullDiskText)
		}
	}
	return memdisk.SlowFiles{
		Takes: func() time.Duration {
			refresh()
			return time.Duration(delay.Load())
		},
		Full: func() bool {
			refresh()
			return isFull.Load()
		},
	}
}

func (env *environment) diskFile(n int) string { return env.nodes[n].file("disk", "txt") }

// setDisks writes the disk files of nodes: a duration, or fullDiskText.
func (env *environment) writeDiskFiles(nodes []int, text string) {
	for _, n := range nodes {
		path := env.diskFile(n)
		if err := os.WriteFile(path+".new", []byte(text), 0o644); err == nil {
			os.Rename(path+".new", path)
		}
	}
}

// setUpJournals configures the nodes' journals, if the scenario has any.
func (env *environment) setUpJournals() error {
	j := env.Scenario.Journal
	if j.Promise == "" {
		return nil
	}
	if err := env.writeEarlierJournal(); err != nil {
		return err
	}
	for n, p := range env.nodes {
		p.env = append(append([]string{}, p.env...), diskVar+"="+env.diskFile(n))
		if err := os.MkdirAll(p.journalDir(), 0o755); err != nil {
			return err
		}
		text := fmt.Sprintf("dir = %q\npromise = %q\nwhen_failing = %q\nwait_most = %q\n", p.journalDir(), j.Promise, j.WhenFailing, j.MaxWait.Std())
		if err := os.WriteFile(p.bindingsPath(), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// writeEarlierJournal writes entries of an earlier run into the first node's journal, as many as the scenario says.
func (env *environment) writeEarlierJournal() error {
	n := env.Scenario.Peers.Before
	if n == 0 {
		return nil
	}
	dir := env.nodes[0].journalDir()
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
		wait, err := log.Append(op%1000 == 0, answeredRequestRecords(r)...)
		if err != nil {
			return err
		}
		if wait != nil {
			<-wait.Done()
		}
	}
	return nil
}

// recordsOf returns the three records that a journal holds of an answered request.
func answeredRequestRecords(r intent.Record) []intent.Record {
	planned := r
	planned.Kind = intent.Intent
	planned.Outcome = ""
	planned.Proof = 0
	planned.Count = 0
	ended := r
	ended.Kind = intent.AttemptEnded
	ended.RequestID = ""
	ended.Tenant = ""
	ended.Type = ""
	ended.Count = 0
	notified := r
	notified.Kind = intent.ClientNotified
	return []intent.Record{planned, ended, notified}
}

// waitReplicated measures in the background how long it takes until all entries are replicated.
func (env *environment) waitReplicated(ctx context.Context, into *float64) {
	began := time.Now()
	env.wg.Go(func() {
		for ctx.Err() == nil {
			select {
			case <-env.stopped:
				return
			case <-time.After(replicationPollInterval):
			}
			if c := env.queryPeers(ctx); len(c.Answered) == len(env.nodes) && c.Shortfall() == "" {
				env.losses.mu.Lock()
				*into = time.Since(began).Seconds()
				env.losses.mu.Unlock()
				return
			}
		}
	})
}

// Journal sums up what the nodes' journals held after the run, against the servers' execution records. It is stored in
// reports under the names of its fields and tags.
type Journal struct {
	Entries         int // requests in the journals
	Ran             int // executions of non-idempotent requests
	PossiblySent    int `json:"Possibly"` // entries that were possibly sent when the nodes had stopped
	Open            int // of those, entries that execution records did not settle
	Gaps            int // records that were not written, by the journals' own count
	Bytes           int64
	Losses          int     // machines lost with their disks
	Cycles          int     // rounds of losses, each from all replicated to all replicated again
	AnnouncedLost   int     // journals that were expected to be lost, with more machines than replicas
	Lost            int     // executions that only such journals had held
	PeerBytes       int64   `json:"Linked"` // bytes between nodes
	RecoverySeconds float64 // until entries of an earlier run were replicated; 0: they were not
}

// entryKey identifies an entry: its node and request ID.
type entryKey struct {
	node int
	id   uint64
}

// readJournals compares the nodes' journals with what the servers executed, reports differences to the audit and settles
// open entries by the servers' execution records.
func (env *environment) readJournals() (sum Journal, err error) {
	if env.Scenario.Journal.Promise == "" {
		return sum, nil
	}
	all := map[entryKey]*intent.Entry{}
	gaps := map[int]bool{}
	dirs := env.journalDirs()
	for n := range env.nodes {
		if err := readJournal(n, dirs[n], all, gaps, &sum); err != nil {
			return sum, err
		}
	}
	sum.Losses = env.losses.machines
	sum.Cycles = env.losses.cycles
	sum.AnnouncedLost = len(env.losses.expectedLost)
	env.losses.mu.Lock()
	sum.RecoverySeconds = env.losses.replicationSeconds
	env.losses.mu.Unlock()
	if env.mesh != nil {
		sum.PeerBytes = env.mesh.Bytes()
	}
	sum.Entries = len(all)
	records := map[string]*intent.ExecutionRecord{}
	for _, b := range env.servers {
		records[b.Name] = &intent.ExecutionRecord{Server: b.Name, FromUnixNano: 0, ToUnixNano: time.Now().Add(time.Hour).UnixNano(), RequestIDs: map[string]bool{}}
	}
	env.observer.record(func(a *audit.Audit, _ time.Duration) {
		ran := env.compareWithRun(a, all, gaps, records, &sum)
		for k, e := range all {
			if e.State() == intent.HasRun && !ran[k] && e.Incarnation != 1 {
				a.JournalError(fmt.Sprintf("node %d's journal says that %s ran, and no server has run it", k.node, e.RequestID))
			}
			if e.State() == intent.PossiblySent {
				sum.PossiblySent++
				if !isSettled(e, records) {
					sum.Open++
				}
			}
		}
	})
	return sum, nil
}

// journalDirs returns the folders that may hold each node's entries: its own, and those of the nodes with its replicas.
func (env *environment) journalDirs() map[int][]string {
	dirs := map[int][]string{}
	for n, p := range env.nodes {
		dirs[n] = append(dirs[n], p.journalDir())
		replicas, _ := os.ReadDir(p.dataDir())
		for _, dir := range replicas { // named after the node whose journal they replicate
			name, _, _ := strings.Cut(dir.Name(), "@")
			if of, err := strconv.Atoi(strings.TrimPrefix(name, "n")); err == nil {
				dirs[of] = append(dirs[of], filepath.Join(p.dataDir(), dir.Name()))
			}
		}
	}
	return dirs
}

// readJournal adds one node's entries to all, and the node to gaps if its journal says that records are missing.
func readJournal(n int, dirs []string, all map[entryKey]*intent.Entry, gaps map[int]bool, sum *Journal) error {
	merger := intent.NewMerger()
	add := func(e *intent.Entry) {
		id, _ := strconv.ParseUint(e.RequestID, 16, 64)
		all[entryKey{n, id}] = e
	}
	for _, dir := range dirs {
		r, err := wal.Scan(wal.OSFileSystem{}, dir, time.Time{}, func(rec *intent.Record) error {
			if e := merger.Add(rec); e != nil {
				add(e)
			}
			return nil
		}, nil)
		if err != nil {
			return err
		}
		merger.HasDamage = merger.HasDamage || r.CorruptCount() > 0
		sum.Bytes += r.Bytes
	}
	for _, e := range merger.Incomplete() {
		add(e)
	}
	for _, g := range merger.Gaps {
		sum.Gaps += g.Count
		gaps[n] = true
	}
	return nil
}

// compareWithRun fills the execution records with what the servers executed, reports to the audit what the journals lack
// of it, and returns the entries that ran.
func (env *environment) compareWithRun(a *audit.Audit, all map[entryKey]*intent.Entry, gaps map[int]bool, records map[string]*intent.ExecutionRecord, sum *Journal) map[entryKey]bool {
	ran := map[entryKey]bool{}
	a.EachExecution(func(typeIndex int) bool { return env.Scenario.Types[typeIndex].Repeat == "binding" }, func(id uint64, node, server int) {
		sum.Ran++
		k := entryKey{node, id}
		ran[k] = true
		name := string(load.AppendID(nil, id))
		records[env.servers[server].Name].RequestIDs[name] = true
		switch e := all[k]; {
		case e == nil && env.losses.expectedLost[node]:
			sum.Lost++
		case e == nil && !gaps[node]:
			a.JournalError(fmt.Sprintf("%s ran at %s, and node %d's journal has no entry of it", name, env.servers[server].Name, node))
		case e != nil && e.State() == intent.NotSent:
			a.JournalError(fmt.Sprintf("%s ran at %s, and node %d's journal says that it was not sent", name, env.servers[server].Name, node))
		}
	})
	return ran
}

// settles reports whether execution records settle all that is open of an entry.
func isSettled(e *intent.Entry, records map[string]*intent.ExecutionRecord) bool {
	settled := 0
	for _, r := range intent.Reconcile(e, records, 0, time.Now().UnixNano()) {
		if r.Proof == intent.Ran {
			settled = len(e.Attempts)
		} else {
			settled++
		}
	}
	open := 0
	for _, attempt := range e.Attempts {
		if attempt.Proof() == intent.PossiblyRan {
			open++
		}
	}
	return settled >= max(open, 1)
}
