package dispatch

import (
	"fmt"
	"testing"
	"time"

	"fernvane/policy"
)

// TestDuplicateIDs checks that an ID is accepted again once its request is settled, even while an attempt is in flight that was not
// written.
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

// TestUsedIDs guards against requests that run twice because their ID comes again after they may have run.
func TestUsedIDs(t *testing.T) {
	const written = true
	for name, c := range map[string]struct {
		idempotency policy.Idempotency
		isWritten   bool
		end         func(r *Request)
		want        error
	}{
		"client leaves while it runs":     {policy.NonIdempotent, written, (*Request).ClientDisconnected, ErrUsedID},
		"client leaves before the write":  {policy.NonIdempotent, !written, (*Request).ClientDisconnected, nil},
		"answered":                        {policy.NonIdempotent, written, func(r *Request) { r.AttemptEnded(0, Succeeded, nil) }, ErrUsedID},
		"connection lost":                 {policy.NonIdempotent, written, func(r *Request) { r.AttemptEnded(0, ConnectionLost, nil) }, ErrUsedID},
		"not started, and client leaves":  {policy.NonIdempotent, written, func(r *Request) { r.AttemptEnded(0, ServerRefused, nil); r.ClientDisconnected() }, nil},
		"idempotent with a key, answered": {policy.IdempotentWithKey, written, func(r *Request) { r.AttemptEnded(0, Succeeded, nil) }, ErrUsedID},
		"idempotent, answered":            {policy.Idempotent, written, func(r *Request) { r.AttemptEnded(0, Succeeded, nil) }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t, c.idempotency, limits, loopbackEndpoint("a", 1))
			arrival := Arrival{ID: []byte("x"), RouteIndex: -1, Timeout: time.Hour}
			first, err := d.Submit(arrival)
			if err != nil {
				t.Fatal(err)
			}
			first.NextDecision(func() {})
			if c.isWritten && !first.BeginWrite(0) {
				t.Fatal("write not allowed")
			}
			c.end(first)
			if !first.IsSettled() {
				t.Fatal("request not settled")
			}
			if _, err := d.Submit(arrival); err != c.want {
				t.Errorf("same ID again: got error %v, want %v", err, c.want)
			}
		})
	}
}

// TestUsedIDsAreBounded checks that new IDs take no memory without bound, and that the latest ones are stored.
func TestUsedIDsAreBounded(t *testing.T) {
	used := newUsedIDs()
	for i := range 3 * maxUsedIDs {
		used.add(fmt.Sprint(i))
		used.add(fmt.Sprint(i))
	}
	if len(used.hashes) != maxUsedIDs || len(used.order) != maxUsedIDs {
		t.Errorf("got %d hashes in an order of %d, want %d", len(used.hashes), len(used.order), maxUsedIDs)
	}
	for i, want := range map[int]bool{2*maxUsedIDs - 1: false, 2 * maxUsedIDs: true, 3*maxUsedIDs - 1: true} {
		if got := used.contains(fmt.Append(nil, i)); got != want {
			t.Errorf("ID %d: got stored %v, want %v", i, got, want)
		}
	}
}
