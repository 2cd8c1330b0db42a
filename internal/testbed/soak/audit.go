package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"fernvane/internal/journal/intent"
)

const (
	// minIdleTime is how long a connection whose last answer announced no close must have been idle before the node closes it. A node
	// listens on for 0.75 s after SIGTERM before it closes idle connections, and otherwise closes them after 2.1 s.
	minIdleTime = 500 * time.Millisecond
	// minCrowdedIdleTime is minIdleTime while descriptors are short. A node closes connections that were idle for 0.1 s for others then;
	// clients notice an answer some time after it was sent.
	minIdleTimeUnderShortage = 50 * time.Millisecond
	// sendSlack is how long after its final answer a request may still arrive at a server that it was written to before.
	sendSlack = 500 * time.Millisecond
	// maxDetails is how many violations of a run are kept in words.
	maxDetails = 20
)

// Rule is a rule that a stop has to keep.
type Rule string

// Rules of a stop.
const (
	Answered           Rule = "answered"       // each request that the node has read gets one whole final answer
	CloseAnnounced     Rule = "close-is-known" // a connection is closed only after an answer that announced it, or when it was idle
	LastAnswerComplete Rule = "last-is-whole"  // an answer that announces the close arrives whole, whatever follows the request
	NothingAfter       Rule = "nothing-after"  // nothing is sent to a server after the final answer
	RunsOnce           Rule = "runs-once"      // no non-idempotent request runs twice
	ExitsInTime        Rule = "ends-in-time"   // the node ends by itself before it is killed
	ExitsCleanly       Rule = "ends-cleanly"   // with exit code 0 and without a panic
	JournalComplete    Rule = "journal"        // what ran stands in the journal
)

// Rules lists all rules in the order of reports.
var Rules = []Rule{Answered, CloseAnnounced, LastAnswerComplete, NothingAfter, RunsOnce, ExitsInTime, ExitsCleanly, JournalComplete}

// request is what is known of one request.
type request struct {
	isNonIdempotent    bool
	ran                int
	lastReceived       time.Duration // at a server; 0: never
	answered           time.Duration // 0: no answer came
	isBehindLastAnswer bool          // sent behind an answer that announced the close
}

// Audit collects what clients and servers see, and decides which rules were broken. It is safe for concurrent use. Times count from the
// start of the run.
type Audit struct {
	minIdle time.Duration // minIdleTime, or minCrowdedIdleTime in a run with a crowd

	mu                sync.Mutex
	requests          map[string]*request
	violations        map[Rule]int
	details           []string
	answers           int
	closeRaces        []time.Duration // idle times of HTTP connections that the node closed as a request was sent
	fastCGICloseRaces int             // such connections that speak FastCGI, which cannot announce a close
}

// NewAudit returns an audit without requests. hasCrowd says that descriptors are short.
func NewAudit(hasCrowd bool) *Audit {
	a := &Audit{minIdle: minIdleTime, requests: map[string]*request{}, violations: map[Rule]int{}}
	if hasCrowd {
		a.minIdle = minIdleTimeUnderShortage
	}
	return a
}

// Sending reports a request before its first byte is sent.
func (a *Audit) Sending(id string, isNonIdempotent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[id] = &request{isNonIdempotent: isNonIdempotent}
}

// Received reports a request that arrived at a server.
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

// Answer reports a whole answer to a request.
func (a *Audit) Answer(id string, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[id].answered = at
	a.answers++
}

// Dropped reports a request that was sent behind one whose answer announced the close: the node must not forward it.
func (a *Audit) SentBehindLastAnswer(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[id].isBehindLastAnswer = true
}

// Closed reports a connection that the node closed between two requests. isCrossed says that a request was sent on it then.
func (a *Audit) Closed(isFastCGI, isCrossed bool, idle time.Duration, when string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !isFastCGI && idle < a.minIdle:
		a.addViolation(CloseAnnounced, fmt.Sprintf("%s: closed after %s, and the last answer announced no close", when, idle.Round(time.Microsecond)))
	case isCrossed && isFastCGI:
		a.fastCGICloseRaces++
	case isCrossed:
		a.closeRaces = append(a.closeRaces, idle)
	}
}

// Broken reports that a rule was broken.
func (a *Audit) Violation(rule Rule, format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addViolation(rule, fmt.Sprintf(format, args...))
}

// breakRule counts a violation. mu is held.
func (a *Audit) addViolation(rule Rule, detail string) {
	a.violations[rule]++
	if len(a.details) < maxDetails {
		a.details = append(a.details, string(rule)+": "+detail)
	}
}

// Finish checks what is known only at the end. unread are requests on connections that ended without a byte of an answer: the node must
// not have read them.
func (a *Audit) Finish(unread []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range unread {
		if r := a.requests[id]; r.lastReceived > 0 {
			a.addViolation(Answered, id+" was forwarded and got no answer")
		}
	}
	for id, r := range a.requests {
		switch {
		case r.isNonIdempotent && r.ran > 1:
			a.addViolation(RunsOnce, fmt.Sprintf("%s ran %d times", id, r.ran))
		case r.isBehindLastAnswer && r.lastReceived > 0:
			a.addViolation(NothingAfter, id+" was sent behind the last answer of its connection and forwarded")
		case r.answered > 0 && r.lastReceived > r.answered+sendSlack:
			a.addViolation(NothingAfter, fmt.Sprintf("%s reached a server %s after its answer", id, (r.lastReceived-r.answered).Round(time.Millisecond)))
		}
	}
}

// CheckJournal compares the entries of the node's journal with what ran.
func (a *Audit) CheckJournal(entries map[string]*intent.Entry, hasGaps bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, r := range a.requests {
		if !r.isNonIdempotent || r.ran == 0 {
			continue
		}
		switch e := entries[id]; {
		case e == nil && !hasGaps:
			a.addViolation(JournalComplete, id+" ran, and the journal has no entry of it")
		case e != nil && e.State() == intent.NotSent:
			a.addViolation(JournalComplete, id+" ran, and the journal says that it was not sent")
		}
	}
}

// Counts are the counts of one or more runs.
type Counts struct {
	Requests, Answers int
	Broken            map[Rule]int
	IdleCrossings     int           // closes of idle HTTP connections that a request crossed
	ShortestIdle      time.Duration // of these
	FastCGICrossings  int
	Details           []string
}

// Counts returns the counts of the run.
func (a *Audit) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := Counts{Requests: len(a.requests), Answers: a.answers, Broken: a.violations, IdleCrossings: len(a.closeRaces), FastCGICrossings: a.fastCGICloseRaces,
		Details: slices.Sorted(slices.Values(a.details))}
	if len(a.closeRaces) > 0 {
		c.ShortestIdle = slices.Min(a.closeRaces)
	}
	return c
}

// IsBroken reports whether any rule was broken.
func (c *Counts) IsBroken() bool { return len(c.Broken) > 0 }
