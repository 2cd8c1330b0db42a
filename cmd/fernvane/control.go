package main

import (
	"io"

	"github.com/spf13/cobra"

	"fernvane/internal/controlplane/distribution/control"
)

func controlCommand(stderr io.Writer, getenv func(string) string) *cobra.Command {
	var path string
	c := &cobra.Command{Use: "control", Short: "Run a control process, which stores and distributes configuration, until SIGTERM",
		Example: "  fernvane control --file control.toml", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			config, err := control.Load(path)
			if err != nil {
				return configError{err}
			}
			return exitWith(control.Process(config, stderr))
		}}
	c.Flags().StringVar(&path, "file", getenv("PROXY_CONTROL"), "read the control process's configuration from this TOML `file`; or PROXY_CONTROL")
	return c
}
