package policy

import "time"

// EffectKind says what the caller must do.
type EffectKind uint8

const (
	// SendAttempt sends a request to a server; Duration is the attempt's timeout.
	SendAttempt EffectKind = iota
	// Reject answers that the request has not run or may safely be retried; Duration is the Retry-After, or 0. The effect
	// carries no reason: lifecycle.go lists the reasons and how to tell them apart.
	Reject
	// Fail answers that the outcome of the request is unknown.
	Fail
	// SetTimer asks for TimerFired after Duration.
	SetTimer
	// Subscribe requests the endpoint list. The caller goes on requesting it by itself until a request fails, and then
	// says so by EndpointsUpdated with Unavailable: the next Subscribe follows after a backoff.
	Subscribe
	// CloseIdle closes idle connections to the server.
	CloseIdle
	// Retain says that the server stays in use although the list omits it.
	Retain
	// Forget says that the server is gone for good, unless it is listed again. Package engine releases the index, and
	// passes its own Forget on, only once no request in hand has or had an attempt at the server.
	Forget
)

// Effect is one thing that the caller must do. Effects are carried out in the order given.
type Effect struct {
	Kind     EffectKind
	Request  int
	Server   int
	Duration time.Duration
}
