package shadow

import "fernvane/policy"

// Difference classifies how a decision under the candidate settings differs from the live decision.
type Difference int

// The differences. Each comment gives the candidate decision first, then the live decision.
const (
	ServerDiffers     Difference = iota // sent to another server
	TimeoutDiffers                      // sent to the same server with another attempt timeout
	WouldSend                           // first attempt sent; live: rejected, failed or queued
	WouldQueue                          // queued; live: sent, rejected or failed
	WouldReject                         // rejected; live: sent, queued, failed or awaiting an attempt in flight
	RetryAfterDiffers                   // rejected with another Retry-After
	WouldRetry                          // another attempt sent; live: none sent
	WouldNotRetry                       // no further attempt; live: another attempt sent
	WouldFail                           // failed; live: not failed
	WouldKeepWaiting                    // attempt in flight awaited; live: settled
	differenceCount
)

// differenceNames contains the name of each count in the log. Operators' tools read these names.
var differenceNames = [differenceCount]string{
	ServerDiffers:     "server",
	TimeoutDiffers:    "hop_time",
	WouldSend:         "sent",
	WouldQueue:        "waited",
	WouldReject:       "denied",
	RetryAfterDiffers: "return_time",
	WouldRetry:        "further_hop",
	WouldNotRetry:     "no_further_hop",
	WouldFail:         "written_off",
	WouldKeepWaiting:  "left_open",
}

// String returns the name under which the log reports the difference's count.
func (d Difference) String() string { return differenceNames[d] }

// difference compares the live decision about a request with the one under the candidate settings. Either is nil if no
// decision was made. hasAttempts reports whether the request had an earlier attempt. ok is false if the decisions are the
// same.
func difference(live, candidate *policy.Effect, hasAttempts bool) (d Difference, ok bool) {
	switch {
	case candidate == nil && !hasAttempts:
		return WouldQueue, true
	case candidate == nil && live.Kind == policy.SendAttempt:
		return WouldNotRetry, true
	case candidate == nil:
		return WouldKeepWaiting, true
	case live == nil || live.Kind != candidate.Kind:
		return kindDifference(candidate.Kind, hasAttempts), true
	case live.Kind == policy.SendAttempt && live.Server != candidate.Server:
		return ServerDiffers, true
	case live.Kind == policy.SendAttempt:
		return TimeoutDiffers, live.Duration != candidate.Duration
	case live.Kind == policy.Reject:
		return RetryAfterDiffers, live.Duration != candidate.Duration
	}
	return 0, false
}

// kindDifference returns the difference of a candidate decision of the given kind from a live decision of another kind, or
// from none.
func kindDifference(kind policy.EffectKind, hasAttempts bool) Difference {
	switch {
	case kind == policy.SendAttempt && hasAttempts:
		return WouldRetry
	case kind == policy.SendAttempt:
		return WouldSend
	case kind == policy.Reject:
		return WouldReject
	}
	return WouldFail
}

// isDecision reports whether an effect is a decision about a request.
func isDecision(kind policy.EffectKind) bool {
	return kind == policy.SendAttempt || kind == policy.Reject || kind == policy.Fail
}
