package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"fernvane/internal/lab"
	"fernvane/internal/load"
	"fernvane/internal/scenario"
)

func self() ([]string, error) {
	path, err := os.Executable()
	return []string{path, nodeCommand}, err
}

// killsCommand kills nodes at moments of chance and sets their journals beside what the boxes have run.
func killsCommand() *cobra.Command {
	var n int
	var seed uint64
	var promise string
	c := &cobra.Command{Use: "kills", Short: "Kill nodes again and again, and set their journals of bindings beside the boxes' dockets", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			command, err := self()
			if err != nil {
				return err
			}
			s, err := scenario.Load("journal-kills")
			if err != nil {
				return err
			}
			s.Seed, s.Journal.Promise, s.Faults = seed, promise, nil
			chance := rand.New(rand.NewPCG(seed, 3))
			const down, up = 200 * time.Millisecond, 250 * time.Millisecond // and a life of chance between
			at := make([]time.Duration, s.Nodes.Count)
			for i := range n {
				node := i % len(at)
				at[node] += down + up + time.Duration(chance.Int64N(int64(900*time.Millisecond)))
				s.Faults = append(s.Faults, scenario.Fault{Kind: "kill-nodes", At: scenario.Span(at[node]), For: scenario.Span(down), Nodes: []int{node}})
				s.Length = max(s.Length, scenario.Span(at[node]+time.Second))
			}
			out, err := lab.Run(c.Context(), lab.Options{Scenario: s, Ops: load.Plan(s), Command: command})
			if err != nil {
				return err
			}
			j := out.Journal
			fmt.Fprintf(c.OutOrStdout(), "%d kills in %s, promise %s: %d entries, %d dockets, %d possibly sent, %d of them not settled by dockets, %d words in gaps\n",
				n, s.Length.D(), promise, j.Entries, j.Ran, j.Possibly, j.Open, j.Gaps)
			for _, r := range out.Rules {
				if r.Broken > 0 {
					fmt.Fprintf(c.OutOrStdout(), "broken %d times: %s: %s\n", r.Broken, r.Name, r.Worst)
					err = exit(exitBroken)
				}
			}
			if j.Open > 0 {
				err = exit(exitBroken)
			}
			return err
		}}
	c.Flags().IntVarP(&n, "kills", "n", 500, "how many kills")
	c.Flags().Uint64Var(&seed, "seed", 53, "of their moments and of the load")
	c.Flags().StringVar(&promise, "promise", "process", "process or machine")
	return c
}

// promisesCommand measures what the journal's promises cost a binding.
func promisesCommand() *cobra.Command {
	return &cobra.Command{Use: "promises", Short: "What each of the journal's promises adds to a binding, beside none", Args: cobra.NoArgs,
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
			for _, promise := range []string{"", "process", "machine", "machines"} {
				one := *s
				if one.Journal.Promise = promise; promise == "machines" {
					one.Peers.Replicas = 2
				}
				out, err := lab.Run(c.Context(), lab.Options{Scenario: &one, Ops: load.Plan(&one), Command: command})
				if err != nil {
					return err
				}
				if out.Late.Behind {
					return errors.Join(errors.New("the generator fell behind"), exit(exitInvalid))
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
					promise = "none"
				}
				linked := 0.0
				if out.Journal.Entries > 0 {
					linked = float64(out.Journal.Linked) / float64(out.Journal.Entries)
				}
				fmt.Fprintf(t, "%s\t%.4f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\t%.0f\t\n", promise, out.Service(), cells[1][0], cells[1][1], cells[1][2], cells[0][0],
					cells[0][1], out.Use.CPU.Seconds(), each, linked)
			}
			return t.Flush()
		}}
}

// lossesCommand loses machines with their disks again and again, in several tiers at a time.
func lossesCommand() *cobra.Command {
	var n, atOnce int
	var seed uint64
	var promise string
	c := &cobra.Command{Use: "losses", Short: "Lose machines with their disks again and again, and look for each docket in what is left", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			command, err := self()
			if err != nil {
				return err
			}
			var mu sync.Mutex
			var sum lab.Journal
			broken := map[string]int{}
			worst := map[string]string{}
			var fault error
			var g errgroup.Group
			runs := uint64(0)
			for range atOnce {
				g.Go(func() error {
					for {
						mu.Lock()
						if sum.Losses >= n || fault != nil || c.Context().Err() != nil {
							mu.Unlock()
							return nil
						}
						runs++
						s, err := scenario.Load("replicas-losses")
						if err != nil {
							mu.Unlock()
							return err
						}
						s.Seed, s.Journal.Promise = seed+runs, promise
						s.Length = scenario.Span(2 * time.Minute)
						s.Faults[0].For = scenario.Span(118 * time.Second)
						if promise != "machines" {
							s.Peers.Replicas = 0
						}
						mu.Unlock()
						out, err := lab.Run(c.Context(), lab.Options{Scenario: s, Ops: load.Plan(s), Command: command})
						mu.Lock()
						if err != nil {
							fault = err
							mu.Unlock()
							return err
						}
						j := out.Journal
						sum.Losses, sum.Cycles, sum.Entries, sum.Ran, sum.Possibly, sum.Open, sum.Gaps = sum.Losses+j.Losses, sum.Cycles+j.Cycles, sum.Entries+j.Entries,
							sum.Ran+j.Ran, sum.Possibly+j.Possibly, sum.Open+j.Open, sum.Gaps+j.Gaps
						for _, r := range out.Rules {
							if broken[r.Name] += r.Broken; r.Broken > 0 && worst[r.Name] == "" {
								worst[r.Name] = r.Worst
							}
						}
						fmt.Fprintf(c.ErrOrStderr(), "seed %d: %d machines lost in %d cycles, service %.4f, %d dockets\n", s.Seed, j.Losses, j.Cycles, out.Service(), j.Ran)
						mu.Unlock()
					}
				})
			}
			if err := g.Wait(); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d machines lost in %d cycles, promise %s: %d entries, %d dockets, %d possibly sent, %d of them not settled by dockets, %d words in gaps\n",
				sum.Losses, sum.Cycles, promise, sum.Entries, sum.Ran, sum.Possibly, sum.Open, sum.Gaps)
			for name, n := range broken {
				if n > 0 {
					fmt.Fprintf(c.OutOrStdout(), "broken %d times: %s: %s\n", n, name, worst[name])
					err = exit(exitBroken)
				}
			}
			return err
		}}
	c.Flags().IntVarP(&n, "losses", "n", 1000, "how many, at least")
	c.Flags().IntVar(&atOnce, "at-once", 3, "tiers of 12 nodes at a time")
	c.Flags().Uint64Var(&seed, "seed", 6100, "before that of the first run")
	c.Flags().StringVar(&promise, "promise", "machines", "process, machine or machines")
	return c
}

// stepsCommand takes a machine or a process away at each step of copying and of copying on.
func stepsCommand() *cobra.Command {
	var atOnce int
	c := &cobra.Command{Use: "steps", Short: "Lose, kill or stop a node at each step of copying, taking over and repairing, one after another", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			command, err := self()
			if err != nil {
				return err
			}
			type row struct {
				name string
				s    *scenario.Scenario
				line string
				bad  bool
			}
			var rows []*row
			for _, phase := range []string{"copying", "repairing"} {
				for _, what := range []string{"lose-machines", "kill-nodes", "stop-nodes"} {
					for _, step := range []string{"news", "offer", "have", "batch", "ack"} {
						for _, nth := range []int{1, 2, 5} {
							s, err := scenario.Load("replicas-losses")
							if err != nil {
								return err
							}
							s.Nodes.Count, s.Load.Rate, s.Length, s.Seed = 6, 150, scenario.Span(9*time.Second), uint64(7000+len(rows))
							s.Faults = []scenario.Fault{{Kind: what, At: scenario.Span(500 * time.Millisecond), For: scenario.Span(400 * time.Millisecond), Nodes: []int{1}, When: step, Nth: nth}}
							if phase == "repairing" { // of node 0's journal, which is lost with it
								lost := scenario.Fault{Kind: "lose-machines", At: scenario.Span(time.Second), For: scenario.Span(6 * time.Second), Nodes: []int{0}}
								s.Faults[0].At = scenario.Span(4 * time.Second)
								s.Faults = append(s.Faults, lost)
							}
							rows = append(rows, &row{name: fmt.Sprintf("%s\t%s\t%s\t%d", phase, what, step, nth), s: s})
						}
					}
				}
			}
			var g errgroup.Group
			g.SetLimit(atOnce)
			for _, r := range rows {
				g.Go(func() error {
					out, err := lab.Run(c.Context(), lab.Options{Scenario: r.s, Ops: load.Plan(r.s), Command: command})
					if err != nil {
						return err
					}
					verdict := "kept"
					for _, rule := range out.Rules {
						if rule.Broken > 0 {
							verdict, r.bad = fmt.Sprintf("%s broken %d times: %s", rule.Name, rule.Broken, rule.Worst), true
						}
					}
					r.line = fmt.Sprintf("%s\t%d\t%d\t%.4f\t%s", r.name, out.Journal.Ran, out.Journal.Possibly, out.Service(), verdict)
					return nil
				})
			}
			if err := g.Wait(); err != nil {
				return err
			}
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "while\tbefalls node 1\tat\tnth\tdockets\tpossibly sent\tservice\trules")
			for _, r := range rows {
				fmt.Fprintln(t, r.line)
				if r.bad {
					err = exit(exitBroken)
				}
			}
			return errors.Join(t.Flush(), err)
		}}
	c.Flags().IntVar(&atOnce, "at-once", 4, "tiers of 6 nodes at a time")
	return c
}

// repairCommand measures how long it takes until a journal that stands on one machine stands on enough.
func repairCommand() *cobra.Command {
	var n, rate int
	var length time.Duration
	c := &cobra.Command{Use: "repair", Short: "Time until a journal that stands on one machine stands on enough, and service meanwhile", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			command, err := self()
			if err != nil {
				return err
			}
			s, err := scenario.Load("replicas-losses")
			if err != nil {
				return err
			}
			s.Faults, s.Length, s.Nodes.Count, s.Peers.RepairBytes = nil, scenario.Span(length), 6, rate
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(t, "entries before\twhole after s\tservice\tbook p50 ms\tp99\tCPU s\t")
			for _, before := range []int{0, n} {
				one := *s
				one.Peers.Before = before
				out, err := lab.Run(c.Context(), lab.Options{Scenario: &one, Ops: load.Plan(&one), Command: command})
				if err != nil {
					return err
				}
				if out.Late.Behind {
					return errors.Join(errors.New("the generator fell behind"), exit(exitInvalid))
				}
				for _, k := range out.ByType {
					if k.Name == "hire-book" {
						fmt.Fprintf(t, "%d\t%.1f\t%.4f\t%.1f\t%.1f\t%.1f\t\n", before, out.Journal.Whole, out.Service(), float64(k.Latency.ValueAtQuantile(50))/1000,
							float64(k.Latency.ValueAtQuantile(99))/1000, out.Use.CPU.Seconds())
					}
				}
				for _, r := range out.Rules {
					if r.Broken > 0 {
						fmt.Fprintf(c.OutOrStdout(), "broken %d times: %s: %s\n", r.Broken, r.Name, r.Worst)
						err = exit(exitBroken)
					}
				}
				if err != nil {
					return err
				}
			}
			return t.Flush()
		}}
	c.Flags().IntVar(&n, "entries", 1_000_000, "that one machine holds alone")
	c.Flags().IntVar(&rate, "repair-bytes", 8<<20, "a second that a node copies")
	c.Flags().DurationVar(&length, "length", 80*time.Second, "of the load")
	return c
}
