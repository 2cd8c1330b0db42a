// Package plan works out what only the whole of the forwarders can know: which part of the servers each one uses and how
// much of it, how far cold servers may be fed by all together, which servers several forwarders find failing, how much
// of the work is let in, and what is within each tenant's allowance. Reports go in, a plan comes out; the same reports
// at the same times give the same plan. It is free of I/O.
package plan

import (
	"time"

	"fernvane/internal/discovery/incarnation"
)

// Report is what one forwarder tells of a span of time: digests by server and type, never single operations.
type Report struct {
	_ struct{} `cbor:",toarray"`

	Sent    time.Duration // by the forwarder's clock, which the plan sends back
	Span    time.Duration
	Figures Figures
	Flying  int // hops out now
	Types   []Type
	Tenants []Tenant // those with traffic; one that is not named had none
	Servers []Server
	Held    []Held              // the shares that it follows now
	Above   []incarnation.Entry // lives of which it knows more than this planner has told
}

// Figures are those of its settings that a planner needs.
type Figures struct {
	_ struct{} `cbor:",toarray"`

	Nodes        int // as its settings count them
	ColdFor      time.Duration
	ColdStart    float64
	FallMultiple float64
	Allowances   float64 // of all tenants together, a second over all nodes
}

// Type is a traffic type at one forwarder.
type Type struct {
	_ struct{} `cbor:",toarray"`

	Name   string
	Target time.Duration
	Asked  int
	Denied int
}

// Tenant is one tenant's traffic there.
type Tenant struct {
	_ struct{} `cbor:",toarray"`

	Name      string
	Allowance float64 // a second, over all nodes
	Asked     int
}

// Server is how hops to one server ended.
type Server struct {
	_ struct{} `cbor:",toarray"`

	ID       string
	Answered []Answered
	TimedOut int
	Failed   int // errors, and connections that did not come up
}

// Answered are the answers of one type, by its place in the report's types.
type Answered struct {
	_ struct{} `cbor:",toarray"`

	Type int
	N    int
	Sum  time.Duration // of the time that they took
}

// Held is a share that a forwarder follows.
type Held struct {
	_ struct{} `cbor:",toarray"`

	ID    string
	Share float64 // of its part; all add up to 1
}

// Plan is one forwarder's part of the whole.
type Plan struct {
	_ struct{} `cbor:",toarray"`

	Start   int64         // of the planner, Unix time in ms: two planners are told apart by it
	Number  uint64        // counts its plans
	Heard   time.Duration // Sent of the last report that it rests on: its age, whatever delayed it; 0: none yet
	Seen    int           // forwarders that it hears
	Nodes   int           // that share the load
	Admit   float64
	Within  []Within
	Servers []Share
	Lives   []incarnation.Entry // all that it knows, those gone of late too
}

// Within is the share of a tenant's operations within its allowance.
type Within struct {
	_ struct{} `cbor:",toarray"`

	Tenant string
	Share  float64
}

// Share is what the plan says of one server.
type Share struct {
	_ struct{} `cbor:",toarray"`

	ID    string
	Share float64       // of the forwarder's part; all add up to 1
	Avoid bool          // it is much slower than its rule, as all together see it
	Pace  float64       // hops a second while it is cold, were it warm; 0: it is not cold
	Rest  time.Duration // from the plan's making
}
