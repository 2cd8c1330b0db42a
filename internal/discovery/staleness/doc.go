// Package staleness decides how far a cached endpoint list from before a node's start is trusted while no source announces
// endpoints: how many of its servers are on trial concurrently, in which order, and which servers are proven to serve.
//
// The older the list, the higher its staleness level, and the fewer servers are on trial concurrently. A server on trial
// receives idempotent requests only. Once it has executed a request it is proven: it receives any request, and more servers
// are put on trial. A server is suspected after a connection failure and is put on trial again later. A server that was
// draining or gone before the start, or whose address now belongs to another server, is excluded.
//
// The package performs no I/O and takes no locks. Package proxy owns an Evaluator from the start of a node until a source
// announces endpoints, reports the results of attempts to it, and applies its decisions to package dispatch.
package staleness
