package audit

import "time"

// Idempotency specifies whether a request that may have run may be sent again.
type Idempotency uint8

// Idempotency of traffic types.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // servers in the key scope drop repeats for KeyRetention
	NonIdempotent                        // must not run twice
)

// KeyScope is the group of servers that share idempotency keys and drop repeats of a request.
type KeyScope uint8

// Key scopes.
const (
	All  KeyScope = iota // every server
	Zone                 // the servers of one site
	Cell                 // the servers of one cell
)

// Type holds the properties of a traffic type that the rules check.
type Type struct {
	Name         string
	Idempotency  Idempotency
	KeyScope     KeyScope
	KeyRetention time.Duration
	Sites        []int    // sites whose servers may receive it; nil: all
	Kinds        []string // kinds of servers that may receive it; nil: all
}

// Server is a stand-in server with its location and kind.
type Server struct {
	Name string
	Site int
	Cell int
	Kind string
}

// Settings holds the traffic types and limits that the rules check.
type Settings struct {
	Types         []Type
	DrainGrace    time.Duration
	Slack         time.Duration // added to each time limit but Type.KeyRetention, to allow for scheduling delays
	MaxAttempts   int
	AllowsHedging bool // hedged requests, and so concurrent attempts of a request, are allowed
	ClosesOnDrain bool // idle connections to a draining server must be closed within DrainClose
	DrainClose    time.Duration
}

// End specifies how a client's try of a request ended.
type End uint8

// Ends of a try.
const (
	Answered     End = iota // within the client's timeout
	Late                    // answered after the client's timeout, but within Settings.Slack
	Unanswered              // not answered within the client's timeout and Settings.Slack
	Dropped                 // the connection ended before the complete response
	Unsent                  // the client did not write the complete request
	Disconnected            // the client disconnected before its timeout
)

// Condition is the condition of a server in a notification.
type Condition uint8

// Conditions of a server.
const (
	Serving  Condition = iota // accepts requests
	Draining                  // completes its requests and must receive no new ones
	Removed                   // no longer exists
)
