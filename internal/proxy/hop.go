package proxy

import (
	"context"
	"errors"
	"io"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"fernvane/internal/protocol/fastcgi"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
	"fernvane/internal/proxy/dispatch"
)

const logText = 300 // bytes of a server's own words in a log line

var past = time.Unix(1, 0)

// exchanged is what hops of one operation have in common.
type exchanged struct {
	op      *dispatch.Operation
	req     *http1.Request
	from    string                      // the client's address
	parting func() bool                 // a look at whether the client has left; nil: there is none
	kept    *kept                       // in the journal; nil: it is not kept
	compose func(message.Answer) []byte // the client's answer, in room of its own
}

// line is a connection to a server, in the protocol that the server speaks.
type line interface {
	io.Closer
	SetDeadline(time.Time) error
	// Quiet tells that an idle connection is open and that nothing has come on it.
	Quiet() bool
	// Trim gives back memory that a large message took; what was read is not valid after it.
	Trim()
	// Ask writes a request whole, or tells that it did not.
	Ask(r *message.Request, left time.Duration, from string) (whole bool, err error)
	// Reply reads the whole answer; message.ErrGarbled is one that cannot be read.
	Reply(r *message.Response) error
	// Reusable tells whether another request may be asked after a whole answer.
	Reusable(r *message.Response) bool
}

// hop sends an operation to one server, once, and tells how that ended. Where the server has answered, the
// client's answer is put together in room of its own, so that the server's connection is free again.
func (s *Server) hop(ctx context.Context, d dispatch.Decision, x *exchanged) (dispatch.End, []byte) {
	until := time.Now().Add(d.For)
	conn, kept, end := s.connect(ctx, d, until)
	if conn == nil {
		return end, nil
	}
	if x.kept != nil && (x.op.Settled() || s.parted(d.Server)) { // what will not be sent is not kept
		s.fleet.Keep(d.Server, d.FastCGI, conn)
		return dispatch.NoTime, nil
	}
	hop, err := x.kept.intend(ctx, d.Server, until)
	if err != nil || !s.writing(d, x) {
		end = dispatch.Unkept
		if err == nil {
			end = dispatch.NoTime
			x.kept.ended(hop, end)
		}
		s.fleet.Keep(d.Server, d.FastCGI, conn)
		return end, nil
	}
	conn.SetDeadline(until)
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(past) })
	var resp message.Response
	end = exchange(ctx, conn, x, time.Until(until), &resp)
	if end == dispatch.Unsent && kept {
		end = dispatch.Stale
	}
	x.kept.ended(hop, end)
	if id := message.Find(resp.Fields, message.ServerID); s.kept != nil && len(id) > 0 && string(id) != d.Server {
		s.fleet.Mistaken(d.Server)
	}
	var answer []byte
	if end == dispatch.Answered || end == dispatch.Declined {
		answer = x.compose(message.Answer{Status: resp.Status, Fields: resp.Fields,
			Body: resp.Body, Close: x.req.Close || s.draining.Load()})
	}
	again := end <= dispatch.TurnedAway && conn.Reusable(&resp)
	conn.Trim()
	whole := end <= dispatch.TurnedAway
	if stop() && again {
		s.fleet.Keep(d.Server, d.FastCGI, conn)
	} else { // given up, broken or used up: closing it is what tells the server
		if a, ok := conn.(interface{ Abort() }); ok && !whole {
			a.Abort()
		}
		conn.Close()
		s.fleet.Forgo()
	}
	if !whole || end == dispatch.TurnedAway {
		s.log.Debug().Str("server", d.Server).Stringer("end", end).Msg("hop ended")
	}
	return end, answer
}

// writing is the last look before a hop's first byte: whatever it waited for, nothing is sent for a client that has left
// meanwhile, nor to a server that has. It looks at the client's connection itself, for who waits for its leaving may not
// have run yet.
func (s *Server) writing(d dispatch.Decision, x *exchanged) bool {
	if !s.cfg.Deaf && x.parting != nil && x.parting() {
		x.op.Left()
	}
	return !s.parted(d.Server) && x.op.Writing(d.Hop)
}

// parted tells that a server left too long ago for anything to be written to it.
func (s *Server) parted(server string) bool { return !s.cfg.Unguarded && s.fleet.Parted(server) }

// copying leads a second copy beside the hop that is out. The client's buffer is the first one's, so the copy has the
// request and its answer in memory of its own.
func (s *Server) copying(f front, req *message.Request, k *kept) func(*dispatch.Operation, dispatch.Decision) {
	req = req.Clone()
	return func(op *dispatch.Operation, d dispatch.Decision) {
		s.clients.Go(func() error {
			ctx, giveUp := context.WithCancel(context.Background())
			defer giveUp()
			end, answer := dispatch.GivenUp, []byte(nil)
			defer func() {
				if p := recover(); p != nil {
					s.log.Error().Interface("panic", p).Bytes("stack", debug.Stack()).Msg("copy dropped")
				}
				op.Ended(d.Hop, end, answer)
			}()
			op.Copying(d, giveUp)
			end, answer = s.hop(ctx, d, &exchanged{op: op, req: req, from: f.From(), parting: f.Parting, kept: k, compose: func(a message.Answer) []byte { return f.Append(nil, a) }})
			return nil
		})
	}
}

// connect finds a connection that stands idle, or opens one.
func (s *Server) connect(ctx context.Context, d dispatch.Decision, until time.Time) (c line, kept bool, end dispatch.End) {
	for k := s.fleet.Take(d.Server); k != nil; k = s.fleet.Take(d.Server) {
		if c := k.(line); c.Quiet() {
			return c, true, dispatch.Answered
		}
		k.Close()
		s.fleet.Forgo()
	}
	if !s.fleet.Reserve() {
		return nil, false, dispatch.NoRoom
	}
	by := time.Now().Add(s.cfg.Settings.ConnectTimeout)
	if by.After(until) {
		by = until
	}
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	nc, err := s.dialer.DialContext(ctx, "tcp", d.Address.String())
	if err == nil && d.FastCGI {
		return fastcgi.NewBack(nc, s.fleet.Pool(), func(text []byte) {
			s.log.Warn().Str("server", d.Server).Bytes("stderr", text[:min(len(text), logText)]).Msg("responder complains")
		}), false, dispatch.Answered
	}
	if err == nil {
		return http1.NewPooled(nc, s.fleet.Pool()), false, dispatch.Answered
	}
	s.fleet.Forgo()
	return nil, false, connectEnd(err, by.Equal(until))
}

func connectEnd(err error, timeUp bool) dispatch.End {
	for _, short := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, short) {
			return dispatch.NoRoom
		}
	}
	var late interface{ Timeout() bool }
	switch {
	case errors.Is(err, context.Canceled):
		return dispatch.NoTime
	case errors.As(err, &late) && late.Timeout():
		if timeUp {
			return dispatch.NoTime
		}
		return dispatch.NeverUp
	}
	return dispatch.Refused
}

// exchange writes the request and reads the answer whole. Only before the last byte is written is it sure
// that the server has not begun.
func exchange(ctx context.Context, conn line, x *exchanged, left time.Duration, resp *message.Response) dispatch.End {
	whole, err := conn.Ask(x.req, left, x.from)
	if !whole {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return dispatch.NoTime
		}
		return dispatch.Unsent
	}
	switch err = conn.Reply(resp); {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() != nil:
		return dispatch.GivenUp
	case errors.Is(err, os.ErrDeadlineExceeded):
		return dispatch.Silent
	case err == message.ErrGarbled:
		return dispatch.Garbled
	default:
		return dispatch.CutOff
	}
	switch {
	case resp.Status == 200:
		return dispatch.Answered
	case resp.NeverRan():
		return dispatch.TurnedAway
	case resp.Blames():
		return dispatch.Declined
	}
	return dispatch.Erred
}
