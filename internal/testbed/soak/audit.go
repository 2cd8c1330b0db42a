package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"fernvane/internal/journal/intent"
)

const (
	// minIdleTime is the minimum idle time after which a node may close a connection whose last answer did not announce the close. After
	// SIGTERM a node continues to accept connections for 0.75 s before it closes idle ones; otherwise it closes them after 2.1 s.
	minIdleTime = 500 * time.Millisecond
	// minIdleTimeUnderShortage replaces minIdleTime while the node is short of file descriptors. It then closes connections that were
	// idle for 0.1 s to admit others; the bound is lower, because clients receive an answer some time after it was sent.
	minIdleTimeUnderShortage = 50 * time.Millisecond
	// sendSlack is the time after the final answer within which a request that was already written may still arrive at a server.
	sendSlack = 500 * time.Millisecond
	// maxDetails is the maximum number of violations of a run that are described.
	maxDetails = 20
)

// Rule is the name of a rule that a node must comply with when it is stopped.
type Rule string

// Rules of a stop.
const (
	Answered           Rule = "answered"       // each request that the node has read gets one complete final answer
	CloseAnnounced     Rule = "close-is-known" // a connection is closed only after an answer that announced the close, or while idle
	LastAnswerComplete Rule = "last-is-whole"  // an answer that announces the close arrives completely, even if more requests were pipelined
	NothingAfter       Rule = "nothing-after"  // no attempt is sent to a server after the final answer
	RunsOnce           Rule = "runs-once"      // no non-idempotent request is executed twice
	ExitsInTime        Rule = "ends-in-time"   // the node exits before it is killed
	ExitsCleanly       Rule = "ends-cleanly"   // the node exits with code 0 and without a panic
	JournalComplete    Rule = "journal"        // the journal records each execution of a non-idempotent request
)

// Rules lists all rules in the order in which they are reported.
var Rules = []Rule{Answered, CloseAnnounced, LastAnswerComplete, NothingAfter, RunsOnce, ExitsInTime, ExitsCleanly, JournalComplete}

// request is the state of one request.
type request struct {
	isNonIdempotent    bool
	ran                int
	lastReceived       time.Duration // time of the last arrival at a server; 0: none
	answered           time.Duration // time of the answer; 0: none
	isBehindLastAnswer bool          // pipelined after a request whose answer announced the close
}

// Audit collects the events of clients and servers, and checks the rules. It is safe for concurrent use. Times count from the start of
// the run.
type Audit struct {
	minIdle time.Duration // minIdleTime or minIdleTimeUnderShortage

	mu                sync.Mutex
	requests          map[string]*request
	violations        map[Rule]int
	details           []string
	answers           int
	closeRaces        []time.Duration // idle times of HTTP connections that the node closed while a request was sent
	fastCGICloseRaces int             // such FastCGI connections; FastCGI cannot announce a close
}

// NewAudit returns an audit without events. isShortOfSockets: the node is short of file descriptors during the run.
func NewAudit(isShortOfSockets bool) *Audit {
	a := &Audit{minIdle: minIdleTime, requests: map[string]*request{}, violations: map[Rule]int{}}
	if isShortOfSockets {
		a.minIdle = minIdleTimeUnderShortage
	}
	return a
}

// Sending reports that a client starts to send a request.
func (a *Audit) Sending(id string, isNonIdempotent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[id] = &request{isNonIdempotent: isNonIdempotent}
}

// Received reports that a request arrived at a server.
func (a *Audit) Received(id string, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.requests[id]; r != nil {
		r.lastReceived = at
	}
}

// Ran reports that a server executed a request.
func (a *Audit) Ran(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.requests[id]; r != nil {
		r.ran++
	}
}

// Answer reports that a client received a complete answer to a request.
func (a *Audit) Answer(id string, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[id].answered = at
	a.answers++
}

// SentBehindLastAnswer reports a request that was pipelined after a request whose answer announced the close. The node must not forward
// it.
func (a *Audit) SentBehindLastAnswer(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[id].isBehindLastAnswer = true
}

// Closed reports that the node closed a connection between two requests after an answer that did not announce the close. An HTTP
// connection must have been idle for a minimum time; FastCGI cannot announce a close, so its connections may be closed at any time.
// isRace: a request was sent on the connection at the same time. description identifies the connection in violations.
func (a *Audit) Closed(isFastCGI, isRace bool, idle time.Duration, description string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !isFastCGI && idle < a.minIdle:
		a.addViolation(CloseAnnounced, fmt.Sprintf("%s: connection closed after being idle for %s without an announcement in the last answer", description, idle.Round(time.Microsecond)))
	case isRace && isFastCGI:
		a.fastCGICloseRaces++
	case isRace:
		a.closeRaces = append(a.closeRaces, idle)
	}
}

// Violation reports a violation of a rule.
func (a *Audit) Violation(rule Rule, format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addViolation(rule, fmt.Sprintf(format, args...))
}

// addViolation counts a violation. The caller holds mu.
func (a *Audit) addViolation(rule Rule, detail string) {
	a.violations[rule]++
	if len(a.details) < maxDetails {
		a.details = append(a.details, string(rule)+": "+detail)
	}
}

// Finish checks the rules that can only be checked after the run. unread are the requests on connections that ended without a byte of an
// answer: the node must not have forwarded them, because it must answer each request that it has read.
func (a *Audit) Finish(unread []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range unread {
		if r := a.requests[id]; r.lastReceived > 0 {
			a.addViolation(Answered, id+" was forwarded but not answered")
		}
	}
	for id, r := range a.requests {
		switch {
		case r.isNonIdempotent && r.ran > 1:
			a.addViolation(RunsOnce, fmt.Sprintf("%s was executed %d times", id, r.ran))
		case r.isBehindLastAnswer && r.lastReceived > 0:
			a.addViolation(NothingAfter, id+" was forwarded though the previous answer announced the close of the connection")
		case r.answered > 0 && r.lastReceived > r.answered+sendSlack:
			a.addViolation(NothingAfter, fmt.Sprintf("%s arrived at a server %s after its final answer", id, (r.lastReceived-r.answered).Round(time.Millisecond)))
		}
	}
}

// CheckJournal compares the entries of the node's journal with the executions. hasGaps: the journal reports missing records.
func (a *Audit) CheckJournal(entries map[string]*intent.Entry, hasGaps bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, r := range a.requests {
		if !r.isNonIdempotent || r.ran == 0 {
			continue
		}
		switch e := entries[id]; {
		case e == nil && !hasGaps:
			a.addViolation(JournalComplete, id+" was executed, but the journal has no entry for it")
		case e != nil && e.State() == intent.NotSent:
			a.addViolation(JournalComplete, id+" was executed, but the journal records it as not sent")
		}
	}
}

// Counts are the counts of one or more runs.
type Counts struct {
	Requests, Answers int
	Violations        map[Rule]int
	IdleCloseRaces    int           // HTTP connections that the node closed while idle, as a request was sent
	ShortestIdle      time.Duration // shortest idle time of these connections
	FastCGICloseRaces int           // FastCGI connections that the node closed as a request was sent
	Details           []string
}

// Counts returns the counts of the run.
func (a *Audit) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := Counts{Requests: len(a.requests), Answers: a.answers, Violations: a.violations, IdleCloseRaces: len(a.closeRaces), FastCGICloseRaces: a.fastCGICloseRaces,
		Details: slices.Sorted(slices.Values(a.details))}
	if len(a.closeRaces) > 0 {
		c.ShortestIdle = slices.Min(a.closeRaces)
	}
	return c
}

// HasViolations reports whether any rule was violated.
func (c *Counts) HasViolations() bool { return len(c.Violations) > 0 }
