package simwire

import (
	"errors"
	"math"
	"strconv"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/policy"
)

// parser decodes the fields of one line and records the first error.
type parser struct {
	fields []field
	err    error
}

func (p *parser) fail(message string) {
	if p.err == nil {
		p.err = errors.New(message)
	}
}

func (p *parser) find(name string) ([]byte, bool) {
	for i := range p.fields {
		if string(p.fields[i].name) == name {
			return p.fields[i].value, true
		}
	}
	return nil, false
}

// int decodes an integer from 0 to math.MaxInt32. An absent field yields 0, with an error if isRequired.
func (p *parser) int(name string, isRequired bool) int {
	v, ok := p.find(name)
	if !ok {
		if isRequired {
			p.fail(name + " missing")
		}
		return 0
	}
	n, err := strconv.Atoi(string(v))
	if err != nil || n < 0 || n > math.MaxInt32 {
		p.fail(name + ": expected an integer from 0 to 2147483647")
		return 0
	}
	return n
}

// number decodes a finite number. An absent or invalid field yields fallback.
func (p *parser) number(name string, fallback float64) float64 {
	v, ok := p.find(name)
	if !ok {
		return fallback
	}
	x, err := strconv.ParseFloat(string(v), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		p.fail(name + ": expected a finite number")
		return fallback
	}
	return x
}

func (p *parser) parseDuration(name string, v []byte) time.Duration {
	x, err := strconv.ParseFloat(string(v), 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > 1e12 {
		p.fail(name + ": expected a time in ms from -1e12 to 1e12")
		return 0
	}
	return settings.FromMillis(x)
}

// duration decodes a number of milliseconds. An absent field yields 0, with an error if isRequired.
func (p *parser) duration(name string, isRequired bool) time.Duration {
	v, ok := p.find(name)
	if !ok {
		if isRequired {
			p.fail(name + " missing")
		}
		return 0
	}
	return p.parseDuration(name, v)
}

func (p *parser) requestID() uint64 {
	v, _ := p.find("job")
	n, err := strconv.ParseUint(string(v), 16, 64)
	if err != nil || len(v) != 16 {
		p.fail("job: expected 16 hex digits")
	}
	return n
}

func (p *parser) server() uint32 {
	v, _ := p.find("server")
	n, err := strconv.ParseUint(string(v), 10, 32)
	if err != nil {
		p.fail("server: expected an unsigned 32-bit integer")
	}
	return uint32(n)
}

// endpoint decodes an entry of an endpoint list.
func (p *parser) endpoint() Endpoint {
	e := Endpoint{
		Server:      p.server(),
		Zone:        p.int("hall", false),
		MachineKind: p.int("classOfHost", false),
		Cell:        p.int("unitGroup", false),
		Condition:   p.condition(),
		Weight:      p.number("scale", 1),
	}
	if startedAt, ok := p.find("lastStart"); ok {
		e.StartedAt = p.parseDuration("lastStart", startedAt)
		e.HasStartTime = e.StartedAt != 0
	}
	return e
}

// seed folds the 64-bit entropy of an instance into 32 bits.
func (p *parser) seed() uint32 {
	text, _ := p.find("entropy")
	if n, err := strconv.ParseInt(string(text), 10, 64); err == nil {
		return uint32(n) ^ uint32(n>>32)
	}
	u, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		p.fail("entropy: expected a 64-bit integer")
		return 0
	}
	return uint32(u) ^ uint32(u>>32)
}

func (p *parser) scope() policy.UpdateScope {
	text, _ := p.find("scope")
	switch string(text) {
	case "INCREMENTAL":
		return policy.Incremental
	case "FULL":
		return policy.Full
	case "SAVED":
		return policy.Cached
	case "FAILED":
		return policy.Unavailable
	}
	p.fail("unknown scope")
	return policy.Incremental
}

func (p *parser) condition() policy.Condition {
	v, _ := p.find("condition")
	switch string(v) {
	case "up", "":
		return policy.Up
	case "draining":
		return policy.Draining
	case "removed":
		return policy.Removed
	}
	p.fail("unknown condition")
	return policy.Removed
}

func (p *parser) outcome() policy.Outcome {
	v, _ := p.find("verdict")
	switch string(v) {
	case "success":
		return policy.Success
	case "failure":
		return policy.Failure
	case "overloaded":
		return policy.Overloaded
	case "timed_out":
		return policy.TimedOut
	case "unreachable":
		return policy.Unreachable
	case "broken":
		return policy.ConnectionBroken
	case "withdrawn":
		return policy.Canceled
	case "void":
		return policy.NotStarted
	}
	p.fail("unknown verdict")
	return policy.ConnectionBroken
}
