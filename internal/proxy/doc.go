// Package proxy runs a node on sockets, from its start to its stop: it accepts clients' connections, follows the sources of endpoints, and
// carries out for each request what the policy decides.
//
// # Use
//
// The command calls CatchSignals first, reads a Config by LoadConfig, and hands it to RunProcess, which returns the exit code. Run is the
// same without signals, for tests and benchmarks.
//
// # A request
//
// accept (listener.go) takes a connection; serveHTTPConn or serveFastCGIConn reads requests from it. serveRequest (request.go) submits each
// to the dispatcher and then asks it for one decision after the other: attempt (attempt.go) sends the request to one server, connect
// (upstream.go) finds the connection, and answerRequest writes the one answer. Nothing here sends a request again by itself. A request that
// must not be executed twice has its intent journaled before the first byte of an attempt (intentjournal.go, intentjournalentry.go).
//
// # State
//
// What is decided, and the memory that decisions need, belongs to package dispatch, behind its lock. Server's own fields are set before the
// goroutines start, but for the atomic ones and the three times of a shutdown, which drain sets before isDraining and which are read only after
// it. The parts that follow a source run one goroutine each under Run: followDiscovery or
// followRegistry, plannerClient.run, the client of the distribution, the endpoint cache. plannerClient, distributionApplier and endpointCache have a lock each, which may be held
// while the dispatcher's is taken, never over a socket.
//
// # Stop
//
// drain and awaitClients (shutdown.go): answers end their connections, listening goes on until no connection comes any more, idle
// connections are closed, and what was accepted is answered before Run returns or endBy has passed ("stopped with connections open").
package proxy
