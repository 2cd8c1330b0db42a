package dispatch

import (
	"testing"
	"time"

	"fernvane/policy"
)

// TestDuplicateIDs checks that an ID is accepted again once its request is settled, even while an attempt is in flight.
func TestDuplicateIDs(t *testing.T) {
	d := newTestDispatcher(t, policy.NonIdempotent, limits, loopbackEndpoint("a", 1))
	submitID := func(id string) (*Request, error) {
		return d.Submit(Arrival{ID: []byte(id), RouteIndex: -1, Timeout: time.Hour})
	}
	first, _ := submitID("x")
	first.NextDecision(func() {})
	if _, err := submitID("x"); err != ErrDuplicateID {
		t.Errorf("ID of an open request: got error %v, want ErrDuplicateID", err)
	}
	if _, err := submitID("y"); err != nil {
		t.Errorf("unused ID: got error %v, want none", err)
	}
	first.ClientDisconnected()
	if _, err := submitID("x"); err != nil {
		t.Errorf("ID of a settled request: got error %v, want none", err)
	}
}
