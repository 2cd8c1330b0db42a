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
	instances := instances{nodes: map[int]*engine.Node[uint32]{}, out: w, complain: complain}
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
			w.For(e.Instance)
			instances.handle(b.Now, e)
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// instances are the nodes that the simulator runs, by their numbers on its wire.
type instances struct {
	nodes    map[int]*engine.Node[uint32]
	members  []engine.Member[uint32] // reused from list to list
	out      *simwire.Writer
	complain func(string)
}

// handle starts or ends an instance, or hands it what befalls it.
func (s *instances) handle(now time.Duration, e *simwire.Event) {
	switch e.Kind {
	case simwire.PowerOn:
		if e.Err != nil {
			s.out.Broken(e.Err.Error())
			delete(s.nodes, e.Instance)
			return
		}
		s.nodes[e.Instance] = engine.New[uint32](now, policy.New(e.Settings, e.Seed), s.out)
		return
	case simwire.Killed:
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
func (s *instances) deliver(now time.Duration, n *engine.Node[uint32], e *simwire.Event) bool {
	switch e.Kind {
	case simwire.Discovery:
		s.members = s.members[:0]
		for _, l := range e.Entries {
			s.members = append(s.members, engine.Member[uint32]{Server: l.Server, Line: policy.Member{Rank: l.Server, Zone: l.Zone,
				Kind: l.Kind, Cell: l.Cell, Condition: l.Condition, Scale: l.Scale, Started: l.Start, HasStart: l.HasStart}})
		}
		n.List(now, e.Scope, s.members, s.out)
	case simwire.Arrival:
		return n.Arrive(now, e.Job, policy.Input{Type: e.Type, Tenant: e.Tenant, Key: e.Key, Again: e.Again, Budget: e.Budget}, s.out)
	case simwire.Verdict:
		return n.HopEnded(now, e.Job, e.Server, policy.Input{Hop: e.Hop, Outcome: e.Outcome, Spent: e.Spent, Final: e.Final}, s.out)
	case simwire.Left:
		n.Left(now, e.Job, s.out)
	case simwire.DeadlineHit:
		n.Woken(now, s.out)
	}
	return true
}
