// Command adapter hosts instances of the decision module between standard input and output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"fernvane/internal/proxy/engine"
	"fernvane/internal/simwire"
	"fernvane/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out, errs io.Writer) error {
	complain := func(what string) { fmt.Fprintln(errs, "adapter:", what) }
	r, w := simwire.NewReader(in, complain), simwire.NewWriter(out)
	instances := instances{nodes: map[int]*engine.Engine[uint32]{}, out: w, complain: complain}
	for {
		b, err := r.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for i := range b.Events {
			e := &b.Events[i]
			w.ForInstance(e.Instance)
			instances.handle(b.Now, e)
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// instances are the nodes that the simulator runs, by their numbers on its wire.
type instances struct {
	nodes    map[int]*engine.Engine[uint32]
	members  []engine.Endpoint[uint32] // reused from list to list
	out      *simwire.Writer
	complain func(string)
}

// handle starts or ends an instance, or hands it what befalls it.
func (s *instances) handle(now time.Duration, e *simwire.Event) {
	switch e.Kind {
	case simwire.InstanceStarted:
		if e.Err != nil {
			s.out.Broken(e.Err.Error())
			delete(s.nodes, e.Instance)
			return
		}
		s.nodes[e.Instance] = engine.New[uint32](now, policy.New(e.Settings, e.Seed), s.out)
		return
	case simwire.InstanceKilled:
		delete(s.nodes, e.Instance)
		return
	}
	n := s.nodes[e.Instance]
	if n == nil {
		s.complain(fmt.Sprintf("dropped an event for instance %d, which does not run", e.Instance))
		return
	}
	if !s.deliver(now, n, e) {
		s.complain(fmt.Sprintf("dropped an event of instance %d for an unknown operation or server", e.Instance))
	}
}

// deliver hands an event to its instance; it is false where the event names what the instance doesn't know.
func (s *instances) deliver(now time.Duration, n *engine.Engine[uint32], e *simwire.Event) bool {
	switch e.Kind {
	case simwire.EndpointsUpdated:
		s.members = s.members[:0]
		for _, l := range e.Endpoints {
			s.members = append(s.members, engine.Endpoint[uint32]{Server: l.Server, Info: policy.Endpoint{Rank: l.Server, Zone: l.Zone,
				MachineKind: l.MachineKind, Cell: l.Cell, Condition: l.Condition, Weight: l.Weight, StartedAt: l.StartedAt, HasStartTime: l.HasStartTime}})
		}
		n.EndpointsUpdated(now, e.Scope, s.members, s.out)
	case simwire.RequestArrived:
		return n.RequestArrived(now, e.Request, policy.Input{TrafficType: e.TrafficType, Tenant: e.Tenant, Key: e.Key, IsClientRetry: e.IsClientRetry, Timeout: e.Timeout}, s.out)
	case simwire.AttemptEnded:
		return n.AttemptEnded(now, e.Request, e.Server, policy.Input{Attempt: e.Attempt, Outcome: e.Outcome, Elapsed: e.Elapsed, ClientAnswered: e.ClientAnswered}, s.out)
	case simwire.ClientLeft:
		n.ClientLeft(now, e.Request, s.out)
	case simwire.TimerFired:
		n.TimerFired(now, s.out)
	}
	return true
}
