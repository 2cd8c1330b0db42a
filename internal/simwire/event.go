// Package simwire reads and writes the text lines of the operators' simulator and translates their words to the terms
// of package policy. It decides nothing. Command adapter is its only user.
//
// The simulator writes batches, each closed by a line of its own, and waits for the reply to each. A line that cannot be
// used is reported and left out.
package simwire

import (
	"time"

	"fernvane/internal/config/settings"
	"fernvane/policy"
)

// Kind says what has happened to an instance.
type Kind uint8

const (
	// InstanceStarted brings Seed and Settings, or Err.
	InstanceStarted Kind = iota
	// InstanceKilled ends an instance at once.
	InstanceKilled
	// EndpointsUpdated brings Scope and Endpoints.
	EndpointsUpdated
	// RequestArrived brings Request, TrafficType, Tenant, Key, IsClientRetry and Timeout.
	RequestArrived
	// AttemptEnded brings Request, Attempt, Server, Outcome, Elapsed and ClientAnswered.
	AttemptEnded
	// ClientLeft says that Request needs no answer any more.
	ClientLeft
	// TimerFired follows Writer.SetTimer.
	TimerFired
	// Ignored events are valid and of no use to the policy.
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

// Event is one event of a batch. The kind says which fields count.
type Event struct {
	Kind     Kind
	Instance int

	Request        uint64
	TrafficType    int
	Tenant         int
	Key            uint32
	IsClientRetry  bool
	Timeout        time.Duration
	Attempt        int
	Server         uint32
	Outcome        policy.Outcome
	Elapsed        time.Duration
	ClientAnswered bool

	Scope     policy.UpdateScope
	Endpoints []Endpoint

	Seed     uint32
	Settings policy.Settings
	Err      error // why the settings cannot be used
}

// Batch is what happened at one moment.
type Batch struct {
	Now    time.Duration
	Events []Event
}

// event appends the event of a line to the batch.
func (r *Reader) event(tag string, p *parser) *Event {
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
			e.Endpoints = r.list(p)
		}
	case "arrival":
		p.requestArrived(e)
	case "verdict":
		p.attemptEnded(e)
	case "left", "begun": // once a streamed answer has begun, no other answer is owed
		e.Kind, e.Request = ClientLeft, p.requestID()
	case "deadline_hit":
		e.Kind = TimerFired
	case "health_result", "from_peer":
	default:
		p.fail("unknown message")
	}
	return e
}

// list returns the endpoint list that a line names.
func (r *Reader) list(p *parser) []Endpoint {
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
	again, _ := p.find("againByClient")
	e.IsClientRetry = string(again) == "1"
}

func (p *parser) attemptEnded(e *Event) {
	e.Kind, e.Request, e.Server, e.Attempt = AttemptEnded, p.requestID(), p.server(), p.int("n", false)
	e.Outcome, e.Elapsed = p.outcome(), p.duration("spent", false)
	final, _ := p.find("final")
	e.ClientAnswered = string(final) == "1"
}
