// Package route decides which limits a request is under and whether its route admits it. It is free of I/O.
//
// The operator's file (file.go) names routes, pools of servers and limits. Parse (check.go) turns its text into a
// Table or returns every fault with its line. Table.Match (match.go) finds the route and traffic type of a request.
// A Router (router.go) holds the Table in force over reloads: Router.Admit (limiter.go) takes a request under the
// rates and concurrency limits of its route, or of the route's fallbacks, and Router.Release gives its slot back.
//
// What becomes of an admitted request is decided by package policy, to which each pair of a route and a traffic type
// with limits of its own is a traffic type (Profile). Routes and pools that control processes distribute are Fragments,
// which Assemble joins with the operator's file (assemble.go).
//
// A Router belongs to the dispatcher, which calls it under its lock.
package route
