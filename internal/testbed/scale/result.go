package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"
)

// Result is the result of a run. Its JSON encoding is a stored format.
type Result struct {
	Command   string    `json:"command"`
	At        time.Time `json:"at"`
	Machine   Machine   `json:"machine"`
	Size      Size      `json:"size"`
	Processes int       `json:"processes"`
	Memory    float64   `json:"memory_bytes"` // maximum of the sum over all processes, read once per second
	Shared    []string  `json:"shared"`
	Phases    []Phase   `json:"phases"`
	Faults    []string  `json:"faults,omitempty"`
}

// Phase is the result of one phase of a run.
type Phase struct {
	Name    string          `json:"name"`
	Seconds float64         `json:"seconds"`
	Roles   map[string]Role `json:"roles"`
	// ChangeLatency is of the phase's changes; in the phases start and restarts, of nodes from their start until they knew all
	// servers; in the phase reload, of the operator's file.
	ChangeLatency *ChangeLatency `json:"in_force,omitempty"`
	// RestartLatency is how long the nodes that the event killed took from their start until they knew all servers.
	RestartLatency *ChangeLatency `json:"returned,omitempty"`
	Deliveries     deliveryCounts `json:"handed"` // inputs of policies, sum over all nodes
}

// Role is the resource usage of all members of a role together.
type Role struct {
	Members     int     `json:"members"`
	BytesIn     float64 `json:"bytes_in_per_s"`
	BytesOut    float64 `json:"bytes_out_per_s"`
	MessagesIn  float64 `json:"messages_in_per_s"`
	MessagesOut float64 `json:"messages_out_per_s"`
	CPU         float64 `json:"cpu_per_s"`
	Memory      float64 `json:"memory_bytes"` // at the end of the phase
}

// ChangeLatency is the distribution of the times from a change until a node applied it, over pairs of a change and a node. A start
// of nodes and a reload count as one change.
type ChangeLatency struct {
	Changes int     `json:"changes"`
	Applied int     `json:"taken"` // pairs whose node applied the change
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Last    float64 `json:"last_ms"`
	Missing int     `json:"missing"` // pairs whose node was up and did not apply the change, which no later one superseded
	Down    int     `json:"down"`    // pairs whose node was down before it applied the change; not part of the times
}

func newChangeLatency(changes, missing, down int, latencies []time.Duration) *ChangeLatency {
	f := &ChangeLatency{Changes: changes, Applied: len(latencies), Missing: missing, Down: down}
	if len(latencies) == 0 {
		return f
	}
	slices.Sort(latencies)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	at := func(share float64) float64 {
		return ms(latencies[min(int(share*float64(len(latencies))), len(latencies)-1)])
	}
	f.P50, f.P99, f.Last = at(0.5), at(0.99), ms(latencies[len(latencies)-1])
	return f
}

// Save writes the result as JSON.
func (r *Result) Save(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Text prints the result as tables and lines for people.
func (r *Result) Text(w io.Writer) error {
	s := &r.Size
	fmt.Fprintf(w, "%d nodes, %d servers in %d services, %d routes, %d tenants, plane %s, %d control processes; %d processes, %.2f GB at most; load average before the run %.1f on %d cores\n",
		s.Nodes, s.Servers, s.Services, s.Routes, s.Tenants, s.Plane, s.Control, r.Processes, r.Memory/1e9, r.Machine.Load, r.Machine.Cores)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "phase\trole\tmembers\tB/s in\tB/s out\tmessages/s in\tout\tCPU s/s\tMB each\t")
	for _, p := range r.Phases {
		names := []string{}
		for name := range p.Roles {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			o := p.Roles[name]
			fmt.Fprintf(t, "%s\t%s\t%d\t%.0f\t%.0f\t%.1f\t%.1f\t%.3f\t%.2f\t\n", p.Name, name, o.Members, o.BytesIn, o.BytesOut, o.MessagesIn,
				o.MessagesOut, o.CPU, o.Memory/float64(max(o.Members, 1))/1e6)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, p := range r.Phases {
		if f := p.ChangeLatency; f != nil {
			fmt.Fprintf(w, "%s: %d changes applied after %.0f ms (p50), %.0f ms (p99), %.0f ms (last node); %d not applied, %d not counted because the node was down\n",
				p.Name, f.Changes, f.P50, f.P99, f.Last, f.Missing, f.Down)
		}
		if f := p.RestartLatency; f != nil {
			fmt.Fprintf(w, "%s: killed nodes knew all servers %.0f ms (p50), %.0f ms (p99), %.0f ms (last) after their start; %d did not\n",
				p.Name, f.P50, f.P99, f.Last, f.Missing)
		}
	}
	for _, f := range r.Faults {
		fmt.Fprintln(w, "fault:", f)
	}
	return nil
}
