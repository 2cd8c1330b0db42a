package policy

import (
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/intset"
	"fernvane/policy/internal/tenants"
)

const (
	// minResponseLead is the shortest lead before the client's deadline with which a tick gives the final response. If
	// ticks are further apart than the lead, no tick may fall into it: the response is then sent when the attempt
	// ends or on a tick after the deadline.
	minResponseLead = 5 * time.Millisecond

	// objectiveLeadGranularities is the lead before its latency objective with which a request counts as late, in
	// units of Settings.TimerGranularity: after an attempt times out, there is still time for a response within the
	// objective.
	objectiveLeadGranularities = 2

	minRetryAfterShare = 0.9 // of MaxRetryAfter
	minReturnShare     = 0.3 // of the time in which a client can still return and be served
	minServeLatencies  = 2   // typical latencies that must remain until the objective for a client to be served
)

// noServer is the server of an attempt that provably never ran, and the absence of a server elsewhere.
const noServer = -1

// attempt is one transmission of a request to one server.
type attempt struct {
	server    int // or noServer
	sentAt    time.Duration
	ended     bool
	uncounted bool // no longer counts toward the node's concurrency limit
}

// request is a client's request with all of its attempts.
type request struct {
	state         state
	trafficType   int
	class         int // shed class, see admission
	tenant        int // or tenants.Unknown
	routeLimit    int
	key           uint32
	isClientRetry bool

	arrivedAt      time.Duration
	objectiveAt    time.Duration // latency objective less a lead, at most clientDeadline: attempts are late from then on
	clientDeadline time.Duration // when the client gives up

	attempts            []attempt
	mayHaveRun          bool
	firstRunServer      int           // server of the first attempt that may have run: retries stay in its key scope
	firstRunAt          time.Duration // when that attempt was sent
	lastOutcome         Outcome
	isFailureAttributed bool // the last outcome passed to recordAndAttribute is a failure of the request itself

	lastDequeue int // number of the last dequeue run that tried the request
}

// wasTriedAt reports whether an attempt that may have run was sent to a server.
func (r *request) wasTriedAt(s int) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// discardAttempt records that an attempt never ran: the first of the other attempts that may have run replaces it as
// the first run.
func (r *request) discardAttempt(number int) {
	r.mayHaveRun, r.firstRunServer = false, noServer
	for i, a := range r.attempts {
		if i != number && a.server >= 0 && r.firstRunServer < 0 {
			r.mayHaveRun, r.firstRunServer, r.firstRunAt = true, a.server, a.sentAt
		}
	}
	r.attempts[number].server = noServer
}

// requestTable holds the requests by index. The index of a request that is done is reused.
type requestTable struct {
	all  []request
	open intset.Set // those without a final response
}

// clone returns a copy that shares no memory that an input for the request could write to.
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

// requestArrived starts a request and advances it to an attempt, the queue or a rejection.
func (p *Policy) requestArrived(in *Input) {
	columns.Extend(in.Request+1, &p.requests.all)
	if in.TrafficType >= len(p.settings.TrafficTypes) { // unknown type, and the request has not run
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

// clientLeft ends a request that no longer needs a response. Its attempts in flight count as load of their servers, and
// toward the concurrency limit, until they end.
func (p *Policy) clientLeft(in *Input) {
	if in.Request < len(p.requests.all) {
		p.advance(in.Request, onResponseNotNeeded)
	}
}

// hasAttemptInFlight reports whether an attempt of the request may still bring the response.
func (p *Policy) hasAttemptInFlight(request int) bool {
	return slices.ContainsFunc(p.requests.all[request].attempts, func(a attempt) bool { return !a.ended })
}

// isSafeToReject reports whether a rejected client may retry safely: no attempt can have taken effect, or the request
// may run again.
func (p *Policy) isSafeToReject(request int) bool {
	r := &p.requests.all[request]
	t := &p.settings.TrafficTypes[r.trafficType]
	return !r.mayHaveRun || t.Idempotency == Idempotent || t.Idempotency == IdempotentWithKey && t.KeyScope == KeyScopeAll
}

// isClientDeadlineNear reports whether the final response must be sent now to reach the client in time. It is
// evaluated on ticks only, which may be further apart than the lead.
func (p *Policy) isClientDeadlineNear(request int) bool {
	return p.now+max(p.settings.TimerGranularity, minResponseLead) >= p.requests.all[request].clientDeadline
}

func (p *Policy) isLateAndSafeToReject(request int) bool {
	return p.isClientDeadlineNear(request) && p.isSafeToReject(request)
}

// isPastObjective reports whether the attempts in flight have missed the latency objective and continue toward a late
// response. They no longer count toward the concurrency limit, because unresponsive servers or links would otherwise
// use it up.
func (p *Policy) isPastObjective(request int) bool {
	r := &p.requests.all[request]
	return p.now >= r.objectiveAt && p.settings.TrafficTypes[r.trafficType].LateWeightShare > 0
}

// reject sends the final response that the client may retry, with a Retry-After unless MaxRetryAfter is 0. If the client
// can still be served within its objective, the Retry-After ends early enough for that; otherwise it is close to
// MaxRetryAfter, because an earlier retry would meet the same overload. Both are randomized, so that clients do not retry
// simultaneously.
func (p *Policy) reject(request int) {
	r := &p.requests.all[request]
	after := time.Duration(float64(p.settings.MaxRetryAfter) * (minRetryAfterShare + (1-minRetryAfterShare)*p.randomFloat()))
	left := r.objectiveAt - p.now - minServeLatencies*p.latency.typical[r.trafficType]
	if left > 0 && after > 0 {
		after = min(after, time.Duration(float64(left)*(minReturnShare+(1-minReturnShare)*p.randomFloat())))
	}
	p.emit(Effect{Kind: Reject, Request: request, Duration: after})
}

// fail sends the final response that the outcome is unknown.
func (p *Policy) fail(request int) { p.emit(Effect{Kind: Fail, Request: request}) }
