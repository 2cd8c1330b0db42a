package dispatch

import "time"

// effectHandler implements engine.EffectHandler for a Dispatcher. Its methods execute the decision module's effects with the
// lock held.
type effectHandler Dispatcher

func (d *Dispatcher) effects() *effectHandler { return (*effectHandler)(d) }

// SendAttempt starts an attempt. If no other attempt of the request is in flight, the request's own goroutine sends it.
// Otherwise it is sent as a hedged attempt. An attempt of a settled request is only recorded; NextDecision ends it unsent.
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

// Reject settles a request that no server has executed.
func (h *effectHandler) Reject(request uint64, retryAfter time.Duration) {
	h.settle(request, Decision{Action: Reject, Duration: retryAfter})
}

// Fail settles a request whose outcome is unknown.
func (h *effectHandler) Fail(request uint64) { h.settle(request, Decision{Action: Fail}) }

func (h *effectHandler) settle(request uint64, decision Decision) {
	if r := h.requests.byID[request]; r != nil && !r.isSettled {
		r.settle(decision)
	}
}

// SetTimer schedules the next timer input of the decision module.
func (h *effectHandler) SetTimer(after time.Duration) { h.timer.Reset(after) }

// Subscribe signals PollRequested, which makes package proxy poll discovery.
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

// ReleaseServer deletes the state of a removed server to which no open request refers.
func (h *effectHandler) ReleaseServer(server string) {
	h.CloseIdle(server)
	delete(h.servers.byID, server)
	h.view.Remove(server)
}
