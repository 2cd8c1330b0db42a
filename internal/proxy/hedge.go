package proxy

import (
	"context"
	"runtime/debug"

	"fernvane/internal/protocol/message"
	"fernvane/internal/proxy/dispatch"
)

// startHedge returns the function that the dispatcher calls to send a hedged request, on its own goroutine beside the attempt in flight.
// The first attempt uses the buffers of the client connection, so the hedged attempt sends a copy of the request and encodes its answer in
// memory of its own.
func (s *Server) startHedge(conn clientConn, req *message.Request, entry *journalEntry) func(*dispatch.Request, dispatch.Decision) {
	req = req.Clone()
	return func(request *dispatch.Request, d dispatch.Decision) {
		s.clientTasks.Go(func() error {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			result, answer := dispatch.Abandoned, []byte(nil)
			defer func() {
				if p := recover(); p != nil {
					s.logger.Error().Interface("panic", p).Bytes("stack", debug.Stack()).Msg("panic in a hedged attempt")
				}
				request.AttemptEnded(d.Attempt, result, answer)
			}()
			request.HedgeStarted(d, cancel)
			f := &forwarding{request: request, message: req, clientAddress: conn.ClientAddress(), isDisconnected: s.disconnectWatcher(conn).IsDisconnected,
				journalEntry: entry, composeAnswer: func(a message.Answer) []byte { return conn.AppendAnswer(nil, a) }}
			result, answer = s.attempt(ctx, d, f)
			return nil
		})
	}
}
