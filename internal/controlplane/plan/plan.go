package plan

import (
	"time"

	"fernvane/internal/discovery/incarnation"
)

// Plan is what one planner assigns to one forwarder.
type Plan struct {
	_ struct{} `cbor:",toarray"`

	PlannerStartMs      int64         // Unix time in ms of the planner's start, which identifies the planner's run
	Number              uint64        // counts the planner's plans, from 1
	ReportSentAt        time.Duration // SentAt of the forwarder's last report that the plan is based on; 0: none yet
	ReportingForwarders int           // that the planner has recent reports of; its reach is judged by it
	Nodes               int           // forwarders that share the load: ReportingForwarders, but at least 1
	AdmittedShare       float64       // of the requests, 0 to 1
	WithinAllowance     []TenantShare
	Servers             []ServerShare
	Incarnations        []incarnation.Entry // of all servers, those gone recently included
}

// TenantShare is the share of a tenant's requests that is within its allowance.
type TenantShare struct {
	_ struct{} `cbor:",toarray"`

	Tenant string
	Share  float64 // 0 to 1
}

// ServerShare is what a plan says of one server.
type ServerShare struct {
	_ struct{} `cbor:",toarray"`

	ID                string
	Share             float64       // of the forwarder's requests; all add up to about 1; the follower normalizes them
	IsAvoided         bool          // it is much slower than it usually is
	SlowStartRate     float64       // attempts per second that a server in slow start may be sent; 0: it is not in slow start
	EjectionRemaining time.Duration // which the forwarder counts from the plan's receipt; 0: not ejected
}
