package plan

import (
	"time"

	"fernvane/internal/discovery/incarnation"
)

// Report summarizes one forwarder's traffic during an interval. It contains sums by server, traffic type and tenant, and no single
// requests.
type Report struct {
	_ struct{} `cbor:",toarray"`

	SentAt            time.Duration // forwarder's clock; returned in Plan.ReportSentAt
	Interval          time.Duration // length of the interval
	Settings          ForwarderSettings
	InFlight          int // attempts in flight at the end of the interval
	Types             []TypeReport
	Tenants           []TenantReport // tenants with traffic in the interval; all others had no traffic
	Servers           []ServerReport
	CurrentShares     []CurrentShare      // shares in effect at the forwarder
	NewerIncarnations []incarnation.Entry // incarnations newer than those that this planner has sent
}

// ForwarderSettings are the settings of a forwarder that affect plans.
type ForwarderSettings struct {
	_ struct{} `cbor:",toarray"`

	Nodes             int           // configured number of forwarders
	SlowStartDuration time.Duration // duration of slow start after a server's start
	InitialCapacity   float64       // share of the full capacity at a server's start, 0 to 1
	CrashLoadFactor   float64       // ratio of load to capacity at which a server crashes; 0: unknown
	TotalAllowance    float64       // sum of all tenants' allowances in requests per second, over all forwarders
}

// TypeReport contains the request counts of one traffic type at one forwarder.
type TypeReport struct {
	_ struct{} `cbor:",toarray"`

	Name       string
	TargetTime time.Duration
	Requests   int
	Rejected   int
}

// TenantReport contains the request count of one tenant at one forwarder.
type TenantReport struct {
	_ struct{} `cbor:",toarray"`

	Name      string
	Allowance float64 // requests per second, over all forwarders
	Requests  int
}

// ServerReport counts the results of one forwarder's attempts at one server.
type ServerReport struct {
	_ struct{} `cbor:",toarray"`

	ID          string
	Completions []Completions
	TimedOut    int
	Failed      int // errors, including connections that could not be established
}

// Completions summarizes the completed attempts of one traffic type at one server.
type Completions struct {
	_ struct{} `cbor:",toarray"`

	TypeIndex    int // index in Report.Types
	Count        int
	TotalLatency time.Duration
}

// CurrentShare is the share of requests that a forwarder currently sends to one server.
type CurrentShare struct {
	_ struct{} `cbor:",toarray"`

	ID    string
	Share float64 // share of the forwarder's requests; the sum over all servers is 1
}
