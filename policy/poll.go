package policy

import "time"

const (
	initialPollBackoff = 250 * time.Millisecond // doubles with each failure
	maxPollBackoff     = 4 * time.Second
	minBackoffShare    = 0.5 // shortest wait, in backoffs; the longest is 1 backoff more
	// backoffDivisor determines the longest backoff as a fraction of Settings.RequestEndpointsWithin. Package
	// dispatch relies on it (pollPauseDivisor).
	backoffDivisor = 4
)

// poll requests the endpoint list if it is delivered only on request: once at the start and once after each failure,
// with a backoff, since the list service has little capacity. In between, the caller renews its request.
type poll struct {
	isRequested bool // until the caller reports Unavailable
	nextAt      time.Duration
	backoff     time.Duration
}

// backOffPolling handles a failed request for the list. The wait is randomized, so that nodes do not send requests
// simultaneously.
func (p *Policy) backOffPolling() {
	p.poll.isRequested = false
	p.poll.nextAt = p.now + time.Duration(float64(p.poll.backoff)*(minBackoffShare+p.randomFloat()))
	longest := max(p.settings.RequestEndpointsWithin/backoffDivisor, initialPollBackoff)
	p.poll.backoff = min(2*p.poll.backoff, maxPollBackoff, longest)
}

// requestEndpoints requests the list if a request is due.
func (p *Policy) requestEndpoints() {
	if p.settings.MustRequestEndpoints && !p.poll.isRequested && p.now >= p.poll.nextAt {
		p.poll.isRequested = true
		p.emit(Effect{Kind: Subscribe})
	}
}
