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

	SentAt            time.Duration // by the forwarder's clock, which the plan sends back
	Interval          time.Duration
	Settings          ForwarderSettings
	InFlight          int // hops out now
	Types             []TypeReport
	Tenants           []TenantReport // those with traffic; one that is not named had none
	Servers           []ServerReport
	CurrentShares     []CurrentShare      // the shares that it follows now
	NewerIncarnations []incarnation.Entry // lives of which it knows more than this planner has told
}

// ForwarderSettings are those of its settings that a planner needs.
type ForwarderSettings struct {
	_ struct{} `cbor:",toarray"`

	Nodes             int // as its settings count them
	SlowStartDuration time.Duration
	InitialCapacity   float64
	FallMultiple      float64
	TotalAllowance    float64 // of all tenants together, a second over all nodes
}

// TypeReport is a traffic type at one forwarder.
type TypeReport struct {
	_ struct{} `cbor:",toarray"`

	Name       string
	TargetTime time.Duration
	Requests   int
	Rejected   int
}

// TenantReport is one tenant's traffic there.
type TenantReport struct {
	_ struct{} `cbor:",toarray"`

	Name      string
	Allowance float64 // a second, over all nodes
	Requests  int
}

// ServerReport is how hops to one server ended.
type ServerReport struct {
	_ struct{} `cbor:",toarray"`

	ID          string
	Completions []Completions
	TimedOut    int
	Failed      int // errors, and connections that did not come up
}

// Completions are the answers of one type, by its place in the report's types.
type Completions struct {
	_ struct{} `cbor:",toarray"`

	TypeIndex    int
	Count        int
	TotalLatency time.Duration // of the time that they took
}

// CurrentShare is a share that a forwarder follows.
type CurrentShare struct {
	_ struct{} `cbor:",toarray"`

	ID    string
	Share float64 // of its part; all add up to 1
}

// Plan is one forwarder's part of the whole.
type Plan struct {
	_ struct{} `cbor:",toarray"`

	PlannerStartMs      int64         // of the planner, Unix time in ms: two planners are told apart by it
	Number              uint64        // counts its plans
	ReportSentAt        time.Duration // Sent of the last report that it rests on: its age, whatever delayed it; 0: none yet
	ReportingForwarders int           // forwarders that it hears
	Nodes               int           // that share the load
	AdmittedShare       float64
	WithinAllowance     []TenantShare
	Servers             []ServerShare
	Incarnations        []incarnation.Entry // all that it knows, those gone of late too
}

// TenantShare is the share of a tenant's operations within its allowance.
type TenantShare struct {
	_ struct{} `cbor:",toarray"`

	Tenant string
	Share  float64
}

// ServerShare is what the plan says of one server.
type ServerShare struct {
	_ struct{} `cbor:",toarray"`

	ID                string
	Share             float64       // of the forwarder's part; all add up to 1
	IsAvoided         bool          // it is much slower than its rule, as all together see it
	SlowStartRate     float64       // hops a second while it is cold, were it warm; 0: it is not cold
	EjectionRemaining time.Duration // from the plan's making
}
