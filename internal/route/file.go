package route

import (
	"fernvane/internal/config/tomlfile"
)

// Duration is a duration in the notation of the file, such as "250ms".
type Duration = tomlfile.Duration

// Limits can be set in [defaults], [class.NAME] and [[routes]]. For each traffic type of a route, a key of the route
// overrides the same key of the class of that type, which overrides the defaults. Only Fallback is the same for all types
// of a route: it is taken from the class that the route names as its class or type. A nil field is not set.
//
// Operators use the keys in their files, so the keys keep their names: hop_time is the timeout of an attempt, hops the
// number of attempts, further the outcomes after which a retry is allowed, at_once the concurrency limit, waiting and wait
// the length and the time limit of the queue, copy_after and copy_share hedging, keep the share that is never shed.
type Limits struct {
	TargetTime     *Duration `toml:"target" unit:"time" doc:"latency objective; the settings define the priority weight of a later response"`
	AttemptTimeout *Duration `toml:"hop_time" unit:"time" doc:"timeout of one attempt, so that time remains for a retry"`
	MaxAttempts    *int      `toml:"hops" unit:"number" doc:"maximum number of attempts of a request"`
	RetryOn        []string  `toml:"further" unit:"list" doc:"outcomes after which a retry is allowed: refused, unreachable, error, timeout, broken"`
	RetryShare     *float64  `toml:"retry_share" unit:"share" doc:"retry budget as retries for each first attempt; not set: no retry budget"`
	RetryFloor     *float64  `toml:"retry_floor" unit:"per second" doc:"retries that are allowed in addition to retry_share"`
	MaxInFlight    *int      `toml:"at_once" unit:"number" doc:"maximum number of requests with an attempt in flight"`
	MaxQueued      *int      `toml:"waiting" unit:"number" doc:"maximum number of queued requests in addition to at_once"`
	MaxQueueTime   *Duration `toml:"wait" unit:"time" doc:"maximum time that a request is queued"`
	Rate           *float64  `toml:"rate" unit:"per second" doc:"maximum rate of admitted requests"`
	Burst          *int      `toml:"burst" unit:"number" doc:"maximum number of requests admitted in one burst; default: a tenth of rate, at least 1"`
	MaxBodyBytes   *int      `toml:"body_bytes" unit:"bytes" doc:"maximum size of a request body"`
	HedgeAfter     *Duration `toml:"copy_after" unit:"time" doc:"duration of the first attempt after which a hedged request is sent"`
	HedgeShare     *float64  `toml:"copy_share" unit:"share" doc:"maximum number of hedged requests for each request; default: 0.05"`
	Pool           *string   `toml:"pool" unit:"name" doc:"pool of servers that requests are sent to"`
	Revenue        *float64  `toml:"revenue" unit:"number" doc:"priority weight of one request; under overload the lowest weight is shed first"`
	MinAdmitted    *float64  `toml:"keep" unit:"share" doc:"minimum share of requests that are admitted under overload"`
	// Tenants is the share of rate, and of at_once plus waiting, that each tenant may use. The key "other" stands for
	// all tenants that the settings do not name.
	Tenants  map[string]float64 `toml:"tenant_shares" unit:"shares" doc:"maximum share of the route's rate and slots for each tenant; \"other\" stands for all tenants that the settings do not name"`
	Fallback *string            `toml:"fallback" unit:"name" doc:"route whose limits apply to requests that this route rejects"`
}

// Route is an entry of [[routes]].
type Route struct {
	Name    string            `toml:"name" unit:"name" doc:"name of the route in log lines and counts"`
	Type    string            `toml:"type" unit:"name" doc:"traffic type of the requests, which is the first segment of the path"`
	Path    string            `toml:"path" unit:"pattern" doc:"path of the requests: /a/b matches exactly, * matches one segment, ** at the end matches any remaining segments"`
	Methods []string          `toml:"methods" unit:"list" doc:"methods of the requests; not set: all"`
	Tenants []string          `toml:"tenants" unit:"list" doc:"tenants of the requests; not set: all"`
	Headers map[string]string `toml:"headers" unit:"table" doc:"header fields that requests must have, with their values"`
	Class   string            `toml:"class" unit:"name" doc:"traffic type that is assigned to the requests, whatever their path; refused where the path names a type that may be repeated less"`
	Limits
}

// Pool selects servers. A server belongs to a pool if it matches every key that is set.
type Pool struct {
	Name         string   `toml:"name" unit:"name" doc:"name of the pool in routes"`
	Sites        []string `toml:"sites" unit:"list" doc:"sites of the servers"`
	MachineKinds []string `toml:"flavors" unit:"list" doc:"machine kinds of the servers, as reported by discovery"`
	Servers      []string `toml:"servers" unit:"list" doc:"ids of the servers; a * at the end matches any suffix"`
}

// FastCGI defines where FastCGI is used: by clients of a separate listener, and by the servers that match every key that
// is set.
type FastCGI struct {
	Listen       string   `toml:"listen" unit:"address" doc:"listen address for FastCGI clients; changes require a restart"`
	Sites        []string `toml:"sites" unit:"list" doc:"sites of the servers that use FastCGI"`
	MachineKinds []string `toml:"flavors" unit:"list" doc:"machine kinds of the servers, as reported by discovery"`
	Servers      []string `toml:"servers" unit:"list" doc:"ids of the servers; a * at the end matches any suffix"`
}

// File is the decoded text of an operator's file, before it is checked.
type File struct {
	FastCGI  FastCGI           `toml:"fastcgi"`
	Defaults Limits            `toml:"defaults"`
	Class    map[string]Limits `toml:"class"`
	Pools    []Pool            `toml:"pools"`
	Routes   []Route           `toml:"routes"`
}

// MaxPools is the maximum number of pools. The policy's label word has 64 bits, and each pool needs two: one for all of
// its servers and one for those that are proven (package staleness).
const MaxPools = 31

const (
	maxRoutes         = 10_000
	maxProfiles       = 250 // pairs of a route and a traffic type with limits of their own; the policy stores some bytes per server for each
	maxPools          = MaxPools
	maxPathSegments   = 32   // in the path of a route
	maxHeaders        = 8    // conditions of a route
	defaultHedgeShare = 0.05 // hedged requests for each request
	burstDivisor      = 10   // the default burst is the rate per second divided by this
)

// valueOr returns *p, or otherwise if p is nil.
func valueOr[T any](p *T, otherwise T) T {
	if p == nil {
		return otherwise
	}
	return *p
}

// withDefaults returns l with each unset field taken from defaults.
func (l Limits) withDefaults(defaults Limits) Limits {
	setIfNil(&l.TargetTime, defaults.TargetTime)
	setIfNil(&l.AttemptTimeout, defaults.AttemptTimeout)
	setIfNil(&l.MaxAttempts, defaults.MaxAttempts)
	setIfNil(&l.RetryShare, defaults.RetryShare)
	setIfNil(&l.RetryFloor, defaults.RetryFloor)
	setIfNil(&l.MaxInFlight, defaults.MaxInFlight)
	setIfNil(&l.MaxQueued, defaults.MaxQueued)
	setIfNil(&l.MaxQueueTime, defaults.MaxQueueTime)
	setIfNil(&l.Rate, defaults.Rate)
	setIfNil(&l.Burst, defaults.Burst)
	setIfNil(&l.MaxBodyBytes, defaults.MaxBodyBytes)
	setIfNil(&l.HedgeAfter, defaults.HedgeAfter)
	setIfNil(&l.HedgeShare, defaults.HedgeShare)
	setIfNil(&l.Pool, defaults.Pool)
	setIfNil(&l.Revenue, defaults.Revenue)
	setIfNil(&l.MinAdmitted, defaults.MinAdmitted)
	setIfNil(&l.Fallback, defaults.Fallback)
	if l.RetryOn == nil {
		l.RetryOn = defaults.RetryOn
	}
	if l.Tenants == nil {
		l.Tenants = defaults.Tenants
	}
	return l
}

// setIfNil sets *p to otherwise if it is nil.
func setIfNil[T any](p **T, otherwise *T) {
	if *p == nil {
		*p = otherwise
	}
}
