// Package load is an open-loop load generator: it sends requests to nodes at the times of a schedule, independent of the
// progress of earlier requests. Its clients have timeouts and retry. It counts outcomes, and measures latency from the
// scheduled time.
//
// Plan draws the schedule of a scenario; ReadTrace reads a recorded one. A Generator runs one schedule: the testbed
// passes a Picker (the connection balancer stand-in) and a Watcher (its observer) to Run, calls it once and reads the
// Result afterwards. A client sends a request in one or more tries, each of which has its own request ID.
//
// Each request runs in its own goroutine. Result and the pools of idle connections have their own locks; all other state
// of a Generator is set before Run.
package load
