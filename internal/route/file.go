package route

import (
	"fernvane/internal/config/tomlfile"
)

// Duration is a duration as the file writes it.
type Duration = tomlfile.Duration

// Limits may stand in [defaults], [class.NAME] and [[routes]]. For each traffic type of a route a key in the route goes
// before the same key in the class of that type, and that before the defaults. Only Fallback is the same for all types of
// a route: its class is the one that the route names as its class or type. A nil field is not set.
//
// The keys are the operators' and keep their names: hop_time is an attempt's timeout, hops the number of attempts, further
// the outcomes after which a retry is allowed, at_once the concurrency limit, waiting and wait the queue, copy_after and
// copy_share hedging, keep the share that is never shed.
type Limits struct {
	TargetTime     *Duration `toml:"target" unit:"time" doc:"latency objective; what a later answer is worth the settings say"`
	AttemptTimeout *Duration `toml:"hop_time" unit:"time" doc:"for one attempt, so that time is left for another"`
	MaxAttempts    *int      `toml:"hops" unit:"number" doc:"most attempts of a request"`
	RetryOn        []string  `toml:"further" unit:"list" doc:"outcomes after which a retry is allowed: refused, unreachable, error, timeout, broken"`
	RetryShare     *float64  `toml:"retry_share" unit:"share" doc:"retries for each first attempt; without it there is no retry budget"`
	RetryFloor     *float64  `toml:"retry_floor" unit:"a second" doc:"retries that are allowed beside that share"`
	MaxInFlight    *int      `toml:"at_once" unit:"number" doc:"requests with an attempt in flight at a time"`
	MaxQueued      *int      `toml:"waiting" unit:"number" doc:"requests that may be queued beside them"`
	MaxQueueTime   *Duration `toml:"wait" unit:"time" doc:"how long a request may be queued"`
	Rate           *float64  `toml:"rate" unit:"a second" doc:"requests admitted"`
	Burst          *int      `toml:"burst" unit:"number" doc:"requests admitted at once when none came before; by default a tenth of rate"`
	MaxBodyBytes   *int      `toml:"body_bytes" unit:"bytes" doc:"most of a request's body"`
	HedgeAfter     *Duration `toml:"copy_after" unit:"time" doc:"a hedged request is sent when the first attempt has taken so long"`
	HedgeShare     *float64  `toml:"copy_share" unit:"share" doc:"hedged requests for each request; by default 0.05"`
	Pool           *string   `toml:"pool" unit:"name" doc:"servers that may be used"`
	Revenue        *float64  `toml:"revenue" unit:"number" doc:"priority weight of one request; overload sheds the lowest first"`
	MinAdmitted    *float64  `toml:"keep" unit:"share" doc:"of the requests that overload does not shed"`
	// Tenants is the share of rate and of at_once with waiting that each tenant may use; "other" is for tenants that
	// the settings do not name.
	Tenants  map[string]float64 `toml:"tenant_shares" unit:"shares" doc:"the most of the route's rate and slots that each tenant may use; \"other\" for those that the settings do not name"`
	Fallback *string            `toml:"fallback" unit:"name" doc:"the route whose limits hold for what this one rejects"`
}

// Route is an entry of [[routes]].
type Route struct {
	Name    string            `toml:"name" unit:"name" doc:"of the route, for logs and counts"`
	Type    string            `toml:"type" unit:"name" doc:"traffic type: the first part of the path"`
	Path    string            `toml:"path" unit:"pattern" doc:"/a/b exactly, * for one part, ** at the end for any rest"`
	Methods []string          `toml:"methods" unit:"list" doc:"of the request"`
	Tenants []string          `toml:"tenants" unit:"list" doc:"that it is for"`
	Headers map[string]string `toml:"headers" unit:"table" doc:"fields that must be there with these values"`
	Class   string            `toml:"class" unit:"name" doc:"traffic type that requests are taken for, whatever their path"`
	Limits
}

// Pool names servers. A server is in it if it matches every key that is given.
type Pool struct {
	Name    string   `toml:"name" unit:"name" doc:"that routes use"`
	Sites   []string `toml:"sites" unit:"list" doc:"where the servers stand"`
	Flavors []string `toml:"flavors" unit:"list" doc:"kinds of machine, as discovery tells them"`
	Servers []string `toml:"servers" unit:"list" doc:"ids; a * at the end stands for any rest"`
}

// FastCGI names who speaks FastCGI: clients, on a listener of their own, and the servers that match every key that is
// given.
type FastCGI struct {
	Listen  string   `toml:"listen" unit:"address" doc:"where clients that speak FastCGI connect; read at the start only"`
	Sites   []string `toml:"sites" unit:"list" doc:"where the servers stand that speak FastCGI"`
	Flavors []string `toml:"flavors" unit:"list" doc:"kinds of machine, as discovery tells them"`
	Servers []string `toml:"servers" unit:"list" doc:"ids; a * at the end stands for any rest"`
}

// File is the operator's file as it is written.
type File struct {
	FastCGI  FastCGI           `toml:"fastcgi"`
	Defaults Limits            `toml:"defaults"`
	Class    map[string]Limits `toml:"class"`
	Pools    []Pool            `toml:"pools"`
	Routes   []Route           `toml:"routes"`
}

// MaxPools is how many pools there may be. The policy's label word has 64 bits, and each pool needs two: one for all
// servers in it and one for those among them that are proven (package staleness).
const MaxPools = 31

const (
	maxRoutes         = 10_000
	maxProfiles       = 250 // routes times traffic types with limits of their own; the policy keeps some bytes a server for each
	maxPools          = MaxPools
	maxPathSegments   = 32 // of a path
	maxHeaders        = 8  // of a route
	defaultHedgeShare = 0.05
	burstDivisor      = 10 // a burst that is not stated is the rate over this
)

// valueOr returns *p, or otherwise where p is nil.
func valueOr[T any](p *T, otherwise T) T {
	if p == nil {
		return otherwise
	}
	return *p
}

// withDefaults returns l with each unset field taken from below.
func (l Limits) withDefaults(below Limits) Limits {
	setIfNil(&l.TargetTime, below.TargetTime)
	setIfNil(&l.AttemptTimeout, below.AttemptTimeout)
	setIfNil(&l.MaxAttempts, below.MaxAttempts)
	setIfNil(&l.RetryShare, below.RetryShare)
	setIfNil(&l.RetryFloor, below.RetryFloor)
	setIfNil(&l.MaxInFlight, below.MaxInFlight)
	setIfNil(&l.MaxQueued, below.MaxQueued)
	setIfNil(&l.MaxQueueTime, below.MaxQueueTime)
	setIfNil(&l.Rate, below.Rate)
	setIfNil(&l.Burst, below.Burst)
	setIfNil(&l.MaxBodyBytes, below.MaxBodyBytes)
	setIfNil(&l.HedgeAfter, below.HedgeAfter)
	setIfNil(&l.HedgeShare, below.HedgeShare)
	setIfNil(&l.Pool, below.Pool)
	setIfNil(&l.Revenue, below.Revenue)
	setIfNil(&l.MinAdmitted, below.MinAdmitted)
	setIfNil(&l.Fallback, below.Fallback)
	if l.RetryOn == nil {
		l.RetryOn = below.RetryOn
	}
	if l.Tenants == nil {
		l.Tenants = below.Tenants
	}
	return l
}

// setIfNil sets *p to below where it is nil.
func setIfNil[T any](p **T, below *T) {
	if *p == nil {
		*p = below
	}
}
