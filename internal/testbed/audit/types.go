package audit

import "time"

// Idempotency says whether a request that may have run may be sent again.
type Idempotency uint8

// Idempotency of traffic types.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // servers of a group drop repeats for KeyRetention
	NonIdempotent                        // must not run twice
)

// KeyScope is the group of servers that drops repeats of a request with an idempotency key.
type KeyScope uint8

// Groups of servers that recognize a key.
const (
	All  KeyScope = iota // every server
	Zone                 // the servers of one site
	Cell                 // the servers of one cell
)

// Type holds what the rules need of a traffic type.
type Type struct {
	Name         string
	Idempotency  Idempotency
	KeyScope     KeyScope
	KeyRetention time.Duration
	Sites        []int    // sites whose servers may be sent it; nil: all
	Kinds        []string // kinds of server that may be sent it; nil: all
}

// Server is a server and its location.
type Server struct {
	Name string
	Site int
	Cell int
	Kind string
}

// Settings are the limits that the rules check against.
type Settings struct {
	Types         []Type
	DrainGrace    time.Duration
	Slack         time.Duration // added to each limit, for scheduling delay of the machine
	MaxAttempts   int
	AllowsHedging bool // hedged requests are allowed
	ClosesOnDrain bool // idle connections to a draining server must close within DrainClose
	DrainClose    time.Duration
}

// End is how a client's try of a request ended.
type End uint8

// Ends of a try.
const (
	Answered     End = iota // in time
	Late                    // answered after the client's timeout, within Settings.Slack
	Unanswered              // the client's timeout passed
	Dropped                 // the connection ended without a complete response
	Unsent                  // the request was not completely written
	Disconnected            // the client disconnected before its timeout
)

// Condition is the state of a server of which a node was notified.
type Condition uint8

// Conditions of a server.
const (
	Serving  Condition = iota // takes requests
	Draining                  // finishes its requests and must get no new ones
	Removed                   // no longer exists
)
