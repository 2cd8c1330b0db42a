package policy

import "time"

// EffectKind is the type of an action that the caller must carry out.
type EffectKind uint8

const (
	// SendAttempt sends a request to a server; Duration is the attempt's timeout.
	SendAttempt EffectKind = iota
	// Reject responds that the request has not run or may safely be retried; Duration is the Retry-After, or 0. The
	// effect has no reason field: lifecycle.go lists the reasons and how to distinguish them.
	Reject
	// Fail responds that the outcome of the request is unknown.
	Fail
	// SetTimer requests a TimerFired input after Duration.
	SetTimer
	// Subscribe requests the endpoint list. The caller renews the request until it fails, and then sends
	// EndpointsUpdated with Unavailable; the next Subscribe follows after a backoff.
	Subscribe
	// CloseIdle closes idle connections to the server.
	CloseIdle
	// RetainServer reports that the server stays in use although the list omits it.
	RetainServer
	// RemoveServer reports that the server is removed permanently unless it is listed again. Package engine releases the
	// index, and forwards the effect, only once no open request has or had an attempt at the server.
	RemoveServer
)

// Effect is one action that the caller must carry out. The caller carries out effects in the order given.
type Effect struct {
	Kind     EffectKind
	Request  int
	Server   int
	Duration time.Duration
}
