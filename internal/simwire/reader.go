package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// ErrTruncated is returned for input that ends inside a batch.
var ErrTruncated = errors.New("input ended in the middle of a batch")

const (
	bufferBytes     = 1 << 16 // of the reader and the writer
	maxListCapacity = 4096    // endpoints for which memory is taken before they are read
)

// Reader turns lines into batches.
type Reader struct {
	in     *bufio.Reader
	warn   func(string)
	lists  map[int][]Endpoint // by number; they outlive their batch
	batch  Batch
	line   []byte
	fields []field
}

// field is one name and value of a line, in the memory of the line.
type field struct {
	name  []byte
	value []byte
}

// NewReader returns a reader of r. It calls warn for each line that cannot be used.
func NewReader(r io.Reader, warn func(string)) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, bufferBytes), warn: warn, lists: map[int][]Endpoint{}}
}

// readLine reads the next line, however long, without its end.
func (r *Reader) readLine() error {
	r.line = r.line[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		r.line = append(r.line, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return err
		}
		r.line = bytes.TrimRight(r.line, "\r\n")
		return nil
	}
}

// split cuts a line into its tag and fields. The field env takes the rest of the line.
func (r *Reader) split() (tag []byte) {
	r.fields = r.fields[:0]
	tag, remaining, _ := bytes.Cut(r.line, []byte{'\t'})
	for len(remaining) > 0 {
		if bytes.HasPrefix(remaining, []byte("env=")) {
			r.fields = append(r.fields, field{remaining[:3], remaining[4:]})
			break
		}
		var part []byte
		part, remaining, _ = bytes.Cut(remaining, []byte{'\t'})
		name, value, _ := bytes.Cut(part, []byte{'='})
		r.fields = append(r.fields, field{name, value})
	}
	return tag
}

// progress is where Read is inside a batch.
type progress struct {
	isOpen      bool // the batch's first line was read
	instance    int  // of the events that follow
	hasInstance bool
	list        int // number of the list whose entries follow, or -1
	missing     int // entries of it
}

// Read returns the next batch, io.EOF between two batches, or ErrTruncated inside one. The batch is valid until the
// next call.
func (r *Reader) Read() (*Batch, error) {
	r.batch.Events = r.batch.Events[:0]
	at := progress{list: -1}
	for {
		if err := r.readLine(); err != nil {
			return nil, endOfInput(err, !at.isOpen && len(r.line) == 0)
		}
		if len(r.line) == 0 {
			continue
		}
		tag := string(r.split())
		if !at.isOpen && tag != "batch" {
			r.warn(fmt.Sprintf("dropped a %.20q line outside a batch", tag))
			continue
		}
		if at.missing > 0 && tag != "entry" {
			r.warn(fmt.Sprintf("list %d misses %d entries", at.list, at.missing))
			at.missing = 0
		}
		if tag == "eof_batch" {
			return &r.batch, nil
		}
		r.take(tag, &at)
	}
}

// endOfInput returns the error of Read for one of readLine.
func endOfInput(err error, isBetweenBatches bool) error {
	if errors.Is(err, io.EOF) && !isBetweenBatches {
		return ErrTruncated
	}
	return err
}

// take takes in a line. A line that cannot be used is reported and leaves no event.
func (r *Reader) take(tag string, at *progress) {
	p := parser{fields: r.fields}
	e := r.parse(tag, &p, at)
	if e != nil && p.err == nil && !at.hasInstance {
		p.fail("no instance named")
	}
	if p.err != nil {
		if e != nil {
			r.batch.Events = r.batch.Events[:len(r.batch.Events)-1]
		}
		r.warn(fmt.Sprintf("dropped a %.20q line: %v", tag, p.err))
		return
	}
	if e != nil {
		e.Instance = at.instance
	}
}

// parse reads a line and returns its event, if it is one.
func (r *Reader) parse(tag string, p *parser, at *progress) *Event {
	switch tag {
	case "batch":
		now := p.duration("now", true)
		if p.err == nil {
			r.batch.Now = now
			if at.isOpen {
				r.warn("a batch line inside a batch")
			}
		}
		at.isOpen = true
	case "target_instance":
		at.instance = p.int("who", true)
		at.hasInstance = p.err == nil
	case "manifest":
		r.beginList(p, at)
	case "entry":
		e := p.endpoint()
		if at.missing <= 0 {
			p.fail("entry without a list")
		}
		at.missing--
		if p.err == nil {
			r.lists[at.list] = append(r.lists[at.list], e)
		}
	default:
		return r.event(tag, p)
	}
	return nil
}

func (r *Reader) beginList(p *parser, at *progress) {
	at.list, at.missing = p.int("list", true), p.int("entries", true)
	if p.err != nil {
		at.list, at.missing = -1, 0
		return
	}
	r.lists[at.list] = make([]Endpoint, 0, min(max(at.missing, 0), maxListCapacity))
}
