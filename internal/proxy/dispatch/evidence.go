package dispatch

import (
	"fernvane/internal/discovery/endpoints"
	"fernvane/policy"
)

const maxQueuedObservations = 1024 // pieces that wait to be looked at; more say nothing new

// Observations has hops' ends told from now on, to each that asks for it. A reader that is slow costs some of them, never an
// operation.
func (f *Dispatcher) Observations() <-chan endpoints.Observation {
	f.mu.Lock()
	defer f.unlock()
	c := make(chan endpoints.Observation, maxQueuedObservations)
	f.observers = append(f.observers, c)
	return c
}

func (f *Dispatcher) observe(server string, how AttemptResult) {
	e := endpoints.Observation{Server: server}
	switch how.Outcome() {
	case policy.Success, policy.ClientError:
		e.HasResponded, e.HasExecuted = true, true
		f.view.MarkExecuted(f.now(), server)
	case policy.Failure, policy.Overloaded:
		e.HasResponded = true
	case policy.Unreachable:
	default:
		return
	}
	f.publish(e)
}

// WrongServer tells that another server answers where one was looked for.
func (f *Dispatcher) WrongServer(server string) {
	f.mu.Lock()
	defer f.unlock()
	f.publish(endpoints.Observation{Server: server, IsOtherServer: true})
}

func (f *Dispatcher) publish(e endpoints.Observation) {
	for _, c := range f.observers {
		select {
		case c <- e:
		default:
		}
	}
}
