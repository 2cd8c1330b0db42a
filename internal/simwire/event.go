// Package simwire decodes and encodes the text protocol of the operators' simulator and translates its terms to those of package
// policy. It makes no decisions. Only command adapter uses it.
//
// The simulator writes batches, each terminated by the line eof_batch, and waits for the reply to each. Invalid lines are reported
// and dropped; the rest of their batch is still used.
package simwire

import (
	"time"

	"fernvane/internal/config/settings"
	"fernvane/policy"
)

// Kind is the kind of an event.
type Kind uint8

const (
	// InstanceStarted starts an instance. It has Seed and Settings, or Err if the settings are invalid.
	InstanceStarted Kind = iota
	// InstanceKilled stops an instance immediately.
	InstanceKilled
	// EndpointsUpdated is an endpoint list or a change of it. It has Scope and, unless no list is available, Endpoints.
	EndpointsUpdated
	// RequestArrived has Request, TrafficType, Tenant, Key, IsClientRetry and Timeout.
	RequestArrived
	// AttemptEnded has Request, Attempt, Server, Outcome, Elapsed and IsSettled.
	AttemptEnded
	// ClientLeft reports that Request needs no response any more.
	ClientLeft
	// TimerFired reports the end of the duration passed to Writer.SetTimer.
	TimerFired
	// Ignored marks valid events that have no effect, because the policy does not use them.
	Ignored
)

// Endpoint is an entry of an endpoint list.
type Endpoint struct {
	Server       uint32
	Zone         int
	MachineKind  int
	Cell         int
	Condition    policy.Condition
	Weight       float64
	StartedAt    time.Duration
	HasStartTime bool
}

// Event is one event of a batch. Its kind determines which fields are set. Fields with a name of policy.Input have its meaning.
type Event struct {
	Kind     Kind
	Instance int

	Request       uint64
	TrafficType   int
	Tenant        int
	Key           uint32
	IsClientRetry bool
	Timeout       time.Duration
	Attempt       int
	Server        uint32
	Outcome       policy.Outcome
	Elapsed       time.Duration
	IsSettled     bool

	Scope     policy.UpdateScope
	Endpoints []Endpoint

	Seed     uint32
	Settings policy.Settings
	Err      error // why the settings are invalid
}

// Batch holds the events of one point in time.
type Batch struct {
	Now    time.Duration
	Events []Event
}

// appendEvent decodes the event of a line and appends it to the batch.
func (r *Reader) appendEvent(tag string, p *parser) *Event {
	r.batch.Events = append(r.batch.Events, Event{Kind: Ignored})
	e := &r.batch.Events[len(r.batch.Events)-1]
	switch tag {
	case "power_on":
		e.Kind, e.Seed = InstanceStarted, p.seed()
		env, _ := p.find("env")
		decoded, err := settings.Decode(env)
		e.Settings, e.Err = decoded.Settings, err
	case "killed":
		e.Kind = InstanceKilled
	case "discovery":
		e.Kind, e.Scope = EndpointsUpdated, p.scope()
		if e.Scope != policy.Unavailable {
			e.Endpoints = r.namedList(p)
		}
	case "arrival":
		p.requestArrived(e)
	case "verdict":
		p.attemptEnded(e)
	case "left", "begun": // a request whose streamed response has begun needs no other response
		e.Kind, e.Request = ClientLeft, p.requestID()
	case "deadline_hit":
		e.Kind = TimerFired
	case "health_result", "from_peer":
	default:
		p.fail("unknown message")
	}
	return e
}

// namedList returns the endpoint list that a line names.
func (r *Reader) namedList(p *parser) []Endpoint {
	endpoints, ok := r.lists[p.int("list", true)]
	if !ok {
		p.fail("unknown list")
	}
	return endpoints
}

func (p *parser) requestArrived(e *Event) {
	e.Kind, e.Request = RequestArrived, p.requestID()
	e.TrafficType, e.Tenant = p.int("service", false), p.int("project", false)
	e.Timeout = p.duration("timeBudget", true)
	subject, _ := p.find("subject")
	e.Key = policy.HashKey(subject)
	clientRetry, _ := p.find("againByClient")
	e.IsClientRetry = string(clientRetry) == "1"
}

func (p *parser) attemptEnded(e *Event) {
	e.Kind, e.Request, e.Server, e.Attempt = AttemptEnded, p.requestID(), p.server(), p.int("n", false)
	e.Outcome, e.Elapsed = p.outcome(), p.duration("spent", false)
	final, _ := p.find("final")
	e.IsSettled = string(final) == "1"
}
