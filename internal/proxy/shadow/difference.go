package shadow

import "fernvane/policy"

// Difference is how a decision under the candidate settings differs from the one that was made.
type Difference int

// The differences.
const (
	ServerDiffers     Difference = iota // sent to another server
	TimeoutDiffers                      // the attempt has another timeout
	WouldSend                           // sent, where it was rejected, has failed or is queued
	WouldQueue                          // queued, where it was sent, was rejected or has failed
	WouldReject                         // rejected, where it was sent, is queued or has failed
	RetryAfterDiffers                   // rejected as well, with another time to retry after
	WouldRetry                          // another attempt, where there was none
	WouldNotRetry                       // no other attempt, where there was one
	WouldFail                           // failed, where it has not
	WouldKeepWaiting                    // the attempt in flight awaited, where the request was settled
	differenceCount
)

// differenceNames are the names of the counts in the log.
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

// String returns the name of the difference's count in the log.
func (d Difference) String() string { return differenceNames[d] }

// difference compares the decisions about one request: live as it was made, other under the candidate settings; nil for
// none. hasAttempts says that the request had an attempt before. ok is false if the decisions are the same.
func difference(live, other *policy.Effect, hasAttempts bool) (d Difference, ok bool) {
	switch {
	case other == nil && !hasAttempts:
		return WouldQueue, true
	case other == nil && live.Kind == policy.SendAttempt:
		return WouldNotRetry, true
	case other == nil:
		return WouldKeepWaiting, true
	case live == nil || live.Kind != other.Kind:
		return otherKind(other.Kind, hasAttempts), true
	case live.Kind == policy.SendAttempt && live.Server != other.Server:
		return ServerDiffers, true
	case live.Kind == policy.SendAttempt:
		return TimeoutDiffers, live.Duration != other.Duration
	case live.Kind == policy.Reject:
		return RetryAfterDiffers, live.Duration != other.Duration
	}
	return 0, false
}

// otherKind is the difference of a decision of a kind where another one, or none, was made.
func otherKind(kind policy.EffectKind, hasAttempts bool) Difference {
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
