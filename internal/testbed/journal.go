package testbed

import (
	"context"
	"errors"
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
	diskVar          = "FERNLAB_DISK" // environment variable with the path of a node's disk file, which holds the duration of each write
	diskPollInterval = 20 * time.Millisecond
	fullDiskText     = "full" // content of the disk file that makes every write fail
)

// NodeFileSystem returns the file system for the data of a testbed node. It is slow or full as specified in the node's disk
// file, which is read again while the node runs. NodeFileSystem returns nil if the environment specifies no disk file. The
// node's command calls it before it starts the node.
func NodeFileSystem(getenv func(string) string) wal.FileSystem {
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
		WriteDelay: func() time.Duration {
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

// writeDiskFiles sets the content of the disk files of nodes: a duration, or fullDiskText.
func (env *environment) writeDiskFiles(nodes []int, text string) {
	for _, n := range nodes {
		path := env.diskFile(n)
		if err := os.WriteFile(path+".new", []byte(text), 0o644); err == nil {
			os.Rename(path+".new", path)
		}
	}
}

// setUpJournals configures the nodes' journals, if the scenario enables them.
func (env *environment) setUpJournals() error {
	j := env.Scenario.Journal
	if j.Durability == "" {
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
		text := fmt.Sprintf("dir = %q\npromise = %q\nwhen_failing = %q\nwait_most = %q\n", p.journalDir(), j.Durability, j.WhenFailing, j.MaxWait.Std())
		if err := os.WriteFile(p.bindingsPath(), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// writeEarlierJournal writes the scenario's number of entries of an earlier run to the first node's journal.
func (env *environment) writeEarlierJournal() error {
	count := env.Scenario.Peers.EarlierEntries
	if count == 0 {
		return nil
	}
	dir := env.nodes[0].journalDir()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	const incarnation = 1
	log, err := wal.Open(wal.Options{Dir: dir, FileSystem: wal.OSFileSystem{}, MaxSegmentBytes: 16 << 20, Incarnation: incarnation, OnChunk: func(uint64, int, []byte, bool) {}, OnStored: func(uint64, int) {}})
	if err != nil {
		return err
	}
	defer log.Close()
	at := time.Now().UnixNano()
	for number := uint64(1); number <= uint64(count); number++ {
		r := intent.Record{Incarnation: incarnation, RequestNumber: number, AtUnixNano: at, RequestID: fmt.Sprintf("before-%d", number), Tenant: "dairy", Type: "hire-book", Server: "quick-1", Count: 1, Proof: intent.Ran, Outcome: "answered"}
		wait, err := log.Append(number%1000 == 0, answeredRequestRecords(r)...)
		if err != nil {
			return err
		}
		if wait != nil {
			<-wait.Done()
		}
	}
	return nil
}

// answeredRequestRecords returns the three records that a journal stores for an answered request.
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

// waitReplicated measures, in the background, the time until all entries are replicated.
func (env *environment) waitReplicated(ctx context.Context, into *float64) {
	startedAt := time.Now()
	env.wg.Go(func() {
		for ctx.Err() == nil {
			select {
			case <-env.stopped:
				return
			case <-time.After(replicationPollInterval):
			}
			if c := env.queryPeers(ctx); len(c.Responses) == len(env.nodes) && c.Shortfall() == "" {
				env.losses.mu.Lock()
				*into = time.Since(startedAt).Seconds()
				env.losses.mu.Unlock()
				return
			}
		}
	})
}

// Journal summarizes the nodes' journals after the run, compared with the servers' execution records. Reports store it
// under the names of its fields and tags.
type Journal struct {
	Entries         int     // requests with an entry in a journal
	Ran             int     // executions of non-idempotent requests
	PossiblySent    int     `json:"Possibly"` // entries in the state possibly sent after the nodes had stopped
	Open            int     // those of PossiblySent that execution records did not settle
	Gaps            int     // records that were not written, as counted in the journals
	Bytes           int64   // size of the journals and their replicas
	Losses          int     // machines lost with their disks
	Cycles          int     // rounds of losses; each starts when all entries are replicated
	AnnouncedLost   int     // journals expected to be lost, because more machines than replicas were lost
	Lost            int     // executions recorded only in such journals
	PeerBytes       int64   `json:"Linked"` // bytes sent between nodes
	RecoverySeconds float64 // until entries of an earlier run were replicated; 0: they were not
}

// entryKey identifies a journal entry by node and request ID.
type entryKey struct {
	node int
	id   uint64
}

// readJournals compares the nodes' journals with the executions at the servers, reports differences to the audit and
// reconciles open entries with the servers' execution records. Entries of the earlier run, which have incarnation 1, need no
// execution.
func (env *environment) readJournals() (sum Journal, err error) {
	if env.Scenario.Journal.Durability == "" {
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
	for _, server := range env.servers {
		records[server.Name] = &intent.ExecutionRecord{Server: server.Name, FromUnixNano: 0, ToUnixNano: time.Now().Add(time.Hour).UnixNano(), RequestIDs: map[string]bool{}}
	}
	env.observer.record(func(a *audit.Audit, _ time.Duration) {
		ran := env.compareWithRun(a, all, gaps, records, &sum)
		for key, e := range all {
			if e.State() == intent.HasRun && !ran[key] && e.Incarnation != 1 {
				a.JournalError(fmt.Sprintf("journal of node %d records an execution of %s, but no server executed it", key.node, e.RequestID))
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

// journalDirs returns, for each node, the directories that may hold its entries: its own journal and its replicas at
// other nodes.
func (env *environment) journalDirs() map[int][]string {
	dirs := map[int][]string{}
	for n, p := range env.nodes {
		dirs[n] = append(dirs[n], p.journalDir())
		replicas, _ := os.ReadDir(p.dataDir())
		for _, dir := range replicas { // the directory name starts with the name of the replicated node
			name, _, _ := strings.Cut(dir.Name(), "@")
			if owner, err := strconv.Atoi(strings.TrimPrefix(name, "n")); err == nil {
				dirs[owner] = append(dirs[owner], filepath.Join(p.dataDir(), dir.Name()))
			}
		}
	}
	return dirs
}

// readJournal adds one node's entries to all. It adds the node to gaps if its journal reports missing records. The first directory is
// the node's own journal; the others contain replicas, which running nodes may have removed since they were listed.
func readJournal(n int, dirs []string, all map[entryKey]*intent.Entry, gaps map[int]bool, sum *Journal) error {
	merger := intent.NewMerger()
	add := func(e *intent.Entry) {
		id, _ := strconv.ParseUint(e.RequestID, 16, 64)
		all[entryKey{n, id}] = e
	}
	for i, dir := range dirs {
		r, err := wal.Scan(wal.OSFileSystem{}, dir, time.Time{}, func(rec *intent.Record) error {
			if e := merger.Add(rec); e != nil {
				add(e)
			}
			return nil
		}, nil)
		if i > 0 && errors.Is(err, os.ErrNotExist) {
			continue
		}
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

// compareWithRun fills the execution records with the executions at the servers, reports executions that are missing or
// wrong in the journals to the audit, and returns the keys of the requests that ran. An execution may be missing if the
// journal reports gaps, or was expected to be lost.
func (env *environment) compareWithRun(a *audit.Audit, all map[entryKey]*intent.Entry, gaps map[int]bool, records map[string]*intent.ExecutionRecord, sum *Journal) map[entryKey]bool {
	ran := map[entryKey]bool{}
	a.EachExecution(func(typeIndex int) bool { return env.Scenario.Types[typeIndex].Idempotency == "binding" }, func(id uint64, node, server int) {
		sum.Ran++
		key := entryKey{node, id}
		ran[key] = true
		name := string(load.AppendID(nil, id))
		records[env.servers[server].Name].RequestIDs[name] = true
		switch e := all[key]; {
		case e == nil && env.losses.expectedLost[node]:
			sum.Lost++
		case e == nil && !gaps[node]:
			a.JournalError(fmt.Sprintf("%s ran at %s, but the journal of node %d has no entry for it", name, env.servers[server].Name, node))
		case e != nil && e.State() == intent.NotSent:
			a.JournalError(fmt.Sprintf("%s ran at %s, but the journal of node %d records it as not sent", name, env.servers[server].Name, node))
		}
	})
	return ran
}

// isSettled reports whether the execution records settle every open attempt of an entry.
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
