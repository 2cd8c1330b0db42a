package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"fernvane/internal/testbed"
	"fernvane/internal/testbed/load"
	"fernvane/internal/testbed/scenario"
)

// stepsCommand loses a machine or stops a process at each step of replication and repair.
func stepsCommand() *cobra.Command {
	var concurrency int
	c := &cobra.Command{Use: "steps", Short: "Lose, kill or stop a node at each step of copying and repairing a journal", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			command, err := self()
			if err != nil {
				return err
			}
			rows, err := stepRows()
			if err != nil {
				return err
			}
			var g errgroup.Group
			g.SetLimit(concurrency)
			for _, r := range rows {
				g.Go(func() error { return r.run(c.Context(), command) })
			}
			if err := g.Wait(); err != nil {
				return err
			}
			return printSteps(c.OutOrStdout(), rows)
		}}
	c.Flags().IntVar(&concurrency, "at-once", 4, "run this number of clusters of 6 nodes concurrently")
	return c
}

// stepRow is one run, in which a fault hits node 1 at a step, and its row in the output.
type stepRow struct {
	name     string
	scenario *scenario.Scenario
	line     string
	isBroken bool
}

// stepRows returns a row for each combination of phase, fault, step and occurrence.
func stepRows() (rows []*stepRow, err error) {
	for _, phase := range []string{"copying", "repairing"} {
		for _, faultKind := range []string{"lose-machines", "kill-nodes", "stop-nodes"} {
			for _, step := range []string{"news", "offer", "have", "batch", "ack"} {
				for _, nth := range []int{1, 2, 5} {
					s, err := stepScenario(phase == "repairing", faultKind, step, nth)
					if err != nil {
						return nil, err
					}
					s.Seed = uint64(7000 + len(rows))
					rows = append(rows, &stepRow{name: fmt.Sprintf("%s\t%s\t%s\t%d", phase, faultKind, step, nth), scenario: s})
				}
			}
		}
	}
	return rows, nil
}

// stepScenario returns a scenario in which a fault hits node 1 at the nth occurrence of a step. Node 0's journal is copied
// meanwhile; if isRepairing, node 0 is lost before, and its replicas are copied further.
func stepScenario(isRepairing bool, faultKind, step string, nth int) (*scenario.Scenario, error) {
	s, err := scenario.Load("replicas-losses")
	if err != nil {
		return nil, err
	}
	s.Nodes.Count, s.Load.Rate, s.Length = 6, 150, scenario.Duration(9*time.Second)
	s.Faults = []scenario.Fault{{Kind: faultKind, At: scenario.Duration(500 * time.Millisecond), For: scenario.Duration(400 * time.Millisecond), Nodes: []int{1}, When: step, Nth: nth}}
	if isRepairing {
		lost := scenario.Fault{Kind: "lose-machines", At: scenario.Duration(time.Second), For: scenario.Duration(6 * time.Second), Nodes: []int{0}}
		s.Faults[0].At = scenario.Duration(4 * time.Second)
		s.Faults = append(s.Faults, lost)
	}
	return s, nil
}

func (r *stepRow) run(ctx context.Context, command []string) error {
	out, err := testbed.Run(ctx, testbed.Options{Scenario: r.scenario, Requests: load.Plan(r.scenario), Command: command})
	if err != nil {
		return err
	}
	verdict := "kept"
	for _, rule := range out.Rules {
		if rule.Violations > 0 {
			verdict, r.isBroken = fmt.Sprintf("%s broken %d times: %s", rule.Name, rule.Violations, rule.FirstViolation), true
		}
	}
	r.line = fmt.Sprintf("%s\t%d\t%d\t%.4f\t%s", r.name, out.Journal.Ran, out.Journal.PossiblySent, out.ServiceShare(), verdict)
	return nil
}

// printSteps prints a row for each run. It returns an error if a rule was broken.
func printSteps(out io.Writer, rows []*stepRow) (err error) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "while\tbefalls node 1\tat\tnth\tdockets\tpossibly sent\tservice\trules")
	for _, r := range rows {
		fmt.Fprintln(t, r.line)
		if r.isBroken {
			err = exit(exitBroken)
		}
	}
	return errors.Join(t.Flush(), err)
}
