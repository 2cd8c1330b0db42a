// Package load sends requests to nodes at the times of a schedule, whatever becomes of those before (open loop), as
// clients that retry and give up, and counts the outcomes. Latency counts from the scheduled time.
//
// Plan draws the schedule of a scenario, ReadTrace reads a recorded one. A Generator runs one schedule: the testbed
// gives it a Picker (the stand-in of the connection balancer) and a Watcher (its observer), calls Run once and reads
// the Result afterwards. A request is what a client wants done; each sending of it is a try, with a request ID of its
// own.
//
// Each request runs in a goroutine of its own. Result and the pools of idle connections have their own locks; all other
// state of a Generator is set before Run.
package load
