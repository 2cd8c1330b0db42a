// Command fernvane is one node of the proxy.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/rs/zerolog"

	"fernvane/internal/serve"
)

const usage = `usage: fernvane COMMAND [flags]

  serve     run a node until SIGTERM; SIGHUP has it read its configuration again
  check     read the configuration and tell what a node would make of it
  version   print the version

serve and check read the file that -config or PROXY_CONFIG names.
`

const exitUsage = 2 // also for a configuration of no use

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr, os.Getenv)) }

func run(args []string, out, errs io.Writer, getenv func(string) string) int {
	if len(args) == 0 {
		fmt.Fprint(errs, usage)
		return exitUsage
	}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(errs)
	flags.Usage = func() {
		fmt.Fprint(errs, usage)
		flags.PrintDefaults()
	}
	path := flags.String("config", getenv("PROXY_CONFIG"), "the configuration, a JSON `file`")
	verbose := flags.Bool("verbose", false, "log each hop that does not end with a whole answer")
	if err := flags.Parse(args[1:]); errors.Is(err, flag.ErrHelp) {
		return 0
	} else if err != nil {
		return exitUsage
	}
	switch args[0] {
	case "serve", "check":
		cfg, err := serve.Load(*path, getenv)
		if err != nil {
			fmt.Fprintf(errs, "fernvane: the configuration cannot be used: %v\n", err)
			return exitUsage
		}
		if args[0] == "check" {
			if cfg.KnownErr != nil {
				fmt.Fprintf(errs, "fernvane: the saved list cannot be used: %v\n", cfg.KnownErr)
			}
			fmt.Fprintf(out, "%s listens on %s, follows %s, knows %d servers, has room for %d connections\n",
				cfg.Name, cfg.Listen, cfg.Discovery, len(cfg.Known.Hosts), cfg.Limits.Connections())
			return 0
		}
		level := zerolog.InfoLevel
		if *verbose {
			level = zerolog.DebugLevel
		}
		return serve.Process(cfg, errs, level)
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

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(unknown)"
	}
	return info.Main.Version
}
