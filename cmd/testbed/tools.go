package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"fernvane/internal/testbed"
	"fernvane/internal/testbed/baseline"
	"fernvane/internal/testbed/capacity"
	"fernvane/internal/testbed/load"
	"fernvane/internal/testbed/report"
	"fernvane/internal/testbed/scale"
	"fernvane/internal/testbed/scenario"
)

func listCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the embedded scenarios", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, name := range scenario.Names() {
				s, err := scenario.Load(name)
				if err != nil {
					return err
				}
				fmt.Fprintf(t, "%s\t%s\t%d nodes, %d boxes\t%s\n", name, s.Length.Std(), s.Nodes.Count, len(s.ServerNames()), s.About)
			}
			return t.Flush()
		}}
}

func faultsCommand() *cobra.Command {
	return &cobra.Command{Use: "faults", Short: "List the faults that a scenario may ask for", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, k := range scenario.FaultKinds {
				fmt.Fprintf(t, "%s\t%s\n", k.Name, k.Description)
			}
			return t.Flush()
		}}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE...", Short: "Print all that is wrong with scenarios", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			bad := false
			for _, name := range files {
				s, err := scenario.Load(name)
				if err != nil {
					fmt.Fprintln(c.ErrOrStderr(), err)
					bad = true
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: %s, %d nodes, %d boxes, %d operations, %d faults\n", name, s.Length.Std(), s.Nodes.Count,
					len(s.ServerNames()), len(load.Plan(s)), len(s.Faults))
			}
			if bad {
				return exit(exitBadInput)
			}
			return nil
		}}
}

func scheduleCommand() *cobra.Command {
	return &cobra.Command{Use: "schedule SCENARIO", Short: "Print a scenario's load as a trace, which --trace reads", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			return load.WriteTrace(c.OutOrStdout(), s, load.Plan(s))
		}}
}

func compareCommand() *cobra.Command {
	return &cobra.Command{Use: "compare A.json B.json", Short: "Set two reports side by side", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			a, err := report.Load(args[0])
			if err != nil {
				return err
			}
			b, err := report.Load(args[1])
			if err != nil {
				return err
			}
			report.Compare(c.OutOrStdout(), &a, &b)
			return nil
		}}
}

// loadFlags are the flags of `testbed load`.
type loadFlags struct {
	to     string
	name   string
	trace  string
	json   string
	shape  string
	path   string
	method string
	rate   float64
	length time.Duration
}

func loadCommand() *cobra.Command {
	var l loadFlags
	c := &cobra.Command{Use: "load --to ADDRESS", Short: "Send a load to any HTTP address, with no stand-ins and no audit",
		Long: `load sends the schedule of a scenario, or one given by flags, to one address: open loop, so that operations begin at
their moments whatever becomes of those before. Latency counts from the scheduled moment. Where the generator itself falls
behind, it says so first and exits 3.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := l.scenario(c.Flags().Changed)
			if err != nil {
				return err
			}
			return l.send(c, s)
		}}
	f := c.Flags()
	f.StringVar(&l.to, "to", "", "host:port to send to; self for a server within that answers at once")
	c.MarkFlagRequired("to")
	f.StringVar(&l.name, "scenario", "calm", "whose types, tenants, clients and load to send")
	f.StringVar(&l.path, "path", "", "send requests of one type, with this path")
	f.StringVar(&l.method, "method", "GET", "with --path: GET or POST")
	f.Float64Var(&l.rate, "rate", 0, "operations a second")
	f.DurationVar(&l.length, "for", 0, "how long")
	f.StringVar(&l.shape, "shape", "", "constant, poisson, bursts, ramp or wave")
	f.StringVar(&l.trace, "trace", "", "send a recorded trace (`file`)")
	f.StringVar(&l.json, "json", "", "write the report to a `file`")
	return c
}

// scenario returns the named scenario with the changes of the flags.
func (l *loadFlags) scenario(changed func(flag string) bool) (*scenario.Scenario, error) {
	s, err := scenario.Load(l.name)
	if err != nil {
		return nil, err
	}
	if changed("path") {
		kind := s.Types[0]
		kind.Name, kind.Path, kind.Share = l.path, l.path, 1
		if kind.Repeat = "retriable"; l.method == "POST" {
			kind.Repeat = "binding"
		}
		s.Types, s.Name = []scenario.Type{kind}, "load"
	}
	if changed("rate") {
		s.Load.Rate = l.rate
	}
	if changed("for") {
		s.Length, s.Faults = scenario.Span(l.length), nil
	}
	if changed("shape") {
		s.Load.Shape = l.shape
	}
	return s, nil
}

// send sends the scenario's load and reports.
func (l *loadFlags) send(c *cobra.Command, s *scenario.Scenario) (err error) {
	ops := load.Plan(s)
	if l.trace != "" {
		if ops, err = load.LoadTrace(l.trace, s); err != nil {
			return err
		}
	}
	s.Nodes.Count, s.Servers = 0, nil
	to := l.to
	if to == "self" {
		address, stop, err := testbed.StartInstantServer()
		defer stop()
		if err != nil {
			return err
		}
		to = address
	}
	g := &load.Generator{Scenario: s, Requests: ops, Progress: progress(c.ErrOrStderr(), s.Length.Std())}
	late := g.Run(c.Context(), time.Now(), load.FixedEndpoint(to), load.NopWatcher{})
	r := report.New(s, to, ops, &testbed.Outcome{Result: g.Result, Lateness: late})
	r.Text(c.OutOrStdout())
	if l.json != "" {
		if err := r.Save(l.json); err != nil {
			return err
		}
	}
	if late.IsBehind {
		return exit(exitInvalid)
	}
	return nil
}

func benchCommand() *cobra.Command {
	var profile, json string
	var conns []int
	var rates []float64
	var each time.Duration
	c := &cobra.Command{Use: "bench", Short: "Throughput and latency of one node against direct requests, closed loop", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			machine, err := scale.ThisMachine()
			if err != nil {
				return err
			}
			r := capacity.Path{Command: commandLine(c), At: time.Now().UTC().Truncate(time.Second), Machine: machine}
			r.Rows, err = testbed.Bench(c.Context(), testbed.BenchOptions{Command: []string{self, nodeCommand}, Duration: each,
				Env: []string{profileVar + "=" + profile}, Connections: conns, Rates: rates})
			if err != nil {
				return err
			}
			if json != "" {
				if err := capacity.Save(json, r); err != nil {
					return err
				}
			}
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(t, "connections\tway\ta second\tp50 us\tp99 us\tdenied\tnode CPU us each\t")
			for _, r := range r.Rows {
				fmt.Fprintf(t, "%d\t%s\t%.0f\t%d\t%d\t%d\t%.1f\t\n", r.Connections, r.Route, r.PerSecond, r.P50.Microseconds(), r.P99.Microseconds(),
					r.Rejected, r.CPUMicroseconds)
			}
			return t.Flush()
		}}
	c.Flags().StringVar(&profile, "cpuprofile", "", "write a profile of the node to a `file`, for go tool pprof")
	c.Flags().IntSliceVar(&conns, "connections", []int{1, 16, 64, 256}, "how many clients ask at a time, one after the other")
	c.Flags().Float64SliceVar(&rates, "rate", nil, "requests a second at even moments, in place of as fast as answers come")
	c.Flags().DurationVar(&each, "each", 2*time.Second, "how long each row takes")
	c.Flags().StringVar(&json, "json", "", "write the rows to a `file`")
	return c
}

func proveCommand() *cobra.Command {
	return &cobra.Command{Use: "prove", Short: "Show that the audit finds each rule broken by a policy that breaks it, and only there", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			bad, err := prove(c.Context(), func(line string) { fmt.Fprintln(c.OutOrStdout(), line) })
			if err == nil && bad > 0 {
				return exit(exitBroken)
			}
			return err
		}}
}

// prove runs the scenario `proof` with each broken policy and with sound ones, and returns the number of wrong verdicts.
func prove(ctx context.Context, say func(string)) (wrong int, err error) {
	s, err := scenario.Load("proof")
	if err != nil {
		return 0, err
	}
	self, err := os.Executable()
	if err != nil {
		return 0, err
	}
	ops := load.Plan(s)
	expect := map[string]string{"fernvane": "", "round-robin": "", "least-in-flight": ""}
	for name, rule := range baseline.Broken {
		expect[name] = rule
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	atOnce := make(chan struct{}, 6)
	for name, rule := range expect {
		wg.Go(func() {
			atOnce <- struct{}{}
			defer func() { <-atOnce }()
			r, fault := runOnce(ctx, testbed.Options{Scenario: s, Requests: ops, Command: []string{self, nodeCommand}, Env: []string{policyVar + "=" + name}}, name)
			mu.Lock()
			defer mu.Unlock()
			if fault != nil {
				err = fault
				return
			}
			found, first := rule == "" && r.Broken() == 0, ""
			for _, v := range r.Rules {
				if v.Violations > 0 && (first == "" || v.Name == rule) {
					first = fmt.Sprintf("%s, %d times, first: %s", v.Name, v.Violations, v.FirstViolation)
				}
				found = found || v.Name == rule && v.Violations > 0
			}
			verdict := "as it should"
			if !found {
				verdict, wrong = "WRONG", wrong+1
			}
			if first == "" {
				first = "no rule broken"
			}
			say(fmt.Sprintf("%-12s %-16s %s", verdict, name, first))
		})
	}
	wg.Wait()
	return wrong, err
}
