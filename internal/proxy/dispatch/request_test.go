package dispatch

import (
	"testing"

	"fernvane/policy"
)

// TestOneFinalDecision checks that a request receives exactly one final decision, and no attempt after it, in any order of
// events.
func TestOneFinalDecision(t *testing.T) {
	const fail, reject, disconnect, settle = 100, 101, 102, 103
	for name, c := range map[string]struct {
		idempotency policy.Idempotency
		steps       []int // each an AttemptResult or one of the events above
		want        Action
	}{
		"succeeded":                          {policy.NonIdempotent, []int{int(Succeeded)}, Respond},
		"disconnected, then succeeded":       {policy.NonIdempotent, []int{disconnect, int(Succeeded)}, Drop},
		"disconnected twice":                 {policy.NonIdempotent, []int{disconnect, disconnect, int(ConnectionLost)}, Drop},
		"succeeded, then disconnected":       {policy.NonIdempotent, []int{int(Succeeded), disconnect}, Respond},
		"connection lost":                    {policy.NonIdempotent, []int{int(ConnectionLost)}, Fail},
		"connection lost, then disconnected": {policy.NonIdempotent, []int{int(ConnectionLost), disconnect}, Fail},
		"malformed response":                 {policy.NonIdempotent, []int{int(MalformedResponse)}, Fail},
		"rejected with an attempt in flight": {policy.Idempotent, []int{reject, int(Succeeded)}, Reject},
		"failed with an attempt in flight":   {policy.NonIdempotent, []int{fail, int(Abandoned)}, Fail},
		"rejected, then disconnected":        {policy.Idempotent, []int{reject, disconnect, int(ResponseTimeout)}, Reject},
		"disconnected, then rejected":        {policy.Idempotent, []int{disconnect, reject, int(ResponseTimeout)}, Drop},
		"not started, then succeeded":        {policy.NonIdempotent, []int{int(ServerRefused), int(Succeeded)}, Respond},
		"write failed, then connection lost": {policy.NonIdempotent, []int{int(WriteFailed), int(ConnectionLost)}, Fail},
		"not started, no server left":        {policy.NonIdempotent, []int{int(ConnectRefused), int(ConnectRefused), int(ConnectRefused), int(ConnectRefused)}, Reject},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t, c.idempotency, limits, loopbackEndpoint("a", 1), loopbackEndpoint("b", 2), loopbackEndpoint("c", 3), loopbackEndpoint("d", 4))
			request := submit(d)
			canceled := false
			decision := request.NextDecision(func() { canceled = true })
			for _, s := range c.steps {
				switch s {
				case disconnect:
					request.ClientDisconnected()
				case reject, fail:
					d.mu.Lock()
					if h := (*effectHandler)(d); s == reject {
						h.Reject(request.id, 0)
					} else {
						h.Fail(request.id)
					}
					d.unlock()
					if !canceled && !request.isSettled {
						t.Error("attempt in flight was not canceled")
					}
				default:
					if decision.Action != SendAttempt {
						t.Fatalf("got action %d, want SendAttempt", decision.Action)
					}
					request.AttemptEnded(decision.Attempt, AttemptResult(s), nil)
					if !request.isSettled && request.pending.Action == SendAttempt {
						decision = request.NextDecision(func() {})
					}
				}
			}
			if decision = request.NextDecision(func() {}); decision.Action != c.want {
				t.Errorf("got final action %d", decision.Action)
			}
			if n := d.Counts(); n.Responded+n.Rejected+n.Failed+n.Disconnected != 1 || n.OpenRequests != 0 {
				t.Errorf("got counts %+v, want one settled request and no open request", n)
			}
			if len(request.inFlight) > 0 || request.pending.Action != undecided || len(d.requests.byID) != 0 {
				t.Error("settled request was not removed")
			}
		})
	}
}

// TestDisconnectBeforeFirstAttempt checks that an attempt is not sent if the client disconnects before NextDecision has
// returned the attempt.
func TestDisconnectBeforeFirstAttempt(t *testing.T) {
	d := newTestDispatcher(t, policy.NonIdempotent, limits, loopbackEndpoint("a", 1))
	request := submit(d)
	request.ClientDisconnected()
	if decision := request.NextDecision(func() {}); decision.Action != Drop || len(request.inFlight) > 0 {
		t.Errorf("got action %d and attempts in flight %v, want Drop and none", decision.Action, request.inFlight)
	}
}

// TestCloseEndsRequest checks that Close removes a request in every state.
func TestCloseEndsRequest(t *testing.T) {
	for name, steps := range map[string]func(*Request){
		"before an attempt": func(*Request) {},
		"during an attempt": func(request *Request) { request.NextDecision(func() {}) },
		"after the attempt": func(request *Request) {
			request.NextDecision(func() {})
			request.AttemptEnded(0, Succeeded, nil)
			request.NextDecision(func() {})
		},
		"after a disconnect": func(request *Request) { request.NextDecision(func() {}); request.ClientDisconnected() },
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t, policy.NonIdempotent, limits, loopbackEndpoint("a", 1))
			request := submit(d)
			steps(request)
			request.Close()
			if n := d.Counts(); n.OpenRequests != 0 || len(request.inFlight) > 0 || n.Responded+n.Disconnected != 1 {
				t.Errorf("got attempts in flight %v and counts %+v, want none in flight, one settled request and no open request", request.inFlight, n)
			}
		})
	}
}

// TestDisconnectCancelsUnwrittenAttempts checks that a disconnect cancels an attempt that has not been written, such as one
// that is connecting. A written attempt continues, because its result gives information about the server, until there is no
// capacity for other requests.
func TestDisconnectCancelsUnwrittenAttempts(t *testing.T) {
	for name, written := range map[string]bool{"not written": false, "written": true} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t, policy.NonIdempotent, Limits{}, loopbackEndpoint("a", 1))
			canceled := 0
			var attempts []int
			var requests []*Request
			for request := submit(d); request != nil; request = submit(d) {
				decision := request.NextDecision(func() { canceled++ })
				if written && (decision.Action != SendAttempt || !request.BeginWrite(decision.Attempt)) {
					t.Fatalf("got action %d, want SendAttempt and BeginWrite true", decision.Action)
				}
				requests, attempts = append(requests, request), append(attempts, decision.Attempt)
			}
			for _, request := range requests {
				request.ClientDisconnected()
			}
			if want := map[bool]int{true: 0, false: len(requests)}[written]; canceled != want {
				t.Errorf("after the disconnects: got %d of %d attempts canceled", canceled, len(requests))
			}
			if submit(d) != nil || canceled < len(requests) {
				t.Errorf("without capacity for another request: got %d of %d attempts canceled, want all and no new request", canceled, len(requests))
			}
			for i, request := range requests {
				if request.BeginWrite(attempts[i]) {
					t.Error("BeginWrite returned true after the disconnect")
				}
				request.AttemptEnded(attempts[i], Abandoned, nil)
				if decision := request.NextDecision(func() {}); decision.Action != Drop {
					t.Errorf("got action %d, want Drop", decision.Action)
				}
			}
			if submit(d) == nil {
				t.Error("request not accepted after all others had ended")
			}
		})
	}
}
