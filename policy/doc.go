// Package policy decides, for one node of the proxy, which server gets a request, when the request gets another
// attempt, and when it is rejected or failed. It is the only place where such decisions are made: the proxy, the
// simulator's adapter and the test bed all drive the same code through package engine.
//
// # How it is driven
//
// A Policy is a state machine without I/O, clock, goroutine or lock. Its owner (package engine, under the lock of the
// dispatcher that holds it) creates it with New and calls Handle once for each Input, with the time since start, which
// never goes back:
//
//	p := policy.New(settings, seed)
//	effects = p.Handle(0, &policy.Input{Kind: policy.TimerFired}, effects[:0])
//
// The owner carries out the returned Effects in their order. Requests, attempts and servers are named by dense
// indices that the owner hands out; the index of a request may be used again once the request has its final answer and
// none of its attempts is in flight. Each TimerFired is answered by one SetTimer, so the first one, after New, starts
// the ticks. Random draws come from crc32 over the seed and a counter, so the same inputs give the same effects.
//
// WhatIf asks a copy what it would decide under other settings and leaves the instance as it is.
//
// # The design
//
// Requests go round robin over the ready servers and skip a server whose next garbage collection pause is near. That
// pause is forecast by a line fitted to the onsets of the server's own earlier pauses, as in Portillo-Dominguez et al.,
// "Adaptive Load Balancer for Java Systems Based on Major Garbage Collection Forecasting". A node uses an active
// subset of the servers, which grows while all of it is busy. All other rules are exceptions to that path, each the
// smallest that works; docs/design.md says when each acts and from which source it is.
//
// # Invariants
//
// Each node keeps these rules by itself:
//
//  1. Each request gets exactly one final answer (handled, rejected, or failed with its outcome unknown), and no attempt
//     is sent after it. Only transitions to stateDone answer (lifecycle.go), except that a request of an unknown
//     traffic type is rejected on arrival. The answer is due before the client's timeout, but deadlines are looked at
//     on ticks: with a TimerGranularity below tickInterval one may fall between two ticks (minAnswerLead).
//  2. Nothing takes effect twice. A non-idempotent request gets another attempt or a rejection only while every
//     earlier attempt provably never ran. An idempotent request with a key that may have run is repeated only within
//     its key scope and key retention, and is rejected only if the scope is KeyScopeAll (canRetry, isSafeToReject).
//  3. A server that drains or is removed gets no new attempt. Where the settings say that only draining binds, a
//     server that a list merely omits may still get some (endpoints.go, suspicion.go).
//  4. A server in slow start is not overloaded by all nodes together: each node keeps to its part (slowstart.go).
//
// Placement (a traffic type bound to zones or machine kinds) holds at every attempt, and connections to a draining
// server are closed in time, where the settings ask for them.
//
// # Files
//
//	settings.go, input.go, effect.go   the exported types
//	policy.go                          New, Handle and the parts of the state
//	lifecycle.go                       the table of a request's states
//	request.go                         a request and its attempts, deadlines and final answers
//	outcome.go                         what is learned from the end of an attempt
//	picker.go                          round robin over the active subset, and which servers it passes over
//	pauseforecast.go                   pause detection, the fitted line, the skip
//	subset.go                          growth and shrinkage of the active subset
//	outlier.go                         consecutive failures, ejection, trial after ejection
//	attribution.go                     failures that belong to the request and not to the server
//	latency.go                         latencies of servers and traffic types
//	load.go                            what the node has in flight at each server
//	slowstart.go                       warm-up of new and recovered servers
//	concurrency.go                     concurrency limits of the node and of routes
//	admission.go                       load shedding by priority weight
//	quota.go                           quotas of tenants
//	queue.go                           waiting requests and their dequeueing
//	retry.go, hedge.go                 another attempt, a hedged attempt, and their budgets
//	endpoints.go                       endpoint list updates
//	suspicion.go                       servers that a list omits without a drain notice
//	drain.go                           closing connections to servers that get no new work
//	poll.go                            requesting the endpoint list
//	plan.go                            what a planner's plan changes
//	traffictype.go                     traffic types that are added or changed
//	tick.go                            what time alone changes
//	whatif.go                          decisions under other settings
//
// Tables that decide nothing are packages below internal.
package policy
