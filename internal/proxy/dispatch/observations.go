package dispatch

import (
	"fernvane/internal/discovery/endpoints"
	"fernvane/policy"
)

// maxQueuedObservations is the buffer size of an observation channel. Observations beyond it are dropped without being
// counted or logged.
const maxQueuedObservations = 1024

// Observations returns a channel that receives the observations about servers that attempts make from now on. Each call
// returns a new channel, which remains subscribed for the lifetime of the Dispatcher. A reader that is slow or has stopped
// misses observations; it never delays a request.
func (d *Dispatcher) Observations() <-chan endpoints.Observation {
	d.mu.Lock()
	defer d.unlock()
	c := make(chan endpoints.Observation, maxQueuedObservations)
	d.observers = append(d.observers, c)
	return c
}

// WrongServer reports that another server responds at the address of server.
func (d *Dispatcher) WrongServer(server string) {
	d.mu.Lock()
	defer d.unlock()
	d.publish(endpoints.Observation{Server: server, IsOtherServer: true})
}

// observe publishes the observation that an attempt's result implies about its server. Timeouts, broken connections and
// attempts that did not start or were canceled imply none.
func (d *Dispatcher) observe(server string, result AttemptResult) {
	o := endpoints.Observation{Server: server}
	switch result.Outcome() {
	case policy.Success, policy.ClientError:
		o.HasResponded, o.HasExecuted = true, true
		d.view.MarkExecuted(d.now(), server)
	case policy.Failure, policy.Overloaded:
		o.HasResponded = true
	case policy.Unreachable:
	default:
		return
	}
	d.publish(o)
}

func (d *Dispatcher) publish(o endpoints.Observation) {
	for _, c := range d.observers {
		select {
		case c <- o:
		default:
		}
	}
}
