package plan

import (
	"time"

	"fernvane/internal/discovery/incarnation"
)

// Report is what one forwarder saw during an interval: sums by server and type, never single requests.
type Report struct {
	_ struct{} `cbor:",toarray"`

	SentAt            time.Duration // by the forwarder's clock; the plan returns it
	Interval          time.Duration // that the sums cover
	Settings          ForwarderSettings
	InFlight          int // attempts
	Types             []TypeReport
	Tenants           []TenantReport // with traffic in the interval; a tenant that is not named had none
	Servers           []ServerReport
	CurrentShares     []CurrentShare      // in effect at the forwarder
	NewerIncarnations []incarnation.Entry // that are newer than what this planner has sent
}

// ForwarderSettings are those of a forwarder's settings that a planner needs.
type ForwarderSettings struct {
	_ struct{} `cbor:",toarray"`

	Nodes             int           // forwarders by the settings
	SlowStartDuration time.Duration // after a server's start
	InitialCapacity   float64       // share of its capacity that a server has at its start
	CrashLoadFactor   float64       // load over its capacity at which a server crashes; 0: not known
	TotalAllowance    float64       // requests per second of all tenants, over all nodes
}

// TypeReport is a traffic type at one forwarder.
type TypeReport struct {
	_ struct{} `cbor:",toarray"`

	Name       string
	TargetTime time.Duration
	Requests   int
	Rejected   int
}

// TenantReport is one tenant's traffic at one forwarder.
type TenantReport struct {
	_ struct{} `cbor:",toarray"`

	Name      string
	Allowance float64 // requests per second, over all nodes
	Requests  int
}

// ServerReport is how one forwarder's attempts at one server ended.
type ServerReport struct {
	_ struct{} `cbor:",toarray"`

	ID          string
	Completions []Completions
	TimedOut    int
	Failed      int // errors, and connections that were not established
}

// Completions are the completed attempts of one type at one server.
type Completions struct {
	_ struct{} `cbor:",toarray"`

	TypeIndex    int // in Report.Types
	Count        int
	TotalLatency time.Duration
}

// CurrentShare is the share of its requests that a forwarder sends to one server.
type CurrentShare struct {
	_ struct{} `cbor:",toarray"`

	ID    string
	Share float64 // all shares of a forwarder add up to 1
}
