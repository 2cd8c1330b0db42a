// Package dispatch implements the in-memory state of one proxy node and the lock that guards it.
//
// A Dispatcher tracks the upstream servers (endpoints) with their idle connections, the requests in flight, the client
// connections, and the file descriptor budget that all of them share. It makes no decisions about requests. Each event (a
// request arrives, an attempt ends, the endpoint list changes, a timer fires) is passed to the decision module through
// package engine, and the resulting effects are executed before the lock is released.
//
// # Concurrency
//
// Dispatcher.mu guards all mutable state except the current route table, which is an atomic pointer, and the memory for
// large messages, which is an atomic counter. The names and settings of traffic types do not change after New. Every
// method of Dispatcher, Request and Client is safe for concurrent use. No method waits for a socket or a disk with the
// lock held: connections to be closed are collected and closed after the lock has been released. Only
// AcquireClientDescriptor and Request.NextDecision block.
//
// # Request lifecycle
//
// Package proxy calls Submit with the parsed properties of a request. Submit returns a Request, or an error that states
// why the request is not accepted. The goroutine of the request then alternates between
//
//	decision := request.NextDecision(cancel)
//	request.AttemptEnded(decision.Attempt, result, response)
//
// until the decision is not SendAttempt. Respond, Reject and Fail determine the single final response to the client; Drop
// means that the client has disconnected. A hedged attempt runs in a separate goroutine, which Arrival.StartHedge starts.
// Before an attempt writes its first byte, it checks with BeginWrite and IsTooLateToWrite that it may still be sent.
//
// # Files
//
//	dispatcher.go     construction, locking and the timer
//	endpoints.go      endpoint list updates from all sources
//	routes.go         the current route table
//	cautious.go       restrictions while a cached endpoint list is unconfirmed
//	submit.go         acceptance of new requests
//	request.go        a request from acceptance to its final response
//	attemptresult.go  results of attempts and their outcomes for the decision module
//	effects.go        execution of the decision module's effects
//	budget.go         file descriptors and memory shared by clients and servers
//	clients.go        client connections and their eviction
//	idle.go           idle connections to servers
//	retention.go      the rule for keeping idle connections
//	observations.go   attempt results published to packages staleness and zookeeper
//	quotas.go         tenant quotas
//	plan.go           plans of the control plane
//	report.go         reports to the control plane
//	counts.go         counts for the log
package dispatch
