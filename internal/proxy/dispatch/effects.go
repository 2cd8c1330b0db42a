package dispatch

import "time"

// effectHandler is the Dispatcher as the decision module sees it: it carries out the module's effects, with the lock held.
// It implements engine.EffectHandler.
type effectHandler Dispatcher

func (d *Dispatcher) effects() *effectHandler { return (*effectHandler)(d) }

// SendAttempt sends a request to a server: the first attempt in flight by the request's own goroutine, one beside it as a
// hedged attempt.
func (h *effectHandler) SendAttempt(request uint64, server string, timeout time.Duration) {
	r := h.requests.byID[request]
	if r == nil {
		return
	}
	record, _ := h.view.Get(server)
	decision := Decision{
		Action:    SendAttempt,
		Attempt:   r.attemptCount,
		Server:    server,
		Address:   record.Address,
		IsFastCGI: h.servers.byID[server].isFastCGI,
		Duration:  timeout,
	}
	r.inFlight = append(r.inFlight, attempt{
		index:   r.attemptCount,
		server:  server,
		sentAt:  time.Since(h.started),
		isHedge: len(r.inFlight) > 0,
	})
	r.attemptCount++
	switch {
	case r.isSettled:
	case len(r.inFlight) > 1:
		h.counts.Hedges++
		r.startHedge(r, decision)
	default:
		r.setPending(decision)
	}
}

// Reject settles a request of which nothing has run.
func (h *effectHandler) Reject(request uint64, retryAfter time.Duration) {
	h.settle(request, Decision{Action: Reject, Duration: retryAfter})
}

// Fail settles a request whose outcome is not known.
func (h *effectHandler) Fail(request uint64) { h.settle(request, Decision{Action: Fail}) }

func (h *effectHandler) settle(request uint64, decision Decision) {
	if r := h.requests.byID[request]; r != nil && !r.isSettled {
		r.settle(decision)
	}
}

// SetTimer has the decision module called after a time.
func (h *effectHandler) SetTimer(after time.Duration) { h.timer.Reset(after) }

// Subscribe makes PollRequested receive, on which package proxy polls discovery. It is the effect of that name.
func (h *effectHandler) Subscribe() {
	select {
	case h.pollRequested <- struct{}{}:
	default:
	}
}

// CloseIdle closes the idle connections to a server.
func (h *effectHandler) CloseIdle(server string) {
	(*Dispatcher)(h).closeIdleConns(h.servers.byID[server])
}

// Forget removes a server that has gone and that no request in flight refers to.
func (h *effectHandler) Forget(server string) {
	h.CloseIdle(server)
	delete(h.servers.byID, server)
	h.view.Forget(server)
}
