package simwire

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"
)

// Writer collects the reply to one batch.
type Writer struct {
	out *bufio.Writer
	who int
	buf []byte
}

// NewWriter writes replies to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, 1<<16), who: -1} }

// ForInstance names the instance whose actions follow.
func (w *Writer) ForInstance(instance int) {
	if instance != w.who {
		w.who = instance
		w.buf = strconv.AppendInt(append(w.buf, "from\twho="...), int64(instance), 10)
		w.buf = append(w.buf, '\n')
	}
}

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

// SendAttempt sends a hop.
func (w *Writer) SendAttempt(job uint64, server uint32, allow time.Duration) {
	w.job("forward", job)
	w.uint("server", uint64(server))
	w.span("allowFor", allow)
	w.end()
}

// Reject denies an operation.
func (w *Writer) Reject(job uint64, retryIn time.Duration) {
	w.job("turn_away", job)
	if retryIn > 0 {
		w.span("retryIn", retryIn)
	}
	w.end()
}

// Fail writes an operation off.
func (w *Writer) Fail(job uint64) {
	w.job("lose", job)
	w.end()
}

// SetTimer sets the timer.
func (w *Writer) SetTimer(after time.Duration) {
	w.buf = append(w.buf, "schedule"...)
	w.span("fromNow", after)
	w.buf = append(w.buf, "\tcookie=w\n"...)
}

// Subscribe subscribes to the server list.
func (w *Writer) Subscribe() { w.buf = append(w.buf, "listen\tenable=1\n"...) }

// CloseIdle closes idle connections to a server.
func (w *Writer) CloseIdle(server uint32) {
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
