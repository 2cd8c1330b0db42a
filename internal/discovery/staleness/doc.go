// Package staleness decides how far a cached endpoint list, from before a node's start, is trusted while no source
// announces endpoints: how many of its servers are tried at once, in which order, and which of them have proven to serve.
//
// The older the list, the higher its staleness level, and the fewer servers are on trial at once. A server on trial gets
// idempotent requests only. Once it has executed one it is proven, gets any request, and lets others be tried. A server
// that cannot be connected to is suspected and tried again later; one that was draining or gone before the start, or whose
// address belongs to another server now, is excluded.
//
// The package is free of I/O and of locks. Package proxy owns an Evaluator from the start of a node until a source
// announces endpoints, feeds it with what attempts show, and applies what it returns to package dispatch.
package staleness
