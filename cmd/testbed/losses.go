package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"fernvane/internal/testbed"
	"fernvane/internal/testbed/load"
	"fernvane/internal/testbed/scenario"
)

// lossesCommand loses machines with their disks repeatedly, in several runs at a time.
func lossesCommand() *cobra.Command {
	var n, concurrency int
	var seed uint64
	var durability string
	c := &cobra.Command{Use: "losses", Short: "Lose machines with their disks repeatedly, and check that each execution is in a remaining journal", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			command, err := self()
			if err != nil {
				return err
			}
			l := &losses{wanted: n, seed: seed, durability: durability, command: command, progress: c.ErrOrStderr(),
				broken: map[string]int{}, firstViolation: map[string]string{}}
			var g errgroup.Group
			for range concurrency {
				g.Go(func() error { return l.repeat(c.Context()) })
			}
			if err := g.Wait(); err != nil {
				return err
			}
			return l.print(c.OutOrStdout())
		}}
	c.Flags().IntVarP(&n, "losses", "n", 1000, "lose at least this number of machines")
	c.Flags().IntVar(&concurrency, "at-once", 3, "run this number of clusters of 12 nodes concurrently")
	c.Flags().Uint64Var(&seed, "seed", 6100, "use this seed plus 1 for the first run, plus 2 for the second, and so on")
	c.Flags().StringVar(&durability, "promise", "machines", "set the journal's durability: process, machine or machines")
	return c
}

// losses repeats runs concurrently until enough machines were lost. It is safe for concurrent use.
type losses struct {
	wanted     int
	seed       uint64
	durability string
	command    []string
	progress   io.Writer

	mu             sync.Mutex
	runs           uint64
	sum            testbed.Journal
	broken         map[string]int
	firstViolation map[string]string
	err            error
}

// repeat runs scenarios, one after the other, until enough machines were lost or a run fails.
func (l *losses) repeat(ctx context.Context) error {
	for {
		s, err := l.next(ctx)
		if s == nil || err != nil {
			return err
		}
		out, err := testbed.Run(ctx, testbed.Options{Scenario: s, Requests: load.Plan(s), Command: l.command})
		if err := l.add(s, out, err); err != nil {
			return err
		}
	}
}

// next returns the scenario of the next run, nil if none is needed.
func (l *losses) next(ctx context.Context) (*scenario.Scenario, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sum.Losses >= l.wanted || l.err != nil || ctx.Err() != nil {
		return nil, nil
	}
	l.runs++
	s, err := scenario.Load("replicas-losses")
	if err != nil {
		return nil, err
	}
	s.Seed, s.Journal.Durability = l.seed+l.runs, l.durability
	s.Length = scenario.Duration(2 * time.Minute)
	s.Faults[0].For = scenario.Duration(118 * time.Second)
	if l.durability != "machines" {
		s.Peers.Replicas = 0
	}
	return s, nil
}

// add adds the outcome of a run to the sums.
func (l *losses) add(s *scenario.Scenario, out *testbed.Outcome, err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.err = err
		return err
	}
	j := out.Journal
	l.sum.Losses += j.Losses
	l.sum.Cycles += j.Cycles
	l.sum.Entries += j.Entries
	l.sum.Ran += j.Ran
	l.sum.PossiblySent += j.PossiblySent
	l.sum.Open += j.Open
	l.sum.Gaps += j.Gaps
	for _, r := range out.Rules {
		if l.broken[r.Name] += r.Violations; r.Violations > 0 && l.firstViolation[r.Name] == "" {
			l.firstViolation[r.Name] = r.FirstViolation
		}
	}
	fmt.Fprintf(l.progress, "seed %d: %d machines lost in %d cycles, service %.4f, %d executions\n", s.Seed, j.Losses, j.Cycles, out.ServiceShare(), j.Ran)
	return nil
}

// print prints the sums and each broken rule. It returns an error if a rule was broken.
func (l *losses) print(out io.Writer) (err error) {
	fmt.Fprintf(out, "%d machines lost in %d cycles, promise %s: %d entries, %d executions, %d possibly sent, %d of them not settled by execution records, %d records in gaps\n",
		l.sum.Losses, l.sum.Cycles, l.durability, l.sum.Entries, l.sum.Ran, l.sum.PossiblySent, l.sum.Open, l.sum.Gaps)
	for name, n := range l.broken {
		if n > 0 {
			fmt.Fprintf(out, "rule broken %d times: %s: %s\n", n, name, l.firstViolation[name])
			err = exit(exitBroken)
		}
	}
	return err
}
