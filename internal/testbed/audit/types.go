package audit

import "time"

// Idempotency says what may be done with a request that may have run.
type Idempotency uint8

// Classes of traffic types.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // repeats are dropped within a group of servers, for a while
	NonIdempotent                        // must not run twice
)

// KeyScope of servers that drops repeats of a keyed request.
type KeyScope uint8

// Scopes within which a key is recognized.
const (
	All  KeyScope = iota // every server
	Zone                 // the servers of one site
	Cell                 // the servers of one cell
)

// Type is what the audit must know of a traffic type.
type Type struct {
	Name         string
	Idempotency  Idempotency
	KeyScope     KeyScope
	KeyRetention time.Duration
	Sites        []int    // where it may be sent, nil for anywhere
	Kinds        []string // of servers, likewise
}

// Server is where a server stands.
type Server struct {
	Name string
	Site int
	Cell int
	Kind string
}

// Settings of the rules.
type Settings struct {
	Types         []Type
	DrainGrace    time.Duration
	Slack         time.Duration // added to each limit, for what the machine is late
	MaxAttempts   int
	AllowsHedging bool // a hedged request may be out while the first is
	ClosesOnDrain bool // idle connections to a draining server are closed within DrainClose
	DrainClose    time.Duration
}

// End is how a client's try ended.
type End uint8

// Ends of a try.
const (
	Answered     End = iota // in time
	Late                    // answered when the client's time was up, but within the slack
	Unanswered              // the client's time was up first
	Dropped                 // the connection ended with no complete response
	Unsent                  // never written completely
	Disconnected            // the client went before its time was up
)

// Condition of a server, as a node was told.
type Condition uint8

// Conditions of a server.
const (
	Serving  Condition = iota // may be sent to
	Draining                  // finishes what it has, and gets nothing new
	Removed                   // is no more
)
