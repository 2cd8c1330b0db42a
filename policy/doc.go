// Package policy makes the load-balancing decisions of one proxy node: which server gets a request, whether the request
// gets another attempt, and when it is rejected or failed. No other package makes such decisions: the proxy, the
// simulator's adapter and the test bed all drive this code through package engine.
//
// # Usage
//
// A Policy is a state machine without I/O, clock, goroutines or locks. Its owner is package engine, which runs under
// the lock of its dispatcher. The owner creates a Policy with New and calls Handle once for each Input, with a
// monotonic time since start:
//
//	p := policy.New(settings, seed)
//	effects = p.Handle(0, &policy.Input{Kind: policy.TimerFired}, effects[:0])
//
// The owner carries out the returned Effects in order. The owner assigns dense indices to requests, attempts and
// servers. It may reuse the index of a request once the request has its final response and none of its attempts is in
// flight. Each TimerFired produces one SetTimer, so the owner sends the first TimerFired after New to start the ticks.
// Random numbers are derived with crc32 from the seed and a counter, so the same inputs produce the same effects.
//
// WhatIf evaluates an input under other settings on a copy and leaves the instance unchanged.
//
// # Design
//
// Requests are distributed round robin over the ready servers, except those whose next garbage collection pause is
// near. The pause is forecast with a line fitted to the onsets of the server's earlier pauses, as in Portillo-Dominguez
// et al., "Adaptive Load Balancer for Java Systems Based on Major Garbage Collection Forecasting". A node uses an active
// subset of the servers, which grows while all its members are busy. All other rules are small exceptions to this
// path; docs/design.md describes when each applies and its source.
//
// # Invariants
//
// Each node maintains these invariants without coordination:
//
//  1. Each request gets exactly one final response (handled, rejected, or failed with unknown outcome), and no attempt
//     is sent after it. Only transitions to stateDone produce it (lifecycle.go), except that a request of an unknown
//     traffic type is rejected on arrival. The response is due before the client's timeout, but deadlines are checked
//     on ticks only: with a TimerGranularity below tickInterval a deadline may fall between two ticks
//     (minResponseLead).
//  2. No request takes effect twice. A non-idempotent request is retried or rejected only while every earlier attempt
//     provably never ran. A request with an idempotency key that may have run is retried only within its key scope and
//     key retention, and is rejected only if the scope is KeyScopeAll (canRetry, isSafeToReject).
//  3. A draining or removed server gets no new attempts. If the settings make only drain notices binding, a server that
//     a list merely omits may still get attempts (endpoints.go, suspicion.go).
//  4. All nodes together do not overload a server in slow start: each node limits itself to its share (slowstart.go).
//
// Placement (a traffic type bound to zones or machine kinds) applies to every attempt. If the settings require it,
// connections to a draining server are closed within the drain timeout.
//
// # Files
//
//	settings.go, input.go, effect.go   the exported types
//	policy.go                          New, Handle and the parts of the state
//	lifecycle.go                       the transition table of requests
//	request.go                         requests and attempts, deadlines and final responses
//	outcome.go                         evaluation of ended attempts
//	picker.go                          round robin over the active subset, and exclusion of servers
//	pauseforecast.go                   pause detection and forecast
//	subset.go                          growth and shrinkage of the active subset
//	outlier.go                         consecutive failures, ejection, trial after ejection
//	attribution.go                     failures caused by the request rather than the server
//	latency.go                         latencies of servers and traffic types
//	load.go                            attempts of the node in flight at each server
//	slowstart.go                       warm-up of new and recovered servers
//	concurrency.go                     concurrency limits of the node and of routes
//	admission.go                       load shedding by priority weight
//	quota.go                           quotas of tenants
//	queue.go                           queued requests and their dequeueing
//	retry.go, hedge.go                 retries, hedged attempts, and their budgets
//	endpoints.go                       endpoint list updates
//	suspicion.go                       servers that a list omits without a drain notice
//	drain.go                           closing of idle connections to servers that get no new requests
//	poll.go                            requests for the endpoint list
//	plan.go                            application of the planner's plan
//	traffictype.go                     added and changed traffic types
//	tick.go                            periodic work
//	whatif.go                          evaluation under other settings
//
// The packages below internal hold tables and make no decisions.
package policy
