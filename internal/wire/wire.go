// Package wire reads and writes the bench's text lines. It decides nothing.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"fernvane/internal/settings"
	"fernvane/policy"
)

// Kind names an event that concerns an instance.
type Kind uint8

const (
	PowerOn Kind = iota
	Killed
	Discovery
	Arrival
	Verdict
	Left
	DeadlineHit
	Ignored // read and valid, but of no use to the module
)

// Entry is a line of a server list, in the bench's own ids.
type Entry struct {
	Server     uint32
	Zone, Cell int
	Condition  policy.Condition
	Scale      float64
	Start      time.Duration
	HasStart   bool
}

// Event is one line of a batch.
type Event struct {
	Kind     Kind
	Instance int
	Job      uint64
	Server   uint32
	Hop      int
	Type     int
	Tenant   int
	Again    bool
	Key      uint32
	Budget   time.Duration
	Spent    time.Duration
	Outcome  policy.Outcome
	Final    bool
	Scope    policy.Scope
	Entries  []Entry
	Seed     uint32
	Settings policy.Settings
	Err      error // settings that cannot be used
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
	lists    map[int][]Entry
	batch    Batch
	line     []byte
	fields   []field
}

type field struct{ name, value []byte }

// NewReader reads from r; complain is told of each line that cannot be read.
func NewReader(r io.Reader, complain func(string)) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16), complain: complain, lists: map[int][]Entry{}}
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

// Read returns the next batch, io.EOF between batches, or ErrTruncated inside one.
// The batch is valid until the next call.
func (r *Reader) Read() (*Batch, error) {
	r.batch.Events = r.batch.Events[:0]
	open, who, known := false, 0, false
	list, due := -1, 0
	for {
		if err := r.next(); err != nil {
			if err == io.EOF && !open && len(r.line) == 0 {
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
		if !open && tag != "batch" {
			r.complain(fmt.Sprintf("dropped a %.20q line outside a batch", tag))
			continue
		}
		p := parser{fields: r.fields}
		if due > 0 && tag != "entry" {
			r.complain(fmt.Sprintf("list %d misses %d entries", list, due))
			due = 0
		}
		var ev *Event
		switch tag {
		case "batch":
			now := p.span("now", true)
			if p.err == nil {
				r.batch.Now = now
				if open {
					r.complain("a batch line inside a batch")
				}
			}
			open = true
		case "eof_batch":
			return &r.batch, nil
		case "target_instance":
			who = p.int("who", true)
			known = p.err == nil
		case "manifest":
			list, due = p.int("list", true), p.int("entries", true)
			if p.err == nil {
				r.lists[list] = make([]Entry, 0, min(max(due, 0), 4096))
			} else {
				list, due = -1, 0
			}
		case "entry":
			e := Entry{Server: p.server(), Zone: p.int("hall", false), Cell: p.int("unitGroup", false),
				Condition: p.condition(), Scale: p.number("scale", 1)}
			if at, ok := p.find("lastStart"); ok {
				e.Start = p.parseSpan("lastStart", at)
				e.HasStart = e.Start != 0
			}
			if due <= 0 {
				p.fail("entry without a list")
			}
			due--
			if p.err == nil {
				r.lists[list] = append(r.lists[list], e)
			}
		default:
			ev = r.event(tag, &p)
		}
		if ev != nil && p.err == nil && !known {
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
			ev.Instance = who
		}
	}
}

func (r *Reader) event(tag string, p *parser) *Event {
	r.batch.Events = append(r.batch.Events, Event{Kind: Ignored})
	e := &r.batch.Events[len(r.batch.Events)-1]
	switch tag {
	case "power_on":
		e.Kind = PowerOn
		seed, _ := p.find("entropy")
		if n, err := strconv.ParseInt(string(seed), 10, 64); err == nil {
			e.Seed = uint32(n) ^ uint32(n>>32)
		} else if u, err := strconv.ParseUint(string(seed), 10, 64); err == nil {
			e.Seed = uint32(u) ^ uint32(u>>32)
		} else {
			p.fail("entropy is not a number")
		}
		env, _ := p.find("env")
		decoded, err := settings.Decode(env)
		e.Settings, e.Err = decoded.Settings, err
	case "killed":
		e.Kind = Killed
	case "discovery":
		e.Kind = Discovery
		scope, _ := p.find("scope")
		switch string(scope) {
		case "INCREMENTAL":
			e.Scope = policy.Changes
		case "FULL":
			e.Scope = policy.Whole
		case "SAVED":
			e.Scope = policy.Saved
		case "FAILED":
			e.Scope = policy.Unavailable
		default:
			p.fail("unknown scope")
		}
		if e.Scope != policy.Unavailable {
			entries, ok := r.lists[p.int("list", true)]
			if !ok {
				p.fail("unknown list")
			}
			e.Entries = entries
		}
	case "arrival":
		e.Kind, e.Job = Arrival, p.job()
		e.Type, e.Tenant = p.int("service", false), p.int("project", false)
		e.Budget = p.span("timeBudget", true)
		subject, _ := p.find("subject")
		e.Key = policy.KeyOf(subject)
		again, _ := p.find("againByClient")
		e.Again = string(again) == "1"
	case "verdict":
		e.Kind, e.Job, e.Server, e.Hop = Verdict, p.job(), p.server(), p.int("n", false)
		e.Outcome, e.Spent = p.outcome(), p.span("spent", false)
		final, _ := p.find("final")
		e.Final = string(final) == "1"
	case "left", "begun": // a stream that has begun is the client's: no answer is owed any more
		e.Kind, e.Job = Left, p.job()
	case "deadline_hit":
		e.Kind = DeadlineHit
	case "health_result", "from_peer":
	default:
		p.fail("unknown message")
	}
	return e
}

type parser struct {
	fields []field
	err    error
}

func (p *parser) fail(why string) {
	if p.err == nil {
		p.err = errors.New(why)
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

func (p *parser) int(name string, must bool) int {
	v, ok := p.find(name)
	if !ok {
		if must {
			p.fail(name + " is missing")
		}
		return 0
	}
	n, err := strconv.Atoi(string(v))
	if err != nil || n < 0 || n > math.MaxInt32 {
		p.fail(name + " is not a small number")
		return 0
	}
	return n
}

func (p *parser) number(name string, absent float64) float64 {
	v, ok := p.find(name)
	if !ok {
		return absent
	}
	x, err := strconv.ParseFloat(string(v), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		p.fail(name + " is not a number")
		return absent
	}
	return x
}

func (p *parser) parseSpan(name string, v []byte) time.Duration {
	x, err := strconv.ParseFloat(string(v), 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > 1e12 {
		p.fail(name + " is not a time")
		return 0
	}
	return settings.Span(x)
}

func (p *parser) span(name string, must bool) time.Duration {
	v, ok := p.find(name)
	if !ok {
		if must {
			p.fail(name + " is missing")
		}
		return 0
	}
	return p.parseSpan(name, v)
}

func (p *parser) job() uint64 {
	v, _ := p.find("job")
	n, err := strconv.ParseUint(string(v), 16, 64)
	if err != nil || len(v) != 16 {
		p.fail("job is not 16 hex digits")
	}
	return n
}

func (p *parser) server() uint32 {
	v, _ := p.find("server")
	n, err := strconv.ParseUint(string(v), 10, 32)
	if err != nil {
		p.fail("server is not a number")
	}
	return uint32(n)
}

func (p *parser) condition() policy.Condition {
	v, _ := p.find("condition")
	switch string(v) {
	case "up", "":
		return policy.Up
	case "draining":
		return policy.Draining
	case "removed":
		return policy.Gone
	}
	p.fail("unknown condition")
	return policy.Gone
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
		return policy.Broken
	case "withdrawn":
		return policy.Withdrawn
	case "void":
		return policy.Void
	}
	p.fail("unknown verdict")
	return policy.Broken
}

// Writer collects the reply to one batch.
type Writer struct {
	out *bufio.Writer
	who int
	buf []byte
}

// NewWriter writes replies to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, 1<<16), who: -1} }

// For names the instance whose actions follow.
func (w *Writer) For(instance int) {
	if instance != w.who {
		w.who = instance
		w.buf = strconv.AppendInt(append(w.buf, "from\twho="...), int64(instance), 10)
		w.buf = append(w.buf, '\n')
	}
}

const hexDigits = "0123456789abcdef"

func (w *Writer) job(verb string, id uint64) {
	w.buf = append(append(w.buf, verb...), "\tjob="...)
	for shift := 60; shift >= 0; shift -= 4 {
		w.buf = append(w.buf, hexDigits[id>>shift&15])
	}
}

func (w *Writer) span(name string, d time.Duration) {
	w.buf = append(append(append(w.buf, '\t'), name...), '=')
	w.buf = strconv.AppendFloat(w.buf, float64(d/time.Microsecond)/1000, 'f', -1, 64)
}

func (w *Writer) uint(name string, n uint64) {
	w.buf = strconv.AppendUint(append(append(append(w.buf, '\t'), name...), '='), n, 10)
}

func (w *Writer) end() { w.buf = append(w.buf, '\n') }

// Forward sends a hop.
func (w *Writer) Forward(job uint64, server uint32, allow time.Duration) {
	w.job("forward", job)
	w.uint("server", uint64(server))
	w.span("allowFor", allow)
	w.end()
}

// TurnAway denies an operation.
func (w *Writer) TurnAway(job uint64, retryIn time.Duration) {
	w.job("turn_away", job)
	if retryIn > 0 {
		w.span("retryIn", retryIn)
	}
	w.end()
}

// Lose writes an operation off.
func (w *Writer) Lose(job uint64) {
	w.job("lose", job)
	w.end()
}

// Schedule sets the timer.
func (w *Writer) Schedule(after time.Duration) {
	w.buf = append(w.buf, "schedule"...)
	w.span("fromNow", after)
	w.buf = append(w.buf, "\tcookie=w\n"...)
}

// Listen subscribes to the server list.
func (w *Writer) Listen() { w.buf = append(w.buf, "listen\tenable=1\n"...) }

// Release closes idle connections to a server.
func (w *Writer) Release(server uint32) {
	w.buf = append(w.buf, "release"...)
	w.uint("server", uint64(server))
	w.end()
}

// Forget has nothing to say: ids of servers do not come again.
func (w *Writer) Forget(uint32) {}

// Broken tells that the module cannot work, and why.
func (w *Writer) Broken(why string) {
	clean := bytes.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, []byte(why))
	w.buf = append(append(append(w.buf, "broken\tmessage="...), clean...), '\n')
}

// Flush ends the reply and sends it.
func (w *Writer) Flush() error {
	w.buf = append(w.buf, "eor\n"...)
	_, err := w.out.Write(w.buf)
	w.buf, w.who = w.buf[:0], -1
	if err != nil {
		return err
	}
	return w.out.Flush()
}
