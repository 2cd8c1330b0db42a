package plan

import (
	"time"

	"fernvane/internal/discovery/incarnation"
)

// Plan contains the decisions of one planner for one forwarder.
type Plan struct {
	_ struct{} `cbor:",toarray"`

	PlannerStartMs      int64         // Unix time of the planner's start in ms; identifies one run of the planner
	Number              uint64        // sequence number of the plan within the planner's run, from 1
	ReportSentAt        time.Duration // Report.SentAt of the forwarder's latest report that the plan includes; 0: no report yet
	ReportingForwarders int           // forwarders with recent reports; a forwarder compares planners by it
	Nodes               int           // number of forwarders that share the load: ReportingForwarders, at least 1
	AdmittedShare       float64       // share of requests to admit, 0 to 1
	WithinAllowance     []TenantShare
	Servers             []ServerShare
	Incarnations        []incarnation.Entry // of all servers, including recently removed ones
}

// TenantShare is the share of one tenant's requests that is within the tenant's allowance.
type TenantShare struct {
	_ struct{} `cbor:",toarray"`

	Tenant string
	Share  float64 // 0 to 1
}

// ServerShare contains a plan's decisions about one server.
type ServerShare struct {
	_ struct{} `cbor:",toarray"`

	ID                string
	Share             float64       // share of the forwarder's requests; rounded, so the sum is about 1 and the follower normalizes it
	IsAvoided         bool          // set while the server is much slower than usual
	SlowStartRate     float64       // limit in attempts per second during slow start; 0: not in slow start
	EjectionRemaining time.Duration // remaining time at receipt of the plan; 0: not ejected
}
