// Command adapter hosts instances of the decision module between standard input and output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"fernvane/internal/node"
	"fernvane/internal/wire"
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
	r, w := wire.NewReader(in, complain), wire.NewWriter(out)
	nodes := map[int]*node.Node[uint32]{}
	var members []node.Member[uint32]
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
			switch e.Kind {
			case wire.PowerOn:
				if e.Err != nil {
					w.Broken(e.Err.Error())
					delete(nodes, e.Instance)
					continue
				}
				nodes[e.Instance] = node.New[uint32](b.Now, policy.New(e.Settings, e.Seed), w)
				continue
			case wire.Killed:
				delete(nodes, e.Instance)
				continue
			}
			n := nodes[e.Instance]
			if n == nil {
				complain(fmt.Sprintf("dropped an event for instance %d, which does not run", e.Instance))
				continue
			}
			known := true
			switch e.Kind {
			case wire.Discovery:
				members = members[:0]
				for _, l := range e.Entries {
					members = append(members, node.Member[uint32]{Server: l.Server, Line: policy.Member{Rank: l.Server, Zone: l.Zone,
						Cell: l.Cell, Condition: l.Condition, Scale: l.Scale, Started: l.Start, HasStart: l.HasStart}})
				}
				n.List(b.Now, e.Scope, members, w)
			case wire.Arrival:
				known = n.Arrive(b.Now, e.Job, policy.Input{Type: e.Type, Tenant: e.Tenant, Key: e.Key, Again: e.Again, Budget: e.Budget}, w)
			case wire.Verdict:
				known = n.HopEnded(b.Now, e.Job, e.Server,
					policy.Input{Hop: e.Hop, Outcome: e.Outcome, Spent: e.Spent, Final: e.Final}, w)
			case wire.Left:
				n.Left(b.Now, e.Job, w)
			case wire.DeadlineHit:
				n.Woken(b.Now, w)
			}
			if !known {
				complain(fmt.Sprintf("dropped an event of instance %d for an unknown operation or server", e.Instance))
			}
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}
