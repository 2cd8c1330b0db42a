// Command adapter runs instances of the dispatch engine for the operators' simulator, over standard input and output. It
// reports to standard error and drops invalid input lines and events that an instance cannot use, and continues. Only input
// that ends inside a batch, or an error of reading or writing, ends it with status 1.
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

// run replies to batches until the input ends between two of them. Input that ends inside a batch is an error.
func run(in io.Reader, out, stderr io.Writer) error {
	warn := func(message string) { fmt.Fprintln(stderr, "adapter:", message) }
	reader, writer := simwire.NewReader(in, warn), simwire.NewWriter(out)
	instances := instances{engines: map[int]*engine.Engine[uint32]{}, out: writer, warn: warn}
	for {
		batch, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for i := range batch.Events {
			e := &batch.Events[i]
			writer.ForInstance(e.Instance)
			instances.handle(batch.Now, e)
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// instances holds the running instances by the numbers that the simulator gives them.
type instances struct {
	engines   map[int]*engine.Engine[uint32]
	endpoints []engine.Endpoint[uint32] // reused for each list
	out       *simwire.Writer
	warn      func(string)
}

// handle starts or stops an instance, or delivers an event to it. An instance with invalid settings is reported to the simulator
// as broken and does not run. An event that cannot be delivered is reported and dropped.
func (s *instances) handle(now time.Duration, e *simwire.Event) {
	switch e.Kind {
	case simwire.InstanceStarted:
		if e.Err != nil {
			s.out.Broken(e.Err.Error())
			delete(s.engines, e.Instance)
			return
		}
		s.engines[e.Instance] = engine.New[uint32](now, policy.New(e.Settings, e.Seed), s.out)
		return
	case simwire.InstanceKilled:
		delete(s.engines, e.Instance)
		return
	}
	instance := s.engines[e.Instance]
	if instance == nil {
		s.warn(fmt.Sprintf("event dropped: instance %d not running", e.Instance))
		return
	}
	if !s.deliver(now, instance, e) {
		s.warn(fmt.Sprintf("event of instance %d dropped: unknown request or server, request already open, or no attempt in flight", e.Instance))
	}
}

// deliver passes an event to its instance. It returns false if the instance rejects the event: the arrival of a request that is
// already open, or the end of an attempt of an unknown request, at an unknown server, or without an attempt in flight.
// ClientLeft for an unknown request has no effect and is not reported.
func (s *instances) deliver(now time.Duration, instance *engine.Engine[uint32], e *simwire.Event) bool {
	switch e.Kind {
	case simwire.EndpointsUpdated:
		s.endpoints = s.endpoints[:0]
		for i := range e.Endpoints {
			s.endpoints = append(s.endpoints, endpoint(&e.Endpoints[i]))
		}
		instance.EndpointsUpdated(now, e.Scope, s.endpoints, s.out)
	case simwire.RequestArrived:
		in := policy.Input{TrafficType: e.TrafficType, Tenant: e.Tenant, Key: e.Key, IsClientRetry: e.IsClientRetry, Timeout: e.Timeout}
		return instance.RequestArrived(now, e.Request, in, s.out)
	case simwire.AttemptEnded:
		in := policy.Input{Attempt: e.Attempt, Outcome: e.Outcome, Elapsed: e.Elapsed, IsSettled: e.IsSettled}
		return instance.AttemptEnded(now, e.Request, e.Server, in, s.out)
	case simwire.ClientLeft:
		instance.ClientLeft(now, e.Request, s.out)
	case simwire.TimerFired:
		instance.TimerFired(now, s.out)
	}
	return true
}

func endpoint(e *simwire.Endpoint) engine.Endpoint[uint32] {
	return engine.Endpoint[uint32]{Server: e.Server, Info: policy.Endpoint{
		Rank:         e.Server,
		Zone:         e.Zone,
		MachineKind:  e.MachineKind,
		Cell:         e.Cell,
		Condition:    e.Condition,
		Weight:       e.Weight,
		StartedAt:    e.StartedAt,
		HasStartTime: e.HasStartTime,
	}}
}
