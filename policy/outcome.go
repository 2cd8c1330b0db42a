package policy

import "time"

// minTimeoutLatencies is the time from sending until the objective, in unloaded latencies, below which a timeout is
// caused by the client's deadline and does not indicate a slow server.
const minTimeoutLatencies = 2

// attemptEnded records the end of an attempt and advances its request.
func (p *Policy) attemptEnded(in *Input) {
	if in.Request >= len(p.requests.all) {
		return
	}
	r := &p.requests.all[in.Request]
	if in.Attempt >= len(r.attempts) || r.attempts[in.Attempt].ended {
		return
	}
	a := &r.attempts[in.Attempt]
	a.ended, r.lastOutcome = true, in.Outcome
	p.load.inFlight[a.server]--
	if !a.uncounted {
		p.concurrency.inFlight--
	}
	p.closeIdleConnections(a.server)
	p.recordOutcome(a.server, r, a.sentAt, in.Outcome)
	if in.Outcome == Overloaded || in.Outcome == Unreachable || in.Outcome == NotStarted {
		r.discardAttempt(in.Attempt)
	}
	switch {
	case r.state == stateDone:
	case in.Outcome == Success:
		p.advance(in.Request, onSuccess)
	case in.IsSettled:
		p.advance(in.Request, onResponseNotNeeded)
	default:
		p.advance(in.Request, onFailure)
	}
	p.dequeue()
}

// recordOutcome updates all statistics from the end of an attempt at a server. Failures attributed to the request, and
// timeouts caused by a short client deadline, change neither the health, latency and pauses of the server nor the
// concurrency limit.
func (p *Policy) recordOutcome(s int, r *request, sentAt time.Duration, outcome Outcome) {
	p.admission.overloaded.Observe(0, allAttemptsMemory)
	p.subset.refusedConnects.Observe(0, allAttemptsMemory)
	if outcome == TimedOut {
		p.load.abandon(s, sentAt)
	}
	switch outcome {
	case Success, Failure, TimedOut, ConnectionBroken:
		isTimeoutTooShort := outcome == TimedOut && r.objectiveAt-sentAt < minTimeoutLatencies*p.latency.unloaded[r.trafficType]
		r.isFailureAttributed = !isTimeoutTooShort && p.recordAndAttribute(s, r, outcome)
		if r.isFailureAttributed || isTimeoutTooShort {
			return
		}
	}
	elapsed, typical := p.now-sentAt, p.latency.typical[r.trafficType]
	switch outcome {
	case Success:
		p.recordSuccess(s, r, sentAt)
	case TimedOut:
		p.recordPauseSample(s, sentAt, true)
		p.recordFailure(s, minConsecutiveFailures)
		p.recordTypeFailure(s, r.trafficType, sentAt)
	case Failure:
		p.load.lastResponseAt[s] = p.now
		p.recordFailure(s, minConsecutiveFailures)
		p.recordTypeFailure(s, r.trafficType, sentAt)
	case ClientError, ConnectionBroken:
		p.recordSoftFailure(s)
	case Overloaded:
		p.recordOverload(s, r.trafficType)
	case Unreachable:
		p.recordUnreachable(s, elapsed)
	}
	if outcome == Success || outcome == TimedOut {
		p.concurrency.adjust(elapsed.Seconds(), p.allowedSeconds(r.trafficType))
		p.latency.recordSlowness(s, float64(elapsed)/float64(max(typical, 1)))
	}
}

// recordSuccess updates latency, pauses, sustained load and server health from a successful response.
func (p *Policy) recordSuccess(s int, r *request, sentAt time.Duration) {
	elapsed := p.now - sentAt
	p.recordPauseSample(s, sentAt, float64(elapsed) > spikeFactor*float64(p.latency.smoothed.At(s)))
	p.latency.record(s, r.trafficType, elapsed)
	p.concurrency.successRate += 1 / rateMemory.Seconds()
	p.concurrency.sustainedLoad += p.allowedSeconds(r.trafficType) / sustainedLoadMemory.Seconds()
	p.recordRecovery(s)
	p.outliers.overloads[s] = 0
	p.outliers.ejections.RecordSuccess(s, r.trafficType)
	p.load.clearAbandoned(s, sentAt)
}
