package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"fernvane/internal/testbed"
	"fernvane/internal/testbed/load"
	"fernvane/internal/testbed/scenario"
)

// self returns the command that starts this binary as a node.
func self() ([]string, error) {
	path, err := os.Executable()
	return []string{path, nodeCommand}, err
}

// killsCommand kills nodes at random times and compares their journals with the servers' execution records.
func killsCommand() *cobra.Command {
	var n int
	var seed uint64
	var durability string
	c := &cobra.Command{Use: "kills", Short: "Kill nodes repeatedly and compare their journals with the servers' execution records", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			command, err := self()
			if err != nil {
				return err
			}
			s, err := scenario.Load("journal-kills")
			if err != nil {
				return err
			}
			s.Seed, s.Journal.Durability, s.Faults = seed, durability, nil
			random := rand.New(rand.NewPCG(seed, 3))
			const down, up = 200 * time.Millisecond, 250 * time.Millisecond // a node runs for up plus a random time between kills
			at := make([]time.Duration, s.Nodes.Count)
			for i := range n {
				node := i % len(at)
				at[node] += down + up + time.Duration(random.Int64N(int64(900*time.Millisecond)))
				s.Faults = append(s.Faults, scenario.Fault{Kind: "kill-nodes", At: scenario.Duration(at[node]), For: scenario.Duration(down), Nodes: []int{node}})
				s.Length = max(s.Length, scenario.Duration(at[node]+time.Second))
			}
			out, err := testbed.Run(c.Context(), testbed.Options{Scenario: s, Requests: load.Plan(s), Command: command})
			if err != nil {
				return err
			}
			j := out.Journal
			fmt.Fprintf(c.OutOrStdout(), "%d kills in %s, promise %s: %d entries, %d executions, %d possibly sent, %d of them not settled by execution records, %d records in gaps\n",
				n, s.Length.Std(), durability, j.Entries, j.Ran, j.PossiblySent, j.Open, j.Gaps)
			for _, r := range out.Rules {
				if r.Violations > 0 {
					fmt.Fprintf(c.OutOrStdout(), "rule broken %d times: %s: %s\n", r.Violations, r.Name, r.FirstViolation)
					err = exit(exitBroken)
				}
			}
			if j.Open > 0 {
				err = exit(exitBroken)
			}
			return err
		}}
	c.Flags().IntVarP(&n, "kills", "n", 500, "kill nodes this number of times")
	c.Flags().Uint64Var(&seed, "seed", 53, "seed the times of kills and the load")
	c.Flags().StringVar(&durability, "promise", "process", "set the journal's durability: process or machine")
	return c
}

// promisesCommand measures the cost of each durability of the journal for a non-idempotent request.
func promisesCommand() *cobra.Command {
	return &cobra.Command{Use: "promises", Short: "Measure the cost of each durability of the journal for a non-idempotent request", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			command, err := self()
			if err != nil {
				return err
			}
			s, err := scenario.Load("journal")
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(t, "promise\tservice\tbook p50 ms\tp99\tp99.9\tcheck p50 ms\tp99\tCPU s\tbytes an entry\tbetween nodes\t")
			for _, durability := range []string{"", "process", "machine", "machines"} {
				one := *s
				if one.Journal.Durability = durability; durability == "machines" {
					one.Peers.Replicas = 2
				}
				out, err := testbed.Run(c.Context(), testbed.Options{Scenario: &one, Requests: load.Plan(&one), Command: command})
				if err != nil {
					return err
				}
				if out.Lateness.IsBehind {
					return errors.Join(errors.New("result is invalid: load generator fell behind its schedule"), exit(exitInvalid))
				}
				var cells [2][3]float64
				for _, k := range out.ByType {
					i := 0
					if k.Name == "hire-book" {
						i = 1
					}
					for q, v := range []float64{50, 99, 99.9} {
						cells[i][q] = float64(k.Latency.ValueAtQuantile(v)) / 1000
					}
				}
				each := 0.0
				if out.Journal.Entries > 0 {
					each = float64(out.Journal.Bytes) / float64(out.Journal.Entries)
				} else {
					durability = "none"
				}
				peerBytes := 0.0
				if out.Journal.Entries > 0 {
					peerBytes = float64(out.Journal.PeerBytes) / float64(out.Journal.Entries)
				}
				fmt.Fprintf(t, "%s\t%.4f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\t%.0f\t\n", durability, out.ServiceShare(), cells[1][0], cells[1][1], cells[1][2], cells[0][0],
					cells[0][1], out.NodeUsage.CPU.Seconds(), each, peerBytes)
			}
			return t.Flush()
		}}
}

// repairCommand measures how long it takes until a journal without replicas is replicated, with no earlier entries and with the
// number that the flag states.
func repairCommand() *cobra.Command {
	var n, rate int
	var length time.Duration
	c := &cobra.Command{Use: "repair", Short: "Measure the time until a journal without replicas is replicated, and the service meanwhile", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			command, err := self()
			if err != nil {
				return err
			}
			s, err := scenario.Load("replicas-losses")
			if err != nil {
				return err
			}
			s.Faults, s.Length, s.Nodes.Count, s.Peers.RepairBytes = nil, scenario.Duration(length), 6, rate
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(t, "entries before\twhole after s\tservice\tbook p50 ms\tp99\tCPU s\t")
			for _, before := range []int{0, n} {
				one := *s
				one.Peers.EarlierEntries = before
				out, err := testbed.Run(c.Context(), testbed.Options{Scenario: &one, Requests: load.Plan(&one), Command: command})
				if err != nil {
					return err
				}
				if out.Lateness.IsBehind {
					return errors.Join(errors.New("result is invalid: load generator fell behind its schedule"), exit(exitInvalid))
				}
				for _, k := range out.ByType {
					if k.Name == "hire-book" {
						fmt.Fprintf(t, "%d\t%.1f\t%.4f\t%.1f\t%.1f\t%.1f\t\n", before, out.Journal.RecoverySeconds, out.ServiceShare(), float64(k.Latency.ValueAtQuantile(50))/1000,
							float64(k.Latency.ValueAtQuantile(99))/1000, out.NodeUsage.CPU.Seconds())
					}
				}
				for _, r := range out.Rules {
					if r.Violations > 0 {
						fmt.Fprintf(c.OutOrStdout(), "rule broken %d times: %s: %s\n", r.Violations, r.Name, r.FirstViolation)
						err = exit(exitBroken)
					}
				}
				if err != nil {
					return err
				}
			}
			return t.Flush()
		}}
	c.Flags().IntVar(&n, "entries", 1_000_000, "begin with this number of entries that only one machine has stored")
	c.Flags().IntVar(&rate, "repair-bytes", 8<<20, "limit repair to this number of bytes per second and node")
	c.Flags().DurationVar(&length, "length", 80*time.Second, "send load for this time")
	return c
}
