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
				fmt.Fprintf(t, "%s\t%s\t%d nodes, %d servers\t%s\n", name, s.Length.Std(), s.Nodes.Count, len(s.ServerNames()), s.Description)
			}
			return t.Flush()
		}}
}

func faultsCommand() *cobra.Command {
	return &cobra.Command{Use: "faults", Short: "List the kinds of faults of scenarios", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, k := range scenario.FaultKinds {
				fmt.Fprintf(t, "%s\t%s\n", k.Name, k.Description)
			}
			return t.Flush()
		}}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE...", Short: "Print all errors of scenarios", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			hasErrors := false
			for _, name := range files {
				s, err := scenario.Load(name)
				if err != nil {
					fmt.Fprintln(c.ErrOrStderr(), err)
					hasErrors = true
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: %s, %d nodes, %d servers, %d requests, %d faults\n", name, s.Length.Std(), s.Nodes.Count,
					len(s.ServerNames()), len(load.Plan(s)), len(s.Faults))
			}
			if hasErrors {
				return exit(exitBadInput)
			}
			return nil
		}}
}

func scheduleCommand() *cobra.Command {
	return &cobra.Command{Use: "schedule SCENARIO", Short: "Print the load of a scenario as a trace for `testbed run --trace`", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			return load.WriteTrace(c.OutOrStdout(), s, load.Plan(s))
		}}
}

func compareCommand() *cobra.Command {
	return &cobra.Command{Use: "compare A.json B.json", Short: "Print two reports side by side", Args: cobra.ExactArgs(2),
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
	c := &cobra.Command{Use: "load --to ADDRESS", Short: "Send load to an HTTP address, without stand-ins and without audit",
		Long: `load sends the schedule of a scenario, or one given by flags, to one address. The load is open loop: a request starts at its
scheduled time, independent of earlier ones. Latency is measured from the scheduled time. If the load generator falls behind
its schedule, the report says so first and the exit code is 3.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := l.scenario(c.Flags().Changed)
			if err != nil {
				return err
			}
			return l.send(c, s)
		}}
	f := c.Flags()
	f.StringVar(&l.to, "to", "", "send to this host:port; self: to a server in this process that responds immediately")
	c.MarkFlagRequired("to")
	f.StringVar(&l.name, "scenario", "calm", "send the load of this scenario, with its types, tenants and clients")
	f.StringVar(&l.path, "path", "", "send requests of a single type with this path")
	f.StringVar(&l.method, "method", "GET", "use this method with --path: GET or POST")
	f.Float64Var(&l.rate, "rate", 0, "send this number of requests per second")
	f.DurationVar(&l.length, "for", 0, "send load for this time")
	f.StringVar(&l.shape, "shape", "", "send load of this shape: constant, poisson, bursts, ramp or wave")
	f.StringVar(&l.trace, "trace", "", "send the requests of a trace `file`")
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
		if kind.Idempotency = "retriable"; l.method == "POST" {
			kind.Idempotency = "binding"
		}
		s.Types, s.Name = []scenario.Type{kind}, "load"
	}
	if changed("rate") {
		s.Load.Rate = l.rate
	}
	if changed("for") {
		s.Length, s.Faults = scenario.Duration(l.length), nil
	}
	if changed("shape") {
		s.Load.Shape = l.shape
	}
	return s, nil
}

// send sends the scenario's load and prints the report.
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
	c := &cobra.Command{Use: "bench", Short: "Measure throughput and latency of one node and of direct requests, closed loop", Args: cobra.NoArgs,
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
	c.Flags().IntSliceVar(&conns, "connections", []int{1, 16, 64, 256}, "measure with each of these numbers of concurrent clients")
	c.Flags().Float64SliceVar(&rates, "rate", nil, "send at each of these constant rates in requests per second, instead of closed loop")
	c.Flags().DurationVar(&each, "each", 2*time.Second, "measure each row for this time")
	c.Flags().StringVar(&json, "json", "", "write the rows to a `file`")
	return c
}

func proveCommand() *cobra.Command {
	return &cobra.Command{Use: "prove", Short: "Check that the audit reports the rule that each faulty policy breaks, and none for correct policies", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			wrong, err := prove(c.Context(), func(line string) { fmt.Fprintln(c.OutOrStdout(), line) })
			if err == nil && wrong > 0 {
				return exit(exitBroken)
			}
			return err
		}}
}

// prove runs the scenario `proof` with each faulty policy and with correct ones, and returns the number of wrong verdicts. The
// verdict on a faulty policy is right if its rule is broken, whatever other rules are.
func prove(ctx context.Context, printLine func(string)) (wrong int, err error) {
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
	slots := make(chan struct{}, 6)
	for name, rule := range expect {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			r, runErr := runOnce(ctx, testbed.Options{Scenario: s, Requests: ops, Command: []string{self, nodeCommand}, Env: []string{policyVar + "=" + name}}, name)
			mu.Lock()
			defer mu.Unlock()
			if runErr != nil {
				err = runErr
				return
			}
			found, first := rule == "" && r.Broken() == 0, ""
			for _, v := range r.Rules {
				if v.Violations > 0 && (first == "" || v.Name == rule) {
					first = fmt.Sprintf("%s, %d times, first: %s", v.Name, v.Violations, v.FirstViolation)
				}
				found = found || v.Name == rule && v.Violations > 0
			}
			verdict := "as expected"
			if !found {
				verdict, wrong = "WRONG", wrong+1
			}
			if first == "" {
				first = "no rule broken"
			}
			printLine(fmt.Sprintf("%-12s %-16s %s", verdict, name, first))
		})
	}
	wg.Wait()
	return wrong, err
}
