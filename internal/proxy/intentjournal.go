package proxy

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/cluster/peer"
	"fernvane/internal/journal/wal"
	"fernvane/policy"
)

const (
	clientRetryField = "Client-Retry" // by which clients mark a retry, where they do
	// maxStallShare is the share of the longest wait for a record that a write may take before the journal counts as slow.
	maxStallShare   = 0.25
	tierJoinTimeout = 500 * time.Millisecond // at the start, for peers to say what they know of this node
)

var errNotDurable = errors.New("the intent was not durable in time")

// intentJournal records what becomes of requests that must not be executed twice: the intent of each attempt before its first byte, its
// end, and the client's answer. It may be used from any goroutine; no lock of the node is held while it waits. A nil journal records
// nothing.
type intentJournal struct {
	cfg            *wal.Config
	filesystem     wal.FileSystem
	logger         zerolog.Logger
	incarnation    uint64 // of this process
	wal            *wal.Log
	peers          *peer.Node // that replicate it; nil: it is on this machine's disk alone
	journaledTypes []string   // by traffic type; "" for those that are not recorded
	requestCount   atomic.Uint64

	scanTasks sync.WaitGroup // the reading of earlier segments
	isClosed  atomic.Bool
}

// openJournal begins a segment, and reads those of earlier runs while the node serves.
func openJournal(cfg Config, log zerolog.Logger, peers *peer.Node) (*intentJournal, error) {
	startedAt := time.Now()
	j := &intentJournal{cfg: cfg.Journal, filesystem: cfg.Filesystem, logger: log, incarnation: uint64(startedAt.UnixNano()), journaledTypes: journaledTypes(&cfg)}
	if j.filesystem == nil {
		j.filesystem = wal.OSFileSystem{}
	}
	segments, err := wal.ListSegments(j.filesystem, cfg.Journal.Dir)
	if err != nil {
		return nil, err
	}
	o := wal.Options{Dir: cfg.Journal.Dir, FileSystem: j.filesystem, Fsync: cfg.Journal.Promise != "process", MaxSegmentBytes: cfg.Journal.SegmentBytes,
		RetentionAge: cfg.Journal.RetentionAge.Std(), RetentionBytes: cfg.Journal.RetentionBytes, OnHealthChange: j.logHealth}
	if peers != nil {
		isReplicated := cfg.Journal.Promise == wal.PromiseMachines
		j.incarnation = uint64(peers.Join(context.Background(), tierJoinTimeout))
		peers.StartJournal(cfg.Journal.Dir, isReplicated)
		if isReplicated {
			j.peers, o.OnChunk, o.OnStored = peers, peers.ReplicateChunk, peers.RecordsStored
		}
	}
	o.Incarnation = j.incarnation
	if j.wal, err = wal.Open(o); err != nil {
		return nil, err
	}
	if len(segments) > 0 {
		j.scanTasks.Go(func() { j.scanEarlier(startedAt) })
	}
	return j, nil
}

// journaledTypes names the traffic types whose requests are recorded: the non-idempotent ones, and those that are idempotent with a key
// where the journal's file asks for it. Others have "" in their place.
func journaledTypes(cfg *Config) (names []string) {
	for t, name := range cfg.Settings.TypeNames {
		idempotency := cfg.Settings.TrafficTypes[t].Idempotency
		if idempotency != policy.NonIdempotent && !(cfg.Journal.IncludesKeyed && idempotency == policy.IdempotentWithKey) {
			name = ""
		}
		names = append(names, name)
	}
	return names
}

// failureMode is what becomes of requests that cannot be recorded.
type failureMode bool

const (
	servesUnrecorded  failureMode = false
	rejectsUnrecorded failureMode = true
)

func (m failureMode) String() string {
	if m == rejectsUnrecorded {
		return "rejected"
	}
	return "served, gap recorded"
}

// logHealth logs that the disk fails, or works again.
func (j *intentJournal) logHealth(err error) {
	if err == nil {
		j.logger.Info().Msg("journal working again")
		return
	}
	j.logger.Error().Err(err).Stringer("unrecorded_requests", failureMode(j.cfg.RejectsWhenFailing())).Msg("journal failing")
}

// records reports whether requests of a traffic type are recorded.
func (j *intentJournal) records(trafficType int) bool {
	return j != nil && trafficType < len(j.journaledTypes) && j.journaledTypes[trafficType] != ""
}

// accepts reports whether a request of a traffic type may be accepted now: while nothing can be recorded the operator's file decides.
func (j *intentJournal) accepts(trafficType int) bool {
	return !j.records(trafficType) || !j.cfg.RejectsWhenFailing() || j.wal.Failure() == nil && !j.isSlow()
}

// isSlow reports whether the disk or the replicas take so long that waiting requests would use up the concurrency that others need.
func (j *intentJournal) isSlow() bool {
	maxStall := time.Duration(maxStallShare * float64(j.cfg.MaxWait.Std()))
	return j.wal.StalledFor() > maxStall || j.peers != nil && j.peers.StalledFor() > maxStall
}

// awaitDurable waits until a record is as durable as the journal's file promises: on this disk, and at enough replicas. Both have it from
// the same moment. errNotDurable: not within timeout, or ctx has ended.
func (j *intentJournal) awaitDurable(ctx context.Context, commit *wal.Commit, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	await := func(done <-chan struct{}) error {
		select {
		case <-done:
			return nil
		case <-timer.C:
		case <-ctx.Done():
		}
		return errNotDurable
	}
	if err := await(commit.Done()); err != nil { // the disk may be writing it now: its result must not be read
		return err
	}
	if err := commit.Err(); err != nil || j.peers == nil {
		return err
	}
	replicated := j.peers.CommitOf(commit.SequenceNumber())
	if err := await(replicated.Done()); err != nil {
		return err
	}
	return replicated.Err()
}

// close ends the reading of earlier segments and writes out what is queued.
func (j *intentJournal) close() {
	if j != nil {
		j.isClosed.Store(true)
		j.scanTasks.Wait()
		j.wal.Close()
	}
}
