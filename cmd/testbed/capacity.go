package main

import (
	"time"

	"github.com/spf13/cobra"

	"fernvane/internal/testbed/capacity"
	"fernvane/internal/testbed/scale"
	"fernvane/internal/testbed/scale/component"
)

func capacityCommand() *cobra.Command {
	var results, target string
	c := &cobra.Command{Use: "capacity", Short: "Print the tables of docs/CAPACITY.md from committed results and a target",
		Long: `capacity fits the growth of each measured figure, extrapolates it to the sizes of the target file and prints it with its budget.
Results are the files of ` + "`testbed scale --json`, named PLANE-DIMENSION-SIZE.json or PLANE-EVENT-SIZE.json, of `testbed capacity\nmeasure --json` and of `testbed bench --json`.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := capacity.LoadResults(results)
			if err != nil {
				return err
			}
			t, err := capacity.LoadTarget(target)
			if err != nil {
				return err
			}
			return capacity.Print(c.OutOrStdout(), r, t)
		}}
	c.Flags().StringVar(&results, "results", "docs/capacity", "read the results of this `folder`")
	c.Flags().StringVar(&target, "target", "docs/capacity/target.toml", "read the target sizes and budgets of this `file`")
	c.AddCommand(measureCommand())
	return c
}

func measureCommand() *cobra.Command {
	var json string
	var only []string
	c := &cobra.Command{Use: "measure", Short: "Measure parts of the control plane in isolation, at sizes beyond those of runs with nodes", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			machine, err := scale.ThisMachine()
			if err != nil {
				return err
			}
			r := component.Result{Command: commandLine(c), At: time.Now().UTC().Truncate(time.Second), Cores: machine.Cores, Load: machine.Load}
			if r.Parts, err = component.Measure(c.OutOrStdout(), only...); err != nil || json == "" {
				return err
			}
			return capacity.Save(json, r)
		}}
	c.Flags().StringVar(&json, "json", "", "write the result to a `file`")
	c.Flags().StringSliceVar(&only, "only", nil, "measure only the parts of these names; by default all")
	return c
}
