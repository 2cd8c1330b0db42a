package proxy

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/cluster/peer"
	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
	"fernvane/internal/protocol/message"
	"fernvane/internal/proxy/dispatch"
	"fernvane/policy"
)

// clientRetry is the field by which clients mark a retry, where they do.
const clientRetryField = "Client-Retry"

// journal keeps what becomes of operations that must not run twice. No lock of the node is held while it waits.
type bindingJournal struct {
	cfg            *wal.Config
	files          wal.FileSystem
	logger         zerolog.Logger
	incarnation    uint64
	wal            *wal.Log
	peers          *peer.Node // hold what is kept; nil: it stands on this machine's disk alone
	journaledTypes []string   // by traffic type; "" for those that are not kept
	requestCount   atomic.Uint64

	recovery sync.WaitGroup
	isClosed atomic.Bool
}

const (
	maxStallShare = 0.25                   // of the longest wait: a write that takes longer has what comes denied, or served at once
	joinTimeout   = 500 * time.Millisecond // at the start, for other nodes to say what they know of this one
)

var errNotDurable = errors.New("the journal has not kept the intent in time")

// newJournal begins a segment and looks through the others beside the serving.
func openJournal(cfg Config, log zerolog.Logger, others *peer.Node) (*bindingJournal, error) {
	j := &bindingJournal{cfg: cfg.Journal, files: cfg.Filesystem, logger: log, incarnation: uint64(time.Now().UnixNano())}
	if j.files == nil {
		j.files = wal.OSFileSystem{}
	}
	for k, name := range cfg.Settings.TypeNames {
		repeat := cfg.Settings.TrafficTypes[k].Idempotency
		if repeat != policy.NonIdempotent && !(cfg.Journal.IncludesKeyed && repeat == policy.IdempotentWithKey) {
			name = ""
		}
		j.journaledTypes = append(j.journaledTypes, name)
	}
	began := time.Now()
	segments, err := wal.ListSegments(j.files, cfg.Journal.Dir)
	if err != nil {
		return nil, err
	}
	o := wal.Options{Dir: cfg.Journal.Dir, FileSystem: j.files, Fsync: cfg.Journal.Promise != "process",
		MaxSegmentBytes: cfg.Journal.SegmentBytes, RetentionAge: cfg.Journal.RetentionAge.Std(), RetentionBytes: cfg.Journal.RetentionBytes, OnHealthChange: j.logHealth}
	if others != nil {
		j.incarnation = uint64(others.Join(context.Background(), joinTimeout))
		others.StartJournal(cfg.Journal.Dir, cfg.Journal.Promise == wal.PromiseMachines)
		if cfg.Journal.Promise == wal.PromiseMachines {
			j.peers, o.OnChunk, o.OnStored = others, others.ReplicateChunk, others.RecordsStored
		}
	}
	o.Incarnation = j.incarnation
	if j.wal, err = wal.Open(o); err != nil {
		return nil, err
	}
	if len(segments) > 0 {
		j.recovery.Go(func() { j.logUnfinished(began) })
	}
	return j, nil
}

func (j *bindingJournal) logHealth(err error) {
	if err != nil {
		j.logger.Error().Err(err).Str("bindings_are", map[bool]string{true: "denied", false: "served, and a gap marked"}[j.cfg.RejectsWhenFailing()]).Msg("journal fails")
		return
	}
	j.logger.Info().Msg("journal goes on")
}

// recover tells what earlier runs have left open, by server.
func (j *bindingJournal) logUnfinished(began time.Time) {
	fold := intent.NewAssembler()
	report, err := wal.Scan(j.files, j.cfg.Dir, time.Time{}, func(r *intent.Record) error {
		if j.isClosed.Load() {
			return wal.ErrClosed
		}
		if r.Incarnation != j.incarnation {
			fold.Add(r)
		}
		return nil
	}, nil)
	if err != nil {
		if !j.isClosed.Load() {
			j.logger.Error().Err(err).Msg("journal not read")
		}
		return
	}
	for _, f := range report.Unreadable {
		j.logger.Warn().Str("file", f.Path).Int64("offset", f.Offset).Int64("bytes", f.Bytes).Bool("torn", f.IsTorn).Msg("journal damaged")
	}
	fold.HasDamage = report.CorruptCount() > 0
	servers, open := map[string]int{}, 0
	for _, e := range fold.Incomplete() {
		if e.State() != intent.PossiblySent {
			continue
		}
		open++
		for _, h := range e.Attempts {
			if h.Proof() == intent.PossiblyRan {
				servers[h.Server]++
			}
		}
	}
	by := zerolog.Dict()
	for s, n := range servers {
		by.Int(s, n)
	}
	j.logger.Info().Int("records", report.Records).Int("possibly_sent", open).Dict("by_server", by).Dur("took", time.Since(began)).Msg("journal read")
}

// takes tells whether an operation of a type may be taken now: while nothing can be kept, that is the operator's choice.
func (j *bindingJournal) accepts(kind int) bool {
	return j == nil || kind >= len(j.journaledTypes) || j.journaledTypes[kind] == "" || !j.cfg.RejectsWhenFailing() ||
		j.wal.Failure() == nil && !j.isSlow()
}

// slow: the disk or the holders take so long that waits would fill the node's window, which other operations need.
func (j *bindingJournal) isSlow() bool {
	most := time.Duration(maxStallShare * float64(j.cfg.MaxWait.Std()))
	return j.wal.StalledFor() > most || j.peers != nil && j.peers.StalledFor() > most
}

// kept is one operation in the journal; nil is one that is not kept.
type journalEntry struct {
	journal       *bindingJournal
	requestNumber uint64
	record        intent.Record // what each of its records names

	mu         sync.Mutex
	attempts   int
	isNotified bool
}

// begin has an operation kept, if its type is.
func (j *bindingJournal) begin(kind int, o *message.RequestInfo, req *message.Request) *journalEntry {
	if j == nil || kind >= len(j.journaledTypes) || j.journaledTypes[kind] == "" {
		return nil
	}
	k := &journalEntry{journal: j, requestNumber: j.requestCount.Add(1)}
	k.record = intent.Record{Incarnation: j.incarnation, RequestNumber: k.requestNumber, RequestID: string(o.ID), Tenant: string(o.Tenant), Type: j.journaledTypes[kind], IsRetry: len(req.Get(clientRetryField)) > 0}
	if f := j.cfg.RepeatOfField; f != "" {
		k.record.RepeatOf = string(req.Get(f))
	}
	return k
}

func (k *journalEntry) newRecord(kind intent.Kind, hop int) intent.Record {
	r := k.record
	r.Kind, r.Attempt, r.AtUnixNano = kind, hop, time.Now().UnixNano()
	return r
}

// intend has the intent of a hop last before its first byte goes out, and returns the hop's number in the journal. An
// error is a hop that must not be sent.
func (k *journalEntry) recordIntent(ctx context.Context, server string, until time.Time) (hop int, err error) {
	if k == nil {
		return 0, nil
	}
	k.mu.Lock()
	hop = k.attempts
	k.attempts++
	k.mu.Unlock()
	r := k.newRecord(intent.Intent, hop)
	r.Server = server
	serve, slow := !k.journal.cfg.RejectsWhenFailing(), k.journal.isSlow()
	w, err := k.journal.wal.Append(!serve || !slow, r)
	if err == nil && w == nil { // it is served without a wait
		k.journal.wal.CountMissed()
		return hop, nil
	}
	if err == nil {
		err = k.journal.awaitDurable(ctx, w, min(k.journal.cfg.MaxWait.Std(), time.Until(until)))
	}
	if err == nil || ctx.Err() == nil && !k.journal.cfg.RejectsWhenFailing() {
		if err != nil && w != nil { // one that was refused at once is counted already
			k.journal.wal.CountMissed()
		}
		return hop, nil
	}
	k.recordAttemptEnd(hop, dispatch.JournalFailed) // if the intent comes to last after all, this stands behind it
	return hop, err
}

// lasts waits until a record lasts as promised: on this disk, and at enough holders. Both have it from the same moment.
func (j *bindingJournal) awaitDurable(ctx context.Context, w *wal.Commit, most time.Duration) error {
	by := time.NewTimer(most)
	defer by.Stop()
	await := func(done <-chan struct{}) error {
		select {
		case <-done:
			return nil
		case <-by.C:
		case <-ctx.Done():
		}
		return errNotDurable
	}
	if err := await(w.Done()); err != nil { // nothing is known of it yet: the disk may be writing it now
		return err
	}
	if err := w.Err(); err != nil || j.peers == nil {
		return err
	}
	held := j.peers.CommitOf(w.SequenceNumber())
	if err := await(held.Done()); err != nil {
		return err
	}
	return held.Err()
}

// proof is what the end of a hop proves.
func executionProof(how dispatch.AttemptResult) intent.Proof {
	switch how.Outcome() {
	case policy.Success:
		return intent.Ran
	case policy.Overloaded, policy.Unreachable, policy.NotStarted:
		return intent.NeverRan
	}
	return intent.PossiblyRan
}

// ended tells how a hop went. Nobody waits for it: without it the hop counts as possibly sent.
func (k *journalEntry) recordAttemptEnd(hop int, how dispatch.AttemptResult) {
	if k == nil {
		return
	}
	r := k.newRecord(intent.AttemptEnded, hop)
	r.RequestID, r.Tenant, r.Type, r.RepeatOf = "", "", "", "" // its intent names them
	r.Outcome, r.Proof = how.String(), executionProof(how)
	k.journal.wal.Append(false, r)
}

// tell keeps what the client was told; only the first word counts.
func (k *journalEntry) recordAnswer(what answerOutcome) {
	if k == nil {
		return
	}
	k.mu.Lock()
	hops, again := k.attempts, k.isNotified
	k.isNotified = true
	k.mu.Unlock()
	if again {
		return
	}
	told := k.newRecord(intent.ClientNotified, 0)
	told.Outcome, told.Count = string(what), hops
	if hops == 0 {
		k.journal.wal.Append(false, k.newRecord(intent.Unsent, 0), told)
		return
	}
	k.journal.wal.Append(false, told)
}

// answerOutcome names in the journal what the client of a request was answered. The texts are stored.
type answerOutcome string

const (
	outcomeResponded    answerOutcome = "handled"
	outcomeRejected     answerOutcome = "denied"
	outcomeFailed       answerOutcome = "written off"
	outcomeDisconnected answerOutcome = "nothing: it had left"
)

func (j *bindingJournal) close() {
	if j != nil {
		j.isClosed.Store(true)
		j.recovery.Wait()
		j.wal.Close()
	}
}
