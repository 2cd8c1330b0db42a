package simwire

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"
)

const hexDigits = "0123456789abcdef"

// Writer collects the reply to one batch. It is the engine.EffectHandler of all instances.
type Writer struct {
	out      *bufio.Writer
	instance int // of the lines written last, or -1
	buf      []byte
}

// NewWriter returns a writer of replies to w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{out: bufio.NewWriterSize(w, bufferBytes), instance: -1}
}

// ForInstance names the instance whose effects follow.
func (w *Writer) ForInstance(instance int) {
	if instance != w.instance {
		w.instance = instance
		w.buf = strconv.AppendInt(append(w.buf, "from\twho="...), int64(instance), 10)
		w.buf = append(w.buf, '\n')
	}
}

func (w *Writer) request(verb string, id uint64) {
	w.buf = append(append(w.buf, verb...), "\tjob="...)
	for shift := 60; shift >= 0; shift -= 4 {
		w.buf = append(w.buf, hexDigits[id>>shift&15])
	}
}

func (w *Writer) duration(name string, d time.Duration) {
	w.buf = append(append(append(w.buf, '\t'), name...), '=')
	w.buf = strconv.AppendFloat(w.buf, float64(d/time.Microsecond)/1000, 'f', -1, 64)
}

func (w *Writer) uint(name string, n uint64) {
	w.buf = strconv.AppendUint(append(append(append(w.buf, '\t'), name...), '='), n, 10)
}

func (w *Writer) end() { w.buf = append(w.buf, '\n') }

// SendAttempt sends a request to a server.
func (w *Writer) SendAttempt(request uint64, server uint32, timeout time.Duration) {
	w.request("forward", request)
	w.uint("server", uint64(server))
	w.duration("allowFor", timeout)
	w.end()
}

// Reject rejects a request; retryAfter is left out if it is 0.
func (w *Writer) Reject(request uint64, retryAfter time.Duration) {
	w.request("turn_away", request)
	if retryAfter > 0 {
		w.duration("retryIn", retryAfter)
	}
	w.end()
}

// Fail answers that the outcome of a request is unknown.
func (w *Writer) Fail(request uint64) {
	w.request("lose", request)
	w.end()
}

// SetTimer sets the timer of the instance.
func (w *Writer) SetTimer(after time.Duration) {
	w.buf = append(w.buf, "schedule"...)
	w.duration("fromNow", after)
	w.buf = append(w.buf, "\tcookie=w\n"...)
}

// Subscribe requests the endpoint list.
func (w *Writer) Subscribe() { w.buf = append(w.buf, "listen\tenable=1\n"...) }

// CloseIdle closes idle connections to a server.
func (w *Writer) CloseIdle(server uint32) {
	w.buf = append(w.buf, "release"...)
	w.uint("server", uint64(server))
	w.end()
}

// Forget writes nothing: the simulator does not use server ids again.
func (w *Writer) Forget(uint32) {}

// Broken reports that an instance cannot work, and why.
func (w *Writer) Broken(reason string) {
	clean := bytes.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, []byte(reason))
	w.buf = append(append(append(w.buf, "broken\tmessage="...), clean...), '\n')
}

// Flush ends the reply and writes it.
func (w *Writer) Flush() error {
	w.buf = append(w.buf, "eor\n"...)
	_, err := w.out.Write(w.buf)
	w.buf, w.instance = w.buf[:0], -1
	if err != nil {
		return err
	}
	return w.out.Flush()
}
