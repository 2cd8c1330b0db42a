// Package dispatch holds the state that one proxy node keeps in memory, and the one lock that guards it.
//
// A Dispatcher knows the upstream servers (endpoints) with their idle connections, the requests in flight, the clients'
// connections and the budget of file descriptors that all of them share. It decides nothing about requests itself: each
// event (a request arrives, an attempt ends, the endpoint list changes, a timer fires) is passed to the decision module
// through package engine, and the effects that the module returns are carried out before the lock is released.
//
// # Ownership
//
// Dispatcher.mu guards everything that changes, except the current table of routes, which is an atomic pointer, and the
// memory for large messages, which is an atomic count. The names and settings of traffic types are fixed after New.
// Every method of Dispatcher, Request and Client may be called from any goroutine. No method waits for a socket or a disk
// while it holds the lock: connections that have to be closed are collected and closed after the lock has been released.
// Only AcquireClientDescriptor and Request.NextDecision block.
//
// # The way of a request
//
// Package proxy calls Submit with what it has read of a request and receives a Request, or an error that says why the
// request is not accepted. The goroutine of the request then alternates between
//
//	decision := request.NextDecision(cancel) // what to do now
//	request.AttemptEnded(decision.Attempt, result, answer)
//
// until the decision is another one than SendAttempt: Respond, Reject and Fail name the client's one final answer, Drop
// means that the client has left. A hedged attempt is run by a goroutine of its own, which Arrival.StartHedge starts.
// Before its first byte is written, an attempt asks BeginWrite and IsTooLateToWrite whether it may still be sent.
//
// # Files
//
//	dispatcher.go     construction, the lock, the timer
//	endpoints.go      endpoint list updates from all sources
//	routes.go         the current table of routes
//	cautious.go       restrictions while a cached endpoint list is not fully trusted
//	submit.go         acceptance of new requests
//	request.go        a request in flight, from acceptance to its final answer
//	attemptresult.go  how an attempt ended, and what that means to the decision module
//	effects.go        what the decision module asks for
//	budget.go         file descriptors and memory, shared by clients and servers
//	clients.go        clients' connections, and which of them may be closed
//	idle.go           idle connections to servers
//	retention.go      which idle connections are kept
//	observations.go   results of attempts, for packages staleness and zookeeper
//	quotas.go         tenants' quotas
//	plan.go           plans of the control plane
//	report.go         reports to the control plane
//	counts.go         counts for the log
package dispatch
