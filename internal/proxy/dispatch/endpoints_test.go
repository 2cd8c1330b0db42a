package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

// TestMaxWriteDelay checks that the delay for writes to servers that have left is a part of Settings.DrainGrace, and at most
// maxLateWrite.
func TestMaxWriteDelay(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{-1: maxLateWrite, 0: 0, 100 * time.Millisecond: 60 * time.Millisecond, time.Minute: maxLateWrite} {
		d := Dispatcher{settings: settings.Settings{DrainGrace: grace}}
		if got := d.maxWriteDelay(); got != want {
			t.Errorf("grace %v: got %v, want %v", grace, got, want)
		}
	}
}

// TestNoNewAttemptsToServersThatLeft checks that a server that has left receives no new attempt through an idle connection, a
// queued request, a retry or a hedged attempt.
func TestNoNewAttemptsToServersThatLeft(t *testing.T) {
	removed, draining := loopbackEndpoint("a", 1), loopbackEndpoint("a", 1)
	removed.Condition, draining.Condition = http1.Deleted, http1.Draining
	for name, l := range map[string]http1.EndpointList{
		"removed": {Endpoints: []http1.Endpoint{removed}}, "draining": {Endpoints: []http1.Endpoint{draining}}, "omitted from a full list": fullList(loopbackEndpoint("b", 2)),
		"another server at its address": {Endpoints: []http1.Endpoint{loopbackEndpoint("c", 1)}},
	} {
		t.Run(name, func(t *testing.T) {
			s := settings.Settings{ConnIdle: time.Hour, TypeNames: []string{"check"}, Settings: policy.Settings{NodeCount: 1, MaxAttempts: 4, HedgingAllowed: true,
				ConnectTimeout: time.Second, TrafficTypes: []policy.TrafficType{{LatencyObjective: time.Minute, ClientTimeout: time.Hour, PriorityWeight: 1,
					HedgeDelay: time.Nanosecond, HedgeRatio: 1}}}}
			d := New(s, 1, limits, engine.NewPolicy)
			t.Cleanup(d.Stop)
			d.ApplyList(fullList(loopbackEndpoint("a", 1), loopbackEndpoint("b", 2)), endpoints.SourceConfig)
			d.AcquireServerDescriptor()
			d.PutIdle("a", false, http1.NewConn(&closer{closed: make(chan string, 1)}))
			var waiting []*Request
			for range 40 { // more than are sent concurrently, so that some are queued
				if request := submit(d); request != nil {
					waiting = append(waiting, request)
				}
			}
			d.ApplyList(l, endpoints.SourceDiscovery)
			if takeSettled(d, "a") != nil {
				t.Error("TakeIdle returned an idle connection to the server")
			}
			checkNotSent := func(decision Decision) {
				if decision.Action == SendAttempt && decision.Server == "a" {
					t.Errorf("attempt %d was sent to the server", decision.Attempt)
				}
			}
			decidedForServer := 0
			for _, request := range waiting {
				select { // decided before the server left
				case <-request.ready:
					if request.pending.Server == "a" {
						decidedForServer++
					}
					request.ready <- struct{}{}
					decision := request.NextDecision(func() {})
					d.onTimer() // hedges, if any
					request.AttemptEnded(decision.Attempt, ConnectRefused, nil)
				default:
				}
			}
			if decidedForServer == 0 {
				t.Fatal("no attempt was sent to the server before it left")
			}
			for _, request := range waiting { // retries, and queued requests
				for range 4 {
					select {
					case <-request.ready:
						if request.pending.Action == undecided {
							break // still queued; checked below
						}
						request.ready <- struct{}{}
						decision := request.NextDecision(func() {})
						if checkNotSent(decision); decision.Action != SendAttempt {
							break
						}
						d.onTimer()
						request.AttemptEnded(decision.Attempt, ConnectRefused, nil)
					default:
					}
				}
				for _, h := range request.inFlight {
					if h.server == "a" && h.isHedge {
						t.Error("hedged attempt was sent to the server")
					}
				}
			}
			for range 10 {
				if request := submit(d); request != nil {
					checkNotSent(request.pending)
				}
			}
			for range 10 { // dequeue queued requests
				d.onTimer()
			}
			for _, request := range waiting {
				checkNotSent(request.pending)
			}
		})
	}
}

// TestEndpointListUpdates checks which servers receive attempts after a sequence of endpoint lists.
func TestEndpointListUpdates(t *testing.T) {
	with := func(h http1.Endpoint, change func(*http1.Endpoint)) http1.Endpoint {
		change(&h)
		return h
	}
	// These two IDs have the same checksum, and therefore the same rank.
	one, two := loopbackEndpoint("plumless", 1), loopbackEndpoint("buckeroo", 2)
	for name, c := range map[string]struct {
		lists []http1.EndpointList
		want  []uint16 // ports that attempts are sent to
	}{
		"both":            {[]http1.EndpointList{fullList(one, two)}, []uint16{1, 2}},
		"one is draining": {[]http1.EndpointList{fullList(one, two), {Endpoints: []http1.Endpoint{with(one, func(h *http1.Endpoint) { h.Condition = http1.Draining })}}}, []uint16{2}},
		"one is removed":  {[]http1.EndpointList{fullList(one, two), {Endpoints: []http1.Endpoint{{ID: one.ID, Condition: http1.Deleted}}}}, []uint16{2}},
		"one is omitted":  {[]http1.EndpointList{fullList(one, two), fullList(two)}, []uint16{2}},
		"one has moved":   {[]http1.EndpointList{fullList(one, two), {Endpoints: []http1.Endpoint{with(one, func(h *http1.Endpoint) { h.Address = loopbackEndpoint("", 9).Address })}}}, []uint16{2, 9}},
		"no changes":      {[]http1.EndpointList{fullList(one, two), {}}, []uint16{1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t, policy.Idempotent, limits)
			for _, l := range c.lists {
				d.ApplyList(l, endpoints.SourceDiscovery)
			}
			got := map[uint16]bool{}
			for range 4 { // concurrently, so that not all are sent to one server
				request := submit(d)
				if decision := request.NextDecision(func() {}); decision.Action == SendAttempt {
					got[decision.Address.Port()] = true
				}
			}
			for _, p := range c.want {
				if !got[p] || len(got) != len(c.want) {
					t.Errorf("got attempts at ports %v", got)
				}
			}
		})
	}
}

// TestNodesShareRotation checks that nodes with the same servers, listed in different orders, send requests to them in the same
// order.
func TestNodesShareRotation(t *testing.T) {
	serverEndpoints := []http1.Endpoint{loopbackEndpoint("a", 1), loopbackEndpoint("b", 2), loopbackEndpoint("c", 3), loopbackEndpoint("d", 4), loopbackEndpoint("e", 5)}
	order := func(serverEndpoints []http1.Endpoint) (ports []uint16) {
		d := newTestDispatcher(t, policy.Idempotent, limits, serverEndpoints...)
		for range serverEndpoints {
			decision := submit(d).NextDecision(func() {})
			ports = append(ports, decision.Address.Port())
		}
		return ports
	}
	one := order(serverEndpoints)
	slices.Reverse(serverEndpoints)
	if other := order(serverEndpoints); !slices.Equal(one, other) {
		t.Errorf("got port orders %v and %v, want the same", one, other)
	}
}

// TestPollRequestedAfterFailure checks that polls are requested at the start and after a failed poll.
func TestPollRequestedAfterFailure(t *testing.T) {
	d := newTestDispatcher(t, policy.Idempotent, limits, loopbackEndpoint("a", 1)) // with settings that do not require polls
	<-d.PollRequested()                                                            // at the start
	d.DiscoveryFailed()
	<-d.PollRequested() // after a failure, when the decision module requests it
}

// TestReplacedServers checks 100 replacements of a server, each by one at the same address, while the old server is announced as
// removed only later.
func TestReplacedServers(t *testing.T) {
	d := newTestDispatcher(t, policy.Idempotent, limits, loopbackEndpoint("first", 1))
	closed := make(chan string, 100)
	for i := range 100 {
		id, previous := fmt.Sprint("next ", i), "first"
		if i > 0 {
			previous = fmt.Sprint("next ", i-1)
		}
		d.AcquireServerDescriptor()
		d.PutIdle(previous, false, http1.NewConn(&closer{name: previous, closed: closed}))
		d.ApplyList(http1.EndpointList{Endpoints: []http1.Endpoint{loopbackEndpoint(id, 1)}}, endpoints.SourceDiscovery)
		if got := <-closed; got != previous || takeSettled(d, previous) != nil {
			t.Fatalf("got idle connection to %s closed, want %s", got, previous)
		}
		request := submit(d)
		if decision := request.NextDecision(func() {}); decision.Server != id {
			t.Fatalf("got attempt at server %s after its replacement by %s", decision.Server, id)
		}
		request.AttemptEnded(0, Succeeded, nil)
		request.NextDecision(nil)
		removed := loopbackEndpoint(previous, 1)
		removed.Condition = http1.Deleted
		d.ApplyList(http1.EndpointList{Endpoints: []http1.Endpoint{removed}}, endpoints.SourceDiscovery)
	}
	if len(d.servers.byID) != 1 {
		t.Errorf("got %d known servers, want 1", len(d.servers.byID))
	}
}
