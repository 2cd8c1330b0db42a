package main

import (
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"fernvane/internal/testbed"
)

const (
	maxDistributionTime  = 6 * time.Second // within which operators require a change to be applied by all nodes
	maxDistributionNodes = 500             // nodes in one process
)

func distributionCommand() *cobra.Command {
	d := testbed.Distribution{}
	c := &cobra.Command{Use: "distribution", Short: "Measure the time until nodes apply changes while control processes crash, lose their disks and are cut off",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if d.Nodes < 1 || d.Nodes > maxDistributionNodes || d.Relays < 2 || d.Changes < 1 {
				return fmt.Errorf("invalid size: want 1 to %d nodes, at least 2 relays and at least 1 change", maxDistributionNodes)
			}
			dir, err := os.MkdirTemp("", "testbed-distribution-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			d.Dir = dir
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "fault\tin force at the last node, median\tslowest change\twent back")
			failed := false
			err = d.Run(c.Context(), func(r testbed.DistributionRow) {
				fmt.Fprintf(c.ErrOrStderr(), "%s: %s\n", r.Fault, r.Max.Round(time.Millisecond))
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", r.Fault, r.Median.Round(time.Millisecond), r.Max.Round(time.Millisecond), r.Rollbacks)
				failed = failed || r.Max > maxDistributionTime || r.Rollbacks > 0
			})
			w.Flush()
			if err == nil && failed {
				err = errors.New("change took more than 6 s, or node reverted to earlier revision")
			}
			return err
		}}
	c.Flags().IntVar(&d.Nodes, "nodes", 40, "run this number of nodes, all in this process")
	c.Flags().IntVar(&d.Relays, "relays", 3, "run this number of relays below two roots")
	c.Flags().IntVar(&d.Changes, "changes", 3, "make this number of changes after each fault")
	return c
}
