package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/client"
)

const (
	statusLook = 200 * time.Millisecond // between two looks while nodes are waited for
	// What a control process tells of nodes at others may be a second old: waiting ends when all were current at two looks
	// that are further apart.
	statusSettled = 1300 * time.Millisecond
)

var errBehind = errors.New("not all nodes have in force what is held")

// nodeView is a node as the command tells of it.
type nodeView struct {
	Name        string   `json:"name"`
	Role        string   `json:"role"`
	Region      string   `json:"region,omitempty"`
	Zone        string   `json:"zone,omitempty"`
	Via         string   `json:"via,omitempty"`
	State       string   `json:"state"` // current, behind, rejecting or unreachable
	Revision    uint64   `json:"revision"`
	LagSeconds  float64  `json:"lag_s"`
	Pending     int      `json:"pending"`
	Rejected    []string `json:"rejected,omitempty"`
	Unreachable string   `json:"unreachable_since,omitempty"`
}

// view is what one control process tells.
type view struct {
	Control  string     `json:"control"`
	Revision uint64     `json:"revision"`
	Current  bool       `json:"current"`
	Nodes    []nodeView `json:"nodes"`
}

// statusAsked is what is asked of a look.
type statusAsked struct {
	within    time.Duration
	expect    int
	reachable bool
}

func configStatus(a *configAccess) *cobra.Command {
	var asJSON bool
	var asked statusAsked
	c := &cobra.Command{Use: "status", Short: "Tell of every node whether it has in force what is held",
		Long: `status asks a control process for all nodes that it knows of: a root knows all, a relay those below it. What it tells of nodes at
other control processes may be a second old; with --within the command waits until all were current for longer than that.`,
		Example: "  fernvane config --file distribution.toml status --within 6s --expect 12",
		Args:    exactly("status takes flags alone", 0),
		RunE: func(c *cobra.Command, _ []string) error {
			config, err := a.load()
			if err != nil {
				return err
			}
			v, err := lookWithin(c.Context(), config, asked)
			if err != nil {
				return err
			}
			if asJSON {
				err = json.NewEncoder(c.OutOrStdout()).Encode(v)
			} else {
				v.tell(c.OutOrStdout())
			}
			if err == nil && !v.Current {
				err = errBehind
			}
			return err
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "JSON, for programs")
	c.Flags().DurationVar(&asked.within, "within", 0, "wait so long at most until all nodes are current")
	c.Flags().IntVar(&asked.expect, "expect", 0, "so many nodes at least must be current")
	c.Flags().BoolVar(&asked.reachable, "reachable", false, "leave out who cannot be reached, as nodes that are down")
	return c
}

// lookWithin looks until all nodes are current, or for as long as it may.
func lookWithin(ctx context.Context, config *client.Config, asked statusAsked) (v *view, err error) {
	by, since := time.Now().Add(asked.within), time.Time{}
	for {
		v, err = look(ctx, config, asked)
		now := time.Now()
		switch {
		case err != nil || !v.Current:
			since = time.Time{}
		case since.IsZero():
			since = now
		}
		if asked.within <= 0 || !since.IsZero() && now.Sub(since) >= statusSettled {
			return v, err
		}
		if now.After(by) {
			if err == nil { // all current, but not for long enough to be sure of it
				v.Current = false
			}
			return v, err
		}
		time.Sleep(statusLook)
	}
}

func look(ctx context.Context, config *client.Config, asked statusAsked) (*view, error) {
	s, err := client.Open(ctx, config)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	self, nodes, err := s.Status()
	if err != nil {
		return nil, err
	}
	return viewOf(s.Control, self, nodes, asked), nil
}

// viewOf judges each node. A control process must hold what the one asked holds; a node must have put in force all that
// its control process has for it.
func viewOf(control string, self distribution.NodeStatus, nodes []distribution.NodeStatus, asked statusAsked) *view {
	v := &view{Control: control, Revision: self.Revision, Current: !self.IsCatchingUp}
	count := 0
	for _, s := range nodes {
		if s.Name == self.Name {
			continue
		}
		n := nodeView{Name: s.Name, Role: s.Role.String(), Region: s.Region, Zone: s.Zone, Via: s.Via, State: stateOf(self, s), Revision: s.Revision,
			LagSeconds: s.Lag.Round(time.Millisecond).Seconds(), Pending: s.PendingKeys}
		for _, r := range s.Rejected {
			n.Rejected = append(n.Rejected, r.Key.String()+": "+r.Reason)
		}
		if !s.IsConnected && s.DisconnectedMs > 0 {
			n.Unreachable = time.UnixMilli(s.DisconnectedMs).UTC().Format(time.RFC3339)
		}
		if s.Role == distribution.RoleNode && n.State == "current" {
			count++
		}
		if s.IsConnected || !asked.reachable {
			v.Current = v.Current && n.State == "current"
		}
		v.Nodes = append(v.Nodes, n)
	}
	v.Current = v.Current && count >= asked.expect
	slices.SortFunc(v.Nodes, func(a, b nodeView) int { return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Name, b.Name)) })
	return v
}

func stateOf(self, s distribution.NodeStatus) string {
	switch {
	case !s.IsConnected:
		return "unreachable"
	case s.IsCatchingUp, !s.HasAcknowledged, s.PendingKeys > 0, s.UnacknowledgedBytes > 0, s.Role == distribution.RoleControl && s.Revision < self.Revision:
		return "behind"
	case len(s.Rejected) > 0:
		return "rejecting"
	}
	return "current"
}

func (v *view) tell(out io.Writer) {
	fmt.Fprintf(out, "%s holds revision %d\n", v.Control, v.Revision)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(v.Nodes) > 0 {
		fmt.Fprintln(w, "name\trole\tregion\tzone\tvia\tstate\trevision\tlag\twaiting")
	}
	sums := map[string]int{}
	for _, n := range v.Nodes {
		sums[n.State]++
		state := n.State
		if n.Unreachable != "" {
			state += " since " + n.Unreachable
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%.3gs\t%d\n", n.Name, n.Role, n.Region, n.Zone, n.Via, state, n.Revision, n.LagSeconds, n.Pending)
	}
	w.Flush()
	for _, n := range v.Nodes {
		for _, r := range n.Rejected {
			fmt.Fprintf(out, "%s cannot use %s\n", n.Name, r)
		}
	}
	fmt.Fprintf(out, "%d current, %d behind, %d rejecting, %d unreachable\n", sums["current"], sums["behind"], sums["rejecting"], sums["unreachable"])
}
