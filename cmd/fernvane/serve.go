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

// files holds the paths of a node's files. A flag or an environment variable names each.
type files struct {
	getenv       func(string) string
	config       string
	operator     string
	planners     string
	bindings     string
	registry     string
	snapshot     string
	peers        string
	distribution string
	watch        string
}

func (f *files) flags(set *pflag.FlagSet) {
	for _, v := range []struct {
		target *string
		name   string
		env    string
		help   string
	}{
		{&f.config, "config", "PROXY_CONFIG", "read the platform's configuration from this JSON `file`"},
		{&f.operator, "operator", "PROXY_OPERATOR", "read routes and their limits from this TOML `file`"},
		{&f.planners, "planners", "PROXY_PLANNERS", "follow the planners that this TOML `file` names"},
		{&f.bindings, "bindings", "PROXY_BINDINGS", "write a journal of bindings as this TOML `file` configures"},
		{&f.registry, "registry", "PROXY_REGISTRY", "read servers from the registry of ephemeral nodes that this TOML `file` names"},
		{&f.snapshot, "snapshot", "PROXY_SNAPSHOT", "store the server list on disk for the next start as this TOML `file` configures"},
		{&f.peers, "peers", "PROXY_PEERS", "join the other nodes of the tier and store replicas for them as this TOML `file` configures"},
		{&f.distribution, "distribution", "PROXY_DISTRIBUTION", "receive servers, routes and tenants from the control processes that this TOML `file` names"},
		{&f.watch, "watch", "PROXY_WATCH", "count decisions that would differ under the settings in this JSON `file`"},
	} {
		set.StringVar(v.target, v.name, f.getenv(v.env), v.help+"; or "+v.env)
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
			return f.registry
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

// exitWith converts the exit code of a process to the error of its command.
func exitWith(code int) error {
	if code == 0 {
		return nil
	}
	return exitCode(code)
}

func serveCommand(stderr io.Writer, getenv func(string) string) *cobra.Command {
	f := files{getenv: getenv}
	var verbose bool
	c := &cobra.Command{Use: "serve", Short: "Run a node until SIGTERM; SIGHUP reloads its files",
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
			return exitWith(proxy.RunProcess(cfg, stderr, level))
		}}
	f.flags(c.Flags())
	c.Flags().BoolVar(&verbose, "verbose", false, "also log debug lines, such as each sent attempt that ends without a complete response or that its server did not start")
	return c
}

func planCommand(stderr io.Writer, getenv func(string) string) *cobra.Command {
	var path string
	c := &cobra.Command{Use: "plan", Short: "Run a planner until SIGTERM", Example: "  fernvane plan --file planner.toml",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			cfg, err := planconfig.LoadPlanner(path)
			if err != nil {
				return configError{err}
			}
			return exitWith(planner.Process(cfg, stderr))
		}}
	c.Flags().StringVar(&path, "file", getenv("PROXY_PLAN"), "read the planner's configuration from this TOML `file`; or PROXY_PLAN")
	return c
}
