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
	c := &cobra.Command{Use: "scale", Short: "Play the control side of a fleet with hollow nodes, and measure what each role pays",
		Long: "scale starts hollow nodes, many to a process, under real control processes on loopback connections: nodes as they ship,\n" +
			"without clients and servers. It measures bytes, messages, CPU and memory of each role, and the time from a change until\n" +
			"nodes go by it: when all start, at rest, under changes, for a new operator's file and in an event.\n\n" +
			"A size over half of the machine's memory or 200 processes is refused, with exit code 2.\n\nEvents:\n" + eventHelp() +
			"\nWhat hollow nodes lack or share:\n  " + strings.Join(scale.Shared, "\n  "),
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
	f.IntVar(&size.Nodes, "nodes", 64, "hollow nodes")
	f.IntVar(&size.Servers, "servers", 192, "servers that discovery lists")
	f.IntVar(&size.Services, "services", 8, "services that they belong to")
	f.IntVar(&size.ServicesPerNode, "serves", 0, "services that a node serves, where the plane sends it no others; 0 for all")
	f.IntVar(&size.Routes, "routes", 64, "routes of the operator's file; 0 for no file")
	f.IntVar(&size.Tenants, "tenants", 16, "tenants of the settings")
	f.IntVar(&size.Regions, "regions", 3, "regions")
	f.IntVar(&size.Zones, "zones", 6, "zones, in all regions together")
	f.IntVar(&size.Control, "control", 3, "control processes, where the plane has any")
	f.Float64Var(&size.Churn, "churn", 2, "changed servers a second")
	f.Float64Var(&size.Restarts, "restarts", 0, "processes of nodes killed and started again a second, in a phase of their own")
	f.StringVar(&size.Plane, "plane", "planners", strings.Join(scale.Planes(), " or "))
	f.StringVar(&size.Event, "event", "", "what befalls in the end, see above")
	f.DurationVar(&size.PhaseDuration, "for", 5*time.Second, "how long each phase takes")
	f.Uint64Var(&size.Seed, "seed", 1, "of chance, and of who is hit")
	f.BoolVar(&size.Membership, "membership", false, "nodes know each other, as with serve --peers")
	f.BoolVar(&size.Snapshots, "snapshots", true, "nodes keep their list on disk, as with serve --snapshot")
	f.StringVar(&json, "json", "", "write the result to a `file`")
	return c
}

func eventHelp() string {
	var b strings.Builder
	for _, e := range scale.Events {
		fmt.Fprintf(&b, "  %-14s %s\n", e.Name, e.About)
	}
	return b.String()
}

// commandLine is the command as it was given, without where it stands and where its result goes.
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
