// Package watch polls the endpoint list of discovery over one connection by HTTP long polling.
//
// A Watcher makes single polls. Nodes use it directly, because their decision module schedules the polls; the caller owns
// the Watcher and uses it from one goroutine. Follow polls until its context ends and reports to a Listener; control
// processes and planners use it.
//
// # Timing
//
// For a node, a change counts as announced 6 s after discovery had it and was reachable, even if polls failed, were
// refused or timed out in between. In the worst case, a poll that began just before the change receives no response and
// ends by its timeout (firstPollWait and queuedResponseSlack, including the connect: 4.1 s), the decision module pauses
// (dispatch.maxPollPause with its jitter: 1.125 s), and 0.75 s remain for the poll that receives the response. A refused
// poll costs only its pause, so at least four polls fit into 6 s. Follow pauses for longer after failures (up to
// 1.5 times maxRetryDelay), so the bound does not apply to control processes and planners.
package watch
