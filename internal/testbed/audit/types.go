package audit

import "time"

// Repeat says what may be done with an operation that may have run.
type Repeat uint8

const (
	Retriable     Repeat = iota // may run any number of times
	Fingerprinted               // repeats are dropped within a group of boxes, for a while
	Binding                     // must not run twice
)

// Group of boxes that drops repeats of a fingerprinted operation.
type Group uint8

const (
	All  Group = iota // every box
	Zone              // the boxes of one site
	Cell              // the boxes of one cell
)

// Type is what the audit must know of a traffic type.
type Type struct {
	Name   string
	Repeat Repeat
	Group  Group
	Window time.Duration
	Sites  []int    // where it may be sent, nil for anywhere
	Kinds  []string // of boxes, likewise
}

// Server is where a box stands.
type Server struct {
	Name string
	Site int
	Cell int
	Kind string
}

// Figures of the rules.
type Figures struct {
	Types       []Type
	DrainGrace  time.Duration
	Slack       time.Duration // added to each limit, for what the machine is late
	MaxAttempts int
	Copies      bool // a second copy may be out while the first is
	Closes      bool // idle connections to a draining box are closed within DrainClose
	DrainClose  time.Duration
}

// End is how a client's try ended.
type End uint8

const (
	Answered     End = iota // in time
	Late                    // answered when the client's time was up, but within the slack
	Unanswered              // the client's time was up first
	Dropped                 // the connection ended with no whole answer
	Unsent                  // never written whole
	Disconnected            // the client went before its time was up
)

// Condition of a box, as a node was told.
type Condition uint8

const (
	Serving  Condition = iota // may be sent to
	Draining                  // finishes what it has, and gets nothing new
	Removed                   // is no more
)
