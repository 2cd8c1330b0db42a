package dispatch

import (
	"fernvane/internal/discovery/endpoints"
	"fernvane/policy"
)

// maxQueuedObservations is how many observations wait for a reader that is slow; later ones are dropped, and neither counted
// nor logged.
const maxQueuedObservations = 1024

// Observations returns a channel that receives what attempts show about servers from now on. Each caller gets a channel
// of its own, for as long as the Dispatcher lives: there is no way to unsubscribe. A reader that is slow, or has stopped,
// misses observations; it never delays a request.
func (d *Dispatcher) Observations() <-chan endpoints.Observation {
	d.mu.Lock()
	defer d.unlock()
	c := make(chan endpoints.Observation, maxQueuedObservations)
	d.observers = append(d.observers, c)
	return c
}

// WrongServer reports that another server answers at the address of this one.
func (d *Dispatcher) WrongServer(server string) {
	d.mu.Lock()
	defer d.unlock()
	d.publish(endpoints.Observation{Server: server, IsOtherServer: true})
}

// observe publishes what an attempt's result shows about its server. Timeouts, broken connections and attempts that did not
// start or were canceled show nothing.
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
