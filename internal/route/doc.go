// Package route matches requests to the routes of the operator's file and enforces the limits of each route: it selects
// the limits that apply to a request and decides whether the request is admitted. It performs no I/O.
//
// The operator's file (file.go) defines routes, pools of servers and limits. Parse (check.go) compiles its text into a
// Table, or returns every fault with its line. Table.Match (match.go) finds the route and the traffic type of a request.
// A Router (router.go) keeps the Table in effect and its counters across reloads: Router.Admit (limiter.go) admits a
// request within the rates and concurrency limits of its route, or of the fallbacks of that route, and Router.Release
// frees the slot of the request.
//
// Package policy decides where an admitted request is sent. For the policy, each pair of a route and a traffic type with
// limits of its own is a traffic type (Profile). Control processes distribute routes and pools as Fragments, which
// Assemble combines with the operator's file (assemble.go).
//
// A Router is owned by the dispatcher, which calls it while holding the dispatcher's lock.
package route
