package policy

import (
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/intset"
	"fernvane/policy/internal/tenants"
)

const (
	// minAnswerLead is the least time before the client's deadline from which a tick gives the final answer. Where ticks
	// are further apart than the lead, none may fall into it: the answer then waits for the end of the attempt or for a
	// tick after the deadline.
	minAnswerLead = 5 * time.Millisecond

	// objectiveLeadGranularities is how long before its latency objective a request counts as late, in units of
	// Settings.TimerGranularity: an attempt that times out then still leaves time for an answer within the objective.
	objectiveLeadGranularities = 2

	minRetryAfterShare = 0.9 // of the longest Retry-After
	minReturnShare     = 0.3 // of the time in which a client can still return and be served
	latenciesToServe   = 2   // typical latencies that a client must have left to be served
)

// noServer stands for no server, and for that of an attempt that provably never ran.
const noServer = -1

// attempt is one sending of a request to one server.
type attempt struct {
	server    int // or noServer
	sentAt    time.Duration
	ended     bool
	uncounted bool // does not count toward the node's concurrency limit any more
}

// request is what a client asks for, over all of its attempts.
type request struct {
	state         state
	trafficType   int
	class         int // shed class, see admission
	tenant        int // or tenants.Unknown
	routeLimit    int
	key           uint32
	isClientRetry bool

	arrivedAt      time.Duration
	objectiveAt    time.Duration // attempts are late from here on, ahead of the latency objective
	clientDeadline time.Duration // the client gives up

	attempts            []attempt
	mayHaveRun          bool
	firstRunServer      int           // server of the first attempt that may have run: repeats stay in its key scope
	firstRunAt          time.Duration // when that attempt was sent
	lastOutcome         Outcome
	isFailureAttributed bool // the last end that tells of the server or of the request was attributed to the request

	lastDequeue int // number of the last dequeueing that tried it
}

// wasTriedAt reports whether an attempt that may have run went to a server.
func (r *request) wasTriedAt(s int) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// forgetAttempt takes back that an attempt may have run: the first of the others that may have run comes in its place.
func (r *request) forgetAttempt(number int) {
	r.mayHaveRun, r.firstRunServer = false, noServer
	for i, a := range r.attempts {
		if i != number && a.server >= 0 && r.firstRunServer < 0 {
			r.mayHaveRun, r.firstRunServer, r.firstRunAt = true, a.server, a.sentAt
		}
	}
	r.attempts[number].server = noServer
}

// requestTable holds the requests by index. The index of one that is done is used again.
type requestTable struct {
	all  []request
	open intset.Set // those without a final answer
}

// clone shares no memory that an input for the request could write to.
func (t *requestTable) clone(request int) requestTable {
	c := requestTable{all: slices.Clone(t.all), open: t.open.Clone()}
	for _, open := range c.open.Items() {
		columns.Clone(&c.all[open].attempts)
	}
	if request < len(c.all) && c.all[request].state == stateDone { // one of its attempts may still end
		columns.Clone(&c.all[request].attempts)
	}
	return c
}

// requestArrived starts a request and moves it on to an attempt, the queue or a rejection.
func (p *Policy) requestArrived(in *Input) {
	columns.Extend(in.Request+1, &p.requests.all)
	if in.TrafficType >= len(p.settings.TrafficTypes) { // nothing is known of the type, and nothing has run
		p.emit(Effect{Kind: Reject, Request: in.Request})
		return
	}
	t := &p.settings.TrafficTypes[in.TrafficType]
	r := &p.requests.all[in.Request]
	*r = request{
		trafficType:    in.TrafficType,
		class:          firstClass(in.TrafficType),
		tenant:         in.Tenant,
		routeLimit:     in.RouteLimit,
		key:            in.Key,
		isClientRetry:  in.IsClientRetry,
		arrivedAt:      p.now,
		objectiveAt:    p.now + min(t.LatencyObjective-objectiveLeadGranularities*p.settings.TimerGranularity, in.Timeout),
		clientDeadline: p.now + in.Timeout,
		attempts:       r.attempts[:0],
		firstRunServer: noServer,
	}
	p.activateType(in.TrafficType)
	if in.Tenant >= p.quotaUsage.known {
		r.tenant = tenants.Unknown
	} else if p.countArrivalOverQuota(in.Tenant) {
		r.class++
	}
	p.admission.arrivalRates[r.class] += 1 / rateMemory.Seconds()
	p.refillBudgets(in.TrafficType, 1, 0)
	p.advance(in.Request, onArrival)
}

// clientLeft ends a request that needs no answer any more. Its attempts in flight are still counted until they end.
func (p *Policy) clientLeft(in *Input) {
	if in.Request < len(p.requests.all) {
		p.advance(in.Request, onAnswerNotNeeded)
	}
}

// hasAttemptInFlight reports whether another attempt of the request may still bring the answer.
func (p *Policy) hasAttemptInFlight(request int) bool {
	return slices.ContainsFunc(p.requests.all[request].attempts, func(a attempt) bool { return !a.ended })
}

// isSafeToReject reports whether a rejected client may retry without harm: no attempt can have taken effect, or the
// request may run again.
func (p *Policy) isSafeToReject(request int) bool {
	r := &p.requests.all[request]
	t := &p.settings.TrafficTypes[r.trafficType]
	return !r.mayHaveRun || t.Idempotency == Idempotent || t.Idempotency == IdempotentWithKey && t.KeyScope == KeyScopeAll
}

// isClientDeadlineNear reports whether the final answer must go out now to reach the client in time. It is asked on
// ticks only, which may be further apart than the lead.
func (p *Policy) isClientDeadlineNear(request int) bool {
	return p.now+max(p.settings.TimerGranularity, minAnswerLead) >= p.requests.all[request].clientDeadline
}

func (p *Policy) isLateAndSafeToReject(request int) bool {
	return p.isClientDeadlineNear(request) && p.isSafeToReject(request)
}

// isPastObjective reports whether the attempts in flight are past the latency objective and run on for a late answer.
// They leave the concurrency limit, which unresponsive servers or links would fill otherwise.
func (p *Policy) isPastObjective(request int) bool {
	r := &p.requests.all[request]
	return p.now >= r.objectiveAt && p.settings.TrafficTypes[r.trafficType].LateWeightShare > 0
}

// reject gives the final answer that the client may retry, and when. A client that can still be served in time is told
// to return while it can; any other after the longest Retry-After, since sooner it would only meet the same overload.
// Both are spread, so that clients do not return together.
func (p *Policy) reject(request int) {
	r := &p.requests.all[request]
	after := time.Duration(float64(p.settings.MaxRetryAfter) * (minRetryAfterShare + (1-minRetryAfterShare)*p.chance()))
	left := r.objectiveAt - p.now - latenciesToServe*p.latency.typical[r.trafficType]
	if left > 0 && after > 0 {
		after = min(after, time.Duration(float64(left)*(minReturnShare+(1-minReturnShare)*p.chance())))
	}
	p.emit(Effect{Kind: Reject, Request: request, Duration: after})
}

// fail gives the final answer that the outcome is unknown.
func (p *Policy) fail(request int) { p.emit(Effect{Kind: Fail, Request: request}) }
