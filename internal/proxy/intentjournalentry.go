package proxy

import (
	"context"
	"strings"
	"sync"
	"time"

	"fernvane/internal/journal/intent"
	"fernvane/internal/journal/wal"
	"fernvane/internal/protocol/message"
	"fernvane/internal/proxy/dispatch"
)

// longestServerName is a placeholder of maximum length for the server of an attempt, which is unknown when the request is accepted.
var longestServerName = strings.Repeat("s", 256)

// answerOutcome is the journal's name for the answer that the client of a request received. The texts are stored.
type answerOutcome string

const (
	outcomeResponded    answerOutcome = "handled"
	outcomeRejected     answerOutcome = "denied"
	outcomeFailed       answerOutcome = "written off"
	outcomeDisconnected answerOutcome = "nothing: it had left"
)

// journalEntry is one request in the journal. It is safe for concurrent use: two attempts may be in flight, each on its own goroutine. The
// entry of a request that is not recorded is nil.
type journalEntry struct {
	journal       *intentJournal
	requestNumber uint64
	record        intent.Record // fields that all records of the request share

	mu         sync.Mutex
	attempts   int
	isNotified bool // the client's answer was recorded
}

// newEntry creates the entry of a request. It returns nil if the traffic type is not recorded. It writes no record yet.
func (j *intentJournal) newEntry(trafficType int, info *message.RequestInfo, req *message.Request) *journalEntry {
	if !j.records(trafficType) {
		return nil
	}
	e := &journalEntry{journal: j, requestNumber: j.requestCount.Add(1)}
	e.record = intent.Record{Incarnation: j.incarnation, RequestNumber: e.requestNumber, RequestID: string(info.ID), Tenant: string(info.Tenant),
		Type: j.journaledTypes[trafficType], IsRetry: len(req.Get(clientRetryField)) > 0}
	if field := j.cfg.RepeatOfField; field != "" {
		e.record.RepeatOf = string(req.Get(field))
	}
	return e
}

// check returns a *message.RequestError if a value that the client has sent is too long or not valid for a record of the journal.
func (e *journalEntry) check() error {
	if e == nil {
		return nil
	}
	r := e.newRecord(intent.Intent, 0)
	r.Server = longestServerName
	if wal.CheckRecord(&r) != nil {
		return message.NewRequestError(400, "the journal cannot hold the request's id, tenant or repeated id: it is too long or not UTF-8")
	}
	return nil
}

func (e *journalEntry) newRecord(kind intent.Kind, attempt int) intent.Record {
	r := e.record
	r.Kind, r.Attempt, r.AtUnixNano = kind, attempt, time.Now().UnixNano()
	return r
}

// recordIntent makes the intent of an attempt durable before its first byte is written, and returns the number of the attempt in the journal.
// After an error the attempt must not be written. If the journal's file allows unrecorded requests, a failing or slow journal causes no error:
// recordIntent does not wait for it, or waits until MaxWait or deadline has passed, and the record is counted in a gap.
func (e *journalEntry) recordIntent(ctx context.Context, server string, deadline time.Time) (attempt int, err error) {
	if e == nil {
		return 0, nil
	}
	attempt = e.nextAttempt()
	r := e.newRecord(intent.Intent, attempt)
	r.Server = server
	j := e.journal
	rejects, isSlow := j.cfg.RejectsWhenFailing(), j.isSlow()
	commit, err := j.wal.Append(rejects || !isSlow, r)
	if err == nil && commit == nil { // queued, but not waited for, because the journal is slow
		j.wal.CountMissed()
		return attempt, nil
	}
	if err == nil {
		err = j.awaitDurable(ctx, commit, min(j.cfg.MaxWait.Std(), time.Until(deadline)))
	}
	if err == nil || ctx.Err() == nil && !rejects {
		if err != nil && commit != nil { // Append counts the records that it does not accept
			j.wal.CountMissed()
		}
		return attempt, nil
	}
	e.recordAttemptEnd(attempt, dispatch.JournalFailed) // because the intent may still become durable
	return attempt, err
}

func (e *journalEntry) nextAttempt() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	attempt := e.attempts
	e.attempts++
	return attempt
}

// recordAttemptEnd records how an attempt ended. It does not wait for the record: an attempt without one counts as possibly sent.
func (e *journalEntry) recordAttemptEnd(attempt int, result dispatch.AttemptResult) {
	if e == nil {
		return
	}
	r := e.newRecord(intent.AttemptEnded, attempt)
	r.RequestID, r.Tenant, r.Type, r.RepeatOf = "", "", "", "" // the intent's record has them
	r.Outcome, r.Proof = result.String(), executionProof(result)
	e.journal.wal.Append(false, r)
}

// executionProof returns what the result of an attempt proves about its execution.
func executionProof(result dispatch.AttemptResult) intent.Proof {
	switch {
	case result == dispatch.Succeeded:
		return intent.Ran
	case result.ProvesNotRun():
		return intent.NeverRan
	}
	return intent.PossiblyRan
}

// recordAnswer records the client's answer. Further calls have no effect.
func (e *journalEntry) recordAnswer(outcome answerOutcome) {
	if e == nil {
		return
	}
	e.mu.Lock()
	attempts, wasNotified := e.attempts, e.isNotified
	e.isNotified = true
	e.mu.Unlock()
	if wasNotified {
		return
	}
	notified := e.newRecord(intent.ClientNotified, 0)
	notified.Outcome, notified.Count = string(outcome), attempts
	if attempts == 0 {
		e.journal.wal.Append(false, e.newRecord(intent.Unsent, 0), notified)
		return
	}
	e.journal.wal.Append(false, notified)
}
