package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"fernvane/internal/testbed/scale"
)

func scaleCommand() *cobra.Command {
	var size scale.Size
	var json string
	c := &cobra.Command{Use: "scale", Short: "Run the control plane of a fleet with hollow nodes and measure the resource usage of each role",
		Long: "scale starts hollow nodes, many to a process, with real control processes and loopback connections. Hollow nodes are complete\n" +
			"nodes without clients and servers. It measures bytes, messages, CPU and memory of each role, and the time from a change until\n" +
			"nodes apply it: at the start, when idle, under changes, after a reload of the operator's file and during an event.\n\n" +
			"A size that needs more than half of the machine's memory or 200 processes is rejected with exit code 2.\n\nEvents:\n" + eventHelp() +
			"\nDifferences between hollow and complete nodes:\n  " + strings.Join(scale.Shared, "\n  "),
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			r, err := scale.Run(c.Context(), scale.Options{Size: size, Command: []string{self, scale.WorkerCommand}, Progress: c.ErrOrStderr(),
				CommandLine: commandLine(c)})
			if err != nil {
				return err
			}
			if json != "" {
				if err := r.Save(json); err != nil {
					return err
				}
			}
			return r.Text(c.OutOrStdout())
		}}
	f := c.Flags()
	f.IntVar(&size.Nodes, "nodes", 64, "run this number of hollow nodes")
	f.IntVar(&size.Servers, "servers", 192, "list this number of servers")
	f.IntVar(&size.Services, "services", 8, "distribute the servers over this number of services")
	f.IntVar(&size.ServicesPerNode, "serves", 0, "let a node serve this number of services, on planes that send a node only its services; 0: all")
	f.IntVar(&size.Routes, "routes", 64, "put this number of routes into the operator's file; 0: no file")
	f.IntVar(&size.Tenants, "tenants", 16, "put this number of tenants into the settings")
	f.IntVar(&size.Regions, "regions", 3, "use this number of regions")
	f.IntVar(&size.Zones, "zones", 6, "use this number of zones, sum over all regions")
	f.IntVar(&size.Control, "control", 3, "run this number of control processes, on planes that have them")
	f.Float64Var(&size.Churn, "churn", 2, "change this number of servers per second")
	f.Float64Var(&size.Restarts, "restarts", 0, "restart this number of node processes per second, in a separate phase")
	f.StringVar(&size.Plane, "plane", "planners", strings.Join(scale.Planes(), " or "))
	f.StringVar(&size.Event, "event", "", "run this event in the last phase; see above")
	f.DurationVar(&size.PhaseDuration, "for", 5*time.Second, "run each phase for this time")
	f.Uint64Var(&size.Seed, "seed", 1, "seed random choices and the choice of killed processes")
	f.BoolVar(&size.Membership, "membership", false, "run membership between nodes, as with serve --peers")
	f.BoolVar(&size.Snapshots, "snapshots", true, "store snapshots of the endpoint list on disk, as with serve --snapshot")
	f.StringVar(&json, "json", "", "write the result to a `file`")
	return c
}

func eventHelp() string {
	var b strings.Builder
	for _, e := range scale.Events {
		fmt.Fprintf(&b, "  %-14s %s\n", e.Name, e.Description)
	}
	return b.String()
}

// commandLine returns the command line without the path of the binary and without --json.
func commandLine(c *cobra.Command) string {
	words := []string{c.Root().Name()}
	args := os.Args[1:]
	for i := 0; i < len(args); i++ {
		if args[i] == "--json" {
			i++
		} else if !strings.HasPrefix(args[i], "--json=") {
			words = append(words, args[i])
		}
	}
	return strings.Join(words, " ")
}
