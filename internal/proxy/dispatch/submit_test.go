package dispatch

import (
	"testing"
	"time"

	"fernvane/policy"
)

// An ID may be used again as soon as its request is settled, also while an attempt is in flight.
func TestDuplicateIDs(t *testing.T) {
	d := newTestDispatcher(t, policy.NonIdempotent, limits, host("a", 1))
	take := func(id string) (*Request, error) {
		return d.Submit(Arrival{ID: []byte(id), RouteIndex: -1, Timeout: time.Hour})
	}
	first, _ := take("x")
	first.NextDecision(func() {})
	if _, err := take("x"); err != ErrDuplicateID {
		t.Errorf("accepted twice: %v", err)
	}
	if _, err := take("y"); err != nil {
		t.Errorf("another ID is not accepted: %v", err)
	}
	first.ClientDisconnected()
	if _, err := take("x"); err != nil {
		t.Errorf("not accepted again: %v", err)
	}
}
