package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// ErrTruncated is returned if the input ends inside a batch.
var ErrTruncated = errors.New("input truncated inside a batch")

const (
	bufferBytes     = 1 << 16 // buffer size of the reader and the writer
	maxListCapacity = 4096    // endpoints of a list for which memory is allocated in advance
)

// Reader decodes batches from lines.
type Reader struct {
	in     *bufio.Reader
	warn   func(string)
	lists  map[int][]Endpoint // endpoint lists by number; later batches may refer to them
	batch  Batch
	line   []byte
	fields []field
}

// field is one name and value of a line. Both refer to the memory of the line.
type field struct {
	name  []byte
	value []byte
}

// NewReader returns a reader of r. The reader calls warn for each invalid line.
func NewReader(r io.Reader, warn func(string)) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, bufferBytes), warn: warn, lists: map[int][]Endpoint{}}
}

// readLine reads the next line of any length into r.line, without its line end.
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

// split splits a line into its tag and fields. The field env extends to the end of the line.
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

// batchState is the state of Read inside a batch.
type batchState struct {
	isOpen      bool // the first line of the batch was read
	instance    int  // instance of the following events
	hasInstance bool
	list        int // number of the list that the following entries belong to, or -1
	missing     int // entries of that list still to be read
}

// Read returns the next batch, which is valid until the next call. If the input ends, the error is io.EOF between two batches and
// ErrTruncated inside one.
func (r *Reader) Read() (*Batch, error) {
	r.batch.Events = r.batch.Events[:0]
	state := batchState{list: -1}
	for {
		if err := r.readLine(); err != nil {
			return nil, endOfInput(err, !state.isOpen && len(r.line) == 0)
		}
		if len(r.line) == 0 {
			continue
		}
		tag := string(r.split())
		if !state.isOpen && tag != "batch" {
			r.warn(fmt.Sprintf("line %.20q dropped: outside any batch", tag))
			continue
		}
		if state.missing > 0 && tag != "entry" {
			r.warn(fmt.Sprintf("list %d incomplete: %d entries missing", state.list, state.missing))
			state.missing = 0
		}
		if tag == "eof_batch" {
			return &r.batch, nil
		}
		r.handleLine(tag, &state)
	}
}

// endOfInput converts an error of readLine to the error of Read.
func endOfInput(err error, isBetweenBatches bool) error {
	if errors.Is(err, io.EOF) && !isBetweenBatches {
		return ErrTruncated
	}
	return err
}

// handleLine decodes a line. It reports an invalid line and removes its event.
func (r *Reader) handleLine(tag string, state *batchState) {
	p := parser{fields: r.fields}
	e := r.parse(tag, &p, state)
	if e != nil && p.err == nil && !state.hasInstance {
		p.fail("no instance selected by target_instance")
	}
	if p.err != nil {
		if e != nil {
			r.batch.Events = r.batch.Events[:len(r.batch.Events)-1]
		}
		r.warn(fmt.Sprintf("line %.20q dropped: %v", tag, p.err))
		return
	}
	if e != nil {
		e.Instance = state.instance
	}
}

// parse decodes a line and returns its event, or nil if the line is no event.
func (r *Reader) parse(tag string, p *parser, state *batchState) *Event {
	switch tag {
	case "batch":
		now := p.duration("now", true)
		if p.err == nil {
			r.batch.Now = now
			if state.isOpen {
				r.warn("batch line inside a batch")
			}
		}
		state.isOpen = true
	case "target_instance":
		state.instance = p.int("who", true)
		state.hasInstance = p.err == nil
	case "manifest":
		r.beginList(p, state)
	case "entry":
		e := p.endpoint()
		if state.missing <= 0 {
			p.fail("entry outside a list")
		}
		state.missing--
		if p.err == nil {
			r.lists[state.list] = append(r.lists[state.list], e)
		}
	default:
		return r.appendEvent(tag, p)
	}
	return nil
}

func (r *Reader) beginList(p *parser, state *batchState) {
	state.list, state.missing = p.int("list", true), p.int("entries", true)
	if p.err != nil {
		state.list, state.missing = -1, 0
		return
	}
	r.lists[state.list] = make([]Endpoint, 0, min(max(state.missing, 0), maxListCapacity))
}
