package simwire

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"
)

const hexDigits = "0123456789abcdef"

// Writer encodes the replies to batches, one after another. It is the engine.EffectHandler of all instances.
type Writer struct {
	out      *bufio.Writer
	instance int // instance of the last lines of the reply, or -1
	buf      []byte
}

// NewWriter returns a Writer that writes replies to w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{out: bufio.NewWriterSize(w, bufferBytes), instance: -1}
}

// ForInstance selects the instance of the following effects.
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

// SendAttempt writes the command to send an attempt of a request to a server, with a timeout.
func (w *Writer) SendAttempt(request uint64, server uint32, timeout time.Duration) {
	w.request("forward", request)
	w.uint("server", uint64(server))
	w.duration("allowFor", timeout)
	w.end()
}

// Reject writes the command to reject a request. It omits retryAfter if it is 0.
func (w *Writer) Reject(request uint64, retryAfter time.Duration) {
	w.request("turn_away", request)
	if retryAfter > 0 {
		w.duration("retryIn", retryAfter)
	}
	w.end()
}

// Fail writes the command to end a request with an unknown outcome.
func (w *Writer) Fail(request uint64) {
	w.request("lose", request)
	w.end()
}

// SetTimer writes the command to set the timer of the instance.
func (w *Writer) SetTimer(after time.Duration) {
	w.buf = append(w.buf, "schedule"...)
	w.duration("fromNow", after)
	w.buf = append(w.buf, "\tcookie=w\n"...)
}

// Subscribe writes the command to subscribe to the endpoint list.
func (w *Writer) Subscribe() { w.buf = append(w.buf, "listen\tenable=1\n"...) }

// CloseIdle writes the command to close idle connections to a server.
func (w *Writer) CloseIdle(server uint32) {
	w.buf = append(w.buf, "release"...)
	w.uint("server", uint64(server))
	w.end()
}

// ReleaseServer writes nothing, because the simulator does not reuse server IDs.
func (w *Writer) ReleaseServer(uint32) {}

// Broken reports that an instance could not be started, with the reason.
func (w *Writer) Broken(reason string) {
	clean := bytes.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, []byte(reason))
	w.buf = append(append(append(w.buf, "broken\tmessage="...), clean...), '\n')
}

// Flush terminates the reply and writes it to the output.
func (w *Writer) Flush() error {
	w.buf = append(w.buf, "eor\n"...)
	_, err := w.out.Write(w.buf)
	w.buf, w.instance = w.buf[:0], -1
	if err != nil {
		return err
	}
	return w.out.Flush()
}
