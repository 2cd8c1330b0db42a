// Package simwire reads and writes the bench's text lines. It decides nothing.
package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/policy"
)

// Kind names an event that concerns an instance.
type Kind uint8

const (
	InstanceStarted  Kind = iota // an instance starts, with its settings
	InstanceKilled               // an instance is no more
	EndpointsUpdated             // a server list, or that there is none
	RequestArrived               // a request
	AttemptEnded                 // how a hop ended
	ClientLeft                   // the client has gone
	TimerFired                   // a wake-up that the module asked for
	Ignored                      // read and valid, but of no use to the module
)

// Endpoint is a line of a server list, in the bench's own ids.
type Endpoint struct {
	Server       uint32
	Zone         int
	MachineKind  int // of machine
	Cell         int
	Condition    policy.Condition
	Weight       float64
	StartedAt    time.Duration
	HasStartTime bool
}

// Event is one line of a batch.
type Event struct {
	Kind           Kind
	Instance       int
	Request        uint64
	Server         uint32
	Attempt        int
	TrafficType    int
	Tenant         int
	IsClientRetry  bool
	Key            uint32
	Timeout        time.Duration
	Elapsed        time.Duration
	Outcome        policy.Outcome
	ClientAnswered bool
	Scope          policy.UpdateScope
	Endpoints      []Endpoint
	Seed           uint32
	Settings       policy.Settings
	Err            error // settings that cannot be used
}

// Batch is what arrived at one moment.
type Batch struct {
	Now    time.Duration
	Events []Event
}

// ErrTruncated tells of input that ended inside a batch.
var ErrTruncated = errors.New("input ended in the middle of a batch")

// Reader turns lines into batches.
type Reader struct {
	in       *bufio.Reader
	complain func(string)
	lists    map[int][]Endpoint
	batch    Batch
	line     []byte
	fields   []field
}

type field struct{ name, value []byte }

// NewReader reads from r; complain is told of each line that cannot be read.
func NewReader(r io.Reader, complain func(string)) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16), complain: complain, lists: map[int][]Endpoint{}}
}

func (r *Reader) next() error {
	r.line = r.line[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		r.line = append(r.line, part...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return err
		}
		r.line = bytes.TrimRight(r.line, "\r\n")
		return nil
	}
}

// split cuts a line into its parts; a text field takes the rest of the line.
func (r *Reader) split() (tag []byte) {
	r.fields = r.fields[:0]
	tag, rest, _ := bytes.Cut(r.line, []byte{'\t'})
	for len(rest) > 0 {
		if bytes.HasPrefix(rest, []byte("env=")) {
			r.fields = append(r.fields, field{rest[:3], rest[4:]})
			break
		}
		var part []byte
		part, rest, _ = bytes.Cut(rest, []byte{'\t'})
		name, value, _ := bytes.Cut(part, []byte{'='})
		r.fields = append(r.fields, field{name, value})
	}
	return tag
}

// reading is where Read stands inside a batch.
type reading struct {
	open  bool // the batch's first line was read
	who   int  // the instance that events are for
	known bool // whether who was named
	list  int  // the list whose entries are due
	due   int
}

// Read returns the next batch, io.EOF between batches, or ErrTruncated inside one.
// The batch is valid until the next call.
func (r *Reader) Read() (*Batch, error) {
	r.batch.Events = r.batch.Events[:0]
	at := reading{list: -1}
	for {
		if err := r.next(); err != nil {
			if err == io.EOF && !at.open && len(r.line) == 0 {
				return nil, io.EOF
			}
			if err == io.EOF {
				return nil, ErrTruncated
			}
			return nil, err
		}
		if len(r.line) == 0 {
			continue
		}
		tag := string(r.split())
		if !at.open && tag != "batch" {
			r.complain(fmt.Sprintf("dropped a %.20q line outside a batch", tag))
			continue
		}
		if at.due > 0 && tag != "entry" {
			r.complain(fmt.Sprintf("list %d misses %d entries", at.list, at.due))
			at.due = 0
		}
		if tag == "eof_batch" {
			return &r.batch, nil
		}
		p := parser{fields: r.fields}
		ev := r.take(tag, &p, &at)
		if ev != nil && p.err == nil && !at.known {
			p.fail("no instance named")
		}
		if p.err != nil {
			if ev != nil {
				r.batch.Events = r.batch.Events[:len(r.batch.Events)-1]
			}
			r.complain(fmt.Sprintf("dropped a %.20q line: %v", tag, p.err))
			continue
		}
		if ev != nil {
			ev.Instance = at.who
		}
	}
}

// take takes in a line; what is an event is returned.
func (r *Reader) take(tag string, p *parser, at *reading) *Event {
	switch tag {
	case "batch":
		now := p.span("now", true)
		if p.err == nil {
			r.batch.Now = now
			if at.open {
				r.complain("a batch line inside a batch")
			}
		}
		at.open = true
	case "target_instance":
		at.who = p.int("who", true)
		at.known = p.err == nil
	case "manifest":
		at.list, at.due = p.int("list", true), p.int("entries", true)
		if p.err == nil {
			r.lists[at.list] = make([]Endpoint, 0, min(max(at.due, 0), 4096))
		} else {
			at.list, at.due = -1, 0
		}
	case "entry":
		e := p.entry()
		if at.due <= 0 {
			p.fail("entry without a list")
		}
		at.due--
		if p.err == nil {
			r.lists[at.list] = append(r.lists[at.list], e)
		}
	default:
		return r.event(tag, p)
	}
	return nil
}

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
			entries, ok := r.lists[p.int("list", true)]
			if !ok {
				p.fail("unknown list")
			}
			e.Endpoints = entries
		}
	case "arrival":
		e.Kind, e.Request = RequestArrived, p.job()
		e.TrafficType, e.Tenant = p.int("service", false), p.int("project", false)
		e.Timeout = p.span("timeBudget", true)
		subject, _ := p.find("subject")
		e.Key = policy.HashKey(subject)
		again, _ := p.find("againByClient")
		e.IsClientRetry = string(again) == "1"
	case "verdict":
		e.Kind, e.Request, e.Server, e.Attempt = AttemptEnded, p.job(), p.server(), p.int("n", false)
		e.Outcome, e.Elapsed = p.outcome(), p.span("spent", false)
		final, _ := p.find("final")
		e.ClientAnswered = string(final) == "1"
	case "left", "begun": // a stream that has begun is the client's: no answer is owed any more
		e.Kind, e.Request = ClientLeft, p.job()
	case "deadline_hit":
		e.Kind = TimerFired
	case "health_result", "from_peer":
	default:
		p.fail("unknown message")
	}
	return e
}

const hexDigits = "0123456789abcdef"
