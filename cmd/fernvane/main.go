// Command fernvane is one node of the proxy.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/rs/zerolog"

	"fernvane/internal/plancfg"
	"fernvane/internal/planner"
	"fernvane/internal/route"
	"fernvane/internal/serve"
	"fernvane/internal/tomlfile"
)

const usage = `usage: fernvane COMMAND [flags]

  serve     run a node until SIGTERM; SIGHUP has it read its configuration and the operator's file again
  check     read the configuration and tell what a node would make of it; with an operator's file, what each route
            gets and from which line; with -schema, print the JSON schema of the operator's file
  plan      run a planner until SIGTERM, on the planner's file that -file or PROXY_PLAN names
  bindings  find, show, verify, export and reconcile entries of the journal of bindings
  explain METHOD PATH
            tell which route of the operator's file a request takes, and why
  version   print the version

serve, check and explain read the file that -config or PROXY_CONFIG names, and the operator's file that -operator or
PROXY_OPERATOR names. With -planners FILE (PROXY_PLANNERS) serve is a forwarder: it follows what planners plan.
`

const exitUsage = 2 // also for a configuration of no use

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr, os.Getenv)) }

// headers are the fields of a request to be explained, given as name=value.
type headers map[string]string

func (h headers) String() string { return "" }

func (h headers) Set(s string) error {
	name, value, ok := strings.Cut(s, "=")
	if !ok || name == "" {
		return errors.New("a field is given as NAME=VALUE")
	}
	h[strings.ToLower(name)] = value
	return nil
}

func (h headers) Get(name string) []byte {
	if v, ok := h[strings.ToLower(name)]; ok {
		return []byte(v)
	}
	return nil
}

func run(args []string, out, errs io.Writer, getenv func(string) string) int {
	if len(args) == 0 {
		fmt.Fprint(errs, usage)
		return exitUsage
	}
	if args[0] == "bindings" {
		c := bindingsCommand(out, errs, getenv)
		c.SetArgs(args[1:])
		switch err := c.Execute(); {
		case errors.Is(err, errDamaged):
			fmt.Fprintf(errs, "fernvane: %v\n", err)
			return 1
		case err != nil:
			fmt.Fprintf(errs, "fernvane: %v\n", err)
			return exitUsage
		}
		return 0
	}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(errs)
	flags.Usage = func() {
		fmt.Fprint(errs, usage)
		flags.PrintDefaults()
	}
	path := flags.String("config", getenv("PROXY_CONFIG"), "the configuration, a JSON `file`")
	operator := flags.String("operator", getenv("PROXY_OPERATOR"), "limits by route, a TOML `file`")
	forwarder := flags.String("planners", getenv("PROXY_PLANNERS"), "serve, check: the planners to follow, a TOML `file`")
	journal := flags.String("bindings", getenv("PROXY_BINDINGS"), "serve, check: keep a journal of bindings, by this TOML `file`")
	list := flags.String("registry", getenv("PROXY_REGISTRY"), "serve, check: read servers from a registry of ephemeral nodes, by this TOML `file`")
	planFile := flags.String("file", getenv("PROXY_PLAN"), "plan: the planner's TOML `file`")
	verbose := flags.Bool("verbose", false, "log each hop that does not end with a whole answer")
	schema := flags.Bool("schema", false, "check: print the JSON schema of the operator's file")
	tenant := flags.String("tenant", "", "explain: the request's `tenant`")
	fields := headers{}
	flags.Var(fields, "header", "explain: a field of the request, as `NAME=VALUE`; may be given again")
	rest, err := parse(flags, args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return 0
	} else if err != nil {
		return exitUsage
	}
	load := func() (serve.Config, bool) {
		cfg, err := serve.Load(*path, func(name string) string {
			switch name {
			case "PROXY_OPERATOR":
				return *operator
			case "PROXY_PLANNERS":
				return *forwarder
			case "PROXY_BINDINGS":
				return *journal
			case "PROXY_REGISTRY":
				return *list
			}
			return getenv(name)
		})
		return cfg, sound(errs, err)
	}
	switch args[0] {
	case "serve":
		cfg, ok := load()
		if !ok {
			return exitUsage
		}
		level := zerolog.InfoLevel
		if *verbose {
			level = zerolog.DebugLevel
		}
		return serve.Process(cfg, errs, level)
	case "plan":
		cfg, err := plancfg.LoadPlanner(*planFile)
		if !sound(errs, err) {
			return exitUsage
		}
		return planner.Process(cfg, errs)
	case "check":
		if *schema {
			e := json.NewEncoder(out)
			e.SetIndent("", "  ")
			e.Encode(route.Schema())
			return 0
		}
		cfg, ok := load()
		if !ok {
			return exitUsage
		}
		if cfg.KnownErr != nil {
			fmt.Fprintf(errs, "fernvane: the saved list cannot be used: %v\n", cfg.KnownErr)
		}
		fmt.Fprintf(out, "%s listens on %s, follows %s, knows %d servers, has room for %d connections\n",
			cfg.Name, cfg.Listen, cfg.Discovery, len(cfg.Known.Hosts), cfg.Limits.Connections())
		if cfg.Planners != nil {
			fmt.Fprintf(out, "follows the planners %s, TLS %v\n", strings.Join(cfg.Planners.Planners, ", "), cfg.Planners.Keys != nil)
		}
		if cfg.Bindings != nil {
			fmt.Fprintf(out, "keeps bindings in %s against the %s's death; while it cannot they are: %s\n", cfg.Bindings.Dir, cfg.Bindings.Promise,
				map[bool]string{true: "denied", false: "served"}[cfg.Bindings.Deny()])
		}
		if cfg.Routes != nil {
			cfg.Routes.Table(out, &cfg.Settings)
		}
		return 0
	case "explain":
		if len(rest) != 2 || !strings.HasPrefix(rest[1], "/") {
			fmt.Fprintln(errs, "fernvane: explain wants a METHOD and a PATH that begins with /")
			return exitUsage
		}
		cfg, ok := load()
		if !ok {
			return exitUsage
		}
		if cfg.Routes == nil {
			fmt.Fprintln(errs, "fernvane: explain wants an operator's file: -operator FILE")
			return exitUsage
		}
		target, _, _ := strings.Cut(rest[1], "?")
		cfg.Routes.Explain(out, &route.Request{Method: []byte(rest[0]), Path: []byte(target), Tenant: []byte(*tenant), Fields: fields}, &cfg.Settings)
		return 0
	case "version":
		fmt.Fprintln(out, "fernvane", version())
		return 0
	case "help", "-h", "-help", "--help":
		fmt.Fprint(out, usage)
		return 0
	}
	fmt.Fprint(errs, usage)
	return exitUsage
}

// sound tells what is wrong with a configuration, each fault on a line of its own.
func sound(errs io.Writer, err error) bool {
	var faults tomlfile.Faults
	switch {
	case errors.As(err, &faults): // each with its own file and line
		fmt.Fprintln(errs, faults)
	case err != nil:
		fmt.Fprintf(errs, "fernvane: the configuration cannot be used: %v\n", err)
	}
	return err == nil
}

// parse takes flags before, between and behind the other words.
func parse(flags *flag.FlagSet, args []string) (rest []string, err error) {
	for {
		if err := flags.Parse(args); err != nil {
			return nil, err
		}
		if flags.NArg() == 0 {
			return rest, nil
		}
		rest = append(rest, flags.Arg(0))
		args = flags.Args()[1:]
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(unknown)"
	}
	return info.Main.Version
}
