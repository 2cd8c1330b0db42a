package policy

import (
	"testing"
	"time"

	"fernvane/policy/internal/failures"
)

// TestFailureAttribution checks that requests that fail at every server eject no server, are not retried and are
// shed, and that a failing server causes no requests to be shed.
func TestFailureAttribution(t *testing.T) {
	for name, c := range map[string]struct {
		fails   func(r *request, s int) bool
		outcome Outcome
		ejected bool // server 0 is ejected; otherwise requests of tenant 1 with key 9 fail
	}{
		"a key that fails everywhere":        {func(r *request, _ int) bool { return r.key == 9 }, Failure, false},
		"a tenant that times out everywhere": {func(r *request, _ int) bool { return r.tenant == 1 }, TimedOut, false},
		"a server that fails all":            {func(_ *request, s int) bool { return s == 0 }, Failure, true},
		"a server that times out":            {func(_ *request, s int) bool { return s == 0 }, TimedOut, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4, func(s *Settings) { s.TenantQuotas = []float64{1e6, 1e6} }).fillSubset()
			isEjected := false
			for i := range 400 {
				h.now = time.Second + time.Duration(i)*10*ms
				r := &request{trafficType: i % 3, tenant: i / 4 % 2, objectiveAt: h.now + 400*ms, key: uint32(1 + i/8%9)}
				server, outcome := i*7/3%4, Success
				if c.fails(r, server) {
					outcome = c.outcome
				}
				h.recordOutcome(server, r, h.now-40*ms, outcome)
				isEjected = isEjected || i > 200 && h.now < h.outliers.ejections.EjectedUntil(0, failures.AllTypes)
			}
			sent := [2]int{} // by tenant
			for id := range 200 {
				in := Input{Kind: RequestArrived, Request: id, Tenant: id % 2, Key: uint32(1 + id%2*8), Timeout: time.Second}
				if got := h.at(h.now, in); len(got) == 0 || got[0].Kind != SendAttempt {
					continue
				}
				sent[id%2]++
				if c.ejected || id%2 == 0 {
					h.end(h.now+20*ms, id, 0, Success)
				} else if got := effectKinds(h.end(h.now+20*ms, id, 0, c.outcome)); len(got) != 1 || got[0] != Reject {
					t.Errorf("end of attempt: got effects %v, want one Reject", got)
				}
			}
			if isEjected != c.ejected || sent[0] < 80 || (sent[1] < 40) == c.ejected {
				t.Errorf("got ejected %v, and attempts of 100 requests by tenant %v", isEjected, sent)
			}
		})
	}
}
