package main

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"fernvane/internal/cluster/peer"
	"fernvane/internal/config/settings"
	"fernvane/internal/controlplane/distribution/client"
	"fernvane/internal/controlplane/planconfig"
	"fernvane/internal/discovery/snapshot"
	"fernvane/internal/discovery/zookeeper"
	"fernvane/internal/journal/wal"
	"fernvane/internal/proxy"
	"fernvane/internal/route"
)

// example holds sample settings in the format of a configuration. Files can be checked against it without a configuration.
//
//go:embed example.json
var example []byte

const exampleName = "example" // value of --settings that selects the embedded settings

func checkCommand(stderr io.Writer, getenv func(string) string) *cobra.Command {
	f := files{getenv: getenv}
	var schema bool
	var settingsName, planFile string
	c := &cobra.Command{Use: "check", Short: "Validate files and print the configuration that a node would use",
		Long: `check reads the configuration and prints what a node would use. With an operator's file it also prints the limits of each
route and the lines that set them. Faults are printed with their file and line, and the exit code is 2.

Without a configuration each named file is checked separately. Checks that need settings are reported as omitted, or use the
settings of a JSON file or of the embedded example.`,
		Example: `  fernvane check --config config.json --operator operator.toml
  fernvane check --operator deploy/operator.example.toml
  fernvane check --operator deploy/operator.example.toml --settings example
  fernvane check --schema`,
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			switch {
			case schema:
				encoder := json.NewEncoder(out)
				encoder.SetIndent("", "  ")
				return encoder.Encode(route.Schema())
			case f.config != "":
				return checkAll(out, stderr, &f)
			case f.operator+f.planners+f.bindings+f.registry+f.snapshot+f.peers+f.distribution+planFile == "":
				return configError{errors.New("no configuration named: use --config FILE, or name a file to check separately")}
			}
			return checkEach(out, &f, planFile, settingsName)
		}}
	f.flags(c.Flags())
	c.Flags().BoolVar(&schema, "schema", false, "print the JSON schema of the operator's file")
	c.Flags().StringVar(&planFile, "file", "", "check this planner's TOML `file` separately")
	settingsFlag(c, &settingsName)
	return c
}

func settingsFlag(c *cobra.Command, settingsName *string) {
	c.Flags().StringVar(settingsName, "settings", "", "without a configuration: check against the settings in this JSON `file`, or, for the word example, the embedded ones")
}

// checkAll loads all files as a starting node does, and prints the configuration that the node would use.
func checkAll(out, stderr io.Writer, f *files) error {
	cfg, err := f.load()
	if err != nil {
		return err
	}
	if cfg.SavedListErr != nil {
		fmt.Fprintf(stderr, "fernvane: saved list not used: %v\n", cfg.SavedListErr)
	}
	fmt.Fprintf(out, "%s listens on %s, discovery at %s, %d servers in the saved list, at most %d connections to clients and servers together\n",
		cfg.Name, cfg.Listen, cfg.Discovery, len(cfg.SavedList.Endpoints), cfg.Limits.MaxConnections())
	printPlanners(out, cfg.Planners)
	printJournal(out, cfg.Journal)
	printRegistry(out, cfg.Registry)
	printSnapshot(out, cfg.Snapshot)
	printPeers(out, cfg.Peers)
	printDistribution(out, cfg.Distribution)
	if cfg.Shadow != nil {
		fmt.Fprintln(out, "compares its decisions with those of the watched settings without applying them")
	}
	if cfg.Routes != nil {
		cfg.Routes.PrintTable(out, &cfg.Settings)
	}
	return nil
}

// checkEach loads each named file separately, and returns the faults of all files.
func checkEach(out io.Writer, f *files, planFile, settingsName string) error {
	var faults error
	if f.operator != "" {
		faults = errors.Join(faults, checkOperator(out, f.operator, settingsName))
	}
	if f.planners != "" {
		p, err := planconfig.LoadForwarder(f.planners)
		if faults = errors.Join(faults, err); err == nil {
			printPlanners(out, p)
		}
	}
	if f.bindings != "" {
		b, err := wal.LoadConfig(f.bindings)
		if faults = errors.Join(faults, err); err == nil {
			printJournal(out, b)
		}
	}
	if f.registry != "" {
		r, err := zookeeper.Load(f.registry)
		if faults = errors.Join(faults, err); err == nil {
			printRegistry(out, r)
		}
	}
	if f.snapshot != "" {
		s, err := snapshot.Load(f.snapshot)
		if faults = errors.Join(faults, err); err == nil {
			printSnapshot(out, s)
		}
	}
	if f.peers != "" {
		p, err := peer.LoadConfig(f.peers)
		if faults = errors.Join(faults, err); err == nil {
			printPeers(out, p)
		}
	}
	if f.distribution != "" {
		d, err := client.Load(f.distribution)
		if faults = errors.Join(faults, err); err == nil {
			printDistribution(out, d)
		}
	}
	if planFile != "" {
		p, err := planconfig.LoadPlanner(planFile)
		if faults = errors.Join(faults, err); err == nil {
			fmt.Fprintf(out, "%s listens on %s and plans every %s\n", p.Name, p.ListenAddress, p.Interval.Std())
		}
	}
	if faults != nil {
		return configError{faults}
	}
	return nil
}

func checkOperator(out io.Writer, path, settingsName string) error {
	s, note, err := settingsFor(path, settingsName)
	if err != nil {
		return err
	}
	routes, err := route.Load(path, s)
	if err != nil {
		return err
	}
	routes.PrintTable(out, s)
	if note != "" {
		fmt.Fprintln(out, note)
	}
	return nil
}

// settingsFor returns the settings to check an operator's file against, and a note to print after the result, which is empty for named files.
func settingsFor(operator, settingsName string) (s *settings.Settings, note string, err error) {
	switch settingsName {
	case "":
		s, err = route.LoosestSettings(operator)
		return s, "Checked without settings: " + route.UncheckedNotice + ". Use --config FILE, --settings FILE or --settings " + exampleName + ".", err
	case exampleName:
		decoded, err := settings.Decode(example)
		return &decoded, "Checked against the embedded example settings.", err
	}
	read, err := proxy.ReadSettings(settingsName)
	return &read, "", err
}

func explainCommand(getenv func(string) string) *cobra.Command {
	f := files{getenv: getenv}
	var tenant, settingsName string
	fields := headers{}
	c := &cobra.Command{Use: "explain METHOD PATH", Short: "Print which route of the operator's file a request matches, and why",
		Example: "  fernvane explain --operator deploy/operator.example.toml POST /hire-book/baler --tenant dorset-dairy --header X-Counter=1",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) != 2 || !strings.HasPrefix(args[1], "/") {
				return errors.New("explain: expected METHOD and PATH, with PATH beginning with /")
			}
			return nil
		}, RunE: func(c *cobra.Command, args []string) error {
			out := c.OutOrStdout()
			if f.operator == "" {
				return errors.New("explain: no operator's file named: use --operator FILE")
			}
			routes, s, note, err := (*route.Table)(nil), (*settings.Settings)(nil), "", error(nil)
			if f.config != "" {
				var cfg proxy.Config
				cfg, err = f.load()
				routes, s = cfg.Routes, &cfg.Settings
			} else if s, note, err = settingsFor(f.operator, settingsName); err == nil {
				routes, err = route.Load(f.operator, s)
			}
			if err != nil {
				return configError{err}
			}
			target, _, _ := strings.Cut(args[1], "?")
			routes.Explain(out, &route.Request{Method: []byte(args[0]), Path: []byte(target), Tenant: []byte(tenant), Headers: fields}, s)
			if note != "" {
				fmt.Fprintln(out, note)
			}
			return nil
		}}
	f.flags(c.Flags())
	c.Flags().StringVar(&tenant, "tenant", "", "set the `tenant` of the request")
	c.Flags().Var(fields, "header", "add a header field to the request, as NAME=VALUE; may be repeated")
	settingsFlag(c, &settingsName)
	return c
}

func printPlanners(out io.Writer, p *planconfig.Forwarder) {
	if p != nil {
		fmt.Fprintf(out, "follows planners %s, TLS %v\n", strings.Join(p.Planners, ", "), p.Keys != nil)
	}
}

func printJournal(out io.Writer, b *wal.Config) {
	if b != nil {
		fmt.Fprintf(out, "writes the journal of bindings to %s, which survives a crash of the %s; while writes fail or stall, requests that it records are %s\n", b.Dir, b.Durability,
			whenFailing(b))
	}
}

// whenFailing returns how requests that the journal records are handled while its writes fail or stall.
func whenFailing(b *wal.Config) string {
	if b.RejectsWhenFailing() {
		return "denied"
	}
	return "served"
}

func printSnapshot(out io.Writer, s *snapshot.Config) {
	if s != nil {
		fmt.Fprintf(out, "writes its server list to %s for deployment %s, keeps %d generations, writes at most one every %s\n", s.Dir, s.Deployment, s.MaxGenerations, s.WriteInterval.Std())
	}
}

func printPeers(out io.Writer, p *peer.Config) {
	if p != nil {
		fmt.Fprintf(out, "joins the other nodes of deployment %s, listens for them on %s, TLS %v; stores their replicas in %s; replicas of each record on other machines: %d\n", p.Deployment, p.Listen, p.Keys != nil, p.ReplicaDir, p.Replicas)
	}
}

func printDistribution(out io.Writer, d *client.Config) {
	if d != nil {
		fmt.Fprintf(out, "follows control processes %s for %d services, TLS %v; stores entries in %s, waits up to %s at start to become current\n",
			strings.Join(d.Control, ", "), len(d.Services), d.Keys != nil, d.Directory, d.StartTimeout.Std())
	}
}

func printRegistry(out io.Writer, r *zookeeper.Config) {
	if r != nil {
		fmt.Fprintf(out, "reads servers under %s%s of the registry at %s\n", strings.TrimSuffix(r.Chroot, "/"), r.Path, strings.Join(r.Servers, ", "))
	}
}
