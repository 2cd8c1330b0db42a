// Package watch polls discovery's endpoint list over one connection, by HTTP long polling.
//
// A Watcher makes single polls. Nodes use it directly, since their decision module says when to poll; its caller owns it
// and calls it from one goroutine. Follow polls for as long as its context lasts and reports to a Listener; control
// processes and planners use it.
//
// # Timing
//
// To a node, a change counts as announced 6 s after discovery had it and could be reached, whatever call failed, was refused
// or was given up in between. The worst case: a call that began just before is never answered and ends by its timeout
// (firstPollWait and queuedResponseSlack, with the connect: 4.1 s), the decision module pauses (dispatch.maxPollPause with
// its spread: 1.125 s), and 0.75 s are left for the call that is answered. A refused call costs only its pause, so at least
// four fit into 6 s. Follow pauses for longer after failures (up to maxRetryDelay and half as much), so this does not hold
// for control processes and planners.
package watch
