// Package route decides which limits an operation is under, from the operator's file, and whether a route takes one
// more. It is free of I/O. What becomes of an operation that is taken the decision module decides, to which each route
// and traffic type is a type with figures of its own.
package route

import (
	"fernvane/internal/config/tomlfile"
)

// Duration is a duration as the file writes it.
type Duration = tomlfile.Duration

// Limits may stand in [defaults], [class.NAME] and [[routes]]; what is nearer to the route wins, key by key.
type Limits struct {
	TargetTime     *Duration `toml:"target" unit:"time" doc:"answers after this are worth nothing"`
	AttemptTimeout *Duration `toml:"hop_time" unit:"time" doc:"for one hop, so that time is left for another"`
	MaxAttempts    *int      `toml:"hops" unit:"number" doc:"most hops of an operation"`
	RetryOn        []string  `toml:"further" unit:"list" doc:"what may be followed by a further hop: refused, unreachable, error, timeout, broken"`
	RetryShare     *float64  `toml:"retry_share" unit:"share" doc:"further hops for each first one; without it there is no budget"`
	RetryFloor     *float64  `toml:"retry_floor" unit:"a second" doc:"further hops that are allowed beside that share"`
	MaxInFlight    *int      `toml:"at_once" unit:"number" doc:"operations with a hop out at a time"`
	MaxQueued      *int      `toml:"waiting" unit:"number" doc:"operations that may wait beside them"`
	MaxQueueTime   *Duration `toml:"wait" unit:"time" doc:"how long one may wait for its turn"`
	Rate           *float64  `toml:"rate" unit:"a second" doc:"operations taken"`
	Burst          *int      `toml:"burst" unit:"number" doc:"operations taken at once when none came before; by default a tenth of rate"`
	MaxBodyBytes   *int      `toml:"body_bytes" unit:"bytes" doc:"most of a request's body"`
	HedgeAfter     *Duration `toml:"copy_after" unit:"time" doc:"a second copy goes out when the first hop has taken so long"`
	HedgeShare     *float64  `toml:"copy_share" unit:"share" doc:"copies for each operation; by default 0.05"`
	Pool           *string   `toml:"pool" unit:"name" doc:"servers that may be used"`
	Revenue        *float64  `toml:"revenue" unit:"number" doc:"of one operation; the dearer are kept longer under overload"`
	MinAdmitted    *float64  `toml:"keep" unit:"share" doc:"of what is offered that overload does not deny by chance"`
	// Tenants is the part of rate and of at_once with waiting that each tenant may use up; "other" is for unknown ones.
	Tenants  map[string]float64 `toml:"tenant_shares" unit:"shares" doc:"the most of the route's rate and places that each tenant may use; \"other\" for those that the settings do not name"`
	Fallback *string            `toml:"fallback" unit:"name" doc:"the route whose limits hold for what this one has no place for"`
}

// Route is an entry of [[routes]].
type Route struct {
	Name    string            `toml:"name" unit:"name" doc:"of the route, for logs and counts"`
	Type    string            `toml:"type" unit:"name" doc:"traffic type: the first part of the path"`
	Path    string            `toml:"path" unit:"pattern" doc:"/a/b exactly, * for one part, ** at the end for any rest"`
	Methods []string          `toml:"methods" unit:"list" doc:"of the request"`
	Tenants []string          `toml:"tenants" unit:"list" doc:"that it is for"`
	Headers map[string]string `toml:"headers" unit:"table" doc:"fields that must be there with these values"`
	Class   string            `toml:"class" unit:"name" doc:"traffic type that operations are taken for, whatever their path"`
	Limits
}

// Pool names servers. A server is in it if it fits every key that is given.
type Pool struct {
	Name    string   `toml:"name" unit:"name" doc:"that routes use"`
	Sites   []string `toml:"sites" unit:"list" doc:"where the servers stand"`
	Flavors []string `toml:"flavors" unit:"list" doc:"kinds of machine, as discovery tells them"`
	Servers []string `toml:"servers" unit:"list" doc:"ids; a * at the end stands for any rest"`
}

// FastCGI says who speaks it: clients, on a listener of their own, and the servers that fit every key that is given.
type FastCGI struct {
	Listen  string   `toml:"listen" unit:"address" doc:"where clients that speak FastCGI connect; read at the start only"`
	Sites   []string `toml:"sites" unit:"list" doc:"where the servers stand that speak FastCGI"`
	Flavors []string `toml:"flavors" unit:"list" doc:"kinds of machine, as discovery tells them"`
	Servers []string `toml:"servers" unit:"list" doc:"ids; a * at the end stands for any rest"`
}

// File is the operator's file.
type File struct {
	FastCGI  FastCGI           `toml:"fastcgi"`
	Defaults Limits            `toml:"defaults"`
	Class    map[string]Limits `toml:"class"`
	Pools    []Pool            `toml:"pools"`
	Routes   []Route           `toml:"routes"`
}

// MaxPools is how many pools there may be: as many bits again tell of the same servers which are proved.
const MaxPools = 31

const (
	maxRoutes         = 10_000
	maxProfiles       = 250 // routes times traffic types with limits of their own; each costs the module some bytes a server
	maxPools          = MaxPools
	maxPathSegments   = 32 // of a path
	maxHeaders        = 8  // of a route
	defaultHedgeShare = 0.05
	burstDivisor      = 10 // of the rate, for a burst that is not stated
)

func valueOr[T any](p *T, otherwise T) T {
	if p == nil {
		return otherwise
	}
	return *p
}

// over returns l with what it leaves out taken from below.
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

func setIfNil[T any](p **T, below *T) {
	if *p == nil {
		*p = below
	}
}
