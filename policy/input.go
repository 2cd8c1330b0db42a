package policy

import "time"

// UpdateScope is the coverage of an endpoint list update.
type UpdateScope uint8

const (
	// Incremental updates contain only the endpoints that changed.
	Incremental UpdateScope = iota
	// Full lists contain every endpoint: omitted ones are removed.
	Full
	// Cached lists are full lists that no source has confirmed yet: from the configuration or stored by an earlier run.
	Cached
	// Unavailable reports that requesting the list failed.
	Unavailable
)

// Condition is the state of a listed endpoint.
type Condition uint8

const (
	// Up endpoints get requests.
	Up Condition = iota
	// Draining endpoints get no new requests.
	Draining
	// Removed endpoints are no longer listed.
	Removed
)

// UnknownDomain is the Zone or Cell of an Endpoint whose entry names none. Two unknown domains do not count as the same.
const UnknownDomain = -1

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	Server            int    // dense index; at most one above all earlier ones
	IndexReused       bool   // the index belonged to another server, which has no attempt in flight
	Rank              uint32 // sort key of the rotation, identical at every node
	Zone              int    // or UnknownDomain
	MachineKind       int
	Cell              int // failure domain inside a zone, or UnknownDomain
	Condition         Condition
	Weight            float64       // capacity relative to other servers; 0 counts as 1
	Labels            uint64        // bit set, see TrafficType.PoolLabels
	StartedAt         time.Duration // relative to the policy's start, usually negative
	HasStartTime      bool
	AddressReassigned bool // another server now has its address, so this one has terminated
}

// Outcome is the result of an attempt.
type Outcome uint8

const (
	// Success is a response without an error.
	Success Outcome = iota
	// Failure is a response that reports a server error.
	Failure
	// Overloaded is a rejection by a server without free capacity: the request has not run.
	Overloaded
	// TimedOut attempts got no response within their timeout.
	TimedOut
	// Unreachable attempts never reached the server: no connection was established, or a new one broke before the
	// last byte was written. The request has not run.
	Unreachable
	// ConnectionBroken attempts lost their connection before the response was complete.
	ConnectionBroken
	// Canceled attempts were ended by this node, such as one of two hedged attempts.
	Canceled
	// NotStarted attempts provably never ran, for a reason unrelated to the server's health.
	NotStarted
	// ClientError is a response that reports an invalid request.
	ClientError
)

// InputKind is the type of an event.
type InputKind uint8

const (
	// RequestArrived starts a request. It uses Request, TrafficType, Tenant, RouteLimit, Key, IsClientRetry and
	// Timeout.
	RequestArrived InputKind = iota
	// AttemptEnded ends an attempt. It uses Request, Attempt, Outcome and IsSettled. Policy ignores Server and
	// Elapsed, which other implementations of engine.Decider use.
	AttemptEnded
	// ClientLeft ends a request that no longer needs a response. It uses Request.
	ClientLeft
	// EndpointsUpdated delivers an endpoint list. It uses Scope and Endpoints.
	EndpointsUpdated
	// TimerFired follows an earlier SetTimer. The owner sends the first one after New.
	TimerFired
	// TrafficTypesChanged replaces the traffic types. It uses TrafficTypes, LatencySources and RouteLimits.
	TrafficTypesChanged
	// PlanChanged delivers a planner's plan. It uses Assignments, NodeCount, MaxAdmittedShare and WithinQuotaShares.
	PlanChanged
	// QuotasChanged changes quotas of tenants. It uses Quotas.
	QuotasChanged
)

// Input is one event. Kind determines which fields are used.
type Input struct {
	Kind    InputKind
	Request int
	Attempt int // number of the attempt within its request, from 0
	Server  int

	TrafficType   int
	Tenant        int
	RouteLimit    int           // index into RouteLimits; 0: the route has no limit
	Key           uint32        // see HashKey; 0: none
	IsClientRetry bool          // the client marked the request as a retry
	Timeout       time.Duration // time until the client gives up

	Outcome   Outcome
	Elapsed   time.Duration // since the attempt was sent; Policy measures this time itself
	IsSettled bool          // the request needs no further attempt: its final response is decided, or the client has disconnected

	Scope     UpdateScope
	Endpoints []Endpoint

	TrafficTypes   []TrafficType // all types; a type with open requests keeps its index
	LatencySources []int         // by traffic type: its own index if unchanged, else the type whose latencies it copies, or -1
	RouteLimits    []int         // requests that may be in flight at a time; 0: unlimited

	Assignments       []Assignment
	NodeCount         int
	MaxAdmittedShare  float64   // 0: all
	WithinQuotaShares []float64 // by tenant: share of its requests within its quota, 0: all; nil: from the node's own rates
	Quotas            []Quota   // changed quotas only
}

// Quota is the request rate that a tenant may use. All tenants up to the highest index received so far are known and
// have a quota of 0 until theirs is received.
type Quota struct {
	Tenant    int
	PerSecond float64 // requests a second over all nodes; 0: unlimited
}

// Assignment is the part of a plan that concerns one server at this node.
type Assignment struct {
	Server        int
	Preference    float64       // relative probability to join the subset; 0: not assigned to the node; below 0: avoided
	SlowStartRate float64       // attempts a second at full capacity during slow start; 0: computed by the node
	EjectFor      time.Duration // ejection time, set when several nodes report failures of the server
}
