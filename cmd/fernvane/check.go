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

// example is settings of this project's own, as a configuration holds them, to try files against.
//
//go:embed example.json
var example []byte

const exampleName = "example" // of the settings that this program brings

func checkCommand(errs io.Writer, getenv func(string) string) *cobra.Command {
	f := files{getenv: getenv}
	var schema bool
	var set, planFile string
	c := &cobra.Command{Use: "check", Short: "Read files and tell what a node would make of them",
		Long: `check reads the configuration and tells what a node would make of it; with an operator's file, what each route gets and from
which line. Every fault is told, by file and line, with exit 2.

Without a configuration each file that is named is checked by itself; what needs settings is said to be left unchecked, or
is checked against those of a JSON file, or of an example that this program brings.`,
		Example: `  fernvane check --config config.json --operator operator.toml
  fernvane check --operator deploy/operator.example.toml
  fernvane check --operator deploy/operator.example.toml --settings example
  fernvane check --schema`,
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			switch {
			case schema:
				e := json.NewEncoder(out)
				e.SetIndent("", "  ")
				return e.Encode(route.Schema())
			case f.config != "":
				return checkAll(out, errs, &f)
			case f.operator+f.planners+f.bindings+f.registries+f.snapshot+f.peers+f.distribution+planFile == "":
				return configError{errors.New("no configuration is named: --config FILE; or name a file to check by itself")}
			}
			return checkEach(out, &f, planFile, set)
		}}
	f.flags(c.Flags())
	c.Flags().BoolVar(&schema, "schema", false, "print the JSON schema of the operator's file")
	c.Flags().StringVar(&planFile, "file", "", "a planner's TOML `file`, checked by itself")
	settingsFlag(c, &set)
	return c
}

func settingsFlag(c *cobra.Command, set *string) {
	c.Flags().StringVar(set, "settings", "", "without a configuration: the settings to check against, a JSON `file` or the word example")
}

// checkAll loads all files as a node does at its start, and prints what it would use.
func checkAll(out, errs io.Writer, f *files) error {
	cfg, err := f.load()
	if err != nil {
		return err
	}
	if cfg.SavedListErr != nil {
		fmt.Fprintf(errs, "fernvane: the saved list cannot be used: %v\n", cfg.SavedListErr)
	}
	fmt.Fprintf(out, "%s listens on %s, follows %s, knows %d servers, has room for %d connections\n",
		cfg.Name, cfg.Listen, cfg.Discovery, len(cfg.SavedList.Hosts), cfg.Limits.MaxConnections())
	printPlanners(out, cfg.Planners)
	printJournal(out, cfg.Journal)
	printRegistry(out, cfg.Registry)
	printSnapshot(out, cfg.Snapshot)
	printPeers(out, cfg.Peers)
	printDistribution(out, cfg.Distribution)
	if cfg.Shadow != nil {
		fmt.Fprintln(out, "watches other settings beside its own; decides by its own")
	}
	if cfg.Routes != nil {
		cfg.Routes.PrintTable(out, &cfg.Settings)
	}
	return nil
}

// checkEach loads each named file by itself, and returns the faults of all.
func checkEach(out io.Writer, f *files, planFile, set string) error {
	var all error
	if f.operator != "" {
		all = errors.Join(all, checkOperator(out, f.operator, set))
	}
	if f.planners != "" {
		p, err := planconfig.LoadForwarder(f.planners)
		if all = errors.Join(all, err); err == nil {
			printPlanners(out, p)
		}
	}
	if f.bindings != "" {
		b, err := wal.LoadConfig(f.bindings)
		if all = errors.Join(all, err); err == nil {
			printJournal(out, b)
		}
	}
	if f.registries != "" {
		r, err := zookeeper.Load(f.registries)
		if all = errors.Join(all, err); err == nil {
			printRegistry(out, r)
		}
	}
	if f.snapshot != "" {
		s, err := snapshot.Load(f.snapshot)
		if all = errors.Join(all, err); err == nil {
			printSnapshot(out, s)
		}
	}
	if f.peers != "" {
		p, err := peer.LoadConfig(f.peers)
		if all = errors.Join(all, err); err == nil {
			printPeers(out, p)
		}
	}
	if f.distribution != "" {
		d, err := client.Load(f.distribution)
		if all = errors.Join(all, err); err == nil {
			printDistribution(out, d)
		}
	}
	if planFile != "" {
		p, err := planconfig.LoadPlanner(planFile)
		if all = errors.Join(all, err); err == nil {
			fmt.Fprintf(out, "%s listens on %s and plans every %s\n", p.Name, p.ListenAddress, p.Interval.Std())
		}
	}
	if all != nil {
		return configError{all}
	}
	return nil
}

func checkOperator(out io.Writer, path, set string) error {
	s, note, err := settingsFor(path, set)
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

// settingsFor returns the settings to check an operator's file against, and a note to print about them.
func settingsFor(operator, set string) (s *settings.Settings, note string, err error) {
	switch set {
	case "":
		s, err = route.LoosestSettings(operator)
		return s, "Without settings: " + route.UncheckedNotice + ". Name --config FILE, --settings FILE or --settings " + exampleName + ".", err
	case exampleName:
		known, err := settings.Decode(example)
		return &known, "Against the settings that this program brings as an example.", err
	}
	known, err := proxy.ReadSettings(set)
	return &known, "", err
}

func explainCommand(getenv func(string) string) *cobra.Command {
	f := files{getenv: getenv}
	var tenant, set string
	fields := headers{}
	c := &cobra.Command{Use: "explain METHOD PATH", Short: "Tell which route of the operator's file a request takes, and why",
		Example: "  fernvane explain --operator deploy/operator.example.toml POST /hire-book/baler --tenant dorset-dairy --header X-Counter=1",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) != 2 || !strings.HasPrefix(args[1], "/") {
				return errors.New("explain wants a METHOD and a PATH that begins with /")
			}
			return nil
		}, RunE: func(c *cobra.Command, args []string) error {
			out := c.OutOrStdout()
			if f.operator == "" {
				return errors.New("explain wants an operator's file: --operator FILE")
			}
			routes, s, note, err := (*route.Table)(nil), (*settings.Settings)(nil), "", error(nil)
			if f.config != "" {
				var cfg proxy.Config
				cfg, err = f.load()
				routes, s = cfg.Routes, &cfg.Settings
			} else if s, note, err = settingsFor(f.operator, set); err == nil {
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
	c.Flags().StringVar(&tenant, "tenant", "", "the request's `tenant`")
	c.Flags().Var(fields, "header", "a field of the request, as NAME=VALUE; may be given again")
	settingsFlag(c, &set)
	return c
}

func printPlanners(out io.Writer, p *planconfig.Forwarder) {
	if p != nil {
		fmt.Fprintf(out, "follows the planners %s, TLS %v\n", strings.Join(p.Planners, ", "), p.Keys != nil)
	}
}

func printJournal(out io.Writer, b *wal.Config) {
	if b != nil {
		fmt.Fprintf(out, "keeps bindings in %s against the %s's death; while it cannot they are: %s\n", b.Dir, b.Promise,
			whenFailing(b))
	}
}

// whenFailing is what becomes of non-idempotent requests while the journal cannot be written.
func whenFailing(b *wal.Config) string {
	if b.RejectsWhenFailing() {
		return "denied"
	}
	return "served"
}

func printSnapshot(out io.Writer, s *snapshot.Config) {
	if s != nil {
		fmt.Fprintf(out, "keeps its list of servers in %s for %s, %d generations, one each %s at most\n", s.Dir, s.Deployment, s.MaxGenerations, s.WriteInterval.Std())
	}
}

func printPeers(out io.Writer, p *peer.Config) {
	if p != nil {
		fmt.Fprintf(out, "meets other nodes of %s on %s, TLS %v; holds replicas in %s, %d of each record on other machines\n", p.Deployment, p.Listen, p.Keys != nil, p.ReplicaDir, p.Replicas)
	}
}

func printDistribution(out io.Writer, d *client.Config) {
	if d != nil {
		fmt.Fprintf(out, "follows the control processes %s for %d services, TLS %v; holds entries in %s, waits %s at a start to be current\n",
			strings.Join(d.Control, ", "), len(d.Services), d.Keys != nil, d.Directory, d.StartTimeout.Std())
	}
}

func printRegistry(out io.Writer, r *zookeeper.Config) {
	if r != nil {
		fmt.Fprintf(out, "reads servers under %s%s of the registry at %s\n", strings.TrimSuffix(r.Chroot, "/"), r.Path, strings.Join(r.Servers, ", "))
	}
}
