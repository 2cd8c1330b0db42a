package main

import (
	"io"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"fernvane/internal/controlplane/planconfig"
	"fernvane/internal/controlplane/planner"
	"fernvane/internal/proxy"
)

// files are the paths of a node's files, each named by a flag or an environment variable.
type files struct {
	getenv       func(string) string
	config       string
	operator     string
	planners     string
	bindings     string
	registries   string
	snapshot     string
	peers        string
	distribution string
	watch        string
}

func (f *files) flags(set *pflag.FlagSet) {
	for _, v := range []struct {
		to   *string
		name string
		env  string
		help string
	}{
		{&f.config, "config", "PROXY_CONFIG", "the platform's configuration, a JSON `file`"},
		{&f.operator, "operator", "PROXY_OPERATOR", "limits by route, a TOML `file`"},
		{&f.planners, "planners", "PROXY_PLANNERS", "the planners to follow, a TOML `file`"},
		{&f.bindings, "bindings", "PROXY_BINDINGS", "keep a journal of bindings, by this TOML `file`"},
		{&f.registries, "registry", "PROXY_REGISTRY", "read servers from a registry of ephemeral nodes, by this TOML `file`"},
		{&f.snapshot, "snapshot", "PROXY_SNAPSHOT", "keep the list of servers on disk for the next start, by this TOML `file`"},
		{&f.peers, "peers", "PROXY_PEERS", "join the other nodes of the tier and store replicas for them, by this TOML `file`"},
		{&f.distribution, "distribution", "PROXY_DISTRIBUTION", "follow control processes for servers, routes and tenants, by this TOML `file`"},
		{&f.watch, "watch", "PROXY_WATCH", "count where these settings would decide otherwise, a JSON `file`"},
	} {
		set.StringVar(v.to, v.name, f.getenv(v.env), v.help+"; or "+v.env)
	}
}

func (f *files) load() (proxy.Config, error) {
	cfg, err := proxy.LoadConfig(f.config, func(name string) string {
		switch name {
		case "PROXY_OPERATOR":
			return f.operator
		case "PROXY_PLANNERS":
			return f.planners
		case "PROXY_BINDINGS":
			return f.bindings
		case "PROXY_REGISTRY":
			return f.registries
		case "PROXY_SNAPSHOT":
			return f.snapshot
		case "PROXY_PEERS":
			return f.peers
		case "PROXY_WATCH":
			return f.watch
		case "PROXY_DISTRIBUTION":
			return f.distribution
		}
		return f.getenv(name)
	})
	if err != nil {
		return cfg, configError{err}
	}
	return cfg, nil
}

// exitWith turns the exit code of a process into the error of its command.
func exitWith(code int) error {
	if code == 0 {
		return nil
	}
	return exitCode(code)
}

func serveCommand(errs io.Writer, getenv func(string) string) *cobra.Command {
	f := files{getenv: getenv}
	var verbose bool
	c := &cobra.Command{Use: "serve", Short: "Run a node until SIGTERM; SIGHUP has it read its files again",
		Example: "  PROXY_CONFIG=config.json fernvane serve\n  fernvane serve --config config.json --operator operator.toml --bindings bindings.toml",
		Args:    cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			cfg, err := f.load()
			if err != nil {
				return err
			}
			level := zerolog.InfoLevel
			if verbose {
				level = zerolog.DebugLevel
			}
			return exitWith(proxy.RunProcess(cfg, errs, level))
		}}
	f.flags(c.Flags())
	c.Flags().BoolVar(&verbose, "verbose", false, "log each attempt that does not end with a complete response")
	return c
}

func planCommand(errs io.Writer, getenv func(string) string) *cobra.Command {
	var path string
	c := &cobra.Command{Use: "plan", Short: "Run a planner until SIGTERM", Example: "  fernvane plan --file planner.toml",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			cfg, err := planconfig.LoadPlanner(path)
			if err != nil {
				return configError{err}
			}
			return exitWith(planner.Process(cfg, errs))
		}}
	c.Flags().StringVar(&path, "file", getenv("PROXY_PLAN"), "the planner's TOML `file`; or PROXY_PLAN")
	return c
}
