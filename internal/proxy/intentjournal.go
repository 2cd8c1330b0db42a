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
	clientRetryField = "Client-Retry" // header with which clients may mark a retry
	// maxStallShare is the share of the maximum wait for a record after which a pending write makes the journal slow.
	maxStallShare      = 0.25
	clusterJoinTimeout = 500 * time.Millisecond // at the start, for peers to report the last incarnation of this node
)

var errNotDurable = errors.New("intent not durable before its deadline")

// intentJournal records the progress of non-idempotent requests: the intent of each attempt before its first byte, the end of the attempt,
// and the client's answer. It is safe for concurrent use; no lock of the node is held while it waits. A nil journal records nothing.
type intentJournal struct {
	cfg            *wal.Config
	filesystem     wal.FileSystem
	logger         zerolog.Logger
	incarnation    uint64 // incarnation of this process
	wal            *wal.Log
	peers          *peer.Node // replicate the journal; nil: it is on the local disk only
	journaledTypes []string   // names by traffic type; "": not recorded
	requestCount   atomic.Uint64

	scanTasks sync.WaitGroup // reads the segments of earlier runs
	isClosed  atomic.Bool
}

// openJournal opens a new segment, and reads the segments of earlier runs in the background. A cluster member first joins the cluster,
// because its incarnation must be later than those that peers know of its name, and replicates the journal if the configured durability
// requires it.
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
	o := wal.Options{Dir: cfg.Journal.Dir, FileSystem: j.filesystem, Fsync: cfg.Journal.Durability != "process", MaxSegmentBytes: cfg.Journal.SegmentBytes,
		RetentionAge: cfg.Journal.RetentionAge.Std(), RetentionBytes: cfg.Journal.RetentionBytes, OnHealthChange: j.logHealth}
	if peers != nil {
		isReplicated := cfg.Journal.Durability == wal.DurabilityMachines
		j.incarnation = uint64(peers.Join(context.Background(), clusterJoinTimeout))
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

// journaledTypes returns the names of the traffic types whose requests are recorded, by traffic type: the non-idempotent types, and the types
// that are idempotent with a key if the journal's file includes them. The name of all others is "".
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

// failureMode is how requests that cannot be recorded are handled.
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

// logHealth logs that writes to the journal fail, with the handling of the requests that cannot be recorded, or that they succeed again if
// err is nil.
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

// accepts reports whether a request of a traffic type may be accepted now. While the journal fails or is slow, the journal's file decides.
func (j *intentJournal) accepts(trafficType int) bool {
	return !j.records(trafficType) || !j.cfg.RejectsWhenFailing() || j.wal.Failure() == nil && !j.isSlow()
}

// isSlow reports whether the disk or the replicas are so slow that waiting requests would use up the concurrency that other requests need.
func (j *intentJournal) isSlow() bool {
	maxStall := time.Duration(maxStallShare * float64(j.cfg.MaxWait.Std()))
	return j.wal.StalledFor() > maxStall || j.peers != nil && j.peers.StalledFor() > maxStall
}

// awaitDurable waits until a record is as durable as configured: on the local disk, and at enough replicas, which receive it
// at the same time as the disk. It returns errNotDurable if timeout has passed or ctx has ended before.
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
	if err := await(commit.Done()); err != nil { // the write may still be in progress: its result must not be read
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

// close stops the scan of earlier segments and flushes the queued records.
func (j *intentJournal) close() {
	if j != nil {
		j.isClosed.Store(true)
		j.scanTasks.Wait()
		j.wal.Close()
	}
}
