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
	statusPollInterval = 200 * time.Millisecond // between two status queries during a wait
	// statusStableFor is how long all nodes must stay current before a wait ends. It exceeds one second, because a control
	// process reports the nodes of other control processes up to a second late.
	statusStableFor = 1300 * time.Millisecond
)

var errNodesBehind = errors.New("not all expected nodes are current")

// nodeView is the status of one node as the command prints it.
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

// statusView is the status that one control process reports.
type statusView struct {
	Control  string     `json:"control"`
	Revision uint64     `json:"revision"`
	Current  bool       `json:"current"`
	Rejected []string   `json:"rejected,omitempty"` // entries that the control process cannot store
	Nodes    []nodeView `json:"nodes"`
}

// statusOptions are the conditions under which nodes count as current.
type statusOptions struct {
	within    time.Duration // maximum wait for all nodes to become current; 0: one query
	expect    int           // minimum number of current nodes
	reachable bool          // unreachable nodes are ignored
}

func configStatus(a *configAccess) *cobra.Command {
	var asJSON bool
	var options statusOptions
	c := &cobra.Command{Use: "status", Short: "Print for each node whether it has applied all entries",
		Long: `status prints the nodes that a control process reports: a root reports all nodes, a relay those below it. The status of nodes at
other control processes may be a second old. With --within the command waits until all nodes have been current for longer than that.`,
		Example: "  fernvane config --file distribution.toml status --within 6s --expect 12",
		Args:    exactArgs("status: expected flags only", 0),
		RunE: func(c *cobra.Command, _ []string) error {
			config, err := a.load()
			if err != nil {
				return err
			}
			v, err := readStatusUntilCurrent(c.Context(), config, options)
			if err != nil {
				return err
			}
			if asJSON {
				err = json.NewEncoder(c.OutOrStdout()).Encode(v)
			} else {
				v.print(c.OutOrStdout())
			}
			if err == nil && !v.Current {
				err = errNodesBehind
			}
			return err
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	c.Flags().DurationVar(&options.within, "within", 0, "wait at most this long until all nodes are current")
	c.Flags().IntVar(&options.expect, "expect", 0, "require at least this many current nodes")
	c.Flags().BoolVar(&options.reachable, "reachable", false, "ignore unreachable nodes, such as nodes that are down")
	return c
}

// readStatusUntilCurrent queries until all nodes have been current for statusStableFor, or options.within has passed.
func readStatusUntilCurrent(ctx context.Context, config *client.Config, options statusOptions) (v *statusView, err error) {
	deadline, currentSince := time.Now().Add(options.within), time.Time{}
	for {
		v, err = readStatus(ctx, config, options)
		now := time.Now()
		switch {
		case err != nil || !v.Current:
			currentSince = time.Time{}
		case currentSince.IsZero():
			currentSince = now
		}
		if options.within <= 0 || !currentSince.IsZero() && now.Sub(currentSince) >= statusStableFor {
			return v, err
		}
		if now.After(deadline) {
			if err == nil { // all nodes may be current, but not yet for statusStableFor
				v.Current = false
			}
			return v, err
		}
		time.Sleep(statusPollInterval)
	}
}

func readStatus(ctx context.Context, config *client.Config, options statusOptions) (*statusView, error) {
	s, err := client.Open(ctx, config)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	self, nodes, err := s.Status()
	if err != nil {
		return nil, err
	}
	return newStatusView(s.Control, self, nodes, options), nil
}

// newStatusView derives the state of each node. A control process is current if it is connected, stores all entries and has at least
// the revision of the queried one. A node is current if it is connected and has applied, without rejections, all entries that its
// control process has for it.
func newStatusView(control string, self distribution.NodeStatus, nodes []distribution.NodeStatus, options statusOptions) *statusView {
	v := &statusView{Control: control, Revision: self.Revision, Current: !self.IsCatchingUp, Rejected: rejectionTexts(self.Rejected)}
	currentNodes := 0
	for _, status := range nodes {
		if status.Name == self.Name {
			continue
		}
		n := nodeView{Name: status.Name, Role: status.Role.String(), Region: status.Region, Zone: status.Zone, Via: status.Via, State: stateOf(self, status),
			Revision: status.Revision, LagSeconds: status.Lag.Round(time.Millisecond).Seconds(), Pending: status.PendingKeys}
		n.Rejected = rejectionTexts(status.Rejected)
		if !status.IsConnected && status.DisconnectedMs > 0 {
			n.Unreachable = time.UnixMilli(status.DisconnectedMs).UTC().Format(time.RFC3339)
		}
		if status.Role == distribution.RoleNode && n.State == "current" {
			currentNodes++
		}
		if status.IsConnected || !options.reachable {
			v.Current = v.Current && n.State == "current"
		}
		v.Nodes = append(v.Nodes, n)
	}
	v.Current = v.Current && currentNodes >= options.expect
	slices.SortFunc(v.Nodes, func(a, b nodeView) int { return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Name, b.Name)) })
	return v
}

func rejectionTexts(rejected []distribution.Rejection) (texts []string) {
	for _, r := range rejected {
		texts = append(texts, r.Key.String()+": "+r.Reason)
	}
	return texts
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

func (v *statusView) print(out io.Writer) {
	fmt.Fprintf(out, "%s holds revision %d\n", v.Control, v.Revision)
	for _, r := range v.Rejected {
		fmt.Fprintf(out, "%s cannot hold %s\n", v.Control, r)
	}
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
