package policy

import "time"

// UpdateScope says what an update of the endpoint list covers.
type UpdateScope uint8

const (
	// Incremental updates name the endpoints that changed.
	Incremental UpdateScope = iota
	// Full lists name every endpoint: those omitted are removed.
	Full
	// Cached lists are full lists that were stored by an earlier run.
	Cached
	// Unavailable says that the list could not be had.
	Unavailable
)

// Condition is the state of a listed endpoint.
type Condition uint8

const (
	// Up endpoints get requests.
	Up Condition = iota
	// Draining endpoints get no new requests.
	Draining
	// Removed endpoints are not listed any more.
	Removed
)

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	Server            int    // its index; at most one above all earlier ones
	IndexReused       bool   // the index belonged to another server, of which no attempt is in flight
	Rank              uint32 // its position in the rotation, the same at every node
	Zone              int
	MachineKind       int
	Cell              int // failure domain inside a zone
	Condition         Condition
	Weight            float64       // capacity relative to others; 0 counts as 1
	Labels            uint64        // one a bit, see TrafficType.PoolLabels
	StartedAt         time.Duration // since the policy's start, mostly negative
	HasStartTime      bool
	AddressReassigned bool // another server has its address now, so it is certainly gone
}

// Outcome is how an attempt ended.
type Outcome uint8

const (
	// Success is an answer.
	Success Outcome = iota
	// Failure is an answer that reports an error of the server.
	Failure
	// Overloaded is a refusal by a server that is full: the request has not run.
	Overloaded
	// TimedOut attempts got no answer in time.
	TimedOut
	// Unreachable attempts never reached the server, since they got no connection or a new one broke before the last
	// byte was written: the request has not run.
	Unreachable
	// ConnectionBroken attempts lost their connection before the answer was complete.
	ConnectionBroken
	// Canceled attempts were ended by this node, such as one of two hedged ones.
	Canceled
	// NotStarted attempts provably never ran, for a reason that says nothing of the server.
	NotStarted
	// ClientError is an answer that finds fault with the request itself.
	ClientError
)

// InputKind says what has happened.
type InputKind uint8

const (
	// RequestArrived starts a request: Request, TrafficType, Tenant, RouteLimit, Key, IsClientRetry, Timeout.
	RequestArrived InputKind = iota
	// AttemptEnded ends an attempt: Request, Attempt, Server, Outcome, Elapsed, ClientAnswered.
	AttemptEnded
	// ClientLeft says that a request needs no answer any more: Request.
	ClientLeft
	// EndpointsUpdated brings an endpoint list: Scope, Endpoints.
	EndpointsUpdated
	// TimerFired follows an earlier SetTimer.
	TimerFired
	// TrafficTypesChanged replaces the traffic types: TrafficTypes, LearnFrom, RouteLimits.
	TrafficTypesChanged
	// PlanChanged brings a planner's plan: Assignments, NodeCount, MaxAdmittedShare, WithinQuotaShares.
	PlanChanged
	// QuotasChanged changes quotas of tenants: Quotas.
	QuotasChanged
)

// Input is one event. The kind says which fields count.
type Input struct {
	Kind    InputKind
	Request int
	Attempt int // number of the attempt within its request, from 0
	Server  int

	TrafficType   int
	Tenant        int
	RouteLimit    int           // index into RouteLimits; 0: the route has none
	Key           uint32        // see HashKey; 0: none
	IsClientRetry bool          // the client says that it repeats the request
	Timeout       time.Duration // after which the client gives up

	Outcome        Outcome
	Elapsed        time.Duration // since the attempt was sent; for other deciders, Policy keeps its own times
	ClientAnswered bool          // the client has its final answer

	Scope     UpdateScope
	Endpoints []Endpoint

	TrafficTypes []TrafficType // all of them; one with requests in hand keeps its index
	LearnFrom    []int         // by traffic type: itself if unchanged, else the one whose latencies it takes over, or -1
	RouteLimits  []int         // requests that may be in flight at a time; 0: any number

	Assignments       []Assignment
	NodeCount         int
	MaxAdmittedShare  float64   // 0: all
	WithinQuotaShares []float64 // by tenant: share of its requests that is within its quota, 0: all; nil: by own figures
	Quotas            []Quota   // those that changed
}

// Quota is what a tenant may use. Tenants up to the highest number ever named are known, with a quota of 0 until
// theirs is named.
type Quota struct {
	Tenant    int
	PerSecond float64 // requests, over all nodes; 0: never over quota
}

// Assignment is what a plan says of one server for this node.
type Assignment struct {
	Server        int
	Preference    float64       // relative chance to join the subset; 0: not assigned to the node; below 0: to be avoided
	SlowStartRate float64       // attempts a second at full capacity, while in slow start; 0: as the node decides
	EjectFor      time.Duration // several nodes agree that it should be ejected
}
