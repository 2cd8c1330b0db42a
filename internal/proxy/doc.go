// Package proxy runs a node on sockets, from start to shutdown: it accepts client connections, follows the sources of endpoint lists, and
// executes the decisions of the policy for each request.
//
// # Usage
//
// A command calls CatchSignals first, loads a Config with LoadConfig, and passes it to RunProcess, which returns the exit code. Run does
// the same with signals that its caller supplies, for tests and benchmarks.
//
// # Request path
//
// accept (listener.go) accepts a connection; serveHTTPConn or serveFastCGIConn reads requests from it. serveRequest (request.go) submits
// each request to the dispatcher and then executes one decision after another: attempt (attempt.go) sends the request to one server,
// connect (upstream.go) takes or opens the connection, and answerRequest writes the only answer. This package never re-sends a request
// without a decision of the policy. If the node has a journal, the intent of a non-idempotent request is durable before the first byte of
// an attempt (intentjournal.go, intentjournalentry.go).
//
// # State
//
// Decisions and the state that they depend on belong to package dispatch, behind its lock. The fields of Server are set before its
// goroutines start, except the atomic ones and the three times of a shutdown, which drain sets before isDraining and which are read only
// afterwards. The components that follow a source of endpoints, routes or quotas run on goroutines of their own under Run: followDiscovery or
// followRegistry, plannerClient.run, the client of the distribution, the endpoint cache. plannerClient, distributionApplier and
// endpointCache have one lock each, which may be held while the dispatcher's lock is acquired, but never during socket I/O.
//
// # Shutdown
//
// drain and awaitClients (shutdown.go) implement the graceful shutdown: each answer closes its connection, the listeners stay open until
// no more connections arrive, idle connections are closed, and accepted requests are answered before Run returns, unless
// shutdownDeadline passes first ("stopped with connections open").
package proxy
