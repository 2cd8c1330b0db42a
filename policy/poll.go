package policy

import "time"

const (
	initialPollBackoff = 250 * time.Millisecond // doubles each time
	maxPollBackoff     = 4 * time.Second
	minBackoffShare    = 0.5 // least wait, in backoffs; the greatest is 1 more
	// backoffDivisor gives the longest backoff as a part of Settings.RequestEndpointsWithin. Package dispatch relies on it
	// (pollPauseDivisor).
	backoffDivisor = 4
)

// poll requests the endpoint list where it only comes on request: once at the start and once after each failure, with a
// backoff, since the list service has little capacity. In between the caller renews its request by itself.
type poll struct {
	isRequested bool // until the caller reports Unavailable
	nextAt      time.Duration
	backoff     time.Duration
}

// backOffPolling takes in that the list was not to be had. The wait is spread, so that nodes do not ask together.
func (p *Policy) backOffPolling() {
	p.poll.isRequested = false
	p.poll.nextAt = p.now + time.Duration(float64(p.poll.backoff)*(minBackoffShare+p.chance()))
	longest := max(p.settings.RequestEndpointsWithin/backoffDivisor, initialPollBackoff)
	p.poll.backoff = min(2*p.poll.backoff, maxPollBackoff, longest)
}

// requestEndpoints requests the list if it is time.
func (p *Policy) requestEndpoints() {
	if p.settings.MustRequestEndpoints && !p.poll.isRequested && p.now >= p.poll.nextAt {
		p.poll.isRequested = true
		p.emit(Effect{Kind: Subscribe})
	}
}
